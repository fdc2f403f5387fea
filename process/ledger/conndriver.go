package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/membership"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/pool"
	"samphirehitch.example/samphirehitch/process/topology"
)

// connectionTick is the time between looks at the pools.
const connectionTick = 50 * time.Millisecond

// Pool is what the ledger needs of a target's pool; *pool.Pool has it.
type Pool interface {
	Stats() pool.Stats
	SetLimit(limit int)
	RevokeExcess(most int)
}

// attachedPool is a pool with the last change that it has applied. Only the
// loop uses applied.
type attachedPool struct {
	pool    Pool
	applied uint64
}

// connectionDriver runs Connections. Its loop is the only place where limits
// are applied and pools are read, so reports follow the changes they reflect.
type connectionDriver struct {
	peers  peer.Sender
	clock  clock.Clock
	logger logr.Logger
	kick   chan struct{}

	mu struct {
		sync.Mutex
		state   *Connections
		pools   map[topology.TargetID]*attachedPool
		firstID map[topology.InstanceID]uint64
	}
}

func (d *connectionDriver) init(firstID uint64, peers peer.Sender, now clock.Clock, logger logr.Logger) {
	d.peers, d.clock, d.logger = peers, now, logger
	d.kick = make(chan struct{}, 1)
	d.mu.state = NewConnections(firstID)
	d.mu.pools = make(map[topology.TargetID]*attachedPool)
	d.mu.firstID = make(map[topology.InstanceID]uint64)
}

// SetConnections replaces the totals of all targets.
func (d *Driver) SetConnections(limits []ConnectionLimit) {
	d.conns.update(func(now time.Duration, c *Connections) { c.SetLimits(now, limits) })
}

// ConnectionLimit returns how many connections to the target this instance may
// have open.
func (d *Driver) ConnectionLimit(target topology.TargetID) int {
	var limit int
	d.conns.update(func(now time.Duration, c *Connections) { limit = c.Limit(now, target) })
	return limit
}

// Attach makes the ledger set the limit of a target's pool. The pool starts with
// the limit zero, and its Changed calls PoolChanged.
func (d *Driver) Attach(target topology.TargetID, p Pool) {
	d.conns.mu.Lock()
	d.conns.mu.pools[target] = &attachedPool{pool: p}
	d.conns.mu.Unlock()
	d.conns.update(func(now time.Duration, c *Connections) { c.Resend(now, target) })
}

// Detach ends Attach, after the pool was closed and has no connection open.
func (d *Driver) Detach(target topology.TargetID) {
	d.conns.mu.Lock()
	delete(d.conns.mu.pools, target)
	d.conns.mu.Unlock()
	d.conns.update(func(now time.Duration, c *Connections) { c.Resend(now, target) })
}

// PoolChanged tells the ledger that some pool's connections or demand changed.
// It never blocks.
func (d *Driver) PoolChanged() { d.conns.wake() }

// Drain gives back the connections that were borrowed and lends the others, as
// they come free.
func (d *Driver) Drain() {
	d.conns.update(func(now time.Duration, c *Connections) { c.SetDraining(now) })
}

func (d *connectionDriver) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// update applies an event, sends what follows and leaves limit changes to the
// loop.
func (d *connectionDriver) update(apply func(now time.Duration, c *Connections)) {
	d.mu.Lock()
	apply(d.clock(), d.mu.state)
	out := d.mu.state.Outbox()
	pending := len(d.mu.state.changes) > 0
	d.mu.Unlock()
	for to, m := range out {
		d.peers.Send(to, peer.KindLedger, m)
	}
	if pending {
		d.wake()
	}
}

func (d *connectionDriver) receive(from topology.InstanceID, m *Message) {
	d.update(func(now time.Duration, c *Connections) { c.Receive(now, from, m) })
}

func (d *connectionDriver) membershipChanged(v membership.View, slots *Slots) {
	d.update(func(now time.Duration, c *Connections) {
		c.SetSlots(now, slots)
		for _, m := range v.Live {
			if m.FirstID > d.mu.firstID[m.ID] {
				d.mu.firstID[m.ID] = m.FirstID
				c.Restarted(now, m.ID, m.FirstID)
			}
		}
		for _, id := range v.Gone {
			delete(d.mu.firstID, id)
			c.Forget(now, id)
		}
	})
}

func (d *connectionDriver) run(ctx context.Context) error {
	ticker := time.NewTicker(connectionTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.kick:
		}
		d.report()
		d.update(func(now time.Duration, c *Connections) { c.Tick(now) })
		if d.apply() {
			d.report()
		}
	}
}

// report reads every attached pool.
func (d *connectionDriver) report() {
	for target, p := range d.attached() {
		stats := p.pool.Stats()
		usage := Usage{Limit: stats.Limit, Open: stats.Open, Wanted: stats.Wanted, Applied: p.applied}
		d.update(func(now time.Duration, c *Connections) { c.Report(now, target, usage) })
	}
}

// attached returns a copy of the attached pools.
func (d *connectionDriver) attached() map[topology.TargetID]*attachedPool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := make(map[topology.TargetID]*attachedPool, len(d.mu.pools))
	for target, p := range d.mu.pools {
		pools[target] = p
	}
	return pools
}

// apply tells the pools their limits. It reports whether there was a change.
func (d *connectionDriver) apply() bool {
	d.mu.Lock()
	changes := d.mu.state.Changes()
	d.mu.Unlock()
	pools := d.attached()
	for _, change := range changes {
		p := pools[change.Target]
		if p == nil {
			usage := Usage{Limit: change.Limit, Applied: change.Sequence}
			d.update(func(now time.Duration, c *Connections) { c.Report(now, change.Target, usage) })
			continue
		}
		eventShare.Log(d.logger, "target", change.Target, "limit", change.Limit)
		p.pool.SetLimit(change.Limit)
		if change.Revoke {
			eventRevoke.Log(d.logger, "target", change.Target, "most", change.Most)
			p.pool.RevokeExcess(change.Most)
		}
		p.applied = change.Sequence
	}
	return len(changes) > 0
}
