package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// immediateSwaps is the number of swaps in series that another instance's swap may come
	// before, each followed by the next at once: it means that the other one has its slot.
	immediateSwaps = 4
	// conflictBackoff bounds the wait after a further one and doubles with each, in case a
	// record is damaged and all swaps of it conflict.
	conflictBackoff = 20 * time.Millisecond
	// maxConflictDoublings keeps the doubled backoff within a Duration.
	maxConflictDoublings = 16
)

// Swap is a compare-and-swap of a slot's record, to be carried out by the
// driver.
type Swap struct {
	Slot   int
	Expect store.Revision
	Record Record
	// SentAt is when the swap was decided on, which is before the request
	// leaves. The lease that the swap gives starts then.
	SentAt time.Duration
}

// Actions lists what the driver has to do.
type Actions struct {
	ReadSlots bool
	ReadList  bool
	Swap      *Swap
	// HeartbeatRecipients lists the peers to which Heartbeat goes.
	HeartbeatRecipients []topology.InstanceID
	Heartbeat           Heartbeat
}

// SlotEntry is a slot's record as read from the store.
type SlotEntry struct {
	Index    int
	Record   Record
	Revision store.Revision
}

// slot is what this instance knows of a slot.
type slot struct {
	record Record
	// revision is that of record; zero when a heartbeat, not the store, named
	// the holder.
	revision store.Revision
	// revisionSeenAt is when the revision was first seen.
	revisionSeenAt time.Duration
	// leaseStart is when the last swap by this process that is known to have
	// succeeded was sent; valid when owned. owned is set while this process has
	// the lease, which may have expired.
	leaseStart time.Duration
	owned      bool
	// pendingSwap is the last swap, while it is not known whether it took
	// effect.
	pendingSwap *Swap
}

// peerState is what this instance knows of another one.
type peerState struct {
	instance platform.Instance
	// listed is set if the last read of the platform's list named the instance;
	// listedSince and unlistedSince are when it was last set and cleared.
	listed        bool
	unlistedSince time.Duration
	listedSince   time.Duration
	// connected is set once a link to the instance has come up, and
	// heartbeatSeen once a heartbeat has arrived, the last one at heartbeatAt.
	connected     bool
	heartbeatSeen bool
	heartbeatAt   time.Duration
	// incarnation and leaving are those of the last heartbeat.
	incarnation uint64
	leaving     bool
}

// Coordinator is the state machine that assigns slots and decides which
// instances are alive. It makes no calls itself: events come in through its
// methods, Tick returns the actions that are due and View the resulting state.
// It is not safe for concurrent use. The times passed in are monotonic.
type Coordinator struct {
	cfg    Config
	random *rand.Rand
	slots  []slot
	peers  map[topology.InstanceID]*peerState

	// listRead is set once the platform's list was read, at listReadAt last;
	// slotsRead once the slots were.
	listRead   bool
	listReadAt time.Duration
	slotsRead  bool
	// rereadSlots requests a read of the slots before the next swap.
	rereadSlots bool

	// Calls in flight and the earliest times of the next ones.
	reading, listing, swapping        bool
	nextRead, nextList, nextHeartbeat time.Duration
	nextSwap                          time.Duration
	// conflicts counts the conflicts since the last successful swap.
	conflicts int

	draining bool
	// unannounced is set when this instance has acquired or released a slot since its
	// last heartbeat.
	unannounced bool
}

// NewCoordinator returns a coordinator that has read nothing yet.
func NewCoordinator(cfg Config, random *rand.Rand) *Coordinator {
	return &Coordinator{
		cfg:    cfg,
		random: random,
		slots:  make([]slot, cfg.Slots),
		peers:  make(map[topology.InstanceID]*peerState),
	}
}

// Drain makes the instance give up its slots. Its leases end immediately,
// before the records are released.
func (c *Coordinator) Drain() { c.draining = true }

// Drained reports whether the instance was drained, no slot's record names it
// any more and its peers got a heartbeat since.
func (c *Coordinator) Drained() bool {
	return c.draining && !c.unannounced && !slices.ContainsFunc(c.slots, func(s slot) bool { return c.recordNamesSelf(&s) })
}

// recordNamesSelf reports whether a slot's record names this process.
func (c *Coordinator) recordNamesSelf(s *slot) bool {
	return s.record.Instance == c.cfg.Self.ID && s.record.Incarnation == c.cfg.Incarnation
}

