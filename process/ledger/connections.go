package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

// ConnectionLimit bounds the connections that a target takes from the whole
// fleet.
type ConnectionLimit struct {
	Target topology.TargetID
	Total  int
}

// LimitChange tells a pool how many connections it may have open. With Revoke
// connections over Most have to be closed even while in use.
type LimitChange struct {
	Target topology.TargetID
	// Sequence numbers the changes of a target.
	Sequence uint64
	Limit    int
	Revoke   bool
	Most     int
}

// Connections decides how many connections to each target this instance may
// have open. The fleet's sum never exceeds a target's total. It is a plain state
// machine like Shard.
type Connections struct {
	accounts map[topology.TargetID]*connectionAccount
	// removed holds the targets that had a limit before.
	removed  map[topology.TargetID]bool
	owned    map[int]*ownership
	holders  []topology.InstanceID
	draining bool
	lastID   uint64
	outbox   map[topology.InstanceID]*Message
	changes  []LimitChange
}

// NewConnections returns a coordinator without targets. FirstID is as in
// NewShard.
func NewConnections(firstID uint64) *Connections {
	return &Connections{
		accounts: make(map[topology.TargetID]*connectionAccount),
		removed:  make(map[topology.TargetID]bool),
		owned:    make(map[int]*ownership),
		lastID:   firstID,
		outbox:   make(map[topology.InstanceID]*Message),
	}
}

// shareUnits returns how many of a target's connections belong to each slot.
// The result depends only on its arguments.
func shareUnits(target topology.TargetID, total, slots int) map[int]int {
	units := make(map[int]int, min(total, slots))
	if slots <= 0 || total <= 0 {
		return units
	}
	order := spread(xxhash.Sum64String(string(target)), slots, min(total, slots))
	for i, slot := range order {
		units[slot] = total / len(order)
		if i < total%len(order) {
			units[slot]++
		}
	}
	return units
}

// SetLimits replaces the totals of all targets.
func (c *Connections) SetLimits(now time.Duration, limits []ConnectionLimit) {
	kept := make(map[topology.TargetID]bool, len(limits))
	for _, limit := range limits {
		kept[limit.Target] = true
		a, known := c.accounts[limit.Target]
		if !known {
			a = &connectionAccount{target: limit.Target, peakFrom: now, returned: c.removed[limit.Target]}
			c.accounts[limit.Target] = a
		}
		a.total = limit.Total
		c.place(now, a)
	}
	for target := range c.accounts {
		if !kept[target] {
			delete(c.accounts, target)
			c.removed[target] = true
			c.changes = append(c.changes, LimitChange{Target: target})
		}
	}
	c.attendAll(now)
}

// SetSlots takes over who holds which slot.
func (c *Connections) SetSlots(now time.Duration, slots *Slots) {
	c.holders = slots.Holders
	held := make(map[int]bool, len(slots.Owned))
	for _, o := range slots.Owned {
		held[o.Index] = true
		if own, known := c.owned[o.Index]; known && own.epoch == o.Epoch {
			own.until = o.Until
			continue
		}
		c.owned[o.Index] = &ownership{slot: o.Index, epoch: o.Epoch, until: o.Until}
	}
	for slot := range c.owned {
		if !held[slot] {
			delete(c.owned, slot)
		}
	}
	for _, a := range c.accounts {
		c.place(now, a)
	}
	c.attendAll(now)
}

// SetDraining makes the instance lend what it can and give back what it
// borrowed.
func (c *Connections) SetDraining(now time.Duration) {
	c.draining = true
	c.attendAll(now)
}

// place gives an account the shares and sources that follow from the slots.
func (c *Connections) place(now time.Duration, a *connectionAccount) {
	units := shareUnits(a.target, a.total, len(c.holders))
	var shares []*share
	var sources []*connectionSource
	for slot, holder := range c.holders {
		if units[slot] == 0 {
			continue
		}
		if own, mine := c.owned[slot]; mine {
			shares = append(shares, a.share(now, own, units[slot]))
			continue
		}
		sources = append(sources, a.source(slot, holder, units[slot]))
	}
	a.shares, a.sources = shares, sources
}

