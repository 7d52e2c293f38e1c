package query

import "fescuerill/internal/invariant"

// MissingShard is a shard that an answer does not cover.
type MissingShard struct {
	Shard, Reason string
}

// Coverage says which shards of a snapshot an answer covers.
type Coverage struct {
	Snapshot int
	Covered  []string
	Missing  []MissingShard
}

// Fraction returns the part of all shards that is covered, from 0 to 1. An
// answer over no shards covers none.
func (c Coverage) Fraction() float64 {
	all := len(c.Covered) + len(c.Missing)
	if all == 0 {
		return 0
	}
	return float64(len(c.Covered)) / float64(all)
}

// Answer is the outcome of a query.
type Answer struct {
	Hits     []Hit
	Coverage Coverage
}

// Answer returns what the query has found. Shards that are not answered by now
// are missing.
func (q *Query) Answer() Answer {
	a := Answer{Hits: q.hits.best(nil), Coverage: Coverage{Snapshot: q.number}}
	c := &a.Coverage
	for i := range q.parts {
		p := &q.parts[i]
		name := q.shards[i].Name()
		switch {
		case p.status == done:
			c.Covered = append(c.Covered, name)
		case p.reason != "":
			c.Missing = append(c.Missing, MissingShard{name, p.reason})
		default:
			c.Missing = append(c.Missing, MissingShard{name, ReasonDeadline})
		}
	}
	for _, service := range q.uncharted {
		c.Missing = append(c.Missing, MissingShard{service + "/*", ReasonUnmapped})
	}
	invariant.Check(len(c.Covered)+len(c.Missing) == len(q.shards)+len(q.uncharted), "coverage-names-every-shard")
	return a
}
