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

// poolPollInterval is the time between reads of the pools' states.
const poolPollInterval = 50 * time.Millisecond

// Pool is the part of *pool.Pool that the ledger uses.
type Pool interface {
	Stats() pool.Stats
	SetLimit(limit int)
	RevokeExcess(maxOpen int)
}

// attachedPool is a pool with the sequence number of the last limit change that
// was applied to it. Only the loop of connectionDriver uses appliedSequence.
type attachedPool struct {
	pool            Pool
	appliedSequence uint64
}

// connectionDriver runs a ConnectionCoordinator. Only its loop applies limits
// and reads pools, so a reported state always includes the limit changes
// reported with it.
type connectionDriver struct {
	peers  peer.Sender
	clock  clock.Clock
	logger logr.Logger
	wakeup chan struct{}

	mu struct {
		sync.Mutex
		state *ConnectionCoordinator
		pools map[topology.TargetID]*attachedPool
	}
}

func (d *connectionDriver) init(incarnation uint64, peers peer.Sender, now clock.Clock, logger logr.Logger) {
	d.peers, d.clock, d.logger = peers, now, logger
	d.wakeup = make(chan struct{}, 1)
	d.mu.state = NewConnectionCoordinator(incarnation)
	d.mu.pools = make(map[topology.TargetID]*attachedPool)
}

// SetConnectionLimits replaces the connection limits of all targets.
func (d *Driver) SetConnectionLimits(limits []ConnectionLimit) {
	d.conns.update(func(now time.Duration, c *ConnectionCoordinator) { c.SetLimits(now, limits) })
}

// ConnectionLimit returns how many connections to the target this instance may
// open.
func (d *Driver) ConnectionLimit(target topology.TargetID) int {
	var limit int
	d.conns.update(func(now time.Duration, c *ConnectionCoordinator) { limit = c.Limit(now, target) })
	return limit
}

// AttachPool makes the ledger set the limit of a target's pool from now on. The
// pool must start with the limit zero and call PoolChanged when its connections
// or demand change.
func (d *Driver) AttachPool(target topology.TargetID, p Pool) {
	d.conns.mu.Lock()
	d.conns.mu.pools[target] = &attachedPool{pool: p}
	d.conns.mu.Unlock()
	d.conns.update(func(now time.Duration, c *ConnectionCoordinator) { c.ResendLimit(now, target) })
}

// DetachPool makes the ledger stop setting the limit of the target's pool. The
// pool must be closed and have no connection open.
func (d *Driver) DetachPool(target topology.TargetID) {
	d.conns.mu.Lock()
	delete(d.conns.mu.pools, target)
	d.conns.mu.Unlock()
	d.conns.update(func(now time.Duration, c *ConnectionCoordinator) { c.ResendLimit(now, target) })
}

// PoolChanged makes the ledger read the pools, since the connections or the
// demand of one have changed. It never blocks.
func (d *Driver) PoolChanged() { d.conns.wake() }

// Drain returns borrowed connections and lends the instance's own ones as they
// become idle. The instance requests no more connections.
func (d *Driver) Drain() {
	d.conns.update(func(now time.Duration, c *ConnectionCoordinator) { c.SetDraining(now) })
}

// PoolsClosed records after Drain that every pool is closed for good and has no connection open.
// It returns what is still borrowed. Shares are handed over as soon as membership gives up
// their slots.
func (d *Driver) PoolsClosed() {
	d.conns.update(func(now time.Duration, c *ConnectionCoordinator) { c.SetClosed(now) })
}

// wake makes the loop run soon. It never blocks.
func (d *connectionDriver) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// update applies an event and sends the resulting messages. Limit changes are
// left to the loop.
func (d *connectionDriver) update(apply func(now time.Duration, c *ConnectionCoordinator)) {
	d.mu.Lock()
	apply(d.clock(), d.mu.state)
	messages := d.mu.state.TakeOutbox()
	changed := len(d.mu.state.changes) > 0
	d.mu.Unlock()
	for to, m := range messages {
		d.peers.Send(to, peer.KindLedger, m)
	}
	if changed {
		d.wake()
	}
}

func (d *connectionDriver) receive(from topology.InstanceID, m *Message) {
	d.update(func(now time.Duration, c *ConnectionCoordinator) { c.Receive(now, from, m) })
}

// membershipChanged applies a view of the fleet and clears the loans of
// processes that it shows to be replaced and of instances that it shows to be
// removed.
func (d *connectionDriver) membershipChanged(v membership.View, slots *SlotAssignment) {
	d.update(func(now time.Duration, c *ConnectionCoordinator) {
		c.SetSlots(now, slots)
		for _, m := range v.Live {
			c.InstanceRestarted(now, m.ID, m.Incarnation)
		}
		for _, id := range v.Removed {
			c.InstanceRemoved(now, id)
		}
	})
}

// run polls the pools, ticks the coordinator and applies its limit changes until
// the context is done.
func (d *connectionDriver) run(ctx context.Context) error {
	ticker := time.NewTicker(poolPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.wakeup:
		}
		d.reportUsage()
		d.update(func(now time.Duration, c *ConnectionCoordinator) { c.Tick(now) })
		if d.applyLimitChanges() {
			d.reportUsage()
		}
	}
}

// reportUsage reads the state of every attached pool and reports it to the
// coordinator.
func (d *connectionDriver) reportUsage() {
	for target, p := range d.attachedPools() {
		stats := p.pool.Stats()
		usage := PoolUsage{Limit: stats.Limit, Open: stats.Open, Demand: stats.Demand, AppliedSequence: p.appliedSequence}
		d.update(func(now time.Duration, c *ConnectionCoordinator) { c.ReportUsage(now, target, usage) })
	}
}

// attachedPools returns a copy of the map of attached pools.
func (d *connectionDriver) attachedPools() map[topology.TargetID]*attachedPool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := make(map[topology.TargetID]*attachedPool, len(d.mu.pools))
	for target, p := range d.mu.pools {
		pools[target] = p
	}
	return pools
}

// applyLimitChanges sets the limits of the pools that have changed. A change for
// a target without a pool counts as applied. It reports whether there was a
// change.
func (d *connectionDriver) applyLimitChanges() bool {
	d.mu.Lock()
	changes := d.mu.state.TakeLimitChanges()
	d.mu.Unlock()
	pools := d.attachedPools()
	for _, change := range changes {
		p := pools[change.Target]
		if p == nil {
			usage := PoolUsage{Limit: change.Limit, AppliedSequence: change.Sequence}
			d.update(func(now time.Duration, c *ConnectionCoordinator) { c.ReportUsage(now, change.Target, usage) })
			continue
		}
		eventConnectionLimit.Log(d.logger, "target", change.Target, "limit", change.Limit)
		p.pool.SetLimit(change.Limit)
		if change.Revoke {
			eventRevokeConnections.Log(d.logger, "target", change.Target, "most", change.MaxOpen)
			p.pool.RevokeExcess(change.MaxOpen)
		}
		p.appliedSequence = change.Sequence
	}
	return len(changes) > 0
}
