package search

import (
	"bytes"
	"slices"
)

// RecordSize is the length of a record.
const RecordSize = 16

// Merge appends to dst the greatest records of the parts, greatest first. A
// remainder of a part that is shorter than a record is passed over; equal
// records all count.
func Merge(dst []byte, parts [][]byte, top int) []byte {
	if top <= 0 {
		return dst
	}
	best := make([][]byte, 0, top+1)
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			best = insert(best, p[:RecordSize], top)
		}
	}
	for _, r := range best {
		dst = append(dst, r...)
	}
	return dst
}

// insert puts a record in its place among the best, which are at most a number
// and stand in falling order.
func insert(best [][]byte, record []byte, most int) [][]byte {
	if len(best) == most && bytes.Compare(best[most-1], record) >= 0 {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, record, func(a, b []byte) int { return bytes.Compare(b, a) })
	best = slices.Insert(best, at, record)
	return best[:min(len(best), most)]
}
