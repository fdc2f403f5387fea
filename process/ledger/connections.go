package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

// ConnectionLimit bounds the connections that the whole fleet may have open to a
// target.
type ConnectionLimit struct {
	Target topology.TargetID
	Total  int
}

// LimitChange sets how many connections a pool may open. When Revoke is set, the
// pool also closes the connections in excess of MaxOpen, even those in use.
type LimitChange struct {
	Target topology.TargetID
	// Sequence numbers the changes of a target.
	Sequence uint64
	Limit    int
	Revoke   bool
	MaxOpen  int
}

// ConnectionCoordinator decides how many connections to each target this
// instance may have open, such that the sum over the fleet never exceeds the
// target's total. Like a rate shard it is a state machine without lock, clock or
// network, and not safe for concurrent use.
type ConnectionCoordinator struct {
	accounts map[topology.TargetID]*connectionAccount
	// removed contains every target whose limit was removed at some time.
	removed map[topology.TargetID]bool
	// leases holds the leases of this instance by slot.
	leases map[int]*slotLease
	// holders names the holder of each slot, empty when none is known.
	holders []topology.InstanceID
	// self is this instance, once it has held a slot; peers lists the others.
	self  topology.InstanceID
	peers []topology.InstanceID
	// incarnations holds the last known incarnation of each instance.
	incarnations map[topology.InstanceID]uint64
	// handovers holds the last handover of each share that arrived.
	handovers map[shareID]receivedShare
	// draining is set by SetDraining, closed by SetClosed.
	draining, closed bool
	// lastRequestID is the ID of the last connection request to any slot.
	lastRequestID uint64
	outbox        map[topology.InstanceID]*Message
	changes       []LimitChange
}

// NewConnectionCoordinator returns a coordinator without targets. Incarnation is
// as in NewRateShard.
func NewConnectionCoordinator(incarnation uint64) *ConnectionCoordinator {
	return &ConnectionCoordinator{
		accounts:      make(map[topology.TargetID]*connectionAccount),
		removed:       make(map[topology.TargetID]bool),
		leases:        make(map[int]*slotLease),
		incarnations:  make(map[topology.InstanceID]uint64),
		handovers:     make(map[shareID]receivedShare),
		lastRequestID: incarnation,
		outbox:        make(map[topology.InstanceID]*Message),
	}
}

// shareSizes returns how many of a target's connections each slot owns. The
// result depends only on the arguments, so all instances compute the same.
func shareSizes(target topology.TargetID, total, slots int) map[int]int {
	sizes := make(map[int]int, min(total, slots))
	if slots <= 0 || total <= 0 {
		return sizes
	}
	chosen := spreadOverSlots(xxhash.Sum64String(string(target)), slots, min(total, slots))
	for i, slot := range chosen {
		sizes[slot] = total / len(chosen)
		if i < total%len(chosen) {
			sizes[slot]++
		}
	}
	return sizes
}

// SetLimits replaces the limits of all targets. Targets without a limit may have
// no connection open.
func (c *ConnectionCoordinator) SetLimits(now time.Duration, limits []ConnectionLimit) {
	listed := make(map[topology.TargetID]bool, len(limits))
	for _, limit := range limits {
		listed[limit.Target] = true
		a, known := c.accounts[limit.Target]
		if !known {
			a = &connectionAccount{target: limit.Target, peakSince: now, readded: c.removed[limit.Target]}
			c.accounts[limit.Target] = a
		}
		a.total = limit.Total
		c.assignShares(now, a)
	}
	for target := range c.accounts {
		if !listed[target] {
			delete(c.accounts, target)
			c.removed[target] = true
			c.changes = append(c.changes, LimitChange{Target: target})
		}
	}
	c.refreshAll(now)
}

// SetSlots replaces the assignment of slots.
func (c *ConnectionCoordinator) SetSlots(now time.Duration, slots *SlotAssignment) {
	c.holders = slots.Holders
	leased := make(map[int]bool, len(slots.Leases))
	for _, next := range slots.Leases {
		leased[next.Index] = true
		if lease, known := c.leases[next.Index]; known && lease.epoch == next.Epoch {
			lease.expiresAt = next.ExpiresAt
			continue
		}
		c.leases[next.Index] = &slotLease{slot: next.Index, epoch: next.Epoch, expiresAt: next.ExpiresAt}
	}
	for slot, lease := range c.leases {
		if !leased[slot] {
			c.endLease(now, lease)
		} else if holder := slots.Holders[slot]; holder != "" {
			c.self = holder
		}
	}
	c.peers = otherInstances(c.self, slots.Holders, slots.Peers)
	for _, a := range c.accounts {
		c.assignShares(now, a)
	}
	c.refreshAll(now)
}

// SetDraining makes the instance return what it has borrowed and lend all that
// it can. It cannot be undone.
func (c *ConnectionCoordinator) SetDraining(now time.Duration) {
	c.draining = true
	c.refreshAll(now)
}

