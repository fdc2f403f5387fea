// Package store declares the interface to the platform's key-value service:
// reads, compare-and-swap, leases and watches. Sub-packages implement it:
// store/httpstore over HTTP and store/memstore in memory.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors that Store implementations return, usually wrapped.
var (
	// ErrNotFound reports that the key has no value.
	ErrNotFound = errors.New("key not found")
	// ErrConflict reports that a key was not at the expected revision. Nothing
	// was written.
	ErrConflict = errors.New("revision conflict")
	// ErrLeaseExpired reports that the lease is unknown or has expired.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrUnavailable reports that no usable response arrived. A write may or may
	// not have taken effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge reports a value over MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("value too large")
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Entry is a key with its value, the revision of its last change and the lease to
// which it is attached.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
	// Malformed is why the value that the service returned cannot be read, empty if it can.
	// Value is then empty.
	Malformed string `json:"-"`
}

// Change is one change of a key as a watch reports it. For a deletion, Deleted is
// set and Value is empty.
type Change struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// Listing holds the entries under a prefix as of Revision.
type Listing struct {
	Entries  []Entry  `json:"entries"`
	Revision Revision `json:"revision"`
}

// Swap describes a compare-and-swap, which succeeds only while the key is at
// revision Expect (zero: the key does not exist). It writes Value, or deletes the
// key when Delete is set.
type Swap struct {
	Key    string   `json:"key"`
	Expect Revision `json:"expect"`
	Value  []byte   `json:"value,omitempty"`
	Delete bool     `json:"delete,omitempty"`
	// Lease, when not zero, is the lease whose expiry or revocation deletes the key.
	Lease LeaseID `json:"lease,omitempty"`
}

// Transaction returns the transaction that performs the swap.
func (s Swap) Transaction() Transaction {
	t := Transaction{Expect: []Expectation{{Key: s.Key, Revision: s.Expect}}}
	if s.Delete {
		t.Deletes = []string{s.Key}
	} else {
		t.Puts = []Put{{Key: s.Key, Value: s.Value, Lease: s.Lease}}
	}
	return t
}

// Store is a client of the key-value service. Errors wrap one of this package's
// errors and name the operation and the key or address. Implementations are safe for
// concurrent use.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap returns the new revision. After ErrUnavailable the caller has
	// to read the key to find out whether the swap took effect.
	CompareAndSwap(ctx context.Context, swap Swap) (Revision, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full TTL.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until keys under the prefix change after the given revision and
	// returns the changes in order, with the revision up to which they are
	// complete. It returns no changes when the service ends the wait first, and
	// ErrHistoryDiscarded when the changes after the revision are not known, as after a
	// restore of the service.
	Watch(ctx context.Context, prefix string, after Revision) ([]Change, Revision, error)
}
