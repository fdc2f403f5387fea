package store

import (
	"fmt"
	"strconv"
)

// Revision orders the changes of all keys of the service. Its upper bits hold the era of
// the service and the others the number that the service gave to the change, so that a
// change after a restore is later than all changes before it although the service gives
// the numbers out again. As the revision of a key, zero means that the key does not exist.
type Revision uint64

// Era counts the restores of the service from an older copy. A service that does not
// report it is always in era zero.
type Era uint64

// sequenceBits is the number of bits for the service's own number. Era and number together
// stay below 2^53, so that they survive decoders that read numbers as floating point.
const sequenceBits = 40

// Bounds of the parts of a revision.
const (
	MaxSequence uint64 = 1<<sequenceBits - 1
	MaxEra      Era    = 1<<13 - 1
)

// NewRevision returns the revision of the change with a number in an era, neither of which
// may exceed its bound. It returns zero for the number zero.
func NewRevision(era Era, sequence uint64) Revision {
	if sequence == 0 {
		return 0
	}
	return FirstRevision(era) + Revision(sequence)
}

// FirstRevision returns a revision that precedes all changes of an era and follows those
// of earlier eras.
func FirstRevision(era Era) Revision { return Revision(era) << sequenceBits }

// Era returns the era of the change.
func (r Revision) Era() Era { return Era(r >> sequenceBits) }

// Sequence returns the number that the service gave to the change.
func (r Revision) Sequence() uint64 { return uint64(r) & MaxSequence }

// String returns the era and the number, such as "2:39", or the number alone in era zero.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Sequence(), 10)
	}
	return fmt.Sprintf("%d:%d", r.Era(), r.Sequence())
}