// assignShares sets the local and remote shares of an account by the assignment
// of slots. Shares that stay where they were keep their state.
func (c *ConnectionCoordinator) assignShares(now time.Duration, a *connectionAccount) {
	sizes := shareSizes(a.target, a.total, len(c.holders))
	var local []*localShare
	var remote []*remoteShare
	for slot, holder := range c.holders {
		if sizes[slot] == 0 {
			continue
		}
		if lease, holding := c.leases[slot]; holding {
			s := a.localShare(now, lease, sizes[slot])
			c.restoreShare(now, a, s)
			local = append(local, s)
			continue
		}
		remote = append(remote, a.remoteShare(slot, holder, sizes[slot]))
	}
	a.local, a.remote = local, remote
}

// localShare returns the account's share of a slot that this instance holds. It
// is a new share when the slot was not held under this lease before.
func (a *connectionAccount) localShare(now time.Duration, lease *slotLease, size int) *localShare {
	for _, s := range a.local {
		if s.lease == lease {
			s.size = size
			return s
		}
	}
	s := &localShare{lease: lease, size: size, usableFrom: a.usableFrom(now, lease)}
	for _, r := range a.remote {
		if r.slot == lease.slot {
			s.borrowed = min(r.held, size)
		}
	}
	return s
}

// usableFrom returns the time from which a new share may be used: now when
// nobody can have lent connections of it before, otherwise after the loans of an
// earlier holder, or those made before the target's limit was removed, have
// expired.
func (a *connectionAccount) usableFrom(now time.Duration, lease *slotLease) time.Duration {
	if lease.epoch == firstEpoch && !a.readded {
		return now
	}
	return now + connectionTakeoverDelay
}

// remoteShare returns the account's state for a slot held by another instance.
// When the holder changes, a pending request is dropped, which the holder before may have granted;
// connections held stay.
func (a *connectionAccount) remoteShare(slot int, holder topology.InstanceID, size int) *remoteShare {
	for _, s := range a.remote {
		if s.slot == slot {
			if s.holder != holder {
				s.unconfirmed = s.unconfirmed || s.pending
				s.holder, s.pending, s.nextRequestAt = holder, false, 0
			}
			s.size = size
			return s
		}
	}
	return &remoteShare{slot: slot, holder: holder, size: size}
}

// ReportUsage records the state of a target's pool. The caller reports it after
// each change of the pool's connections or demand and after it has applied a
// LimitChange.
func (c *ConnectionCoordinator) ReportUsage(now time.Duration, target topology.TargetID, u PoolUsage) {
	if a, known := c.accounts[target]; known {
		a.recordUsage(now, u)
		c.refresh(now, a)
	}
}

// ResendLimit emits the limit of a target again, for a pool that was attached or
// detached.
func (c *ConnectionCoordinator) ResendLimit(now time.Duration, target topology.TargetID) {
	if a, known := c.accounts[target]; known {
		a.lastLimit = -1
		c.refresh(now, a)
	}
}

// Limit returns how many connections the pool of the target may open.
func (c *ConnectionCoordinator) Limit(now time.Duration, target topology.TargetID) int {
	if a, known := c.accounts[target]; known {
		return a.limit(now)
	}
	return 0
}

// Tick refreshes the accounts of all targets.
func (c *ConnectionCoordinator) Tick(now time.Duration) { c.refreshAll(now) }

func (c *ConnectionCoordinator) refreshAll(now time.Duration) {
	for _, a := range c.accounts {
		c.refresh(now, a)
	}
}

// refresh expires loans, grants reserved connections and hands over shares once
// the pool has closed them, sends the requests and recalls that are due, and emits a limit change
// when the limit differs from the pool's.
func (c *ConnectionCoordinator) refresh(now time.Duration, a *connectionAccount) {
	a.expireLoans(now)
	a.markReturns(now, c.draining)
	if c.closed || a.poolInSync(now) {
		c.grantReserved(now, a)
		c.sendHandovers(a)
	}
	a.planRequests(now, c.draining, func(s *remoteShare, additional int) { c.sendRequest(now, a, s, additional) })
	c.recallLoans(now, a)
	c.emitLimitChange(now, a)
}

// emitLimitChange emits a limit change when the limit has changed, when the pool
// reports a different limit than the last one it applied, or when more
// connections are open than may stay open.
func (c *ConnectionCoordinator) emitLimitChange(now time.Duration, a *connectionAccount) {
	limit, maxOpen := a.limit(now), a.maxOpen(now)
	if c.closed {
		limit, maxOpen = 0, 0
	}
	applied := a.usage.AppliedSequence == a.lastSequence
	revoke := applied && a.usage.Open > maxOpen
	changed := limit != a.lastLimit || (applied && a.usage.Limit != limit)
	if !changed && !revoke {
		return
	}
	a.lastSequence++
	a.lastLimit = limit
	change := LimitChange{Target: a.target, Sequence: a.lastSequence, Limit: limit, Revoke: revoke, MaxOpen: maxOpen}
	c.changes = append(c.changes, change)
}

func (c *ConnectionCoordinator) sendRequest(now time.Duration, a *connectionAccount, s *remoteShare, additional int) {
	c.lastRequestID++
	s.pending, s.requestID, s.requestedAt, s.requested = true, c.lastRequestID, now, additional
	m := c.messageTo(s.holder)
	m.ConnectionRequests = append(m.ConnectionRequests, ConnectionRequest{
		Target: a.target, Slot: s.slot, ID: c.lastRequestID, Epoch: s.epoch, Kept: s.held, Additional: additional,
	})
}

