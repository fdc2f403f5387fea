package membership

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// chooseSwap returns the next swap of a slot's record that this instance should
// attempt, or nil. Releases of a draining instance and renewals go before
// acquisitions.
func (c *Coordinator) chooseSwap(now time.Duration) *Swap {
	if c.draining {
		return c.releaseAny()
	}
	if s := c.renewOldest(now); s != nil {
		return s
	}
	if s := c.reclaim(); s != nil {
		return s
	}
	counts := c.countSlots(now)
	if s := c.acquireFree(counts); s != nil {
		return s
	}
	if s := c.releaseForOthers(counts); s != nil {
		return s
	}
	return c.acquireAbandoned(now, counts)
}

// newSwap returns a swap of a slot's record against its last known revision.
func (c *Coordinator) newSwap(index int, record Record) *Swap {
	return &Swap{Slot: index, Expect: c.slots[index].revision, Record: record}
}

// acquire returns the swap by which this process acquires a slot.
func (c *Coordinator) acquire(index int) *Swap {
	return c.newSwap(index, Record{
		Instance:    c.cfg.Self.ID,
		Address:     c.cfg.Self.Peer,
		Incarnation: c.cfg.Incarnation,
		Epoch:       c.slots[index].record.Epoch + 1,
	})
}

// release ends the lease on a slot immediately and returns the swap that
// releases its record. If the swap fails, the record still names this process
// and is released again later.
func (c *Coordinator) release(index int) *Swap {
	s := &c.slots[index]
	s.owned = false
	return c.newSwap(index, Record{Epoch: s.record.Epoch, Renewal: s.record.Renewal + 1})
}

// releaseAny releases a slot whose record names this process.
func (c *Coordinator) releaseAny() *Swap {
	for i := range c.slots {
		if s := &c.slots[i]; c.recordNamesSelf(s) && s.revision != 0 {
			return c.release(i)
		}
	}
	return nil
}

// renewOldest renews the lease that expires first, if its renewal is due.
func (c *Coordinator) renewOldest(now time.Duration) *Swap {
	oldest := -1
	for i := range c.slots {
		s := &c.slots[i]
		due := s.owned && s.revision != 0 && now-s.leaseStart >= c.cfg.RenewInterval
		if due && (oldest < 0 || s.leaseStart < c.slots[oldest].leaseStart) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil
	}
	record := c.slots[oldest].record
	record.Renewal++
	return c.newSwap(oldest, record)
}

// reclaim acquires a slot whose record names this instance and address although
// this process has no lease on it. Either an earlier process held the slot,
// which no longer runs since this one listens on its address, or this process
// failed to release it. An instance that came back under another address has to
// wait for the quarantine like any other.
func (c *Coordinator) reclaim() *Swap {
	for i := range c.slots {
		s := &c.slots[i]
		namesSelf := s.record.Instance == c.cfg.Self.ID && s.record.Address == c.cfg.Self.Peer
		if namesSelf && !s.owned && s.revision != 0 {
			return c.acquire(i)
		}
	}
	return nil
}

// slotCounts summarizes how the slots are distributed.
type slotCounts struct {
	// freeSlots lists the slots without a holder.
	freeSlots []int
	// byHolder counts the slots of each holder.
	byHolder map[topology.InstanceID]int
	// liveInstances counts the instances that are alive and not leaving, this
	// one included; withoutSlot counts those of them, other than this one, that
	// hold no slot.
	withoutSlot, liveInstances int
}

// countSlots counts the slots and the instances that may hold them.
func (c *Coordinator) countSlots(now time.Duration) slotCounts {
	counts := slotCounts{byHolder: make(map[topology.InstanceID]int)}
	for i := range c.slots {
		holder := c.slots[i].record.Instance
		if holder == "" {
			counts.freeSlots = append(counts.freeSlots, i)
			continue
		}
		counts.byHolder[holder]++
	}
	for id, p := range c.peers {
		leaving := p.leaving || p.instance.State == platform.InstanceLeaving
		if id == c.cfg.Self.ID || leaving || !c.believedAlive(id, p, now) {
			continue
		}
		counts.liveInstances++
		if counts.byHolder[id] == 0 {
			counts.withoutSlot++
		}
	}
	counts.liveInstances++
	return counts
}

// fairShare is the maximum number of slots of one instance.
func (c *Coordinator) fairShare(counts slotCounts) int {
	return (c.cfg.Slots + counts.liveInstances - 1) / counts.liveInstances
}

// acquireFree acquires a random free slot. An instance that already has a slot
// stays within its fair share and leaves enough free slots for the instances
// without any.
func (c *Coordinator) acquireFree(counts slotCounts) *Swap {
	held := counts.byHolder[c.cfg.Self.ID]
	spareSlots := len(counts.freeSlots) - counts.withoutSlot
	if len(counts.freeSlots) == 0 || (held > 0 && (spareSlots <= 0 || held >= c.fairShare(counts))) {
		return nil
	}
	return c.acquire(counts.freeSlots[c.random.IntN(len(counts.freeSlots))])
}

// releaseForOthers releases a slot when another instance has none and no slot
// is free. Only the instance with the most slots does so; of several the one
// with the smallest ID.
func (c *Coordinator) releaseForOthers(counts slotCounts) *Swap {
	held := counts.byHolder[c.cfg.Self.ID]
	if counts.withoutSlot == 0 || len(counts.freeSlots) > 0 || held < 2 {
		return nil
	}
	for id, count := range counts.byHolder {
		if count > held || (count == held && id < c.cfg.Self.ID) {
			return nil
		}
	}
	for i := range c.slots {
		if c.slots[i].owned {
			return c.release(i)
		}
	}
	return nil
}

// acquireAbandoned acquires a slot whose holder has been removed from the
// platform's list, or was an earlier process of this instance at another
// address, once the slot's record has been unchanged for the quarantine. An
// instance that already has a slot does so only within its fair share and when
// no other instance is without one.
func (c *Coordinator) acquireAbandoned(now time.Duration, counts slotCounts) *Swap {
	if counts.byHolder[c.cfg.Self.ID] > 0 && (counts.withoutSlot > 0 || counts.byHolder[c.cfg.Self.ID] >= c.fairShare(counts)) {
		return nil
	}
	for i := range c.slots {
		s := &c.slots[i]
		holder := s.record.Instance
		if holder == "" || s.owned || s.revision == 0 || now-s.revisionSeenAt < c.cfg.Quarantine {
			continue
		}
		if c.namesFormerProcess(s) || c.confirmedRemoved(c.peerStateOf(holder, now), now) {
			return c.acquire(i)
		}
	}
	return nil
}

// namesFormerProcess reports whether a slot's record names this instance with
// another address, and so an earlier process of it.
func (c *Coordinator) namesFormerProcess(s *slot) bool {
	return s.record.Instance == c.cfg.Self.ID && s.record.Address != c.cfg.Self.Peer
}
