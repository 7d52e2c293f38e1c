package query

import "fescuerill/internal/invariant"

// MissingShard is a shard that an answer does not cover.
type MissingShard struct {
	Shard, Reason string
}

// Coverage lists the shards of a snapshot that an answer covers and those that it does
// not.
type Coverage struct {
	Snapshot int
	Covered  []string
	Missing  []MissingShard
}

// Fraction returns the fraction of all shards that is covered, from 0 to 1. It is 0 for
// an answer over no shards.
func (c Coverage) Fraction() float64 {
	all := len(c.Covered) + len(c.Missing)
	if all == 0 {
		return 0
	}
	return float64(len(c.Covered)) / float64(all)
}

// Answer is the result of a query.
type Answer struct {
	Hits     []Hit
	Coverage Coverage
}

// Answer returns the hits found so far. Shards without a reply by now are missing.
func (q *Query) Answer() Answer {
	a := Answer{Hits: q.hits.best(nil), Coverage: Coverage{Snapshot: q.snapshotNumber}}
	c := &a.Coverage
	for i := range q.parts {
		p := &q.parts[i]
		name := q.shards[i].Name()
		switch {
		case p.status == statusAnswered:
			c.Covered = append(c.Covered, name)
		case p.reason != "":
			c.Missing = append(c.Missing, MissingShard{name, p.reason})
		default:
			c.Missing = append(c.Missing, MissingShard{name, ReasonDeadline})
		}
	}
	for _, service := range q.unmapped {
		c.Missing = append(c.Missing, MissingShard{service + "/*", ReasonUnmapped})
	}
	invariant.Check(len(c.Covered)+len(c.Missing) == len(q.shards)+len(q.unmapped), "coverage-names-every-shard")
	return a
}
