package edge

import (
	"context"
	"errors"
	"time"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Times of the duty's lease.
const (
	// dutyTerm is the term of the duty's lease. It is short, so that another
	// instance soon takes over from one that is cut off.
	dutyTerm = 1500 * time.Millisecond
	// dutySpan is how long the duty counts as held after a renewal was asked.
	dutySpan = 1200 * time.Millisecond
	// orderSpan is how long after a renewal was asked an order may be sent: what a
	// network cut holds up is given up after 0.5 s, before the lease ends.
	orderSpan = 1000 * time.Millisecond
	// dutyInterval leaves two tries before the duty counts as lost.
	dutyInterval = 450 * time.Millisecond
)

// mayHoldDuty reports whether this instance knows enough to order promotions: one
// that only relays work does not follow the targets.
func (d *Daemon) mayHoldDuty() bool {
	return !d.stopping.Load() && len(d.declaredUses()) > 0 && d.tenure.Registered(d.clock())
}

// holdDuty reports whether this instance holds the duty, and takes a free one.
func (d *Daemon) holdDuty(ctx context.Context) bool {
	if !d.mayHoldDuty() {
		return false
	}
	d.mu.Lock()
	entry, listed := d.mirror.Get(keyDuty), d.listed
	d.mu.Unlock()
	if !listed {
		return false
	}
	if entry.Revision == 0 {
		return d.takeDuty(ctx)
	}
	mine := string(entry.Value) == d.incarnation()
	if mine {
		d.renewDuty(ctx)
	}
	mine = mine && d.dutyHeld()
	d.setToken(mine, failover.FencingToken(entry.Revision))
	return mine
}

// dutyHeld reports whether the duty's lease holds for certain.
func (d *Daemon) dutyHeld() bool {
	d.leader.mu.Lock()
	defer d.leader.mu.Unlock()
	return d.leader.lease != 0 && d.clock()-d.leader.renewed < dutySpan
}

// holds reports whether the duty is held since it was taken with a token, and its last
// renewal was asked within a span. Another instance may have held it between two
// takings by this one, with a token between theirs.
func (d *Daemon) holds(token failover.FencingToken, span time.Duration) bool {
	d.leader.mu.Lock()
	defer d.leader.mu.Unlock()
	return d.leader.token == token && d.leader.lease != 0 && d.clock()-d.leader.renewed < span
}

// setDutyLease notes the duty's lease as of a call made at asked.
func (d *Daemon) setDutyLease(lease store.LeaseID, asked time.Duration) {
	d.leader.mu.Lock()
	defer d.leader.mu.Unlock()
	d.leader.lease, d.leader.renewed = lease, asked
}

// takeDuty tries to take the free duty.
func (d *Daemon) takeDuty(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := d.clock()
	lease, err := d.store.Grant(callCtx, max(dutyTerm, d.settings.LeastLease))
	if err != nil {
		d.storeFailed("grant lease of the duty", err)
		return false
	}
	revision, err := d.store.CompareAndSwap(callCtx, store.Swap{Key: keyDuty, Value: []byte(d.incarnation()), Lease: lease})
	if err != nil {
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			d.takeOver(nil, conflict.Current)
		} else {
			d.storeFailed("take duty", err)
		}
		return false
	}
	d.setDutyLease(lease, asked)
	d.apply([]store.Change{{Entry: store.Entry{Key: keyDuty, Value: []byte(d.incarnation()), Revision: revision, Lease: lease}}})
	return false
}

// renewDuty renews the duty's lease when it is time.
func (d *Daemon) renewDuty(ctx context.Context) {
	d.leader.mu.Lock()
	lease, renewed := d.leader.lease, d.leader.renewed
	d.leader.mu.Unlock()
	asked := d.clock()
	if lease == 0 || asked-renewed < dutyInterval {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, dutyInterval)
	defer cancel()
	err := d.store.KeepAlive(callCtx, lease)
	switch {
	case err == nil:
		d.setDutyLease(lease, asked)
	case errors.Is(err, store.ErrLeaseExpired):
		d.setDutyLease(0, 0)
	default:
		d.storeFailed("renew duty", err)
	}
}

// setToken notes the duty's state. The revision at which the duty was taken
// orders its holders.
func (d *Daemon) setToken(mine bool, token failover.FencingToken) {
	d.leader.mu.Lock()
	defer d.leader.mu.Unlock()
	switch {
	case mine && d.leader.token != token:
		d.leader.token = token
		d.leader.coordinators = make(map[topology.ServiceID]*failover.Coordinator)
		d.leader.fences = make(map[topology.ServiceID]fence)
		eventDutyTaken.Log(d.log, "token", token)
	case !mine && d.leader.token != 0:
		d.leader.token = 0
		eventDutyLost.Log(d.log)
	}
}

// deleteAt deletes a key that is still at the entry's revision.
func (d *Daemon) deleteAt(ctx context.Context, entry store.Entry) error {
	_, err := d.store.CompareAndSwap(ctx, store.Swap{Key: entry.Key, Expect: entry.Revision, Delete: true})
	return err
}
