package edge

import (
	"context"
	"errors"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/store"
)

var (
	eventStoreUnavailable      = event.Define(2100, event.Warning, "store unavailable")
	eventStoreAvailable        = event.Define(2101, event.Info, "store available again")
	eventWatchHistoryDiscarded = event.Define(2102, event.Warning, "store discarded the history that the watch needs, listing all keys")
	eventConfigApplied         = event.Define(2103, event.Info, "configuration applied")
	eventConfigUnreadable      = event.Define(2104, event.Failure, "cannot read configuration, the previous one stays in force")
	eventEntryUnreadable       = event.Define(2105, event.Warning, "cannot decode entry of the store, it is ignored")
	eventTargetsChanged        = event.Define(2106, event.Info, "targets changed")
	eventPeerConfig            = event.Define(2107, event.Info, "configuration received from a peer")
	eventRecordChanged         = event.Define(4100, event.Info, "record of a primary changed")
)

// Intervals and timeouts of calls to the store.
const (
	// primaryUserConfirmInterval is the interval between confirmations of an instance
	// that uses primaries. Several fit into the duration of its authority, so that a
	// single lost confirmation has no effect.
	primaryUserConfirmInterval = 1400 * time.Millisecond
	// confirmTimeout bounds a confirmation or a renewal. A store slowed down by a factor
	// of 60 responds in 240 ms, and two more attempts fit into the duration of the
	// authority.
	confirmTimeout = 500 * time.Millisecond
	// forwardingConfirmInterval is the interval between confirmations of an instance that
	// forwards all requests. Responses announce new configurations, and it confirms the
	// configuration before it refuses a request itself.
	forwardingConfirmInterval = 10 * time.Second
	// callTimeout bounds any other call. The store responds within 4 ms, and within 60
	// times that when it is slow.
	callTimeout = 900 * time.Millisecond
	// maxWatchWait is how long a watch waits for changes.
	maxWatchWait = 10 * time.Second
	// relistInterval is the interval between listings of the targets. They find changes
	// that a watch has missed well within the time that a target takes to drain.
	relistInterval = 4 * time.Second
	// minRetryInterval and maxRetryInterval bound the wait after failed calls, which
	// doubles with each in a row: each call has a price, and authority lasts for seconds.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 250 * time.Millisecond
	// maxExpectations is the number of keys that one transaction may name.
	maxExpectations = 30
)

// backoff computes the waits between the attempts of a call that fails.
type backoff struct{ failures int }

// wait waits before the next attempt, longer after each failure in a row.
func (b *backoff) wait(ctx context.Context) {
	wait := min(minRetryInterval<<min(b.failures, 8), maxRetryInterval)
	b.failures++
	sleep(ctx, wait)
}

func (b *backoff) reset() { b.failures = 0 }

// watchLoop keeps the mirror up to date until the context is done: it lists the store
// once, and again when the watch has to start over, and then watches for changes.
func (d *Daemon) watchLoop(ctx context.Context) error {
	var after store.Revision
	var retry backoff
	loaded, partial := false, false
	for ctx.Err() == nil {
		if !loaded {
			revision, err := d.loadMirror(ctx)
			if err != nil {
				d.storeFailed("list", err)
				retry.wait(ctx)
				continue
			}
			after, loaded = revision, true
		}
		prefix := d.watchedPrefix()
		if prefix == "" && partial {
			partial, loaded = false, false
			continue
		}
		partial = prefix != ""
		changes, asOf, err := d.watchUntilRoleChange(ctx, prefix, after)
		switch {
		case err == nil && asOf == 0: // the instance's role has changed
		case errors.Is(err, store.ErrHistoryDiscarded):
			eventWatchHistoryDiscarded.Log(d.log, "after", after)
			loaded = false
		case err != nil:
			d.storeFailed("watch", err)
			retry.wait(ctx)
		default:
			retry.reset()
			after = max(after, asOf)
			d.applyWatch(prefix, changes, after)
			minWait, maxWait := d.batchInterval(changes)
			d.waitForBatch(ctx, minWait, maxWait)
		}
	}
	return nil
}

// applyWatch applies the changes that a watch of a prefix has returned, up to a
// revision. Only a watch of all keys proves that the whole mirror is complete up to the
// revision.
func (d *Daemon) applyWatch(prefix string, changes []store.Change, revision store.Revision) {
	d.applyChanges(changes)
	if prefix == "" {
		d.advanceMirror(revision)
	}
}