func (a *connectionAccount) share(now time.Duration, own *ownership, units int) *share {
	for _, s := range a.shares {
		if s.own == own {
			s.units = units
			return s
		}
	}
	return &share{own: own, units: units, usableFrom: a.usableFrom(now, own)}
}

// usableFrom returns when a new share may be used: at once when nobody can have
// lent of it before, else when the loans of an earlier holder, or of this one
// before the target's record was removed, have ended.
func (a *connectionAccount) usableFrom(now time.Duration, own *ownership) time.Duration {
	if own.epoch == firstEpoch && !a.returned {
		return now
	}
	return now + connectionDelay
}

func (a *connectionAccount) source(slot int, holder topology.InstanceID, units int) *connectionSource {
	for _, s := range a.sources {
		if s.slot == slot {
			if s.holder != holder {
				s.holder, s.pending, s.nextAsk = holder, false, 0
			}
			s.units = units
			return s
		}
	}
	return &connectionSource{slot: slot, holder: holder, units: units}
}

// Report takes the state of a target's pool, after each change of the pool's
// connections or demand and after each applied LimitChange.
func (c *Connections) Report(now time.Duration, target topology.TargetID, u Usage) {
	if a, known := c.accounts[target]; known {
		a.report(now, u)
		c.attend(now, a)
	}
}

// Resend tells a target's pool its limit again, for a pool that is new.
func (c *Connections) Resend(now time.Duration, target topology.TargetID) {
	if a, known := c.accounts[target]; known {
		a.lastLimit = -1
		c.attend(now, a)
	}
}

// Limit returns how many connections the pool of the target may open.
func (c *Connections) Limit(now time.Duration, target topology.TargetID) int {
	if a, known := c.accounts[target]; known {
		return a.limit(now)
	}
	return 0
}

// Tick attends to all targets.
func (c *Connections) Tick(now time.Duration) { c.attendAll(now) }

func (c *Connections) attendAll(now time.Duration) {
	for _, a := range c.accounts {
		c.attend(now, a)
	}
}

// attend gives back, lends and asks as the state of the account allows, and
// notes what the pool has to be told.
func (c *Connections) attend(now time.Duration, a *connectionAccount) {
	a.expire(now)
	a.release(now, c.draining)
	if a.settled(now) {
		c.keepPromises(now, a)
	}
	a.plan(now, c.draining, func(s *connectionSource, wanted int) { c.ask(now, a, s, wanted) })
	c.recall(now, a)
	c.note(now, a)
}

// note tells the pool about a new limit, and again when the pool reports that it
// applies another one.
func (c *Connections) note(now time.Duration, a *connectionAccount) {
	limit, hard := a.limit(now), a.hardLimit(now)
	current := a.usage.Applied == a.emitted
	revoke := current && a.usage.Open > hard
	differs := limit != a.lastLimit || (current && a.usage.Limit != limit)
	if !differs && !revoke {
		return
	}
	a.emitted++
	a.lastLimit = limit
	change := LimitChange{Target: a.target, Sequence: a.emitted, Limit: limit, Revoke: revoke, Most: hard}
	c.changes = append(c.changes, change)
}

func (c *Connections) ask(now time.Duration, a *connectionAccount, s *connectionSource, wanted int) {
	c.lastID++
	s.pending, s.askID, s.askedAt, s.wanted = true, c.lastID, now, wanted
	m := c.message(s.holder)
	m.ConnectionAsks = append(m.ConnectionAsks, ConnectionAsk{
		Target: a.target, Slot: s.slot, ID: c.lastID, Epoch: s.epoch, Kept: s.held, Wanted: wanted,
	})
}

