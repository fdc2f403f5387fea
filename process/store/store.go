// Package store declares the platform's key-value service as samphirehitch uses
// it: reads, compare-and-swap, leases and watches. Adapters live in
// sub-packages (store/httpstore for the wire, store/memstore in memory).
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of the service.
var (
	// ErrNotFound reports that the key has no value.
	ErrNotFound = errors.New("key not found")
	// ErrConflict reports that a compare-and-swap met another revision. The
	// swap had no effect.
	ErrConflict = errors.New("revision conflict")
	// ErrLeaseExpired reports that the lease is unknown or has expired.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrUnavailable reports that no answer came. A write may or may not have
	// taken effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge reports a value over MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("value too large")
)

// MaxValueBytes is the largest value the service holds, in bytes.
const MaxValueBytes = 1 << 20

// Revision numbers the changes of the whole service. Revisions only grow. Zero
// stands for a key that does not exist.
type Revision uint64

// LeaseID names a lease. Zero means no lease.
type LeaseID uint64

// Entry is a key with its value and the revision that last changed it.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// Change is a step in the history of a prefix. A deleted key has Deleted set
// and carries no value.
type Change struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// Listing is the content of a prefix as of Revision.
type Listing struct {
	Entries  []Entry  `json:"entries"`
	Revision Revision `json:"revision"`
}

// Swap describes a compare-and-swap. The key must be at Expect (zero: absent).
type Swap struct {
	Key    string   `json:"key"`
	Expect Revision `json:"expect"`
	Value  []byte   `json:"value,omitempty"`
	Delete bool     `json:"delete,omitempty"`
	// Lease, when not zero, deletes the key once the lease ends.
	Lease LeaseID `json:"lease,omitempty"`
}

// Store is the key-value service. Errors wrap one of the package's errors and
// carry the step and the peer. Implementations are safe for concurrent use.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap returns the new revision. After ErrUnavailable the effect
	// is unknown and the caller settles it by reading back.
	CompareAndSwap(ctx context.Context, swap Swap) (Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until the prefix has changes after the revision and returns
	// them in order with the revision up to which they are complete. It returns
	// an empty list when the service ends the wait first.
	Watch(ctx context.Context, prefix string, after Revision) ([]Change, Revision, error)
}
