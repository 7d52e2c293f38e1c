package trial

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"fescuerill/caller"
)

// Load describes callers that arrive at random, whatever becomes of those
// before them.
type Load struct {
	// Rate is the number of searches a second.
	Rate float64
	// Duration is how long callers arrive.
	Duration time.Duration
	// Scopes are the paths searched, each as often.
	Scopes []string
	Seed   uint64
	// Retry lets callers come back as a refusal asks, for as long as Patience.
	Retry    bool
	Patience time.Duration
	// InTime is the time within which a whole answer counts as good.
	InTime time.Duration
	// Check looks at each answer; a text that it returns is a violation.
	Check func(a caller.Answer) string
}

// Results is what callers saw.
type Results struct {
	mu          sync.Mutex
	latency     *hdrhistogram.Histogram
	Asked       int
	Answered    int
	Whole       int
	Good        int
	Covered     int
	Shards      int
	Refused     map[string]int
	Missing     map[string]int
	Violations  []string
	Sample      []caller.Answer
	SampleTerms []string
}

// Quantile returns the latency of answers at the quantile q, from 0 to 1.
func (r *Results) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency.ValueAtQuantile(100*q)) * time.Microsecond
}

// Coverage returns the share of shards covered in the answers given.
func (r *Results) Coverage() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Shards == 0 {
		return 0
	}
	return float64(r.Covered) / float64(r.Shards)
}

// Run lets callers arrive and waits until all have their answers.
func (t *Trial) Run(l Load) *Results {
	r := &Results{latency: hdrhistogram.New(1, 60_000_000, 3), Refused: map[string]int{}, Missing: map[string]int{}}
	random := rand.New(rand.NewPCG(l.Seed, 1))
	words := t.corpus.Words(200)
	clients := t.newCallers(l)
	defer closeAll(clients)
	var callers sync.WaitGroup
	began := time.Now()
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if at > l.Duration {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		terms := words[random.IntN(len(words))] + " " + words[random.IntN(len(words))]
		s := caller.Search{Terms: terms, Scope: &l.Scopes[random.IntN(len(l.Scopes))]}
		c := clients[random.IntN(len(clients))]
		callers.Go(func() { r.runSearch(c, l, s) })
	}
	callers.Wait()
	return r
}

// clientsPerDaemon is the number of callers that share connections.
const clientsPerDaemon = 4

func (t *Trial) newCallers(_ Load) []*caller.Client {
	out := make([]*caller.Client, clientsPerDaemon*len(t.daemons))
	for i := range out {
		out[i] = t.Caller()
	}
	return out
}

func closeAll(clients []*caller.Client) {
	for _, c := range clients {
		c.Close()
	}
}

// runSearch is a caller with one search.
func (r *Results) runSearch(c *caller.Client, l Load, s caller.Search) {
	patience := l.Patience
	if patience == 0 {
		patience = 2 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	began := time.Now()
	var a caller.Answer
	var err error
	if l.Retry {
		a, err = c.Search(ctx, s)
	} else {
		a, err = r.searchOnce(ctx, c, s)
	}
	r.record(time.Since(began), s, a, err, l)
}

func (r *Results) searchOnce(ctx context.Context, c *caller.Client, s caller.Search) (caller.Answer, error) {
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return caller.Answer{}, err
	}
	return c.Ask(ctx, hosts[rand.IntN(len(hosts))].Address, s)
}

func (r *Results) record(took time.Duration, s caller.Search, a caller.Answer, err error, l Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Asked++
	if err != nil {
		r.Refused[failureReason(err)]++
		return
	}
	r.Answered++
	_ = r.latency.RecordValue(took.Microseconds())
	r.Covered += len(a.Coverage.Covered)
	r.Shards += len(a.Coverage.Covered) + len(a.Coverage.Missing)
	if len(a.Coverage.Missing) == 0 {
		r.Whole++
		if took <= l.InTime {
			r.Good++
		}
	}
	for _, m := range a.Coverage.Missing {
		r.Missing[m.Reason]++
	}
	if l.Check != nil {
		if v := l.Check(a); v != "" {
			r.Violations = append(r.Violations, v)
		}
	}
	if len(r.Sample) < 3 && len(a.Hits) > 0 {
		r.Sample = append(r.Sample, a)
		r.SampleTerms = append(r.SampleTerms, s.Terms)
	}
}

func failureReason(err error) string {
	var f *caller.Refusal
	if errors.As(err, &f) {
		return f.Kind() + "/" + f.Reason()
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "no-answer/timeout"
	}
	return "no-answer/" + strings.ReplaceAll(errors.Cause(err).Error(), " ", "-")
}

// OneSnapshot is a check that all hits of an answer come from the snapshot that
// its coverage names.
func OneSnapshot(a caller.Answer) string {
	for _, h := range a.Hits {
		_, at, _ := strings.Cut(h.Document, "@")
		if at != itoa(a.Coverage.Snapshot) {
			return "hit " + h.Document + " in an answer from snapshot " + itoa(a.Coverage.Snapshot)
		}
	}
	return ""
}

func itoa(n int) string { return strconv.Itoa(n) }
