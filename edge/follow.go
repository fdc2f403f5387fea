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
	eventStoreLost    = event.Define(2100, event.Warning, "store does not answer")
	eventStoreBack    = event.Define(2101, event.Info, "store answers again")
	eventWatchReset   = event.Define(2102, event.Warning, "watch cannot go on, listing anew")
	eventConfigApply  = event.Define(2103, event.Info, "configuration in force")
	eventConfigBroken = event.Define(2104, event.Failure, "configuration cannot be read, the last good one stays")
	eventTargetBroken = event.Define(2105, event.Warning, "target's entry names no target to use")
	eventTargets      = event.Define(2106, event.Info, "targets changed")
	eventConfigTold   = event.Define(2107, event.Info, "configuration told by a peer")
	eventRecord       = event.Define(4100, event.Info, "record of a primary changed")
)

// Times of following the store.
const (
	// usingConfirmInterval is the pause between confirmations of an instance that
	// uses primaries: several fit into the span of a right, so that a single lost
	// one costs nothing.
	usingConfirmInterval = 1400 * time.Millisecond
	// confirmTimeout bounds a confirmation or a renewal: a store slowed 60 times
	// answers in 240 ms, and two more tries fit into the span of a right.
	confirmTimeout = 500 * time.Millisecond
	// relayingConfirmInterval is that of an instance that hands all work to others:
	// answers tell it of new configurations, and a refusal of its own asks the store.
	relayingConfirmInterval = 10 * time.Second
	// callTimeout bounds a call: the store answers within 4 ms, 60 times that on
	// bad days.
	callTimeout = 900 * time.Millisecond
	// watchWait is the longest wait of a watch.
	watchWait = 10 * time.Second
	// relistInterval is the pause between listings of the targets, which find
	// what a watch has missed well within the time to drain.
	relistInterval = 4 * time.Second
	// retryPause is the pause after a failed call, and longestRetryPause that after
	// several in a row: each call costs, and rights last for seconds.
	retryPause        = 100 * time.Millisecond
	longestRetryPause = 250 * time.Millisecond
	// mostExpectations is how many keys one transaction may name.
	mostExpectations = 30
)

// backoff spaces the tries of a call that fails.
type backoff struct{ failures int }

func (b *backoff) pause(ctx context.Context) {
	wait := min(retryPause<<min(b.failures, 8), longestRetryPause)
	b.failures++
	pause(ctx, wait)
}

func (b *backoff) reset() { b.failures = 0 }

// follow watches the store until the context ends.
func (d *Daemon) follow(ctx context.Context) error {
	var after store.Revision
	var retry backoff
	listed, partial := false, false
	for ctx.Err() == nil {
		if !listed {
			revision, err := d.listAll(ctx)
			if err != nil {
				d.storeFailed("list", err)
				retry.pause(ctx)
				continue
			}
			after, listed = revision, true
		}
		prefix := d.followed()
		if prefix == "" && partial {
			partial, listed = false, false
			continue
		}
		partial = prefix != ""
		changes, asOf, err := d.watchUntilRoleChange(ctx, prefix, after)
		switch {
		case err == nil && asOf == 0: // this instance has another role now
		case errors.Is(err, store.ErrHistoryGone):
			eventWatchReset.Log(d.log, "after", after)
			listed = false
		case err != nil:
			d.storeFailed("watch", err)
			retry.pause(ctx)
		default:
			retry.reset()
			after = max(after, asOf)
			d.watched(prefix, changes, after)
			least, most := d.batchPause(changes)
			d.collect(ctx, least, most)
		}
	}
	return nil
}

// watched applies what a watch of a prefix has returned, up to a revision. Only a watch
// of everything vouches for the mirror as a whole.
func (d *Daemon) watched(prefix string, changes []store.Change, until store.Revision) {
	d.apply(changes)
	if prefix == "" {
		d.sawUntil(until)
	}
}

// followed returns the prefix that this instance watches. One that runs no
// statements needs to know the instances only, and learns of configurations from
// answers.
func (d *Daemon) followed() string {
	if d.relaysOnly() {
		return prefixInstances
	}
	return ""
}

// relaysOnly reports that this instance hands all work to others.
func (d *Daemon) relaysOnly() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.uses) == 0 && d.engine.Catalog() != nil
}

// watchUntilRoleChange watches a prefix. It returns no revision when this
// instance's role changes meanwhile.
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
	changes, asOf, err := d.store.WatchFor(watchCtx, prefix, after, watchWait)
	cancel()
	if <-changed && err != nil {
		return nil, 0, nil
	}
	return changes, asOf, err
}

// collect lets changes collect before the next watch: at least for one time, and up to
// another while the homes take work. A new role of this instance ends it.
func (d *Daemon) collect(ctx context.Context, least, most time.Duration) {
	timer := time.NewTimer(least)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-d.roleWake:
		return
	case <-timer.C:
	}
	timer.Reset(most - least)
	select {
	case <-ctx.Done():
	case <-d.roleWake:
	case <-d.homeWake:
	case <-timer.C:
	}
}

// Pauses between watches, in which changes collect: those who neither lead nor use
// primaries need not hear of every change at once, and in a large fleet each
// change would cost a call of every instance.
const (
	briefPause = 10 * time.Millisecond
	// settlingPause follows changes of the configuration or of registrations alone,
	// which come in quick succession and have seconds to take effect.
	settlingPause = 150 * time.Millisecond
	// unsettledPause is that of instances that only relay, once a home has declined
	// work or gone.
	unsettledPause = 300 * time.Millisecond
	// settledPause is theirs otherwise: most registrations that come and go are of
	// other instances that only relay.
	settledPause = 2 * time.Second
)

// batchPause returns the least and the longest pause before the next watch.
func (d *Daemon) batchPause(changes []store.Change) (least, most time.Duration) {
	d.mu.Lock()
	relays := len(d.declared) == 0 && string(d.mirror.Get(keyDuty).Value) != d.incarnation()
	d.mu.Unlock()
	if relays {
		return unsettledPause, settledPause
	}
	for _, change := range changes {
		if change.Key != d.adapter.ConfigurationKey && !strings.HasPrefix(change.Key, prefixInstances) {
			return briefPause, briefPause
		}
	}
	return settlingPause, settlingPause
}

// listAll reads everything that the daemon follows.
func (d *Daemon) listAll(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	listing, err := d.store.List(ctx, "")
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	changed := d.mirror.Replace("", listing)
	d.listed, d.seen = true, max(d.seen, listing.Revision)
	d.mu.Unlock()
	d.changed(changed)
	d.wakeConfirm()
	return listing.Revision, nil
}

// relist finds what watches of the targets have missed.
func (d *Daemon) relist(ctx context.Context) error {
	for pause(ctx, relistInterval) {
		if len(d.declaredUses()) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		listing, err := d.store.List(callCtx, d.adapter.TargetPrefix)
		cancel()
		if err != nil {
			d.storeFailed("list targets", err)
			continue
		}
		d.mu.Lock()
		changed := d.mirror.Replace(d.adapter.TargetPrefix, listing)
		d.mu.Unlock()
		d.changed(changed)
	}
	return nil
}

// sawUntil notes that the mirror holds every change up to a revision.
func (d *Daemon) sawUntil(revision store.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen = max(d.seen, revision)
}
