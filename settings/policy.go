package settings

import (
	"reflect"
	"strings"
	"time"

	"fescuerill/internal/schema/tree"
)

// Policy is the effective settings of one level of the tree.
type Policy struct {
	deadline, connectTime, retryAfter, silentAfter time.Duration
	floor, extraLoad, hedgeQuantile                float64
	refuseAtDeadline                               bool
	slots, connections, coldSlots, coldBatch       int
	warmStep, batch, queue                         int
}

// Deadline returns the time from the arrival of a request to its answer.
func (p Policy) Deadline() time.Duration { return p.deadline }

// MinConnectInterval returns the least time between two new connections to a target.
func (p Policy) MinConnectInterval() time.Duration { return p.connectTime }

// RetryAfter returns the mean time that a refused caller is asked to wait.
func (p Policy) RetryAfter() time.Duration { return p.retryAfter }

// ResponseTimeout returns the time without an answer after which a connection is
// condemned.
func (p Policy) ResponseTimeout() time.Duration { return p.silentAfter }

// MinCoverage returns the least share of shards, from 0 to 1, that an answer covers.
func (p Policy) MinCoverage() float64 { return p.floor }

// RetryBudgetRatio returns retries and hedges as a fraction of first requests.
func (p Policy) RetryBudgetRatio() float64 { return p.extraLoad }

// HedgeQuantile returns the quantile of part latency, from 0 to 1, after which
// a part is hedged.
func (p Policy) HedgeQuantile() float64 { return p.hedgeQuantile }

// RefusePartial reports whether an answer below the floor is refused rather
// than given with what it covers.
func (p Policy) RefusePartial() bool { return p.refuseAtDeadline }

// Slots returns the exchanges that a warm target runs at once.
func (p Policy) Slots() int { return p.slots }

// MaxConnections returns the connections that a target accepts.
func (p Policy) MaxConnections() int { return p.connections }

// ColdSlots returns the exchanges that a cold target runs at once.
func (p Policy) ColdSlots() int { return p.coldSlots }

// MaxColdBatch returns the parts that an exchange with a cold target carries.
func (p Policy) MaxColdBatch() int { return p.coldBatch }

// ExchangesPerSlot returns the completed exchanges that earn a cold target one slot.
func (p Policy) ExchangesPerSlot() int { return p.warmStep }

// MaxBatch returns the parts that an exchange carries at most.
func (p Policy) MaxBatch() int { return p.batch }

// MaxQueue returns the parts that wait for a target at most.
func (p Policy) MaxQueue() int { return p.queue }

// EffectiveValue is one effective setting and the level from which it comes.
type EffectiveValue struct {
	key, value, level string
}

// Key returns the name of the setting.
func (v EffectiveValue) Key() string { return v.key }

// Text returns the value as it would be written in TOML.
func (v EffectiveValue) Text() string { return v.value }

// Level returns the path of the level that set it, "deployment" for the root
// and "default" for the built-in value.
func (v EffectiveValue) Level() string { return v.level }

// level is one step of inheritance.
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

// inherit merges the levels, the last of which goes first, and notes where
// each value comes from.
func inherit(levels []level) (tree.Policy, map[string]string) {
	var merged tree.Policy
	from := map[string]string{}
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
			from[policyKey(in.Type().Field(i))] = l.name
		}
	}
	return merged, from
}

func policyKey(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

// resolve turns a merged policy, in which every value is set, into a Policy.
func resolve(m tree.Policy) Policy {
	return Policy{
		deadline: duration(m.Deadline), connectTime: duration(m.ConnectTime),
		retryAfter: duration(m.RetryAfter), silentAfter: duration(m.SilentAfter),
		floor: *m.Floor, extraLoad: *m.ExtraLoad, hedgeQuantile: *m.HedgeQuantile,
		refuseAtDeadline: *m.AtDeadline == tree.PolicyAtDeadlineRefuse,
		slots:            *m.Slots, connections: *m.Connections,
		coldSlots: *m.ColdSlots, coldBatch: *m.ColdBatch, warmStep: *m.WarmStep,
		batch: *m.Batch, queue: *m.Queue,
	}
}

// duration parses a text that the schema has checked.
func duration(text *string) time.Duration {
	if text == nil {
		return 0
	}
	d, err := time.ParseDuration(*text)
	if err != nil {
		return 0
	}
	return d
}
