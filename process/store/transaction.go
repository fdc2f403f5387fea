package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrHistoryDiscarded reports that a watch requested changes that the service no longer
// retains. The caller has to list the prefix again.
var ErrHistoryDiscarded = errors.New("change history discarded")

// Expectation is a precondition of a transaction: the key is at the revision
// (zero: the key does not exist).
type Expectation struct {
	Key      string
	Revision Revision
}

// Put writes a key. Lease, when not zero, is the lease whose expiry or revocation
// deletes the key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction describes an atomic change of several keys. It applies all puts and
// deletes, or none when an expectation fails.
type Transaction struct {
	Expect  []Expectation
	Puts    []Put
	Deletes []string
}

// ConflictError reports that an expectation of a transaction failed. It wraps
// ErrConflict.
type ConflictError struct {
	// Current holds the current entries of the expected keys that exist.
	Current []Entry
}

// Error returns a message with the number of expected keys that exist.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: an expectation failed, %d of the expected keys exist", ErrConflict, len(e.Current))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Transactor is a Store that also supports transactions over several keys and
// watches with a maximum wait.
type Transactor interface {
	Store
	// Transact applies the transaction and returns the new revision. The success
	// of a transaction without changes proves that the expected keys were at their
	// revisions at some moment after the call began. After ErrUnavailable it is
	// unknown whether the transaction took effect.
	Transact(ctx context.Context, transaction Transaction) (Revision, error)
	// WatchFor is like Watch but waits at most the given time. It returns
	// ErrHistoryDiscarded when the service no longer retains all changes after the
	// revision.
	WatchFor(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)
}
