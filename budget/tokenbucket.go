package budget

import (
	"math"
	"time"
)

const (
	// roundingMargin makes up for rounding in sums of fractions of a token.
	roundingMargin = 1e-9
	// surgeTime is the time constant with which tokens that were gained from requests cease to
	// count as gained lately, and usualTime the one of the usual number of these.
	surgeTime = 500 * time.Millisecond
	usualTime = 10 * time.Second
)

// Limits are the limits of a TokenBucket, in tokens.
type Limits struct {
	// Ratio is what each initial request adds, and PerSecond what each second adds.
	Ratio     float64
	PerSecond float64
	// Capacity is the most that can be saved up, unless many more requests than usual arrived
	// lately: these may need what they have added.
	Capacity float64
	// Start is the mean of what the buckets start with.
	Start float64
}

// TokenBucket limits the additional requests that one host sends, one token each. Call Reset
// before use. A TokenBucket is not safe for concurrent use.
//
// What a host sends in a span is at most what it had saved up before, and what it gains from
// the requests and the time of the span itself. So a process need not know what the one before
// it on the same host has sent.
type TokenBucket struct {
	limits Limits
	tokens float64
	// recent is what was gained from requests lately, and usual a long-term mean of it.
	recent, usual float64
	updatedAt     time.Time
}

// Reset sets the limits and fills the bucket as at the start of a host: with one of the two
// whole numbers around Limits.Start, so that some of many hosts have a token if each is due a
// fraction of one. random is a random number from 0 to 1 that chooses it.
func (b *TokenBucket) Reset(now time.Time, limits Limits, random float64) {
	*b = TokenBucket{limits: limits, updatedAt: now}
	b.add(math.Floor(limits.Start + random))
}

// SetLimits changes the limits. Tokens above a smaller capacity are lost, a larger one is
// filled over time.
func (b *TokenBucket) SetLimits(now time.Time, limits Limits) {
	b.advance(now)
	b.limits = limits
	b.add(0)
}

// AddInitial counts an initial request.
func (b *TokenBucket) AddInitial(now time.Time) {
	b.advance(now)
	b.recent += b.limits.Ratio
	b.add(b.limits.Ratio)
}

// Available returns the number of additional requests that are allowed now.
func (b *TokenBucket) Available(now time.Time) int {
	b.advance(now)
	return int(b.tokens + roundingMargin)
}

// TryWithdraw takes one additional request from the bucket and reports whether one was
// available.
func (b *TokenBucket) TryWithdraw(now time.Time) bool {
	if b.Available(now) <= 0 {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// advance adds the tokens of the time since the last call.
func (b *TokenBucket) advance(now time.Time) {
	passed := now.Sub(b.updatedAt)
	if passed <= 0 {
		return
	}
	b.updatedAt = now
	b.recent *= math.Exp(-passed.Seconds() / surgeTime.Seconds())
	b.usual += (b.recent - b.usual) * min(1, passed.Seconds()/usualTime.Seconds())
	b.add(b.limits.PerSecond * passed.Seconds())
}

// add adds tokens, up to the capacity or what a surge of requests has added.
func (b *TokenBucket) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, max(b.limits.Capacity, b.recent-b.usual))
}
