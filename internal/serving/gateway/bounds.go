package gateway

import "time"

// Bounds are what the platform expects of all hosts together.
type Bounds struct {
	// RetryFraction, RetryWindow and RetryAllowance bound the extra requests to
	// a service in any window to a fraction of its requests plus an allowance.
	RetryFraction  float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// ColdFactor and ColdAllowance bound the requests to a cold target in a
	// second to its rate times the factor plus the allowance.
	ColdFactor    float64
	ColdAllowance float64
}

const (
	// softDeadlineMargin is how long before the aim an answer is given, for the work of the
	// host and the caller, and settleTrips how many round trips to the caller earlier:
	// one for the request and one to open the connection.
	softDeadlineMargin     = 8 * time.Millisecond
	softDeadlineRoundTrips = 2
	// minPartTime is the shortest time that a part is given.
	minPartTime = 3 * time.Millisecond
	// deadlineMargin is how long before the caller leaves it gets its last answer.
	deadlineMargin = 15 * time.Millisecond
	// defaultTimeout is the time for a request whose caller and route set none.
	defaultTimeout = 30 * time.Second
	// lateAnswerGrace is how long an answer is waited for that nobody needs any more,
	// so that its connection can be kept.
	lateAnswerGrace = 400 * time.Millisecond
	// callerLeftGrace is how long a target may go on after the caller has left.
	callerLeftGrace = 100 * time.Millisecond
	// minRetryAfter and retryMost bound the time after which a refused caller is
	// to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
	// minTimeToShutdown is the time before the end of a host below which it takes no more
	// requests, and the aim of the route if that is longer.
	minTimeToShutdown = 250 * time.Millisecond
	// startupRetryAfter is that time while the host does not know what to serve.
	startupRetryAfter = 300 * time.Millisecond
	// maxRequests is the number of requests under way at once.
	maxRequests = 512
	// maxSearches is the number of searches under way at once, and cutPeriod how
	// often that is lowered when targets are busy.
	maxSearches    = 256
	limitCutPeriod = 100 * time.Millisecond
	// busyRetryAfter is when the caller of a search is to come back that was refused
	// since targets are busy; as much again is added at random.
	busyRetryAfter = 150 * time.Millisecond
	// retryTimeoutShare is the part of a route's time below which the patience of a
	// caller shows that it was refused before.
	retryTimeoutShare = 0.85
	// retryLimitShare is the part of the limit of searches within which such a caller is
	// admitted, so that few are refused twice.
	retryLimitShare = 1.5
	// answeredWeight is the weight of a search in the share of those answered, ableShare
	// that share below which a host is not able, and ableAfter how long it counts.
	answeredWeight = 0.1
	healthyShare   = 0.5
	healthWindow   = 5 * time.Second
	// minRelayParts is the number of parts from which they go through a host of
	// their data centre.
	minRelayParts = 2
	// relayFlushLatencies and relayFlushLeast are when the parts that are in come back
	// together, in usual latencies and at least.
	relayFlushLatencies = 2
	minRelayFlush       = 6 * time.Millisecond
	// localConnectionShare and farShare are the parts of a target's connections that the hosts
	// of its data centre and all hosts use.
	localConnectionShare  = 0.45
	remoteConnectionShare = 0.3
	// retryAllowanceShare is the part of the retry allowance that the hosts use, so that
	// they stay within it when all of them restart.
	retryAllowanceShare = 0.5
	// retryWindowMargin lengthens the budget window over the one that is bounded.
	retryWindowMargin = 1.1
	// hedgeQuantile is the share of latencies after which a part is late.
	hedgeQuantile = 0.97
	// maxSearchHedgeShare and lookupHedge are the latest times of a hedge, as parts of
	// the aim.
	maxSearchHedgeShare = 0.3
	maxLookupHedgeShare = 0.5
	// defaultTypicalShare is the usual latency as a part of the aim until it is known.
	defaultTypicalShare = 0.125
	// minHedgeDelay is the earliest time of a hedge.
	minHedgeDelay = 4 * time.Millisecond
)
