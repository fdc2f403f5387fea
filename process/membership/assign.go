package membership

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// decide returns the next change of a slot's record that this instance should
// try, or nil.
func (c *Coordinator) decide(now time.Duration) *Swap {
	if c.draining {
		return c.releaseAny()
	}
	if s := c.renew(now); s != nil {
		return s
	}
	if s := c.resume(); s != nil {
		return s
	}
	census := c.census(now)
	if s := c.takeFree(census); s != nil {
		return s
	}
	if s := c.makeRoom(census); s != nil {
		return s
	}
	return c.takeOver(now, census)
}

// swap describes a change of a slot to a record.
func (c *Coordinator) swap(index int, r Record) *Swap {
	return &Swap{Slot: index, Expect: c.slots[index].revision, Record: r}
}

// take describes the taking of a slot by this process.
func (c *Coordinator) take(index int) *Swap {
	return c.swap(index, Record{
		Instance: c.cfg.Self.ID,
		Address:  c.cfg.Self.Peer,
		FirstID:  c.cfg.FirstID,
		Epoch:    c.slots[index].record.Epoch + 1,
	})
}

// release ends the right to a slot and describes the record's release. The
// record may stay behind when the swap fails; then it is released again.
func (c *Coordinator) release(index int) *Swap {
	s := &c.slots[index]
	s.mine = false
	return c.swap(index, Record{Epoch: s.record.Epoch, Renewal: s.record.Renewal + 1})
}

// releaseAny releases a slot whose record names this process.
func (c *Coordinator) releaseAny() *Swap {
	for i := range c.slots {
		if s := &c.slots[i]; c.names(s) && s.revision != 0 {
			return c.release(i)
		}
	}
	return nil
}

// renew renews the right that ends first, when it is due.
func (c *Coordinator) renew(now time.Duration) *Swap {
	oldest := -1
	for i := range c.slots {
		s := &c.slots[i]
		due := s.mine && s.revision != 0 && now-s.provenAt >= c.cfg.RenewEvery
		if due && (oldest < 0 || s.provenAt < c.slots[oldest].provenAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil
	}
	r := c.slots[oldest].record
	r.Renewal++
	return c.swap(oldest, r)
}

// resume takes a slot back that names this instance and address without a right:
// it was held by an earlier process, which is gone since this one listens on its
// address, or released by this process without success. An instance that came
// back under another address waits like any other.
func (c *Coordinator) resume() *Swap {
	for i := range c.slots {
		s := &c.slots[i]
		same := s.record.Instance == c.cfg.Self.ID && s.record.Address == c.cfg.Self.Peer
		if same && !s.mine && s.revision != 0 {
			return c.take(i)
		}
	}
	return nil
}

// census counts who holds how much.
type census struct {
	// free lists the slots that nobody holds.
	free []int
	held map[topology.InstanceID]int
	// waiting counts the live instances without a slot, live all of them.
	waiting, live int
}

func (c *Coordinator) census(now time.Duration) census {
	n := census{held: make(map[topology.InstanceID]int)}
	for i := range c.slots {
		holder := c.slots[i].record.Instance
		if holder == "" {
			n.free = append(n.free, i)
			continue
		}
		n.held[holder]++
	}
	for id, p := range c.peers {
		leaving := p.leaving || p.instance.State == platform.InstanceLeaving
		if id == c.cfg.Self.ID || leaving || !c.alive(id, p, now) {
			continue
		}
		n.live++
		if n.held[id] == 0 {
			n.waiting++
		}
	}
	n.live++
	return n
}

// fairShare is the most slots that one instance holds.
func (c *Coordinator) fairShare(n census) int { return (c.cfg.Slots + n.live - 1) / n.live }

// takeFree takes a free slot, beyond the first only when every other instance
// has one or can get one.
func (c *Coordinator) takeFree(n census) *Swap {
	mine := n.held[c.cfg.Self.ID]
	spare := len(n.free) - n.waiting
	if len(n.free) == 0 || (mine > 0 && (spare <= 0 || mine >= c.fairShare(n))) {
		return nil
	}
	return c.take(n.free[c.rng.IntN(len(n.free))])
}

// makeRoom releases a slot when an instance has none, nothing is free and no
// other instance holds more than this one.
func (c *Coordinator) makeRoom(n census) *Swap {
	mine := n.held[c.cfg.Self.ID]
	if n.waiting == 0 || len(n.free) > 0 || mine < 2 {
		return nil
	}
	for id, count := range n.held {
		if count > mine || (count == mine && id < c.cfg.Self.ID) {
			return nil
		}
	}
	for i := range c.slots {
		if c.slots[i].mine {
			return c.release(i)
		}
	}
	return nil
}

// takeOver takes the slot of an instance that is gone, once its record has been
// seen unchanged for the quarantine.
func (c *Coordinator) takeOver(now time.Duration, n census) *Swap {
	if n.held[c.cfg.Self.ID] > 0 && (n.waiting > 0 || n.held[c.cfg.Self.ID] >= c.fairShare(n)) {
		return nil
	}
	for i := range c.slots {
		s := &c.slots[i]
		holder := s.record.Instance
		if holder == "" || s.mine || s.revision == 0 || now-s.seen < c.cfg.Quarantine {
			continue
		}
		if c.replaced(s) || c.gone(c.peer(holder, now), now) {
			return c.take(i)
		}
	}
	return nil
}

// replaced reports that a slot's record names a former process of this instance
// under another address.
func (c *Coordinator) replaced(s *slot) bool {
	return s.record.Instance == c.cfg.Self.ID && s.record.Address != c.cfg.Self.Peer
}
