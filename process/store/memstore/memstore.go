// Package memstore implements the platform's key-value service and list of
// instances in memory, for tests and stand-ins. It can inject the faults of the real
// service. It retains only the latest change of each key, so a watch from an old
// revision reports every changed key once.
package memstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/store"
)

// defaultWatchWait is the time after which a watch without changes returns.
const defaultWatchWait = 10 * time.Second

// Config configures a Store.
type Config struct {
	// Clock determines the expiry of leases and the lag of the list of instances.
	// Nil means the system clock.
	Clock clock.Clock
	// WatchWait is the time after which a watch without changes returns. Zero means
	// 10 s.
	WatchWait time.Duration
	// Rand decides which responses are lost. Nil means a generator with a fixed seed.
	Rand *rand.Rand
}

// Store holds keys, leases and the list of instances. It implements store.Store
// and platform.Instances, and is safe for concurrent use.
type Store struct {
	clock     clock.Clock
	watchWait time.Duration

	mu struct {
		sync.Mutex
		rand     *rand.Rand
		revision store.Revision
		// latest holds the latest change of each key, including deletions.
		latest map[string]store.Change
		// stale and staleRevision are what reads and watches see while the
		// StaleReads fault is set.
		stale         map[string]store.Change
		staleRevision store.Revision
		leases        map[store.LeaseID]lease
		lastLease     store.LeaseID
		// changed is closed and replaced whenever waiting watches must poll again.
		changed   chan struct{}
		faults    Faults
		counts    Counts
		instances instanceHistory
	}
}

type lease struct {
	ttl    time.Duration
	expiry time.Duration
}

// New returns an empty store.
func New(cfg Config) *Store {
	s := &Store{clock: cfg.Clock, watchWait: cfg.WatchWait}
	if s.clock == nil {
		s.clock = clock.System()
	}
	if s.watchWait == 0 {
		s.watchWait = defaultWatchWait
	}
	s.mu.rand = cfg.Rand
	if s.mu.rand == nil {
		s.mu.rand = rand.New(rand.NewPCG(1, 1))
	}
	s.mu.latest = make(map[string]store.Change)
	s.mu.leases = make(map[store.LeaseID]lease)
	s.mu.changed = make(chan struct{})
	return s
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	return runCall(ctx, s, callGet, key, func() (store.Entry, error) {
		change, found := s.visibleChanges()[key]
		if !found || change.Deleted {
			return store.Entry{}, eris.Wrapf(store.ErrNotFound, "get %s", key)
		}
		return change.Entry, nil
	})
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (store.Listing, error) {
	return runCall(ctx, s, callList, prefix, func() (store.Listing, error) {
		listing := store.Listing{Revision: s.visibleRevision()}
		for key, change := range s.visibleChanges() {
			if strings.HasPrefix(key, prefix) && !change.Deleted {
				listing.Entries = append(listing.Entries, change.Entry)
			}
		}
		slices.SortFunc(listing.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
		return listing, nil
	})
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, swap store.Swap) (store.Revision, error) {
	return runCall(ctx, s, callSwap, swap.Key, func() (store.Revision, error) { return s.swap(swap) })
}

// swap performs a compare-and-swap. The caller holds s.mu.
func (s *Store) swap(swap store.Swap) (store.Revision, error) {
	if len(swap.Value) > store.MaxValueBytes {
		return 0, eris.Wrapf(store.ErrTooLarge, "swap %s", swap.Key)
	}
	if swap.Lease != 0 {
		if _, found := s.mu.leases[swap.Lease]; !found {
			return 0, eris.Wrapf(store.ErrLeaseExpired, "swap %s", swap.Key)
		}
	}
	current, found := s.mu.latest[swap.Key]
	if !found || current.Deleted {
		current.Revision = 0
	}
	if current.Revision != swap.Expect {
		return 0, eris.Wrapf(store.ErrConflict, "swap %s", swap.Key)
	}
	if swap.Delete && swap.Expect == 0 {
		return 0, eris.Wrapf(store.ErrNotFound, "delete %s", swap.Key)
	}
	entry := store.Entry{Key: swap.Key}
	if !swap.Delete {
		entry.Value = slices.Clone(swap.Value)
		entry.Lease = swap.Lease
	}
	return s.record(store.Change{Entry: entry, Deleted: swap.Delete}), nil
}

// record stores a change at the next revision. The caller holds s.mu.
func (s *Store) record(change store.Change) store.Revision {
	s.mu.revision++
	change.Revision = s.mu.revision
	s.mu.latest[change.Key] = change
	s.wakeWatches()
	return change.Revision
}

// wakeWatches makes all waiting watches poll again. The caller holds s.mu.
func (s *Store) wakeWatches() {
	close(s.mu.changed)
	s.mu.changed = make(chan struct{})
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision) ([]store.Change, store.Revision, error) {
	if err := s.beginCall(ctx, callWatch, prefix); err != nil {
		return nil, 0, err
	}
	deadline := s.clock() + s.watchWait
	for {
		result := s.poll(prefix, after)
		switch {
		case result.down:
			return nil, 0, eris.Wrapf(store.ErrUnavailable, "watch %s", prefix)
		case result.discarded:
			return nil, 0, eris.Wrapf(store.ErrHistoryDiscarded, "watch %s after %s", prefix, after)
		case len(result.changes) > 0 || result.now >= deadline:
			return result.changes, result.revision, nil
		}
		if err := s.waitForChange(ctx, result, deadline); err != nil {
			return nil, 0, eris.Wrapf(store.ErrUnavailable, "watch %s: %v", prefix, err)
		}
	}
}

// watchPoll is what a watch sees when it polls the store.
type watchPoll struct {
	now      time.Duration
	changes  []store.Change
	revision store.Revision
	// changed is closed when the watch must poll again.
	changed <-chan struct{}
	// expiry is when the next lease expires, at most one WatchWait after now.
	expiry time.Duration
	down   bool
	// discarded says that the revision is from before a restore.
	discarded bool
}

// poll expires leases and returns the changes under prefix after the revision.
func (s *Store) poll(prefix string, after store.Revision) watchPoll {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.expireLeases(now)
	result := watchPoll{now: now, revision: max(after, s.visibleRevision()), changed: s.mu.changed, down: s.mu.faults.Down}
	for key, change := range s.visibleChanges() {
		if change.Revision > after && strings.HasPrefix(key, prefix) {
			result.changes = append(result.changes, change)
		}
	}
	slices.SortFunc(result.changes, func(a, b store.Change) int { return int(a.Revision) - int(b.Revision) })
	result.discarded = after != 0 && after.Era() != s.mu.revision.Era()
	result.expiry = now + s.watchWait
	for _, l := range s.mu.leases {
		result.expiry = min(result.expiry, l.expiry)
	}
	return result
}

// waitForChange waits until the store changes, a lease expires or the deadline of the
// watch passes.
func (s *Store) waitForChange(ctx context.Context, polled watchPoll, deadline time.Duration) error {
	timer := time.NewTimer(min(polled.expiry, deadline) - polled.now)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-polled.changed:
	case <-timer.C:
	}
	return nil
}