// watchedPrefix returns the prefix that this instance watches, empty for all keys. An
// instance that runs no statements only needs the registrations; it learns of new
// configurations from responses.
func (d *Daemon) watchedPrefix() string {
	if d.forwardsOnly() {
		return prefixInstances
	}
	return ""
}

// forwardsOnly reports whether this instance forwards all requests to others. It does
// once the configuration is known, unless it has used a primary.
func (d *Daemon) forwardsOnly() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.usedServices) == 0 && d.engine.Catalog() != nil
}

// watchUntilRoleChange watches a prefix. If the watch is interrupted because the
// instance's role has changed, it returns revision zero without an error.
func (d *Daemon) watchUntilRoleChange(ctx context.Context, prefix string, after store.Revision) ([]store.Change, store.Revision, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan bool, 1)
	go func() {
		select {
		case <-d.roleWake:
			changed <- true
			cancel()
		case <-watchCtx.Done():
			changed <- false
		}
	}()
	changes, asOf, err := d.store.WatchFor(store.WithPurpose(watchCtx, purposeWatch), prefix, after, maxWatchWait)
	cancel()
	if <-changed && err != nil {
		return nil, 0, nil
	}
	return changes, asOf, err
}

// waitForBatch waits before the next watch, so that changes are received in batches. It
// waits for at least minWait, and up to maxWait unless the owners may have changed. A
// change of the instance's role interrupts the wait.
func (d *Daemon) waitForBatch(ctx context.Context, minWait, maxWait time.Duration) {
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-d.roleWake:
		return
	case <-timer.C:
	}
	timer.Reset(maxWait - minWait)
	select {
	case <-ctx.Done():
	case <-d.roleWake:
	case <-d.ownerWake:
	case <-timer.C:
	}
}

// Waits between watches, in which changes are collected into batches. An instance that
// neither leads nor uses primaries need not receive every change immediately; in a large
// fleet, each change would otherwise cost a call by every instance.
const (
	// shortBatchInterval applies after any other changes.
	shortBatchInterval = 10 * time.Millisecond
	// configBatchInterval applies after changes of only the configuration or
	// registrations, which come in quick succession and have seconds to take effect.
	configBatchInterval = 150 * time.Millisecond
	// minForwardingBatchInterval applies to a forwarding instance when an owner has
	// declined a request or disconnected.
	minForwardingBatchInterval = 300 * time.Millisecond
	// maxForwardingBatchInterval applies to a forwarding instance otherwise: most
	// registrations that change are those of other forwarding instances.
	maxForwardingBatchInterval = 2 * time.Second
)

// batchInterval returns the minimum and maximum wait before the next watch, after the
// changes that the last one returned.
func (d *Daemon) batchInterval(changes []store.Change) (minWait, maxWait time.Duration) {
	d.mu.Lock()
	forwards := len(d.declaredServices) == 0 && string(d.mirror.Get(keyLeadership).Value) != d.leadershipValue()
	d.mu.Unlock()
	if forwards {
		return minForwardingBatchInterval, maxForwardingBatchInterval
	}
	for _, change := range changes {
		if change.Key != d.adapter.ConfigurationKey && !strings.HasPrefix(change.Key, prefixInstances) {
			return shortBatchInterval, shortBatchInterval
		}
	}
	return configBatchInterval, configBatchInterval
}

// loadMirror lists all keys into the mirror and returns the listing's revision.
func (d *Daemon) loadMirror(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	listing, err := d.store.List(store.WithPurpose(ctx, purposeLoad), "")
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	changed := d.mirror.Replace("", listing)
	d.mirrorLoaded, d.mirroredUntil = true, max(d.mirroredUntil, listing.Revision)
	d.mu.Unlock()
	d.handleChangedKeys(changed)
	d.wakeConfirm()
	return listing.Revision, nil
}

// relistTargets lists the targets periodically, to find changes that the watch has
// missed.
func (d *Daemon) relistTargets(ctx context.Context) error {
	for sleep(ctx, relistInterval) {
		if len(d.declaredUsage()) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		listing, err := d.store.List(store.WithPurpose(callCtx, purposeRelist), d.adapter.TargetPrefix)
		cancel()
		if err != nil {
			d.storeFailed("list targets", err)
			continue
		}
		d.mu.Lock()
		changed := d.mirror.Replace(d.adapter.TargetPrefix, listing)
		d.mu.Unlock()
		d.handleChangedKeys(changed)
	}
	return nil
}

// advanceMirror records that the mirror holds every change up to a revision.
func (d *Daemon) advanceMirror(revision store.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mirroredUntil = max(d.mirroredUntil, revision)
}
