package search_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/search"
)

func record(b byte) []byte { return bytes.Repeat([]byte{b}, search.RecordSize) }

func TestMergeReturnsHighestRecords(t *testing.T) {
	a := slices.Concat(record(3), record(9), []byte("rest"))
	b := slices.Concat(record(9), record(1))
	got := search.Merge(nil, [][]byte{a, nil, b}, 3)
	assert.Equal(t, slices.Concat(record(9), record(9), record(3)), got)
	assert.Empty(t, search.Merge(nil, nil, 3))
}

func TestMergeMatchesFullSort(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var parts, all [][]byte
		for range r.IntN(6) {
			var p []byte
			for range r.IntN(9) {
				rec := make([]byte, search.RecordSize)
				for i := range rec {
					rec[i] = byte(r.IntN(3))
				}
				p = append(p, rec...)
				all = append(all, rec)
			}
			parts = append(parts, append(p, make([]byte, r.IntN(search.RecordSize))...))
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		topK := r.IntN(12)
		want := bytes.Join(all[:min(topK, len(all))], nil)
		assert.Equal(t, string(want), string(search.Merge(nil, parts, topK)))
	}
}

func ExampleMerge() {
	parts := [][]byte{[]byte("record-number-01record-number-03"), []byte("record-number-02")}
	fmt.Println(string(search.Merge(nil, parts, 2)))
	// Output: record-number-03record-number-02
}

func BenchmarkMerge(b *testing.B) {
	var parts [][]byte
	for i := range 90 {
		var p []byte
		for j := range 25 {
			p = append(p, record(byte(i*j))...)
		}
		parts = append(parts, p)
	}
	dst := make([]byte, 0, 20*search.RecordSize)
	b.ReportAllocs()
	for b.Loop() {
		dst = search.Merge(dst[:0], parts, 20)
	}
}

// TestMergeOfHugeTopK guards against a panic for a number of records that no memory holds,
// as a malformed message or manifest may state.
func TestMergeOfHugeTopK(t *testing.T) {
	assert.Equal(t, record(1), search.Merge(nil, [][]byte{record(1)}, math.MaxInt))
}
