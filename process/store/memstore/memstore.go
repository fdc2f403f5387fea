// Package memstore is an in-memory twin of the platform's key-value service, for
// tests and stand-ins. It can be told to fail in the ways the service fails. It
// keeps the latest change of each key only: a watch that asks from an old
// revision sees every changed key once.
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

// defaultWatchWait is how long a watch waits before it ends without changes.
const defaultWatchWait = 10 * time.Second

// Config sets up a Store.
type Config struct {
	// Clock judges leases and the instance list's lag. Nil means the system's.
	Clock clock.Clock
	// WatchWait is how long a watch waits for a change. Zero means 10 s.
	WatchWait time.Duration
	// Rand decides which answers are lost. Nil means a fixed seed.
	Rand *rand.Rand
}

// Store holds keys, leases and the list of instances. It implements store.Store
// and platform.Instances.
type Store struct {
	clock     clock.Clock
	watchWait time.Duration

	mu struct {
		sync.Mutex
		rand     *rand.Rand
		revision store.Revision
		latest   map[string]store.Change
		// stale is what reads see while the stale-reads fault is on.
		stale         map[string]store.Change
		staleRevision store.Revision
		leases        map[store.LeaseID]lease
		lastLease     store.LeaseID
		// changed is closed, and replaced, whenever a waiting watch must look again.
		changed   chan struct{}
		faults    Faults
		counts    Counts
		instances instanceLog
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
	return answer(ctx, s, callGet, key, func() (store.Entry, error) {
		change, found := s.readable()[key]
		if !found || change.Deleted {
			return store.Entry{}, eris.Wrapf(store.ErrNotFound, "get %s", key)
		}
		return change.Entry, nil
	})
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (store.Listing, error) {
	return answer(ctx, s, callList, prefix, func() (store.Listing, error) {
		listing := store.Listing{Revision: s.readableRevision()}
		for key, change := range s.readable() {
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
	return answer(ctx, s, callSwap, swap.Key, func() (store.Revision, error) { return s.swap(swap) })
}

func (s *Store) swap(swap store.Swap) (store.Revision, error) {
	if len(swap.Value) > store.MaxValueBytes {
		return 0, eris.Wrapf(store.ErrTooLarge, "swap %s", swap.Key)
	}
	if swap.Lease != 0 {
		if _, held := s.mu.leases[swap.Lease]; !held {
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

func (s *Store) record(change store.Change) store.Revision {
	s.mu.revision++
	change.Revision = s.mu.revision
	s.mu.latest[change.Key] = change
	s.wake()
	return change.Revision
}

func (s *Store) wake() {
	close(s.mu.changed)
	s.mu.changed = make(chan struct{})
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision) ([]store.Change, store.Revision, error) {
	if err := s.enter(ctx, callWatch, prefix); err != nil {
		return nil, 0, err
	}
	end := s.clock() + s.watchWait
	for {
		result := s.look(prefix, after)
		switch {
		case result.down:
			return nil, 0, eris.Wrapf(store.ErrUnavailable, "watch %s", prefix)
		case len(result.changes) > 0 || result.now >= end:
			return result.changes, result.revision, nil
		}
		if err := s.await(ctx, result, end); err != nil {
			return nil, 0, eris.Wrapf(store.ErrUnavailable, "watch %s: %v", prefix, err)
		}
	}
}

// glance is what a watch sees at one moment.
type glance struct {
	now      time.Duration
	changes  []store.Change
	revision store.Revision
	changed  <-chan struct{}
	expiry   time.Duration
	down     bool
}

func (s *Store) look(prefix string, after store.Revision) glance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.expire(now)
	result := glance{now: now, revision: max(after, s.readableRevision()), changed: s.mu.changed, down: s.mu.faults.Down}
	for key, change := range s.readable() {
		if change.Revision > after && strings.HasPrefix(key, prefix) {
			result.changes = append(result.changes, change)
		}
	}
	slices.SortFunc(result.changes, func(a, b store.Change) int { return int(a.Revision) - int(b.Revision) })
	result.expiry = now + s.watchWait
	for _, held := range s.mu.leases {
		result.expiry = min(result.expiry, held.expiry)
	}
	return result
}

func (s *Store) await(ctx context.Context, seen glance, end time.Duration) error {
	timer := time.NewTimer(min(seen.expiry, end) - seen.now)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-seen.changed:
	case <-timer.C:
	}
	return nil
}
