package explain

import (
	"cmp"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Row is one row of a summary: the requests with one latency target that lost answers or
// parts of them for one cause.
type Row struct {
	// LatencyTargetMs is the latency target of the requests in milliseconds; 0 if they were
	// refused before their route was known.
	LatencyTargetMs int
	// Cause is the outcome and its reason, in kebab case.
	Cause string
	// Requests is the number of requests, and Parts the number of missing parts.
	Requests, Parts int
	// Loss is the sum over the requests of the share that the caller lost: 1 for a request
	// that got no answer in time, and 1 minus the square of its coverage for one that got
	// an answer without some parts.
	Loss float64
}

// requestField matches a field of a log line about a request.
var requestField = regexp.MustCompile(`([a-z-]+)=("[^"]*"|\S*)`)

// Summarise returns what the requests in all logs lost, by latency target and cause, with
// the greatest loss first. Answers that are not logged were whole and in time.
func Summarise(logs []Log) ([]Row, error) {
	rows := map[Row]*Row{}
	for _, l := range logs {
		lines, err := read(l)
		if err != nil {
			return nil, err
		}
		for _, line := range lines {
			if strings.Contains(line.Text, "msg=request ") {
				addRequest(rows, line.Text)
			}
		}
	}
	found := make([]Row, 0, len(rows))
	for _, r := range rows {
		found = append(found, *r)
	}
	slices.SortFunc(found, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Loss, a.Loss), cmp.Compare(a.LatencyTargetMs, b.LatencyTargetMs), cmp.Compare(a.Cause, b.Cause))
	})
	return found, nil
}

// request holds the fields of a log line about a request that a summary uses.
type request struct {
	outcome, reason                     string
	targetMs, tookMs, covered, allParts int
}

func parseRequest(text string) request {
	fields := map[string]string{}
	for _, m := range requestField.FindAllStringSubmatch(text, -1) {
		fields[m[1]] = strings.Trim(m[2], `"`)
	}
	number := func(name string) int {
		n, _ := strconv.Atoi(fields[name]) // A field that is not a number counts as 0.
		return n
	}
	return request{
		outcome: fields["outcome"], reason: fields["reason"], targetMs: number("aim-ms"), tookMs: number("took-ms"),
		covered: number("covered"), allParts: number("parts"),
	}
}

// answered reports whether the caller got an answer with content.
func (r request) answered() bool { return r.outcome == "served" || r.outcome == "merged" }

// late reports whether the answer exceeded the latency target.
func (r request) late() bool { return r.targetMs > 0 && r.tookMs > r.targetMs }

// missing returns the number of parts that the answer does not cover.
func (r request) missing() int {
	if r.outcome != "merged" {
		return 0
	}
	return r.allParts - r.covered
}

// loss returns the share of the answer that the caller lost. Nobody waits for the answers
// to requests without a route and to callers that have left.
func (r request) loss() float64 {
	switch {
	case r.outcome == "unrouted" || r.outcome == "left":
		return 0
	case !r.answered() || r.late():
		return 1
	case r.missing() == 0:
		return 0
	}
	coverage := float64(r.covered) / float64(r.allParts)
	return 1 - coverage*coverage
}

// cause returns the cause of the loss.
func (r request) cause() string {
	cause := r.outcome
	if !r.answered() && r.reason != "" {
		cause += "-" + r.reason
	}
	if r.answered() && r.late() {
		cause = "late-" + cause
	}
	if r.missing() > 0 {
		cause += "-without-parts"
	}
	return cause
}

// addRequest adds the line of a request to its row.
func addRequest(rows map[Row]*Row, text string) {
	r := parseRequest(text)
	loss := r.loss()
	if loss == 0 {
		return
	}
	key := Row{LatencyTargetMs: r.targetMs, Cause: r.cause()}
	row := rows[key]
	if row == nil {
		row = &Row{LatencyTargetMs: r.targetMs, Cause: r.cause()}
		rows[key] = row
	}
	row.Requests++
	row.Parts += r.missing()
	row.Loss += loss
}
