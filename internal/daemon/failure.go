package daemon

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuerill/internal/schema/caller"
)

// failure is an error response to a caller.
type failure struct {
	status int
	body   caller.Failure
}

func notRun(reason string, mean time.Duration) *failure {
	wait := int((mean/2 + rand.N(mean)).Milliseconds())
	return &failure{http.StatusServiceUnavailable, caller.Failure{
		Kind: caller.FailureKindRefusedNotRun, Reason: reason, RetryAfterMs: &wait,
	}}
}

func unknownOutcome(reason string) *failure {
	return &failure{http.StatusConflict, caller.Failure{Kind: caller.FailureKindOutcomeUnknown, Reason: reason}}
}

func deadlinePassed(reason string) *failure {
	return &failure{http.StatusGatewayTimeout, caller.Failure{Kind: caller.FailureKindDeadline, Reason: reason}}
}

func badRequest(reason, message string) *failure {
	return &failure{http.StatusBadRequest, caller.Failure{Kind: caller.FailureKindBadRequest, Reason: reason, Message: &message}}
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }
