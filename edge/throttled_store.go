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
	"samphirehitch.example/samphirehitch/process/upkeep"
)

// errThrottled reports a call that was not made because the store is unavailable.
var errThrottled = errors.New("call not made while the store is unavailable")

// throttledStore limits the calls to the store while it is unavailable. Calls that have
// to wait are made as soon as the store responds to any other call, and fail when their
// context is done first. It is safe for concurrent use.
type throttledStore struct {
	store store.Transactor
	clock clock.Clock
	// probeInterval returns the interval between calls, other than renewals, while the
	// store is unavailable.
	probeInterval func() time.Duration
	// mu guards the fields below.
	mu      sync.Mutex
	breaker outage.Breaker
	// recovered is closed, and replaced, when the store responds again.
	recovered chan struct{}
}

func newThrottledStore(t store.Transactor, c clock.Clock) *throttledStore {
	return &throttledStore{store: t, clock: c, recovered: make(chan struct{}),
		probeInterval: func() time.Duration { return upkeep.For(upkeep.Using).ProbeInterval }}
}

// unavailable reports whether the store counts as unavailable.
func (t *throttledStore) unavailable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.breaker.Unavailable()
}

// admit waits until a call may be made. Renewals of leases need not wait.
func (t *throttledStore) admit(ctx context.Context, renewal bool) error {
	for {
		probeInterval := t.probeInterval()
		t.mu.Lock()
		ok, wait := t.breaker.Allow(t.clock(), probeInterval, renewal)
		recovered := t.recovered
		t.mu.Unlock()
		if ok {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return eris.Wrap(errors.Join(store.ErrUnavailable, errThrottled), "wait for the store")
		case <-recovered:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// observe records the outcome of a call. A call that its caller canceled is no evidence
// of a failure of the store.
func (t *throttledStore) observe(ctx context.Context, err error) {
	probeInterval := t.probeInterval()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !errors.Is(err, store.ErrUnavailable):
		if t.breaker.RecordResponse() {
			close(t.recovered)
			t.recovered = make(chan struct{})
		}
	case !errors.Is(ctx.Err(), context.Canceled):
		t.breaker.RecordFailure(t.clock(), probeInterval)
	}
}

// throttle makes a call once it is admitted, and records its outcome.
func (t *throttledStore) throttle(ctx context.Context, renewal bool, call func() error) error {
	if err := t.admit(ctx, renewal); err != nil {
		return err
	}
	err := call()
	t.observe(ctx, err)
	return err
}

// Get implements store.Store.
func (t *throttledStore) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = t.throttle(ctx, false, func() error { entry, err = t.store.Get(ctx, key); return err })
	return entry, err
}

// List implements store.Store.
func (t *throttledStore) List(ctx context.Context, prefix string) (listing store.Listing, err error) {
	err = t.throttle(ctx, false, func() error { listing, err = t.store.List(ctx, prefix); return err })
	return listing, err
}

// CompareAndSwap implements store.Store.
func (t *throttledStore) CompareAndSwap(ctx context.Context, swap store.Swap) (revision store.Revision, err error) {
	err = t.throttle(ctx, false, func() error { revision, err = t.store.CompareAndSwap(ctx, swap); return err })
	return revision, err
}

// Grant implements store.Store.
func (t *throttledStore) Grant(ctx context.Context, ttl time.Duration) (lease store.LeaseID, err error) {
	err = t.throttle(ctx, false, func() error { lease, err = t.store.Grant(ctx, ttl); return err })
	return lease, err
}

// KeepAlive implements store.Store.
func (t *throttledStore) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	return t.throttle(ctx, true, func() error { return t.store.KeepAlive(ctx, lease) })
}

// Revoke implements store.Store.
func (t *throttledStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	return t.throttle(ctx, false, func() error { return t.store.Revoke(ctx, lease) })
}

// Watch implements store.Store.
func (t *throttledStore) Watch(ctx context.Context, prefix string, after store.Revision) (changes []store.Change, revision store.Revision, err error) {
	err = t.throttle(ctx, false, func() error { changes, revision, err = t.store.Watch(ctx, prefix, after); return err })
	return changes, revision, err
}

// Transact implements store.Transactor.
func (t *throttledStore) Transact(ctx context.Context, transaction store.Transaction) (revision store.Revision, err error) {
	err = t.throttle(ctx, false, func() error { revision, err = t.store.Transact(ctx, transaction); return err })
	return revision, err
}

// WatchFor implements store.Transactor.
func (t *throttledStore) WatchFor(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (changes []store.Change, revision store.Revision, err error) {
	err = t.throttle(ctx, false, func() error {
		changes, revision, err = t.store.WatchFor(ctx, prefix, after, wait)
		return err
	})
	return changes, revision, err
}
