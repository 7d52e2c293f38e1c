package query

import (
	"cmp"
	"container/heap"
	"slices"
)

// topHits keeps the best hits.
type topHits struct {
	limit int
	hits  worstFirst
}

func (t *topHits) reset(limit int) {
	t.limit = limit
	t.hits = t.hits[:0]
}

// add keeps h if it is among the best so far.
func (t *topHits) add(h Hit) {
	switch {
	case t.limit <= 0:
	case len(t.hits) < t.limit:
		heap.Push(&t.hits, h)
	case compare(h, t.hits[0]) < 0:
		t.hits[0] = h
		heap.Fix(&t.hits, 0)
	}
}

// best appends the hits to dst, best first.
func (t *topHits) best(dst []Hit) []Hit {
	dst = append(dst, t.hits...)
	slices.SortFunc(dst, compare)
	return dst
}

// compare orders hits from best to worst. Equal scores are ordered by name, so that the
// order does not depend on which shard replied first.
func compare(a, b Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Document, b.Document))
}

// worstFirst is a heap of hits with the worst on top.
type worstFirst []Hit

func (h worstFirst) Len() int           { return len(h) }
func (h worstFirst) Less(i, j int) bool { return compare(h[i], h[j]) > 0 }
func (h worstFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *worstFirst) Push(v any)        { *h = append(*h, v.(Hit)) }

func (h *worstFirst) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
