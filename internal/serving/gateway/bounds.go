package gateway

import (
	"time"

	"fescuerill/budget"
)

// Bounds are limits that the platform sets on all hosts together.
type Bounds struct {
	// RetryFraction, RetryWindow and RetryAllowance limit the additional requests
	// (retries and hedges) to a service within any window to a fraction of its requests
	// plus an allowance.
	RetryFraction  float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// ColdFactor and ColdAllowance limit the requests to a cold target within a second
	// to the maximum rate of its service times the factor plus the allowance.
	ColdFactor    float64
	ColdAllowance float64
}

// retryLimit returns the limit on the additional requests to a service.
func (b Bounds) retryLimit() budget.CommonLimit {
	return budget.CommonLimit{Ratio: b.RetryFraction, Window: b.RetryWindow, Allowance: b.RetryAllowance}
}

const (
	// softDeadlineMargin is how long before the latency target an answer is sent, for the
	// work of the host and the caller, and softDeadlineRoundTrips the number of round
	// trips to the caller by which it is sent earlier still: one for the request and one
	// to open the connection.
	softDeadlineMargin     = 8 * time.Millisecond
	softDeadlineRoundTrips = 2
	// minPartTime is the minimum time that a part is given until the soft deadline.
	minPartTime = 3 * time.Millisecond
	// deadlineMargin is how long before the timeout of the caller a request ends.
	deadlineMargin = 15 * time.Millisecond
	// defaultTimeout applies to a request whose caller and route set no timeout.
	defaultTimeout = 30 * time.Second
	// lateAnswerGrace is how long answers that are not needed any more are awaited, so
	// that their connections can be reused.
	lateAnswerGrace = 400 * time.Millisecond
	// callerLeftGrace is the time after which attempts are cancelled when the caller has
	// disconnected.
	callerLeftGrace = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should
	// retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
	// retryAfterSpread is the divisor of the time that a refused caller is told to wait by
	// which that time is spread, so that callers do not return together.
	retryAfterSpread = 4
	// minTimeToShutdown is the time before its shutdown from which a host refuses
	// requests; if the latency target of the route is longer, that applies.
	minTimeToShutdown = 250 * time.Millisecond
	// nonIdempotentMargin is the factor by which the time is longer for a request that is not
	// idempotent, and slowQuantile the quantile of latencies that it has to cover.
	nonIdempotentMargin = 2
	slowQuantile        = 0.99
	// minStartupRetryAfter and maxStartupRetryAfter bound the time after which a caller
	// should retry that was refused because the host has no manifest yet.
	minStartupRetryAfter = 300 * time.Millisecond
	maxStartupRetryAfter = 3 * time.Second
	// maxRequests is the maximum number of requests in flight.
	maxRequests = 512
	// maxSearches is the maximum number of searches in flight, and limitCutPeriod the
	// minimum time between two reductions of the limit while targets are overloaded.
	maxSearches    = 256
	limitCutPeriod = 100 * time.Millisecond
	// busyRetryAfter is the time after which a caller should retry whose search was
	// refused because targets are overloaded; a random time up to as much is added.
	busyRetryAfter = 150 * time.Millisecond
	// retryTimeoutShare is the share of a route's timeout below which the timeout of a
	// caller shows that the request was refused before: a caller that retries has less
	// time left.
	retryTimeoutShare = 0.85
	// retryLimitShare is the share of the search limit up to which such a request is
	// admitted, so that few requests are refused twice.
	retryLimitShare = 1.5
	// answeredWeight is the weight of a search in the share of answered searches,
	// healthyShare the share below which the host is unhealthy, and healthWindow the time
	// without searches after which the host counts as healthy again.
	answeredWeight = 0.1
	healthyShare   = 0.5
	healthWindow   = 5 * time.Second
	// minRelayParts is the minimum number of parts for which a host of their data centre
	// is used as a relay.
	minRelayParts = 2
	// relayFlushLatencies is the time, in typical latencies, after which a relay sends
	// back the answers that it has, and minRelayFlush the minimum of that time.
	relayFlushLatencies = 2
	minRelayFlush       = 6 * time.Millisecond
	// localConnectionShare is the share of a target's connections that the hosts of its
	// data centre use together, and remoteConnectionShare the share that is divided
	// among all hosts.
	localConnectionShare  = 0.45
	remoteConnectionShare = 0.3
	// hedgeQuantile is the quantile of recent latencies that sets the hedge delay.
	hedgeQuantile = 0.97
	// maxSingleTargetHedgeShare bounds the hedge delay of requests to a single target, as a
	// share of the latency target.
	maxSingleTargetHedgeShare = 0.5
	// defaultTypicalShare is the assumed typical latency, as a share of the latency
	// target, until enough latencies are known.
	defaultTypicalShare = 0.125
	// minHedgeDelay is the minimum hedge delay.
	minHedgeDelay = 4 * time.Millisecond
)
