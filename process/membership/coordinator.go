package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// meshPeers is the largest fleet in which every instance sends heartbeats to
// every other; in a larger one each beat goes to sampledPeers of them.
const (
	meshPeers    = 32
	sampledPeers = 16
)

// Swap asks for a compare-and-swap of a slot's record.
type Swap struct {
	Slot   int
	Expect store.Revision
	Record Record
	// SentAt is the time of the decision, before the request leaves.
	SentAt time.Duration
}

// Actions is what the driver has to do.
type Actions struct {
	ReadSlots  bool
	ReadList   bool
	Swap       *Swap
	Heartbeats []topology.InstanceID
	Heartbeat  Heartbeat
}

// SlotEntry is a slot's record as read.
type SlotEntry struct {
	Index    int
	Record   Record
	Revision store.Revision
}

// slot is what is known of a slot.
type slot struct {
	record   Record
	revision store.Revision
	// seen is when the revision was first seen.
	seen time.Duration
	// provenAt is when the last swap of this process that is known to have
	// succeeded was sent; meaningful when mine.
	provenAt time.Duration
	mine     bool
	// attempt is the last swap whose effect is unknown.
	attempt *Swap
}

// peerState is what is known of an instance.
type peerState struct {
	instance platform.Instance
	listed   bool
	// omittedAt is when the list was first seen without the instance.
	omittedAt time.Duration
	listedAt  time.Duration
	// met is set when a link to the instance came up.
	met     bool
	heard   bool
	heardAt time.Duration
	firstID uint64
	leaving bool
}

// Coordinator decides on slots and liveness. It is a plain state machine.
type Coordinator struct {
	cfg   Config
	rng   *rand.Rand
	slots []slot
	peers map[topology.InstanceID]*peerState

	listRead  bool
	listAt    time.Duration
	slotsRead bool
	// readWanted asks for a read of the slots before the next swap.
	readWanted bool

	reading, listing, swapping        bool
	nextRead, nextList, nextHeartbeat time.Duration
	nextSwap                          time.Duration
	draining                          bool
}

// NewCoordinator returns a coordinator that knows nothing yet.
func NewCoordinator(cfg Config, rng *rand.Rand) *Coordinator {
	return &Coordinator{
		cfg:   cfg,
		rng:   rng,
		slots: make([]slot, cfg.Slots),
		peers: make(map[topology.InstanceID]*peerState),
	}
}

// Drain makes the instance give up its slots. The rights end before the records
// are released.
func (c *Coordinator) Drain() { c.draining = true }

// Drained reports that a drained instance holds no slot any more.
func (c *Coordinator) Drained() bool {
	return c.draining && !slices.ContainsFunc(c.slots, func(s slot) bool { return c.names(&s) })
}

// names reports whether a slot's record names this process.
func (c *Coordinator) names(s *slot) bool {
	return s.record.Instance == c.cfg.Self.ID && s.record.FirstID == c.cfg.FirstID
}

// Tick returns what is due at now.
func (c *Coordinator) Tick(now time.Duration) Actions {
	var a Actions
	if !c.reading && (now >= c.nextRead || c.readWanted) {
		a.ReadSlots, c.reading, c.readWanted = true, true, false
	}
	if !c.listing && now >= c.nextList {
		a.ReadList, c.listing = true, true
	}
	if now >= c.nextHeartbeat {
		c.nextHeartbeat = now + c.cfg.HeartbeatEvery
		a.Heartbeats, a.Heartbeat = c.addressees(), c.heartbeat()
	}
	if !c.swapping && !c.reading && c.slotsRead && now >= c.nextSwap {
		if s := c.decide(now); s != nil {
			c.swapping = true
			c.attempt(now, s)
			a.Swap = s
		}
	}
	return a
}

// attempt notes a swap that is about to be sent. Of several with one record the
// first counts, since it may be the one that took effect.
func (c *Coordinator) attempt(now time.Duration, s *Swap) {
	s.SentAt = now
	if last := c.slots[s.Slot].attempt; last != nil && last.Record == s.Record {
		s.SentAt = last.SentAt
	}
	c.slots[s.Slot].attempt = s
}

func (c *Coordinator) heartbeat() Heartbeat {
	h := Heartbeat{FirstID: c.cfg.FirstID, Leaving: c.draining}
	for i := range c.slots {
		if c.slots[i].mine {
			h.Held = append(h.Held, HeldSlot{Index: i, Epoch: c.slots[i].record.Epoch})
		}
	}
	return h
}

// addressees returns the peers that get the next heartbeat.
func (c *Coordinator) addressees() []topology.InstanceID {
	var ids []topology.InstanceID
	for id, p := range c.peers {
		if id != c.cfg.Self.ID && (p.listed || p.heard || p.met) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if len(ids) <= meshPeers {
		return ids
	}
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:sampledPeers]
}

// ListRead takes an answer of the platform's list.
func (c *Coordinator) ListRead(now time.Duration, instances []platform.Instance, err error) {
	c.listing = false
	c.nextList = now + c.cfg.ListEvery
	if err != nil {
		return
	}
	c.listRead, c.listAt = true, now
	listed := make(map[topology.InstanceID]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
		p := c.peer(instance.ID, now)
		if !p.listed {
			p.listed, p.listedAt = true, now
		}
		p.instance = instance
	}
	for id, p := range c.peers {
		if p.listed && !listed[id] {
			p.listed, p.omittedAt = false, now
		}
		if !p.listed && now-p.omittedAt > 2*c.cfg.Quarantine && !c.holds(id) {
			delete(c.peers, id)
		}
	}
}

