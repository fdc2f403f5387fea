package edge

import (
	"context"
	"errors"
	"time"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// The failover leader is the instance whose value is stored under keyLeadership, with a
// lease that the leader keeps alive. The following times are those of the lease.
const (
	// leadershipTTL is the TTL of the leader's lease. It is short, so that another
	// instance soon replaces a leader that is cut off.
	leadershipTTL = 1500 * time.Millisecond
	// leadershipDuration is how long the leadership counts as held after a renewal was
	// sent.
	leadershipDuration = 1200 * time.Millisecond
	// promotionWindow is how long after a renewal was sent a promotion may be requested.
	// A request that is delayed by a network partition is abandoned after 0.5 s, before
	// the lease expires.
	promotionWindow = 1000 * time.Millisecond
	// leadershipRenewInterval allows two attempts before the leadership counts as lost.
	leadershipRenewInterval = 450 * time.Millisecond
)

// mayLead reports whether this instance may become or stay the failover leader. A
// forwarding instance may not, since it does not watch the targets.
func (d *Daemon) mayLead() bool {
	return !d.stopping.Load() && len(d.declaredUsage()) > 0 && d.authority.RegistrationValid(d.clock())
}

// maintainLeadership renews the leadership if this instance holds it, and tries to
// acquire it if no instance does. It reports whether this instance is the leader; a
// leadership that was just acquired counts from the next call on.
func (d *Daemon) maintainLeadership(ctx context.Context) bool {
	if !d.mayLead() {
		return false
	}
	d.mu.Lock()
	entry, listed := d.mirror.Get(keyLeadership), d.mirrorLoaded
	d.mu.Unlock()
	if !listed {
		return false
	}
	if entry.Revision == 0 {
		return d.acquireLeadership(ctx)
	}
	if entry.Revision.Era() != d.currentEra() {
		d.setLeadership(false, 0) // the store was restored, its present leader is not known yet
		return false
	}
	own := string(entry.Value) == d.leadershipValue()
	held := own && d.isLeadershipLease(entry.Lease)
	switch {
	case held:
		d.renewLeadership(ctx)
		held = d.leadershipValid() && d.mirrorsUntil(ctx, entry.Revision)
	case own:
		// Another instance may renew the lease, to which a restored store has given its ID.
		d.endLeadership(ctx, entry)
	}
	d.setLeadership(held, failover.FencingToken(entry.Revision))
	return held
}

// mirrorsUntil reports whether the mirror holds what earlier leaders have written before the
// leadership was acquired at a revision. If the watch has not returned it yet, it is listed.
func (d *Daemon) mirrorsUntil(ctx context.Context, acquired store.Revision) bool {
	d.leadership.mu.Lock()
	leads := d.leadership.token == failover.FencingToken(acquired)
	d.leadership.mu.Unlock()
	d.mu.Lock()
	mirrored := d.mirroredUntil >= acquired
	d.mu.Unlock()
	return leads || mirrored || d.relistInstanceKeys(ctx)
}

// isLeadershipLease reports whether a lease is the one that this instance renews as leader.
// After a restore of the store, the key may be one of an earlier term, under another lease.
func (d *Daemon) isLeadershipLease(lease store.LeaseID) bool {
	d.leadership.mu.Lock()
	defer d.leadership.mu.Unlock()
	return lease == d.leadership.lease
}

// endLeadership deletes a key of the leadership that names this instance, if it is unchanged.
func (d *Daemon) endLeadership(ctx context.Context, entry store.Entry) {
	callCtx, cancel := context.WithTimeout(store.WithPurpose(ctx, purposeLeadership), callTimeout)
	defer cancel()
	d.transact(callCtx, "resign duty", store.Swap{Key: entry.Key, Expect: entry.Revision, Delete: true}.Transaction())
}

// leadershipValid reports whether the leader's lease is certain to be valid.
func (d *Daemon) leadershipValid() bool {
	d.leadership.mu.Lock()
	defer d.leadership.mu.Unlock()
	return d.leadership.lease != 0 && d.clock()-d.leadership.renewedAt < leadershipDuration
}

// holdsLeadership reports whether this instance has held the leadership without
// interruption since it acquired the token, and sent the last successful renewal less
// than maxAge ago. If it lost the leadership and acquired it again, another instance
// may have been the leader in between, so that the earlier token is invalid.
func (d *Daemon) holdsLeadership(token failover.FencingToken, maxAge time.Duration) bool {
	d.leadership.mu.Lock()
	defer d.leadership.mu.Unlock()
	return d.leadership.token == token && d.leadership.lease != 0 && d.clock()-d.leadership.renewedAt < maxAge
}

// setLeadershipLease records the leader's lease, granted or renewed by a call sent at
// requestedAt; zero is no lease.
func (d *Daemon) setLeadershipLease(lease store.LeaseID, requestedAt time.Duration) {
	era := d.currentEra()
	d.leadership.mu.Lock()
	defer d.leadership.mu.Unlock()
	d.leadership.lease, d.leadership.renewedAt, d.leadership.renewedEra = lease, requestedAt, era
}

// maxLeadershipGap is the time after the last renewal within which no other instance can
// have been the leader before a restore of the store, waited for a fence that some user did
// not acknowledge, and ordered a promotion: the lease, the wait, less the time after the
// renewal of that other leader in which it may order one.
const maxLeadershipGap = leadershipTTL + authority.FenceWait - promotionWindow

// observeRestore records whether this instance led until the store was restored, and which
// promotions it had requested.
func (l *leadership) observeRestore(now time.Duration, previous, era store.Era) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == 0 || l.renewedEra != previous || now-l.renewedAt >= maxLeadershipGap {
		return
	}
	l.restoredEra, l.promoting = era, make(map[topology.ServiceID]bool)
	for service, coordinator := range l.coordinators {
		l.promoting[service] = coordinator.PromotionOrdered()
	}
}

