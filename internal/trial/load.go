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

// Load describes an open-loop load: searches arrive as a Poisson process,
// whether or not earlier ones have completed.
type Load struct {
	// Rate is the mean number of searches per second.
	Rate float64
	// Duration is the time during which searches arrive.
	Duration time.Duration
	// Scopes are the paths to search. Each search picks one, all with the same
	// probability.
	Scopes []string
	// Seed seeds the arrival times, terms, scopes and clients.
	Seed uint64
	// Retry makes callers retry refused searches as the refusal asks.
	Retry bool
	// Timeout is the timeout of a search, including its retries. The default is
	// 2 s.
	Timeout time.Duration
	// LatencyTarget is the latency within which a complete answer counts towards
	// Results.CompleteInTime.
	LatencyTarget time.Duration
	// Check, if not nil, is called with each answer. It returns a description of
	// the violation that it finds, or "".
	Check func(a caller.Answer) string
}

// Results holds what the callers of a load observed.
type Results struct {
	mu sync.Mutex
	// latency holds the latencies of the answers, in microseconds.
	latency *hdrhistogram.Histogram
	// Searches is the number of searches and Answered the number of those that got
	// an answer.
	Searches int
	Answered int
	// Complete is the number of answers that cover every shard, and CompleteInTime
	// the number of those that arrived within the latency target.
	Complete       int
	CompleteInTime int
	// ShardsCovered is the number of shards that the answers cover, and ShardsTotal
	// the number of shards in their scopes.
	ShardsCovered int
	ShardsTotal   int
	// FailureReasons counts the searches without an answer, refused ones included,
	// by reason, and MissingReasons the shards missing from answers.
	FailureReasons map[string]int
	MissingReasons map[string]int
	// Violations are the texts that Load.Check returned.
	Violations []string
	// SampleAnswers holds the first three answers with hits, and SampleTerms the
	// terms of their searches.
	SampleAnswers []caller.Answer
	SampleTerms   []string
}

// Quantile returns the latency of answers at the quantile q, from 0 to 1.
func (r *Results) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency.ValueAtQuantile(100*q)) * time.Microsecond
}

// Coverage returns the fraction of shards that the answers cover, or 0 without
// answers.
func (r *Results) Coverage() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ShardsTotal == 0 {
		return 0
	}
	return float64(r.ShardsCovered) / float64(r.ShardsTotal)
}

// RunLoad generates the load and waits until every search has completed.
func (c *Cluster) RunLoad(l Load) *Results {
	r := &Results{latency: hdrhistogram.New(1, 60_000_000, 3), FailureReasons: map[string]int{}, MissingReasons: map[string]int{}}
	random := rand.New(rand.NewPCG(l.Seed, 1))
	words := c.corpus.FrequentWords(200)
	clients := c.newCallers(l)
	defer closeAll(clients)
	var searches sync.WaitGroup
	start := time.Now()
	arrival := time.Duration(0)
	for {
		arrival += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if arrival > l.Duration {
			break
		}
		time.Sleep(time.Until(start.Add(arrival)))
		terms := words[random.IntN(len(words))] + " " + words[random.IntN(len(words))]
		s := caller.Search{Terms: terms, Scope: &l.Scopes[random.IntN(len(l.Scopes))]}
		client := clients[random.IntN(len(clients))]
		searches.Go(func() { r.runSearch(client, l, s) })
	}
	searches.Wait()
	return r
}

// clientsPerDaemon is the number of clients of a load for each daemon. The
// searches of a client share connections.
const clientsPerDaemon = 4

func (c *Cluster) newCallers(_ Load) []*caller.Client {
	out := make([]*caller.Client, clientsPerDaemon*len(c.daemons))
	for i := range out {
		out[i] = c.NewCaller()
	}
	return out
}

func closeAll(clients []*caller.Client) {
	for _, c := range clients {
		c.Close()
	}
}

// runSearch sends one search, with retries if the load asks for them, and
// records its result.
func (r *Results) runSearch(c *caller.Client, l Load, s caller.Search) {
	timeout := l.Timeout
	if timeout == 0 {
		timeout = 2 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	var a caller.Answer
	var err error
	if l.Retry {
		a, err = c.Search(ctx, s)
	} else {
		a, err = r.searchOnce(ctx, c, s)
	}
	r.record(time.Since(start), s, a, err, l)
}

// searchOnce sends a search to a random host, without retries.
func (r *Results) searchOnce(ctx context.Context, c *caller.Client, s caller.Search) (caller.Answer, error) {
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return caller.Answer{}, err
	}
	return c.SearchHost(ctx, hosts[rand.IntN(len(hosts))].Address, s)
}

func (r *Results) record(latency time.Duration, s caller.Search, a caller.Answer, err error, l Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Searches++
	if err != nil {
		r.FailureReasons[failureReason(err)]++
		return
	}
	r.Answered++
	_ = r.latency.RecordValue(latency.Microseconds())
	r.ShardsCovered += len(a.Coverage.Covered)
	r.ShardsTotal += len(a.Coverage.Covered) + len(a.Coverage.Missing)
	if len(a.Coverage.Missing) == 0 {
		r.Complete++
		if latency <= l.LatencyTarget {
			r.CompleteInTime++
		}
	}
	for _, m := range a.Coverage.Missing {
		r.MissingReasons[m.Reason]++
	}
	if l.Check != nil {
		if v := l.Check(a); v != "" {
			r.Violations = append(r.Violations, v)
		}
	}
	if len(r.SampleAnswers) < 3 && len(a.Hits) > 0 {
		r.SampleAnswers = append(r.SampleAnswers, a)
		r.SampleTerms = append(r.SampleTerms, s.Terms)
	}
}

// failureReason returns the key of Results.RefusalReasons under which an error
// is counted.
func failureReason(err error) string {
	var e *caller.ResponseError
	if errors.As(err, &e) {
		return e.Kind() + "/" + e.Reason()
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "no-answer/timeout"
	}
	return "no-answer/" + strings.ReplaceAll(errors.Cause(err).Error(), " ", "-")
}

// CheckOneSnapshot is a function for Load.Check. It returns a violation unless all
// hits of the answer come from the snapshot named in its coverage.
func CheckOneSnapshot(a caller.Answer) string {
	for _, h := range a.Hits {
		_, snapshot, _ := strings.Cut(h.Document, "@")
		if snapshot != itoa(a.Coverage.Snapshot) {
			return "hit " + h.Document + " in an answer from snapshot " + itoa(a.Coverage.Snapshot)
		}
	}
	return ""
}

func itoa(n int) string { return strconv.Itoa(n) }
