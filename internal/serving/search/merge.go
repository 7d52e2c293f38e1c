package search

import (
	"bytes"
	"slices"
)

// RecordBytes is the length of a record.
const RecordBytes = 16

// Merge appends to dst the greatest records of the parts, greatest first. A
// remainder of a part that is shorter than a record is passed over; equal
// records all count.
func Merge(dst []byte, parts [][]byte, top int) []byte {
	var records [][]byte
	for _, p := range parts {
		for len(p) >= RecordBytes {
			records = append(records, p[:RecordBytes])
			p = p[RecordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	for _, r := range records[:min(top, len(records))] {
		dst = append(dst, r...)
	}
	return dst
}
