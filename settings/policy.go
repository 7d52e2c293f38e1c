package settings

import (
	"reflect"
	"strings"
	"time"

	"fescuerill/internal/schema/tree"
)

// Policy is the effective settings of one level of the tree.
type Policy struct {
	deadline, minConnectInterval, retryAfter, responseTimeout time.Duration
	minCoverage, retryBudgetRatio, hedgeQuantile              float64
	refusePartial                                             bool
	slots, maxConnections, coldSlots, maxColdBatch            int
	exchangesPerSlot, maxBatch, maxQueue                      int
}

// Deadline returns the maximum time from the arrival of a request to its
// answer.
func (p Policy) Deadline() time.Duration { return p.deadline }

// MinConnectInterval returns the minimum interval between two new connections to
// a target.
func (p Policy) MinConnectInterval() time.Duration { return p.minConnectInterval }

// RetryAfter returns the mean time that a caller whose request was refused is
// asked to wait.
func (p Policy) RetryAfter() time.Duration { return p.retryAfter }

// ResponseTimeout returns the time without an answer to the fetch of a report or
// to the cancellation of an exchange after which the connection to the target is
// closed as unresponsive.
func (p Policy) ResponseTimeout() time.Duration { return p.responseTimeout }

// MinCoverage returns the minimum fraction of shards, from 0 to 1, that an answer
// covers.
func (p Policy) MinCoverage() float64 { return p.minCoverage }

// RetryBudgetRatio returns the maximum number of retries and hedges, as a
// fraction of first requests.
func (p Policy) RetryBudgetRatio() float64 { return p.retryBudgetRatio }

// HedgeQuantile returns the quantile of the part latency, from 0 to 1, that is
// used as the hedge delay.
func (p Policy) HedgeQuantile() float64 { return p.hedgeQuantile }

// RefusePartial reports whether a request is refused if its answer is below
// the minimum coverage at the deadline. Otherwise the partial answer is sent.
func (p Policy) RefusePartial() bool { return p.refusePartial }

// Slots returns the maximum number of concurrent exchanges of a warm target.
func (p Policy) Slots() int { return p.slots }

// MaxConnections returns the maximum number of connections that a target accepts.
func (p Policy) MaxConnections() int { return p.maxConnections }

// ColdSlots returns the maximum number of concurrent exchanges of a cold target.
func (p Policy) ColdSlots() int { return p.coldSlots }

// MaxColdBatch returns the maximum number of parts in an exchange with a cold
// target.
func (p Policy) MaxColdBatch() int { return p.maxColdBatch }

// ExchangesPerSlot returns the number of completed exchanges after which a target
// that warms up gets one more slot.
func (p Policy) ExchangesPerSlot() int { return p.exchangesPerSlot }

// MaxBatch returns the maximum number of parts in an exchange.
func (p Policy) MaxBatch() int { return p.maxBatch }

// MaxQueue returns the maximum number of parts queued for a target.
func (p Policy) MaxQueue() int { return p.maxQueue }

// EffectiveValue is one effective setting and the level that sets it.
type EffectiveValue struct {
	key, value, level string
}

// Key returns the name of the setting.
func (v EffectiveValue) Key() string { return v.key }

// Text returns the value as text.
func (v EffectiveValue) Text() string { return v.value }

// Level returns the path of the level that sets the value, "deployment" for the
// root, or "default" for a built-in default.
func (v EffectiveValue) Level() string { return v.level }

// level is one level of inheritance. The policy is nil if the level sets none.
type level struct {
	name   string
	policy *tree.Policy
}

func defaults() *tree.Policy {
	partial := tree.PolicyAtDeadlinePartial
	return &tree.Policy{
		Deadline: new("60ms"), Floor: new(0.0), AtDeadline: &partial,
		Slots: new(2), Connections: new(25), ConnectTime: new("6ms"),
		ColdSlots: new(1), ColdBatch: new(4), WarmStep: new(4),
		Batch: new(64), Queue: new(512),
		ExtraLoad: new(0.05), HedgeQuantile: new(0.95),
		RetryAfter: new("500ms"), SilentAfter: new("250ms"),
	}
}

// mergeLevels merges the policies of the levels; later levels override earlier
// ones. It also returns the name of the level that sets each value, by key.
func mergeLevels(levels []level) (tree.Policy, map[string]string) {
	var merged tree.Policy
	origins := map[string]string{}
	out := reflect.ValueOf(&merged).Elem()
	for _, l := range levels {
		if l.policy == nil {
			continue
		}
		in := reflect.ValueOf(l.policy).Elem()
		for i := range in.NumField() {
			if in.Field(i).IsNil() {
				continue
			}
			out.Field(i).Set(in.Field(i))
			origins[policyKey(in.Type().Field(i))] = l.name
		}
	}
	return merged, origins
}

func policyKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

// newPolicy converts a merged policy, in which every value is set.
func newPolicy(m tree.Policy) Policy {
	return Policy{
		deadline: parseDuration(m.Deadline), minConnectInterval: parseDuration(m.ConnectTime),
		retryAfter: parseDuration(m.RetryAfter), responseTimeout: parseDuration(m.SilentAfter),
		minCoverage: *m.Floor, retryBudgetRatio: *m.ExtraLoad, hedgeQuantile: *m.HedgeQuantile,
		refusePartial: *m.AtDeadline == tree.PolicyAtDeadlineRefuse,
		slots:         *m.Slots, maxConnections: *m.Connections,
		coldSlots: *m.ColdSlots, maxColdBatch: *m.ColdBatch, exchangesPerSlot: *m.WarmStep,
		maxBatch: *m.Batch, maxQueue: *m.Queue,
	}
}

// parseDuration parses a text that the schema has validated. It returns 0 for a
// nil or invalid text.
func parseDuration(text *string) time.Duration {
	if text == nil {
		return 0
	}
	d, err := time.ParseDuration(*text)
	if err != nil {
		return 0
	}
	return d
}
