package explain

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Count is a count of traffic, summed over hosts.
type Count struct {
	// Name is the name of the count, as on the metrics page.
	Name string
	// Total is the sum over all hosts, and Most the count of the host with the largest one.
	Total, Most int64
}

// trafficMessage marks the log lines with the traffic of a host since its start.
const trafficMessage = "msg=traffic "

// SumTraffic returns the counts of traffic in the logs, the largest first. A host whose
// counts have fallen has restarted; those of its earlier starts are added.
func SumTraffic(logs []Log) ([]Count, error) {
	totals := map[string]Count{}
	for _, l := range logs {
		lines, err := read(l)
		if err != nil {
			return nil, err
		}
		for _, host := range trafficByHost(lines) {
			for name, n := range hostTraffic(host) {
				c := totals[name]
				totals[name] = Count{Name: name, Total: c.Total + n, Most: max(c.Most, n)}
			}
		}
	}
	counts := slices.Collect(maps.Values(totals))
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Name, b.Name))
	})
	return counts, nil
}

// trafficByHost returns the lines with traffic by the word before their time, which names the
// host in a log of several hosts.
func trafficByHost(lines []Line) map[string][]string {
	hosts := map[string][]string{}
	for _, line := range lines {
		if !strings.Contains(line.Text, trafficMessage) {
			continue
		}
		before, _, _ := strings.Cut(line.Text, "time=")
		host := ""
		if words := strings.Fields(before); len(words) > 0 {
			host = words[len(words)-1]
		}
		hosts[host] = append(hosts[host], line.Text)
	}
	return hosts
}

// hostTraffic returns the counts in the lines of one host, summed over its starts.
func hostTraffic(lines []string) map[string]int64 {
	sum, last := map[string]int64{}, map[string]int64{}
	for _, line := range lines {
		counts := parseCounts(line)
		if restarted(last, counts) {
			addCounts(sum, last)
		}
		last = counts
	}
	addCounts(sum, last)
	return sum
}

// parseCounts returns the fields of a line whose values are integers.
func parseCounts(text string) map[string]int64 {
	counts := map[string]int64{}
	_, fields, _ := strings.Cut(text, trafficMessage)
	for field := range strings.FieldsSeq(fields) {
		name, value, _ := strings.Cut(field, "=")
		if n, err := strconv.ParseInt(value, 10, 64); err == nil {
			counts[name] = n
		}
	}
	return counts
}

// restarted reports whether any count has fallen.
func restarted(before, after map[string]int64) bool {
	for name, n := range before {
		if after[name] < n {
			return true
		}
	}
	return false
}

func addCounts(dst, counts map[string]int64) {
	for name, n := range counts {
		dst[name] += n
	}
}
