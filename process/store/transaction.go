package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrHistoryGone reports that a watch asked for changes that the service has
// discarded. The caller lists the prefix anew.
var ErrHistoryGone = errors.New("history is gone")

// Expectation is a condition of a transaction: the key is at the revision (zero:
// absent).
type Expectation struct {
	Key      string
	Revision Revision
}

// Put writes a key. Lease, when not zero, deletes the key once the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction changes all its keys or, when an expectation fails, none.
type Transaction struct {
	Expect  []Expectation
	Puts    []Put
	Deletes []string
}

// ConflictError reports that an expectation failed and what the keys hold. It
// wraps ErrConflict.
type ConflictError struct {
	// Current holds the entries of those expected keys that exist.
	Current []Entry
}

// Error names the keys.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %d keys hold other revisions than expected", ErrConflict, len(e.Current))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Transactor is a Store with transactions over several keys and bounded watches.
type Transactor interface {
	Store
	// Transact returns the new revision. A transaction without changes proves
	// that the expected keys were at their revisions after the call began. After
	// ErrUnavailable the effect is unknown.
	Transact(ctx context.Context, transaction Transaction) (Revision, error)
	// WatchFor is Watch with a bound on the wait. It returns ErrHistoryGone when
	// the changes after the revision are not kept any more.
	WatchFor(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
}
