package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/gateway"
)

// TestSoftDeadlineAfterAllowsForRoundTrips covers callers at several distances: the answer
// must be sent early enough for a caller that first has to open a connection.
func TestSoftDeadlineAfterAllowsForRoundTrips(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct{ latencyTarget, roundTrip, want time.Duration }{
		"short round trip":                   {80 * ms, 2 * ms, 68 * ms},
		"unknown round trip":                 {80 * ms, 0, 72 * ms},
		"longer round trip, shorter target":  {60 * ms, 7 * ms, 38 * ms},
		"round trip too long for the target": {40 * ms, 30 * ms, 20 * ms},
	}
	for name, test := range tests {
		got := gateway.SoftDeadlineAfter(test.latencyTarget, test.roundTrip)
		assert.Equal(t, test.want, got, name)
	}
}

// TestStartupRetryAfterFollowsOutage has a host wait for its manifest while the store is
// silent. A caller that repeats a request once must not be refused twice early in a long
// outage.
func TestStartupRetryAfterFollowsOutage(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct{ waited, want time.Duration }{
		"just started": {5 * ms, 300 * ms},
		"store silent": {1400 * ms, 1400 * ms},
		"long silence": {time.Minute, 3000 * ms},
	}
	for name, test := range tests {
		assert.Equal(t, test.want, gateway.StartupRetryAfter(test.waited), name)
	}
}

// TestNonIdempotentRequestsAreRefusedEarlierInStop checks that a stopping host has time for
// the slow answers of a route when it accepts a request that cannot be sent again.
func TestNonIdempotentRequestsAreRefusedEarlierInStop(t *testing.T) {
	tests := map[string]struct {
		idempotent             bool
		latencyTarget, slowest time.Duration
		want                   time.Duration
	}{
		"search":                          {true, 80 * time.Millisecond, 700 * time.Millisecond, 250 * time.Millisecond},
		"idempotent":                      {true, 300 * time.Millisecond, 700 * time.Millisecond, 300 * time.Millisecond},
		"non-idempotent":                  {false, 300 * time.Millisecond, 700 * time.Millisecond, 1400 * time.Millisecond},
		"non-idempotent, latency unknown": {false, 300 * time.Millisecond, 0, 600 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, gateway.RequiredTime(test.idempotent, test.latencyTarget, test.slowest))
		})
	}
}
