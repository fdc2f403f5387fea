package membership

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// In a fleet of up to fullMeshInstances every instance sends heartbeats to
	// every other. In a larger one each heartbeat goes to sampledRecipients
	// random peers.
	fullMeshInstances = 32
	sampledRecipients = 16
)

// heartbeat returns the heartbeat to send now.
func (c *Coordinator) heartbeat() Heartbeat {
	h := Heartbeat{Incarnation: c.cfg.Incarnation, Leaving: c.draining}
	for i := range c.slots {
		if c.slots[i].owned {
			h.HeldSlots = append(h.HeldSlots, HeldSlot{Index: i, Epoch: c.slots[i].record.Epoch})
		}
	}
	return h
}

// knownPeers returns the other instances that may run, sorted by ID.
func (c *Coordinator) knownPeers() []topology.InstanceID {
	var ids []topology.InstanceID
	for id, p := range c.peers {
		if id != c.cfg.Self.ID && (p.listed || p.heartbeatSeen || p.connected) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// heartbeatRecipients returns the peers that get the next heartbeat.
func (c *Coordinator) heartbeatRecipients() []topology.InstanceID {
	ids := c.knownPeers()
	if len(ids) <= fullMeshInstances {
		return ids
	}
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:sampledRecipients]
}

// HeartbeatReceived processes a heartbeat, except one of an earlier process of
// the sender. If the sender holds a slot in a later epoch than the one known
// here, it has acquired the slot since: a lease of this instance on it ends,
// and the slots are read again. They are also read again if it no longer holds
// a slot that its record is known to name, so that a released slot is acquired
// at once.
func (c *Coordinator) HeartbeatReceived(now time.Duration, from topology.InstanceID, h Heartbeat) {
	p := c.peerStateOf(from, now)
	if h.Incarnation < p.incarnation {
		return
	}
	p.heartbeatSeen, p.heartbeatAt, p.incarnation, p.leaving = true, now, h.Incarnation, h.Leaving
	c.rereadSlots = c.rereadSlots || c.hasReleased(from, h)
	for _, heldSlot := range h.HeldSlots {
		if heldSlot.Index < 0 || heldSlot.Index >= len(c.slots) || c.slots[heldSlot.Index].record.Epoch >= heldSlot.Epoch {
			continue
		}
		c.endLease(heldSlot.Index)
		s := &c.slots[heldSlot.Index]
		s.record = Record{Instance: from, Incarnation: h.Incarnation, Epoch: heldSlot.Epoch}
		s.revision, s.revisionSeenAt = 0, now
		c.rereadSlots = true
	}
}

// hasReleased reports whether a slot's record names the sender of a heartbeat,
// which no longer holds that slot.
func (c *Coordinator) hasReleased(from topology.InstanceID, h Heartbeat) bool {
	for i := range c.slots {
		r := &c.slots[i].record
		holds := func(held HeldSlot) bool { return held.Index == i && held.Epoch >= r.Epoch }
		if r.Instance == from && r.Incarnation == h.Incarnation && !slices.ContainsFunc(h.HeldSlots, holds) {
			return true
		}
	}
	return false
}