// holds reports whether some slot's record names the instance.
func (c *Coordinator) holds(id topology.InstanceID) bool {
	return slices.ContainsFunc(c.slots, func(s slot) bool { return s.record.Instance == id })
}

// peer returns the state of an instance. One that was never listed counts as
// omitted from the first time it is heard of.
func (c *Coordinator) peer(id topology.InstanceID, now time.Duration) *peerState {
	p, known := c.peers[id]
	if !known {
		p = &peerState{instance: platform.Instance{ID: id}, omittedAt: now}
		c.peers[id] = p
	}
	return p
}

// Met says that a link to an instance came up. Heartbeats over it make instances
// known to each other that the platform's list does not show to either.
func (c *Coordinator) Met(now time.Duration, instance platform.Instance) {
	p := c.peer(instance.ID, now)
	p.met = true
	if !p.listed {
		p.instance = instance
	}
}

// HeartbeatReceived takes a heartbeat.
func (c *Coordinator) HeartbeatReceived(now time.Duration, from topology.InstanceID, h Heartbeat) {
	p := c.peer(from, now)
	if h.FirstID < p.firstID {
		return
	}
	p.heard, p.heardAt, p.firstID, p.leaving = true, now, h.FirstID, h.Leaving
	for _, held := range h.Held {
		if held.Index < 0 || held.Index >= len(c.slots) || c.slots[held.Index].record.Epoch >= held.Epoch {
			continue
		}
		c.lose(held.Index)
		s := &c.slots[held.Index]
		s.record = Record{Instance: from, FirstID: h.FirstID, Epoch: held.Epoch}
		s.revision, s.seen = 0, now
		c.readWanted = true
	}
}

// lose ends the right to a slot.
func (c *Coordinator) lose(index int) {
	c.slots[index].mine = false
	c.slots[index].attempt = nil
}

// SlotsRead takes the content of the slots' prefix.
func (c *Coordinator) SlotsRead(now time.Duration, entries []SlotEntry, err error) {
	c.reading = false
	c.nextRead = now + c.cfg.ReadEvery
	if err != nil {
		return
	}
	c.slotsRead = true
	for _, e := range entries {
		if e.Index >= 0 && e.Index < len(c.slots) {
			c.observe(now, e)
		}
	}
}

// observe takes a record that was read or written. Older revisions than known
// are ignored.
func (c *Coordinator) observe(now time.Duration, e SlotEntry) {
	s := &c.slots[e.Index]
	if e.Revision <= s.revision {
		return
	}
	if e.Record.Epoch < s.record.Epoch {
		return
	}
	ownAttempt := s.attempt != nil && s.attempt.Record == e.Record
	provenAt := s.provenAt
	if ownAttempt {
		provenAt = s.attempt.SentAt
	}
	s.record, s.revision, s.seen, s.attempt = e.Record, e.Revision, now, nil
	s.mine = c.names(s) && (ownAttempt || s.mine)
	s.provenAt = provenAt
	if e.Record.Instance != "" {
		c.peer(e.Record.Instance, now)
	}
}

// SwapDone takes the answer to a swap.
func (c *Coordinator) SwapDone(now time.Duration, swap *Swap, revision store.Revision, err error) {
	c.swapping = false
	c.nextSwap = now + c.pause(err)
	if err != nil {
		c.readWanted = true
		return
	}
	c.observe(now, SlotEntry{Index: swap.Slot, Record: swap.Record, Revision: revision})
}

// pause is the time until the next swap; after a failure it is random, so that
// instances that compete do not do so in step.
func (c *Coordinator) pause(err error) time.Duration {
	if err == nil {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(c.cfg.ReadEvery)))
}

// until is when the right to a slot ends.
func (c *Coordinator) until(s *slot) time.Duration { return s.provenAt + c.cfg.RightTerm }

// alive reports whether an instance is believed to run.
func (c *Coordinator) alive(id topology.InstanceID, p *peerState, now time.Duration) bool {
	if id == c.cfg.Self.ID {
		return true
	}
	if p.heard && now-p.heardAt < c.cfg.SilentAfter {
		return true
	}
	mesh := len(c.peers) <= meshPeers
	return p.listed && (!mesh || now-p.listedAt < c.cfg.SilentAfter)
}

// View returns what is known at now.
func (c *Coordinator) View(now time.Duration) View {
	v := View{Holders: make([]topology.InstanceID, len(c.slots))}
	self := Member{Instance: c.cfg.Self, FirstID: c.cfg.FirstID}
	v.Live = append(v.Live, self)
	for id, p := range c.peers {
		if id == c.cfg.Self.ID {
			continue
		}
		if c.alive(id, p, now) {
			v.Live = append(v.Live, Member{Instance: p.instance, FirstID: p.firstID})
		}
		if c.gone(p, now) && now-p.omittedAt >= c.cfg.Quarantine {
			v.Gone = append(v.Gone, id)
		}
	}
	slices.SortFunc(v.Live, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	slices.Sort(v.Gone)
	for i := range c.slots {
		s := &c.slots[i]
		v.Holders[i] = s.record.Instance
		if s.mine && !c.draining {
			v.Rights = append(v.Rights, Right{Index: i, Epoch: s.record.Epoch, Until: c.until(s)})
		}
	}
	return v
}

// gone reports that the platform's list omits an instance, by a recent read, for
// longer than it may lag, and that the instance has not been heard meanwhile.
func (c *Coordinator) gone(p *peerState, now time.Duration) bool {
	fresh := c.listRead && now-c.listAt < 3*c.cfg.ListEvery
	silent := !p.heard || p.heardAt < p.omittedAt
	return fresh && !p.listed && silent && now-p.omittedAt >= c.cfg.ListLag
}
