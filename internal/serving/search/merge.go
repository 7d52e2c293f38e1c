package search

import (
	"bytes"
	"slices"
)

// RecordSize is the length of a record in bytes.
const RecordSize = 16

// Merge appends the topK highest records of the parts to dst, in descending order. A
// remainder of a part that is shorter than a record is ignored. Equal records are all
// kept.
func Merge(dst []byte, parts [][]byte, topK int) []byte {
	if topK <= 0 {
		return dst
	}
	records := 0
	for _, p := range parts {
		records += len(p) / RecordSize
	}
	best := make([][]byte, 0, min(topK, records)+1)
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			best = insert(best, p[:RecordSize], topK)
		}
	}
	for _, r := range best {
		dst = append(dst, r...)
	}
	return dst
}

// insert inserts a record into best, which is in descending order and holds at most
// limit records.
func insert(best [][]byte, record []byte, limit int) [][]byte {
	if len(best) == limit && bytes.Compare(best[limit-1], record) >= 0 {
		return best
	}
	at, _ := slices.BinarySearchFunc(best, record, func(a, b []byte) int { return bytes.Compare(b, a) })
	best = slices.Insert(best, at, record)
	return best[:min(len(best), limit)]
}
