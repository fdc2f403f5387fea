package edge

import (
	"context"
	"errors"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
)

var (
	eventStoreUnavailable      = event.Define(2100, event.Warning, "store unavailable")
	eventStoreAvailable        = event.Define(2101, event.Info, "store available again")
	eventWatchHistoryDiscarded = event.Define(2102, event.Warning, "store discarded the history that the watch needs, listing all keys")
	eventRecordChanged         = event.Define(4100, event.Info, "record of a primary changed")
)

// Intervals and timeouts of calls to the store.
const (
	// confirmTimeout bounds a confirmation or a renewal. A store slowed down by a factor
	// of 60 responds in 240 ms, and two more attempts fit into the duration of the
	// authority.
	confirmTimeout = 500 * time.Millisecond
	// watchWait is how long a watch waits for changes.
	watchWait = 10 * time.Second
	// callTimeout bounds any other call. The store responds within 4 ms, and within 60
	// times that when it is slow.
	callTimeout = 900 * time.Millisecond
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

// watchLoop keeps the mirror up to date until the context is done. It lists the store once,
// and again when the watch has to start over, and then watches for changes. A forwarding
// instance follows a peer instead, and lists the store only when no peer answers.
func (d *Daemon) watchLoop(ctx context.Context) error {
	var after store.Revision
	var retry backoff
	loaded := false
	var batches batching
	for ctx.Err() == nil {
		if d.isMirrorLoaded() && d.forwardsOnly() {
			loaded = false
			if d.followPeers(ctx); ctx.Err() == nil && d.forwardsOnly() {
				d.readForFollower(ctx)
			}
			continue
		}
		if !loaded {
			revision, err := d.loadMirror(ctx)
			if err != nil {
				d.storeFailed("list", err)
				retry.wait(ctx)
				continue
			}
			after, loaded = revision, true
			continue
		}
		changes, asOf, err := d.watchUntilRoleChange(ctx, after)
		switch {
		case err == nil && asOf == 0: // the instance's role has changed
		case errors.Is(err, store.ErrHistoryDiscarded):
			eventWatchHistoryDiscarded.Log(d.log, "after", after.String())
			loaded = false
		case err != nil:
			d.storeFailed("watch", err)
			retry.wait(ctx)
		default:
			retry.reset()
			after = max(after, asOf)
			d.applyChanges(changes)
			d.advanceMirror(after)
			d.waitForBatch(ctx, batches.interval(d.clock(), d.batchInterval(changes)))
		}
	}
	return nil
}

// readForFollower lists the store for a forwarding instance that no peer answers.
func (d *Daemon) readForFollower(ctx context.Context) {
	_, err := d.loadMirror(ctx)
	if err == nil {
		return
	}
	d.storeFailed("list", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follower.ReadFailed(d.clock())
}

// forwardsOnly reports whether this instance forwards all requests to others. It does
// once the configuration is known, unless it has used a primary.
func (d *Daemon) forwardsOnly() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.usedServices) == 0 && d.engine.Catalog() != nil
}

// watchUntilRoleChange watches all keys. If the watch is interrupted because the
// instance's role has changed, it returns revision zero without an error.
func (d *Daemon) watchUntilRoleChange(ctx context.Context, after store.Revision) ([]store.Change, store.Revision, error) {
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
	changes, asOf, err := d.store.WatchFor(store.WithPurpose(watchCtx, purposeWatch), "", after, watchWait)
	cancel()
	if <-changed && err != nil {
		return nil, 0, nil
	}
	return changes, asOf, err
}

// waitForBatch waits before the next watch, so that changes are received in batches. A
// change of the instance's role interrupts the wait.
func (d *Daemon) waitForBatch(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.roleWake:
	case <-timer.C:
	}
}

// Waits between watches, in which changes are collected into batches.
const (
	// shortBatchInterval applies after any other changes. It doubles with each batch that
	// follows closely, up to maxShortBatchInterval: when many primaries are replaced at
	// once, or a fleet starts, there are hundreds of changes in a second.
	shortBatchInterval    = 10 * time.Millisecond
	maxShortBatchInterval = 80 * time.Millisecond
	// configBatchInterval applies after changes of only the configuration or
	// registrations, which come in quick succession and have seconds to take effect.
	configBatchInterval = 150 * time.Millisecond
	// startBatchInterval applies to an instance without a configuration, which is not
	// needed yet: the whole fleet is starting.
	startBatchInterval = 500 * time.Millisecond
)