// grantReserved turns reserved connections into loans. The caller has checked
// that the pool has closed as many.
func (c *ConnectionCoordinator) grantReserved(now time.Duration, a *connectionAccount) {
	for _, s := range a.local {
		for _, b := range s.borrowers {
			if b.reserved > 0 {
				m := c.messageTo(b.id)
				m.ConnectionGrants = append(m.ConnectionGrants, s.grant(now, b))
			}
		}
	}
}

// recallLoans recalls connections of local shares that this instance needs
// itself.
func (c *ConnectionCoordinator) recallLoans(now time.Duration, a *connectionAccount) {
	missing := a.shortfall(now)
	for _, s := range a.local {
		for _, b := range s.borrowers {
			if missing <= 0 {
				return
			}
			if b.lent == 0 || now-b.recalledAt < minConnectionRecallInterval {
				continue
			}
			b.recalledAt = now
			count := min(missing, b.lent)
			missing -= count
			m := c.messageTo(b.id)
			m.ConnectionRecalls = append(m.ConnectionRecalls, ConnectionRecall{Target: a.target, Slot: s.lease.slot, Count: count})
		}
	}
}

// Receive processes a message of a peer.
func (c *ConnectionCoordinator) Receive(now time.Duration, from topology.InstanceID, m *Message) {
	for i := range m.ConnectionRequests {
		c.receiveRequest(now, from, &m.ConnectionRequests[i])
	}
	for i := range m.ConnectionGrants {
		g := &m.ConnectionGrants[i]
		if a, s := c.findRemoteShare(g.Target, g.Slot, from); s != nil {
			s.applyGrant(now, g)
			c.refresh(now, a)
		}
	}
	for i := range m.ConnectionRecalls {
		r := &m.ConnectionRecalls[i]
		if a, s := c.findRemoteShare(r.Target, r.Slot, from); s != nil {
			s.returning = max(s.returning, min(r.Count, s.held))
			c.refresh(now, a)
		}
	}
	for i := range m.ConnectionHandovers {
		c.receiveHandover(now, &m.ConnectionHandovers[i])
	}
}

// findRemoteShare returns the target's share of the slot with its account, or
// nil when the target has none there or another instance holds the slot.
func (c *ConnectionCoordinator) findRemoteShare(target topology.TargetID, slot int, holder topology.InstanceID) (*connectionAccount, *remoteShare) {
	a, known := c.accounts[target]
	if !known {
		return nil, nil
	}
	for _, s := range a.remote {
		if s.slot == slot && s.holder == holder {
			return a, s
		}
	}
	return nil, nil
}

// receiveRequest processes a connection request, when this instance holds the
// slot. It grants immediately what needs no closing; the rest is granted by
// grantReserved.
func (c *ConnectionCoordinator) receiveRequest(now time.Duration, from topology.InstanceID, request *ConnectionRequest) {
	a, known := c.accounts[request.Target]
	if !known {
		return
	}
	for _, s := range a.local {
		if s.lease.slot != request.Slot {
			continue
		}
		if s.handleRequest(now, from, request, a.lendable(now, c.draining)) {
			m := c.messageTo(from)
			m.ConnectionGrants = append(m.ConnectionGrants, s.grant(now, s.borrower(from)))
		}
		c.refresh(now, a)
		return
	}
}

// InstanceRestarted clears the loans of earlier processes of an instance, whose
// request IDs are below incarnation.
func (c *ConnectionCoordinator) InstanceRestarted(now time.Duration, id topology.InstanceID, incarnation uint64) {
	if !c.isReplaced(id, incarnation) {
		return
	}
	for _, a := range c.accounts {
		for _, s := range a.local {
			s.clearLoansBefore(id, incarnation)
		}
		c.refresh(now, a)
	}
}

// InstanceRemoved clears the loans of an instance that will not come back.
func (c *ConnectionCoordinator) InstanceRemoved(now time.Duration, id topology.InstanceID) {
	delete(c.incarnations, id)
	for _, a := range c.accounts {
		for _, s := range a.local {
			s.removeBorrower(id)
		}
		c.refresh(now, a)
	}
}

// messageTo returns the message to a peer that is being assembled in the outbox.
func (c *ConnectionCoordinator) messageTo(to topology.InstanceID) *Message {
	m, known := c.outbox[to]
	if !known {
		m = &Message{}
		c.outbox[to] = m
	}
	return m
}

// TakeOutbox returns the messages assembled since the last call and empties the
// outbox.
func (c *ConnectionCoordinator) TakeOutbox() map[topology.InstanceID]*Message {
	out := c.outbox
	c.outbox = make(map[topology.InstanceID]*Message)
	return out
}

// TakeLimitChanges returns the limit changes since the last call, in the order
// in which they must be applied.
func (c *ConnectionCoordinator) TakeLimitChanges() []LimitChange {
	changes := c.changes
	c.changes = nil
	return changes
}