// Tick returns the actions that are due. At most one read of the slots, one
// read of the list and one swap are in flight at a time.
func (c *Coordinator) Tick(now time.Duration) Actions {
	var a Actions
	if !c.reading && (now >= c.nextRead || c.rereadSlots) {
		a.ReadSlots, c.reading, c.rereadSlots = true, true, false
	}
	if !c.listing && now >= c.nextList {
		a.ReadList, c.listing = true, true
	}
	if now >= c.nextHeartbeat || c.unannounced {
		c.nextHeartbeat, c.unannounced = now+c.cfg.HeartbeatInterval, false
		a.HeartbeatRecipients, a.Heartbeat = c.heartbeatRecipients(), c.heartbeat()
	}
	if !c.swapping && !c.reading && c.slotsRead && now >= c.nextSwap {
		if s := c.chooseSwap(now); s != nil {
			c.swapping = true
			c.trackSwap(now, s)
			a.Swap = s
		}
	}
	return a
}

// trackSwap records a swap that is about to be sent. When it repeats the
// pending swap's record, the lease counts from the earlier sending, since that
// swap may be the one that took effect.
func (c *Coordinator) trackSwap(now time.Duration, s *Swap) {
	s.SentAt = now
	if last := c.slots[s.Slot].pendingSwap; last != nil && last.Record == s.Record {
		s.SentAt = last.SentAt
	}
	c.slots[s.Slot].pendingSwap = s
}

// ListRead processes the outcome of a read of the platform's list. It forgets
// instances that hold no slot and have been missing from the list for twice the
// quarantine.
func (c *Coordinator) ListRead(now time.Duration, instances []platform.Instance, err error) {
	c.listing = false
	c.nextList = now + c.cfg.ListInterval
	if err != nil {
		return
	}
	c.listRead, c.listReadAt = true, now
	listed := make(map[topology.InstanceID]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
		p := c.peerStateOf(instance.ID, now)
		if !p.listed {
			p.listed, p.listedSince = true, now
		}
		p.instance = instance
	}
	for id, p := range c.peers {
		if p.listed && !listed[id] {
			p.listed, p.unlistedSince = false, now
		}
		if !p.listed && now-p.unlistedSince > 2*c.cfg.Quarantine && !c.holdsSlot(id) {
			delete(c.peers, id)
		}
	}
}

// holdsSlot reports whether a slot's record names the instance.
func (c *Coordinator) holdsSlot(id topology.InstanceID) bool {
	return slices.ContainsFunc(c.slots, func(s slot) bool { return s.record.Instance == id })
}

// peerStateOf returns the state of an instance. One that was never listed
// counts as unlisted since it first became known.
func (c *Coordinator) peerStateOf(id topology.InstanceID, now time.Duration) *peerState {
	p, known := c.peers[id]
	if !known {
		p = &peerState{instance: platform.Instance{ID: id}, unlistedSince: now}
		c.peers[id] = p
	}
	return p
}

// PeerConnected records that a link to an instance came up. From then on the
// instance gets heartbeats, so that two instances learn of each other even if
// the platform's list shows neither to the other.
func (c *Coordinator) PeerConnected(now time.Duration, instance platform.Instance) {
	p := c.peerStateOf(instance.ID, now)
	p.connected = true
	if !p.listed {
		p.instance = instance
	}
}

// endLease ends the lease on a slot.
func (c *Coordinator) endLease(index int) {
	c.slots[index].owned = false
	c.slots[index].pendingSwap = nil
}

// ForgetLost has the next swaps of the slots that a listing lacks expect no record, if the
// store was restored since their records were read. What is known of the records stays, so
// that epochs do not go back.
func (c *Coordinator) ForgetLost(now time.Duration, listing store.Revision, entries []SlotEntry) {
	listed := make(map[int]bool, len(entries))
	for _, e := range entries {
		listed[e.Index] = true
	}
	for i := range c.slots {
		if s := &c.slots[i]; s.revision != 0 && !listed[i] && s.revision.Era() < listing.Era() {
			s.revision, s.revisionSeenAt = 0, now
		}
	}
}