// keepPromises lends what was promised. The pool has closed as many.
func (c *Connections) keepPromises(now time.Duration, a *connectionAccount) {
	for _, s := range a.shares {
		for _, b := range s.borrowers {
			if b.promised > 0 {
				m := c.message(b.id)
				m.ConnectionGrants = append(m.ConnectionGrants, s.grant(now, b))
			}
		}
	}
}

// recall asks for own connections back that are wanted here.
func (c *Connections) recall(now time.Duration, a *connectionAccount) {
	missing := a.need(now)
	for _, s := range a.shares {
		for _, b := range s.borrowers {
			if missing <= 0 {
				return
			}
			if b.lent == 0 || now-b.recalled < connectionRecallPause {
				continue
			}
			b.recalled = now
			count := min(missing, b.lent)
			missing -= count
			m := c.message(b.id)
			m.ConnectionRecalls = append(m.ConnectionRecalls, ConnectionRecall{Target: a.target, Slot: s.own.slot, Count: count})
		}
	}
}

// Receive takes a message from a peer.
func (c *Connections) Receive(now time.Duration, from topology.InstanceID, m *Message) {
	for i := range m.ConnectionAsks {
		c.receiveAsk(now, from, &m.ConnectionAsks[i])
	}
	for i := range m.ConnectionGrants {
		g := &m.ConnectionGrants[i]
		if a, s := c.source(g.Target, g.Slot, from); s != nil {
			s.granted(now, g)
			c.attend(now, a)
		}
	}
	for i := range m.ConnectionRecalls {
		r := &m.ConnectionRecalls[i]
		if a, s := c.source(r.Target, r.Slot, from); s != nil {
			s.returning = max(s.returning, min(r.Count, s.held))
			c.attend(now, a)
		}
	}
}

func (c *Connections) source(target topology.TargetID, slot int, holder topology.InstanceID) (*connectionAccount, *connectionSource) {
	a, known := c.accounts[target]
	if !known {
		return nil, nil
	}
	for _, s := range a.sources {
		if s.slot == slot && s.holder == holder {
			return a, s
		}
	}
	return nil, nil
}

func (c *Connections) receiveAsk(now time.Duration, from topology.InstanceID, ask *ConnectionAsk) {
	a, known := c.accounts[ask.Target]
	if !known {
		return
	}
	for _, s := range a.shares {
		if s.own.slot != ask.Slot {
			continue
		}
		if s.ask(now, from, ask, a.spare(now, c.draining)) {
			m := c.message(from)
			m.ConnectionGrants = append(m.ConnectionGrants, s.grant(now, s.borrower(from)))
		}
		c.attend(now, a)
		return
	}
}

// Restarted ends what was lent to earlier processes of an instance: those whose
// numbers are below firstID.
func (c *Connections) Restarted(now time.Duration, id topology.InstanceID, firstID uint64) {
	for _, a := range c.accounts {
		for _, s := range a.shares {
			s.restarted(id, firstID)
		}
		c.attend(now, a)
	}
}

// Forget ends what was lent to an instance that is gone for good.
func (c *Connections) Forget(now time.Duration, id topology.InstanceID) {
	for _, a := range c.accounts {
		for _, s := range a.shares {
			s.forget(id)
		}
		c.attend(now, a)
	}
}

func (c *Connections) message(to topology.InstanceID) *Message {
	m, known := c.outbox[to]
	if !known {
		m = &Message{}
		c.outbox[to] = m
	}
	return m
}

// Outbox returns the messages to send since the last call.
func (c *Connections) Outbox() map[topology.InstanceID]*Message {
	out := c.outbox
	c.outbox = make(map[topology.InstanceID]*Message)
	return out
}

// Changes returns what pools have to be told since the last call, in order.
func (c *Connections) Changes() []LimitChange {
	changes := c.changes
	c.changes = nil
	return changes
}
