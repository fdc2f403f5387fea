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

// call runs a store call on its own goroutine and delivers its outcome.
func (d *Driver) call(ctx context.Context, timeout time.Duration, run func(ctx context.Context) input) context.CancelFunc {
	limited, cancel := context.WithTimeout(ctx, timeout)
	d.storeCalls.Add(1)
	d.calls.Go(func() {
		defer cancel()
		outcome := run(limited)
		select {
		case d.inputs <- outcome:
		case <-ctx.Done():
		}
	})
	return cancel
}

func (d *Driver) list(ctx context.Context) {
	d.call(ctx, listTimeout, func(ctx context.Context) input {
		listing, err := d.store.List(ctx, Prefix)
		return input{event: Listed{Listing: listing, Err: eris.Wrap(err, "list configuration")}}
	})
}

func (d *Driver) watch(ctx context.Context, after store.Revision) {
	d.generation++
	generation := d.generation
	d.cancelWatch = d.call(ctx, watchTimeout, func(ctx context.Context) input {
		changes, complete, err := d.store.Watch(ctx, Prefix, after)
		event := Watched{Changes: changes, Complete: complete, Err: eris.Wrap(err, "watch configuration")}
		return input{event: event, generation: generation}
	})
}

func (d *Driver) stopWatch() {
	d.generation++
	d.cancelWatch()
}

// swap writes a heartbeat. After a conflict it reads the key's revision, against
// which the next one is written.
func (d *Driver) swap(ctx context.Context, swap store.Swap) {
	d.call(ctx, swapTimeout, func(ctx context.Context) input {
		revision, err := d.store.CompareAndSwap(ctx, swap)
		event := Swapped{Revision: revision, Err: eris.Wrap(err, "write configuration heartbeat")}
		if errors.Is(err, store.ErrConflict) {
			d.storeCalls.Add(1)
			entry, err := d.store.Get(ctx, swap.Key)
			event.Conflict = err == nil || errors.Is(err, store.ErrNotFound)
			event.Current = entry.Revision
		}
		return input{event: event}
	})
}

// noteOutcome logs the outcome of a store call when it differs from the last.
func (d *Driver) noteOutcome(next Event) {
	switch next := next.(type) {
	case Listed:
		d.noteStore(next.Err)
	case Watched:
		d.noteStore(next.Err)
	case Swapped:
		d.noteStore(next.Err)
	}
}

// noteStore logs when calls to the store begin to fail or to succeed again.
func (d *Driver) noteStore(err error) {
	unavailable := err != nil && !errors.Is(err, store.ErrConflict)
	if unavailable == d.storeDown {
		return
	}
	d.storeDown = unavailable
	if unavailable {
		eventStoreDown.LogError(d.logger, err)
		return
	}
	eventStoreUp.Log(d.logger)
}