// batching lengthens the waits after batches of changes that follow each other closely.
type batching struct {
	// wait is the last wait, which began at since.
	wait, since time.Duration
}

// interval returns the wait after a batch that arrived at now, given the shortest one.
func (b *batching) interval(now, shortest time.Duration) time.Duration {
	closely := now-b.since < 2*b.wait+maxShortBatchInterval
	wait := shortest
	if closely && shortest < maxShortBatchInterval {
		wait = min(max(2*b.wait, shortest), maxShortBatchInterval)
	}
	b.wait, b.since = wait, now
	return wait
}

// batchInterval returns the shortest wait before the next watch, after the changes that the last
// one returned.
func (d *Daemon) batchInterval(changes []store.Change) time.Duration {
	if d.engine.Catalog() == nil {
		return startBatchInterval
	}
	for _, change := range changes {
		if change.Key != d.adapter.ConfigurationKey && !strings.HasPrefix(change.Key, prefixInstances) {
			return shortBatchInterval
		}
	}
	return configBatchInterval
}

// loadMirror lists all keys into the mirror and returns the listing's revision. The listing
// also confirms the configuration and the records that it contains.
func (d *Daemon) loadMirror(ctx context.Context) (store.Revision, error) {
	requestedAt := d.clock()
	ctx = store.WithPageTimeout(ctx, 3*callTimeout)
	listing, err := d.store.List(store.WithPurpose(ctx, purposeLoad), "")
	if err != nil {
		return 0, err
	}
	d.replaceMirrored("", listing)
	d.mu.Lock()
	if !d.mirrorLoaded {
		for _, key := range []string{instanceKey(d.settings.Instance), usageKey(d.settings.Instance)} {
			d.ownRevisions[key] = d.mirror.Get(key).Revision
		}
	}
	d.mirrorLoaded, d.mirroredUntil = true, max(d.mirroredUntil, listing.Revision)
	d.followedUntil = max(d.followedUntil, listing.Revision)
	d.follower.ReadStore(d.clock())
	d.mu.Unlock()
	d.recordEligibility(ownerCandidates(d.registrations()))
	d.observeListing(requestedAt, listing)
	if d.role() == upkeep.Using {
		d.wakeConfirm()
	}
	return listing.Revision, nil
}

// observeListing records the confirmations by a listing of all keys that was requested at
// requestedAt. The listing reads each key at some later time, so a configuration in force
// that is at least as recent as the listed one was the latest then.
func (d *Daemon) observeListing(requestedAt time.Duration, listing store.Listing) {
	confirmed := false
	records := make(recordRevisions)
	for _, entry := range listing.Entries {
		if entry.Key == d.adapter.ConfigurationKey {
			confirmed = d.isLatest(entry.Revision)
		}
		if service, isRecord := strings.CutPrefix(entry.Key, prefixRecords); isRecord {
			d.confirmRecord(records, topology.ServiceID(service), entry.Revision)
		}
	}
	if confirmed {
		d.authority.ObserveConfirmation(requestedAt, true, records)
	}
}

// relistTargets lists the targets periodically, to find changes that the watch has
// missed.
func (d *Daemon) relistTargets(ctx context.Context) error {
	for sleep(ctx, relistInterval) {
		if len(d.declaredUsage()) == 0 {
			continue
		}
		listing, err := d.store.List(store.WithPurpose(store.WithPageTimeout(ctx, callTimeout), purposeRelist), d.adapter.TargetPrefix)
		if err != nil {
			d.storeFailed("list targets", err)
			continue
		}
		d.replaceMirrored(d.adapter.TargetPrefix, listing)
	}
	return nil
}

// advanceMirror records that the mirror holds every change up to a revision.
func (d *Daemon) advanceMirror(revision store.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mirroredUntil = max(d.mirroredUntil, revision)
}
