package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/routing/catalog"
	"fescuerill/internal/routing/manifest"
	"fescuerill/internal/serving/gateway"
	"fescuerill/internal/stats"
)

// failingService is a service of two targets that answer all requests with a failure from some
// time on. It records the arrivals, and the log and the counters of the hosts.
type failingService struct {
	log   bytes.Buffer
	stats stats.Registry

	mu       sync.Mutex
	failing  bool
	arrivals []time.Time
}

// dial returns a connection to a target.
func (f *failingService) dial(ctx context.Context, _ string) (net.Conn, error) {
	host, target := net.Pipe()
	context.AfterFunc(ctx, func() { _ = host.Close() })
	go f.serve(target)
	return host, nil
}

func (f *failingService) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 "+f.status()+"\r\nMac: m\r\nContent-Length: 0\r\n\r\n")
	}
}

// status records an arrival and returns the status of its answer.
func (f *failingService) status() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, time.Now())
	if f.failing {
		return "500 Failed"
	}
	return "200 OK"
}

// arrivedWithin returns the number of arrivals in a span.
func (f *failingService) arrivedWithin(from time.Time, span time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.arrivals {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// startGateway starts a host with a route to the service. It ends with ctx.
func (f *failingService) startGateway(ctx context.Context, bounds gateway.Bounds) *gateway.Gateway {
	route := &manifest.Route{Name: "one", Host: "h", Prefix: "/", Service: "s", Idempotent: true, MaxAttempts: 2, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond}
	services := []*manifest.Service{{Name: "s", MaxConnections: 200}}
	decoder := changes{"manifest": {Manifest: manifest.New(1, []*manifest.Route{route}, services, manifest.Limits{})}}
	for _, id := range []string{"a", "b"} {
		decoder[id] = gateway.Change{Target: &catalog.Target{ID: id, Service: "s", Address: id, DataCentre: "d", Slots: 20, Incarnation: 1}}
	}
	g := gateway.New(ctx, gateway.Options{
		DataCentre: "d", Fleet: singleHost{}, Decoder: decoder, Protocol: plainProtocol{}, Dial: f.dial, Bounds: bounds,
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.NewTextHandler(&f.log, nil)), Stats: &f.stats,
	})
	apply(g, 1, slices.Sorted(maps.Keys(decoder))...)
	go g.RunMaintenance(ctx)
	return g
}

// fail makes all targets fail from now on.
func (f *failingService) fail() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = true
}

// send sends a request through a host.
func send(ctx context.Context, g *gateway.Gateway) {
	g.Serve(ctx, &gateway.Request{ID: "1", Method: http.MethodGet, URI: "/x", Path: "/x", Host: "h", Header: http.Header{}, Arrived: time.Now(), Timeout: 2 * time.Second})
}

// TestReplacedHostDoesNotSpendRetryBudgetAgain guards against a host that spends what its
// budget has saved up when the targets begin to fail, is killed, and is replaced by one that
// knows nothing of that. The targets remember the arrivals of both.
func TestReplacedHostDoesNotSpendRetryBudgetAgain(t *testing.T) {
	bounds := gateway.Bounds{RetryFraction: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 50}
	const interval = 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var f failingService
		began := time.Now()
		run := func(length time.Duration) {
			ctx, cancel := context.WithCancel(t.Context())
			g := f.startGateway(ctx, bounds)
			var callers sync.WaitGroup
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
				callers.Go(func() { send(ctx, g) })
				if time.Since(began) > 15*time.Second {
					f.fail()
				}
			}
			cancel()
			callers.Wait()
		}
		run(16 * time.Second)
		run(9 * time.Second)
		run(5 * time.Second)
		time.Sleep(5 * time.Second)
		allowed := bounds.RetryFraction*float64(bounds.RetryWindow/interval) + bounds.RetryAllowance
		most := 0
		for from := began; from.Before(time.Now()); from = from.Add(100 * time.Millisecond) {
			most = max(most, f.arrivedWithin(from, bounds.RetryWindow)-int(bounds.RetryWindow/interval))
		}
		assert.LessOrEqual(t, float64(most), allowed)
		assert.Greater(t, float64(most), allowed/2, "the budget is used")
	})
}

// TestReloadDoesNotRefillRetryBudget changes the bounds again and again while targets fail.
func TestReloadDoesNotRefillRetryBudget(t *testing.T) {
	bounds := gateway.Bounds{RetryFraction: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 50}
	synctest.Test(t, func(t *testing.T) {
		var f failingService
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g := f.startGateway(ctx, bounds)
		left := func() int64 {
			g.UpdateGauges(time.Now())
			n := int64(-1)
			f.stats.Each(func(name string, v int64) {
				if name == "retry-budget-left-s" {
					n = v
				}
			})
			return n
		}
		f.fail()
		for n := range 5 {
			send(ctx, g)
			before := left()
			bounds.RetryAllowance = float64(60 + n)
			g.SetBounds(bounds)
			send(ctx, g)
			assert.LessOrEqual(t, left(), before+1)
		}
	})
}

// TestSpendingOfRetryBudgetsIsLogged checks the line from which operators tell which process has
// spent a budget.
func TestSpendingOfRetryBudgetsIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f failingService
		f.fail()
		ctx, cancel := context.WithCancel(t.Context())
		g := f.startGateway(ctx, gateway.Bounds{RetryFraction: 1, RetryWindow: 10 * time.Second, RetryAllowance: 50})
		time.Sleep(1100 * time.Millisecond)
		send(ctx, g)
		time.Sleep(1100 * time.Millisecond)
		cancel()
		synctest.Wait()
		assert.Regexp(t, `msg="retry budgets" uptime-ms=\d+ services=1 allowed=[1-9]\d* refused=\d+ most=s:1/[1-9]\d*/\d+`, f.log.String())
	})
}
