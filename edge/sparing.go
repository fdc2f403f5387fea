package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/outage"
)

// errHeldBack reports a call that was not made because the store is away.
var errHeldBack = errors.New("the store is away, the call was not made")

// sparingStore makes few calls while the store is away. Calls that are held back go
// on as soon as any call is answered, or fail when their time is over.
type sparingStore struct {
	store store.Transactor
	clock clock.Clock
	mu    sync.Mutex
	gate  outage.Gate
	// back is closed when the store answers again.
	back chan struct{}
}

func newSparingStore(s store.Transactor, c clock.Clock) *sparingStore {
	return &sparingStore{store: s, clock: c, back: make(chan struct{})}
}

// away reports that the store counts as away.
func (s *sparingStore) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Away()
}

// admit waits until a call may be made.
func (s *sparingStore) admit(ctx context.Context, renewal bool) error {
	for {
		s.mu.Lock()
		ok, wait := s.gate.Admit(s.clock(), renewal)
		back := s.back
		s.mu.Unlock()
		if ok {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return eris.Wrap(errors.Join(store.ErrUnavailable, errHeldBack), "wait for the store")
		case <-back:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// note takes the outcome of a call. One that its caller gave up says nothing.
func (s *sparingStore) note(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !errors.Is(err, store.ErrUnavailable):
		if s.gate.Answered() {
			close(s.back)
			s.back = make(chan struct{})
		}
	case !errors.Is(ctx.Err(), context.Canceled):
		s.gate.Failed(s.clock())
	}
}

// do makes a call when it is admitted.
func (s *sparingStore) do(ctx context.Context, renewal bool, call func() error) error {
	if err := s.admit(ctx, renewal); err != nil {
		return err
	}
	err := call()
	s.note(ctx, err)
	return err
}

// Get implements store.Store.
func (s *sparingStore) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.do(ctx, false, func() error { entry, err = s.store.Get(ctx, key); return err })
	return entry, err
}

// List implements store.Store.
func (s *sparingStore) List(ctx context.Context, prefix string) (listing store.Listing, err error) {
	err = s.do(ctx, false, func() error { listing, err = s.store.List(ctx, prefix); return err })
	return listing, err
}

// CompareAndSwap implements store.Store.
func (s *sparingStore) CompareAndSwap(ctx context.Context, swap store.Swap) (revision store.Revision, err error) {
	err = s.do(ctx, false, func() error { revision, err = s.store.CompareAndSwap(ctx, swap); return err })
	return revision, err
}

// Grant implements store.Store.
func (s *sparingStore) Grant(ctx context.Context, ttl time.Duration) (lease store.LeaseID, err error) {
	err = s.do(ctx, false, func() error { lease, err = s.store.Grant(ctx, ttl); return err })
	return lease, err
}

// KeepAlive implements store.Store.
func (s *sparingStore) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	return s.do(ctx, true, func() error { return s.store.KeepAlive(ctx, lease) })
}

// Revoke implements store.Store.
func (s *sparingStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	return s.do(ctx, false, func() error { return s.store.Revoke(ctx, lease) })
}

// Watch implements store.Store.
func (s *sparingStore) Watch(ctx context.Context, prefix string, after store.Revision) (changes []store.Change, revision store.Revision, err error) {
	err = s.do(ctx, false, func() error { changes, revision, err = s.store.Watch(ctx, prefix, after); return err })
	return changes, revision, err
}

// Transact implements store.Transactor.
func (s *sparingStore) Transact(ctx context.Context, t store.Transaction) (revision store.Revision, err error) {
	err = s.do(ctx, false, func() error { revision, err = s.store.Transact(ctx, t); return err })
	return revision, err
}

// WatchFor implements store.Transactor.
func (s *sparingStore) WatchFor(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (changes []store.Change, revision store.Revision, err error) {
	err = s.do(ctx, false, func() error {
		changes, revision, err = s.store.WatchFor(ctx, prefix, after, wait)
		return err
	})
	return changes, revision, err
}
