package exchange

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// defaultAnswerMemory bounds the memory for answers if no other bound is set, in bytes.
	defaultAnswerMemory = 64 << 20
	// minAnswerMemory is the least bound that can be set, so that one answer of
	// maxAnswerBytes can be read while its buffer grows.
	minAnswerMemory = 4 * maxAnswerBytes
	// headCost is the memory that a byte of a head counts for: fields with a name of three
	// bytes and no value take up to 20 times their length once they are parsed.
	headCost = 20
)

// errNoRoom is returned for an answer that would hold more memory than its target may.
var errNoRoom = errors.New("no memory left for the answer")

// answerMemory bounds the memory of the answers of all targets, from the first byte that is
// read to the end of their requests. It is safe for concurrent use.
type answerMemory struct {
	limit atomic.Int64
	held  atomic.Int64
	// peak is the most that was held at any time.
	peak atomic.Int64
}

// recordPeak records that n bytes are held.
func (m *answerMemory) recordPeak(n int64) {
	for peak := m.peak.Load(); n > peak && !m.peak.CompareAndSwap(peak, n); peak = m.peak.Load() {
	}
}

// setLimit sets the bound in bytes; 0 stands for defaultAnswerMemory.
func (m *answerMemory) setLimit(n int64) {
	if n == 0 {
		n = defaultAnswerMemory
	}
	m.limit.Store(max(n, minAnswerMemory))
}

// account is the memory that the answers of one target hold.
type account struct {
	memory *answerMemory
	held   atomic.Int64
}

// reserve reserves n bytes and reports whether there is room. A target may hold as much as is
// left for all others: however many targets send too much, they leave as much free as each of
// them holds, and answers of the usual length fit in.
func (a *account) reserve(n int) bool {
	held, total := a.held.Add(int64(n)), a.memory.held.Add(int64(n))
	if held <= a.memory.limit.Load()-total {
		a.memory.recordPeak(total)
		return true
	}
	a.release(n)
	return false
}

// release returns n reserved bytes.
func (a *account) release(n int) {
	a.held.Add(int64(-n))
	a.memory.held.Add(int64(-n))
}

// reservation is the memory that is reserved for one answer. The zero value has no account.
type reservation struct {
	account *account
	bytes   int
}

// add reserves n more bytes.
func (v *reservation) add(n int) error {
	if !v.account.reserve(n) {
		return errNoRoom
	}
	v.bytes += n
	return nil
}

// reduceTo releases all but n bytes.
func (v *reservation) reduceTo(n int) {
	if n < v.bytes {
		v.account.release(v.bytes - n)
		v.bytes = n
	}
}

// enlarge returns a buffer with the content of b and a capacity of n bytes. Until the content
// is copied, the memory of both is reserved.
func (v *reservation) enlarge(b []byte, n int) ([]byte, error) {
	if err := v.add(n); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, n), b...)
	v.reduceTo(v.bytes - cap(b))
	return larger, nil
}