// SlotsRead processes the outcome of a read of the slots.
func (c *Coordinator) SlotsRead(now time.Duration, entries []SlotEntry, err error) {
	c.reading = false
	c.nextRead = now + c.cfg.ReadInterval
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

// observe processes a record that was read or written. Revisions and epochs
// older than the known ones are ignored. This process has a lease on the slot
// only if the record is that of its pending swap, or names it while it already
// has the lease. Peers get a heartbeat at once when this process has acquired or
// released the slot.
func (c *Coordinator) observe(now time.Duration, e SlotEntry) {
	s := &c.slots[e.Index]
	if e.Revision <= s.revision {
		return
	}
	if e.Record.Epoch < s.record.Epoch {
		// After a restore of the store the next swap has to expect the revision of the
		// older record, or else the slot could never be swapped again.
		if e.Revision.Era() > s.revision.Era() {
			s.revision, s.revisionSeenAt = e.Revision, now
		}
		return
	}
	ownSwap := s.pendingSwap != nil && s.pendingSwap.Record == e.Record
	leaseStart, heldBefore := s.leaseStart, c.recordNamesSelf(s)
	if ownSwap {
		leaseStart = s.pendingSwap.SentAt
	}
	s.record, s.revision, s.revisionSeenAt, s.pendingSwap = e.Record, e.Revision, now, nil
	s.owned = c.recordNamesSelf(s) && (ownSwap || s.owned)
	s.leaseStart = leaseStart
	c.unannounced = c.unannounced || c.recordNamesSelf(s) != heldBefore
	if e.Record.Instance != "" {
		c.peerStateOf(e.Record.Instance, now)
	}
}

// SwapDone processes the outcome of a swap. After an error the swap may still
// have taken effect, so the slots are read again.
func (c *Coordinator) SwapDone(now time.Duration, swap *Swap, revision store.Revision, err error) {
	c.swapping = false
	c.nextSwap = now + c.swapBackoff(err)
	if err != nil {
		c.rereadSlots = true
		return
	}
	c.observe(now, SlotEntry{Index: swap.Slot, Record: swap.Record, Revision: revision})
}

// swapBackoff returns the delay before the next swap. After a failure it is
// random, so that competing instances do not collide again, and short after a
// conflict, since the store works.
func (c *Coordinator) swapBackoff(err error) time.Duration {
	if err == nil {
		c.conflicts = 0
		return 0
	}
	longest := c.cfg.ReadInterval
	if eris.Is(err, store.ErrConflict) {
		c.conflicts++
		if c.conflicts <= immediateSwaps {
			return 0
		}
		longest = min(longest, conflictBackoff<<min(c.conflicts-immediateSwaps-1, maxConflictDoublings))
	}
	return time.Duration(c.random.Int64N(int64(longest)))
}

// leaseExpiry returns when the lease on a slot expires.
func (c *Coordinator) leaseExpiry(s *slot) time.Duration { return s.leaseStart + c.cfg.SlotLeaseTTL }

// believedAlive reports whether an instance is believed to run: it sent a
// heartbeat recently, or it is listed and, in a full mesh, was listed too
// recently for a heartbeat to be due. In a larger fleet, where heartbeats reach
// only some peers, every listed instance counts as alive.
func (c *Coordinator) believedAlive(id topology.InstanceID, p *peerState, now time.Duration) bool {
	if id == c.cfg.Self.ID {
		return true
	}
	if p.heartbeatSeen && now-p.heartbeatAt < c.cfg.SilenceTimeout {
		return true
	}
	fullMesh := len(c.peers) <= fullMeshInstances
	return p.listed && (!fullMesh || now-p.listedSince < c.cfg.SilenceTimeout)
}

// View returns the state as of now.
func (c *Coordinator) View(now time.Duration) View {
	v := View{Peers: c.knownPeers(), Holders: make([]topology.InstanceID, len(c.slots))}
	self := Member{Instance: c.cfg.Self, Incarnation: c.cfg.Incarnation}
	v.Live = append(v.Live, self)
	for id, p := range c.peers {
		if id == c.cfg.Self.ID {
			continue
		}
		if c.believedAlive(id, p, now) {
			v.Live = append(v.Live, Member{Instance: p.instance, Incarnation: p.incarnation})
		}
		if c.confirmedRemoved(p, now) && now-p.unlistedSince >= c.cfg.Quarantine {
			v.Removed = append(v.Removed, id)
		}
	}
	slices.SortFunc(v.Live, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	slices.Sort(v.Removed)
	for i := range c.slots {
		s := &c.slots[i]
		v.Holders[i] = s.record.Instance
		if s.owned && !c.draining {
			v.SlotLeases = append(v.SlotLeases, SlotLease{Index: i, Epoch: s.record.Epoch, ExpiresAt: c.leaseExpiry(s)})
		}
	}
	return v
}

// confirmedRemoved reports whether the platform's list, read recently, has
// omitted an instance for longer than the list may lag, and no heartbeat of the
// instance has arrived in that time.
func (c *Coordinator) confirmedRemoved(p *peerState, now time.Duration) bool {
	fresh := c.listRead && now-c.listReadAt < 3*c.cfg.ListInterval
	silent := !p.heartbeatSeen || p.heartbeatAt < p.unlistedSince
	return fresh && !p.listed && silent && now-p.unlistedSince >= c.cfg.ListLag
}