// ledThrough reports whether this instance led until the era began and had requested no
// promotion of the service that may still take effect.
func (l *leadership) ledThrough(era store.Era, service topology.ServiceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restoredEra == era && !l.promoting[service]
}

// startOrder notes that a promotion is being requested, before the request checks that the
// leadership is held, and returns the function that notes its end.
func (l *leadership) startOrder() (end func()) {
	count := func(change int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ordering += change
	}
	count(1)
	return func() { count(-1) }
}

// isOrdering reports whether a promotion is being requested.
func (l *leadership) isOrdering() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ordering > 0
}

// acquireLeadership tries to acquire the leadership while no instance holds it. It
// always returns false: the leadership counts once the mirror holds its key.
func (d *Daemon) acquireLeadership(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(store.WithPurpose(ctx, purposeLeadership), callTimeout)
	defer cancel()
	requestedAt := d.clock()
	lease, err := d.store.Grant(callCtx, max(leadershipTTL, d.settings.MinLeaseTTL))
	if err != nil {
		d.storeFailed("grant lease of the duty", err)
		return false
	}
	revision, err := d.store.CompareAndSwap(callCtx, store.Swap{Key: keyLeadership, Value: []byte(d.leadershipValue()), Lease: lease})
	if err != nil {
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			d.applyConflict(conflict.Current)
		} else {
			d.storeFailed("take duty", err)
		}
		return false
	}
	d.setLeadershipLease(lease, requestedAt)
	d.applyChanges([]store.Change{{Entry: store.Entry{Key: keyLeadership, Value: []byte(d.leadershipValue()), Revision: revision, Lease: lease}}})
	return false
}

// renewLeadership renews the leader's lease if it is due.
func (d *Daemon) renewLeadership(ctx context.Context) {
	d.leadership.mu.Lock()
	lease, renewedAt := d.leadership.lease, d.leadership.renewedAt
	d.leadership.mu.Unlock()
	requestedAt := d.clock()
	if lease == 0 || requestedAt-renewedAt < leadershipRenewInterval {
		return
	}
	callCtx, cancel := context.WithTimeout(store.WithPurpose(ctx, purposeLeadership), leadershipRenewInterval)
	defer cancel()
	err := d.store.KeepAlive(callCtx, lease)
	switch {
	case err == nil:
		d.setLeadershipLease(lease, requestedAt)
	case errors.Is(err, store.ErrLeaseExpired):
		d.setLeadershipLease(0, 0)
	default:
		d.storeFailed("renew duty", err)
	}
}

// setLeadership records whether this instance is the leader. The fencing token is the
// revision at which the leadership was acquired, which increases with every leader. A
// new token discards the state of the failovers under the previous one. A token that lapsed and
// was regained does not, since requests may be under way. An instance that is shutting down does
// not become the leader again.
func (d *Daemon) setLeadership(held bool, token failover.FencingToken) {
	d.leadership.mu.Lock()
	defer d.leadership.mu.Unlock()
	held = held && !d.stopping.Load()
	switch {
	case held && d.leadership.token != token:
		d.leadership.token = token
		if d.leadership.coordinatorsToken != token {
			d.leadership.coordinatorsToken = token
			d.leadership.coordinators = make(map[topology.ServiceID]*failover.Coordinator)
			d.leadership.fences = make(map[topology.ServiceID]fence)
		}
		eventLeadershipAcquired.Log(d.log, "token", token)
	case !held && d.leadership.token != 0:
		d.leadership.token = 0
		eventLeadershipLost.Log(d.log)
	}
}
