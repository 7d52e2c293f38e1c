package gateway

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fescuerill/budget"
)

const (
	// spendingLogInterval is the minimum time between two log lines on retry budgets, and
	// maxLoggedBudgets the number of services in a line.
	spendingLogInterval = time.Second
	maxLoggedBudgets    = 8
)

// retryBudgets holds the retry budget of each service that this host has sent requests to. It
// is not safe for concurrent use.
type retryBudgets struct {
	services map[string]*retryBudget
	limits   budget.Limits
	// hosts is the number of hosts that share the common limit.
	hosts int
	// startedAt is the start of the host.
	startedAt time.Time
	random    *rand.Rand
	// loggedAt is the time of the last log line.
	loggedAt time.Time
}

// retryBudget is the retry budget of a service. It counts the initial requests, and the
// additional ones that were allowed and refused, since the last log line.
type retryBudget struct {
	budget.TokenBucket
	initial, allowed, refused int
}

// reset removes all budgets and sets the start of the host.
func (r *retryBudgets) reset(startedAt time.Time, random *rand.Rand) {
	*r = retryBudgets{services: map[string]*retryBudget{}, startedAt: startedAt, random: random}
}

// setLimit sets the limits of all budgets to the share of one of a number of hosts.
func (r *retryBudgets) setLimit(now time.Time, limit budget.CommonLimit, hosts int) {
	r.limits, r.hosts = limit.Share(hosts), hosts
	for _, b := range r.services {
		b.SetLimits(now, r.limits)
	}
}

// service returns the budget of a service. A new one has what it would have without any
// request since the start of the host.
func (r *retryBudgets) service(name string) *retryBudget {
	b := r.services[name]
	if b == nil {
		b = &retryBudget{}
		b.Reset(r.startedAt, r.limits, r.random.Float64())
		r.services[name] = b
	}
	return b
}

// addInitial counts an initial request.
func (b *retryBudget) addInitial(now time.Time) {
	b.AddInitial(now)
	b.initial++
}

// spend withdraws one additional request and reports whether the budget allowed it.
func (b *retryBudget) spend(now time.Time) bool {
	if !b.TryWithdraw(now) {
		b.refused++
		return false
	}
	b.allowed++
	return true
}

// logSpending logs the services with the most additional requests since the last line. Each
// stands with its initial, additional and refused additional requests.
func (r *retryBudgets) logSpending(now time.Time, log *slog.Logger) {
	if now.Sub(r.loggedAt) < spendingLogInterval {
		return
	}
	var names []string
	allowed, refused := 0, 0
	for name, b := range r.services {
		if b.allowed+b.refused > 0 {
			names = append(names, name)
		}
		allowed += b.allowed
		refused += b.refused
	}
	if len(names) > 0 {
		log.Info("retry budgets", "uptime-ms", now.Sub(r.startedAt).Milliseconds(), "services", len(names),
			"allowed", allowed, "refused", refused, "most", r.describeMost(names))
	}
	r.loggedAt = now
	for _, b := range r.services {
		b.initial, b.allowed, b.refused = 0, 0, 0
	}
}

// describeMost returns the counts of those services that have the most additional requests.
func (r *retryBudgets) describeMost(names []string) string {
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(r.services[y].allowed, r.services[x].allowed), cmp.Compare(x, y))
	})
	var most []string
	for _, name := range names[:min(len(names), maxLoggedBudgets)] {
		b := r.services[name]
		most = append(most, fmt.Sprintf("%s:%d/%d/%d", name, b.initial, b.allowed, b.refused))
	}
	return strings.Join(most, " ")
}
