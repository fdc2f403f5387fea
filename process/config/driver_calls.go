package config

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"samphirehitch.example/samphirehitch/process/store"
)

// Timeouts of the calls to the store.
const (
	listTimeout  = 15 * time.Second
	watchTimeout = 60 * time.Second
	swapTimeout  = 3 * time.Second
)

// call runs a store call on a goroutine of its own and delivers its outcome to
// the mailbox. The returned function cancels the call.
func (d *Driver) call(ctx context.Context, timeout time.Duration, run func(ctx context.Context) input) context.CancelFunc {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	d.storeCalls.Add(1)
	d.calls.Go(func() {
		defer cancel()
		outcome := run(callCtx)
		select {
		case d.mailbox <- outcome:
		case <-ctx.Done():
		}
	})
	return cancel
}

func (d *Driver) list(ctx context.Context) {
	d.call(ctx, listTimeout, func(ctx context.Context) input {
		listing, err := d.store.List(ctx, Prefix)
		return input{event: ListDone{Listing: listing, Err: eris.Wrap(err, "list configuration")}}
	})
}

// watch starts a watch call under a new generation.
func (d *Driver) watch(ctx context.Context, after store.Revision) {
	d.watchGeneration++
	generation := d.watchGeneration
	d.cancelWatch = d.call(ctx, watchTimeout, func(ctx context.Context) input {
		changes, complete, err := d.store.Watch(ctx, Prefix, after)
		event := WatchDone{Changes: changes, CompleteRevision: complete, Err: eris.Wrap(err, "watch configuration")}
		return input{event: event, watchGeneration: generation}
	})
}

// stopWatch cancels the watch call. An outcome that is already in the mailbox
// is dropped, since its generation has passed.
func (d *Driver) stopWatch() {
	d.watchGeneration++
	d.cancelWatch()
}

// swap writes a heartbeat. After a conflict it reads the key's current
// revision, which the next write has to expect.
func (d *Driver) swap(ctx context.Context, swap store.Swap) {
	d.call(ctx, swapTimeout, func(ctx context.Context) input {
		revision, err := d.store.CompareAndSwap(ctx, swap)
		event := SwapDone{Revision: revision, Err: eris.Wrap(err, "write configuration heartbeat")}
		if errors.Is(err, store.ErrConflict) {
			d.storeCalls.Add(1)
			entry, err := d.store.Get(ctx, swap.Key)
			event.Conflict = err == nil || errors.Is(err, store.ErrNotFound)
			event.CurrentRevision = entry.Revision
		}
		return input{event: event}
	})
}

// logOutcome logs the outcome of a store call when the store's availability
// changed with it.
func (d *Driver) logOutcome(next Event) {
	switch next := next.(type) {
	case ListDone:
		d.logStoreAvailability(next.Err)
	case WatchDone:
		d.logStoreAvailability(next.Err)
	case SwapDone:
		d.logStoreAvailability(next.Err)
	}
}

// logStoreAvailability logs when calls to the store begin to fail and when they
// succeed again.
func (d *Driver) logStoreAvailability(err error) {
	unavailable := err != nil && !errors.Is(err, store.ErrConflict)
	if unavailable == d.storeUnavailable {
		return
	}
	d.storeUnavailable = unavailable
	if unavailable {
		eventStoreUnavailable.LogError(d.logger, err)
		return
	}
	eventStoreAvailable.Log(d.logger)
}
