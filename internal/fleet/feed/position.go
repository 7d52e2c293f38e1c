package feed

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of the store: a revision of an era. The store begins a
// new era when it comes back from a copy. It has then lost the latest changes and gives out
// their revisions again, so revisions of different eras must not be compared. The zero value
// precedes all other positions; the era of a store that states none is 0.
type Position struct {
	era, revision int64
}

// At returns the position of a revision of an era.
func At(era, revision int64) Position { return Position{era: era, revision: revision} }

// Era returns the era.
func (p Position) Era() int64 { return p.era }

// Revision returns the revision, which counts only within the era.
func (p Position) Revision() int64 { return p.revision }

// Compare returns a negative number if p comes before q, 0 if they are equal, and a positive
// number if p comes after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.revision, q.revision))
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// String returns the era and the revision, separated by a slash.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.era, p.revision) }
