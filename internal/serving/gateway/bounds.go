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
	// settleMargin is how long before the aim an answer is given, for the work of the
	// host and the caller, and settleTrips how many round trips to the caller earlier:
	// one for the request and one to open the connection.
	settleMargin = 8 * time.Millisecond
	settleTrips  = 2
	// leastTime is the shortest time that a part is given.
	leastTime = 3 * time.Millisecond
	// endMargin is how long before the caller leaves it gets its last answer.
	endMargin = 15 * time.Millisecond
	// defaultPatience is the time for a request whose caller and route set none.
	defaultPatience = 30 * time.Second
	// strayTime is how long an answer is waited for that nobody needs any more,
	// so that its connection can be kept.
	strayTime = 400 * time.Millisecond
	// leftTime is how long a target may go on after the caller has left.
	leftTime = 100 * time.Millisecond
	// retryLeast and retryMost bound the time after which a refused caller is
	// to come back.
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Second
	// stopLeast is the time before the end of a host below which it takes no more
	// requests, and the aim of the route if that is longer.
	stopLeast = 250 * time.Millisecond
	// startRetry is that time while the host does not know what to serve.
	startRetry = 300 * time.Millisecond
	// requestsMost is the number of requests under way at once.
	requestsMost = 512
	// searchesMost is the number of searches under way at once, and cutPeriod how
	// often that is lowered when targets are busy.
	searchesMost = 256
	cutPeriod    = 100 * time.Millisecond
	// busyRetry is when the caller of a search is to come back that was refused
	// since targets are busy; as much again is added at random.
	busyRetry = 150 * time.Millisecond
	// returnShare is the part of a route's time below which the patience of a
	// caller shows that it was refused before.
	returnShare = 0.85
	// returnPart is the part of the limit of searches within which such a caller is
	// admitted, so that few are refused twice.
	returnPart = 1.5
	// servedGain is the weight of a search in the share of those answered, ableShare
	// that share below which a host is not able, and ableAfter how long it counts.
	servedGain = 0.1
	ableShare  = 0.5
	ableAfter  = 5 * time.Second
	// relayLeast is the number of parts from which they go through a host of
	// their data centre.
	relayLeast = 2
	// relayFlush and relayFlushLeast are when the parts that are in come back
	// together, in usual latencies and at least.
	relayFlush      = 2
	relayFlushLeast = 6 * time.Millisecond
	// nearShare and farShare are the parts of a target's connections that the hosts
	// of its data centre and all hosts use.
	nearShare = 0.45
	farShare  = 0.3
	// budgetShare is the part of the retry allowance that the hosts use, so that
	// they stay within it when all of them restart.
	budgetShare = 0.5
	// windowMargin lengthens the budget window over the one that is bounded.
	windowMargin = 1.1
	// hedgeQuantile is the share of latencies after which a part is late.
	hedgeQuantile = 0.97
	// searchHedge and lookupHedge are the latest times of a hedge, as parts of
	// the aim.
	searchHedge = 0.3
	lookupHedge = 0.5
	// usualShare is the usual latency as a part of the aim until it is known.
	usualShare = 0.125
	// hedgeLeast is the earliest time of a hedge.
	hedgeLeast = 4 * time.Millisecond
)
