package ledger

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/fixedseed"
	"samphirehitch.example/samphirehitch/process/membership"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// membershipFleet is a fleet whose slots are assigned by membership
// coordinators, over a store that can fail and a list of instances that can be
// out of date.
type membershipFleet struct {
	*fleet
	revision store.Revision
	// slotEntries are the slot records in the store.
	slotEntries map[int]membership.SlotEntry
	// instanceLists holds the list of instances at every tick.
	instanceLists    [][]platform.Instance
	storeUnavailable bool
	// processes counts the processes started.
	processes uint64
	// configure, when set, changes the configuration of a process's membership.
	configure func(*membership.Config)
	// wakes makes a coordinator tick after each call and heartbeat, as the driver does.
	wakes bool
}

const membershipTickInterval = 50 * time.Millisecond

func newMembershipFleet(seed uint64, limits []RateLimit) *membershipFleet {
	m := &membershipFleet{fleet: newFleet(seed, propertyInstances, propertySlots, limits)}
	m.start()
	return m
}

// start starts a process of each instance.
func (m *membershipFleet) start() {
	m.slotEntries = map[int]membership.SlotEntry{}
	m.connectionLimits = []ConnectionLimit{{Target: poolTarget, Total: poolTotal}}
	m.startOracles(maxClockDrift)
	for _, inst := range m.instances {
		inst.offset = time.Duration(m.rng.Int64N(int64(time.Hour)))
		inst.drift = time.Duration(m.rng.Int64N(int64(2*maxClockDrift))) - maxClockDrift
		m.startProcess(inst)
	}
	m.schedule(0, m.tick)
}

// startProcess gives an instance a new process, which knows of no slots yet.
func (m *membershipFleet) startProcess(inst *instance) {
	m.processes++
	demand := inst.pool.demand
	inst.paused, inst.deferred, inst.waiting = false, nil, nil
	inst.slots = SlotAssignment{Holders: make([]topology.InstanceID, propertySlots)}
	cfg := membership.Config{
		Self:        platform.Instance{ID: inst.id, Peer: string(inst.id), State: platform.InstanceLive},
		Incarnation: uint64(m.now) + 1, Slots: propertySlots,
		SlotLeaseTTL: 3 * time.Second, Quarantine: 4 * time.Second, RenewInterval: 700 * time.Millisecond,
		ListLag: 500 * time.Millisecond, ReadInterval: 200 * time.Millisecond, ListInterval: 200 * time.Millisecond,
		HeartbeatInterval: 100 * time.Millisecond, SilenceTimeout: 500 * time.Millisecond,
	}
	if m.configure != nil {
		m.configure(&cfg)
	}
	inst.membership = membership.NewCoordinator(cfg, rand.New(rand.NewPCG(m.processes, 2)))
	m.startLedger(inst)
	inst.pool.demand = demand
}

// tick ticks the coordinators, synchronizes the pools and checks the limits.
func (m *membershipFleet) tick() {
	var list []platform.Instance
	for _, inst := range m.instances {
		if !inst.down {
			list = append(list, platform.Instance{ID: inst.id, State: platform.InstanceLive})
		}
	}
	m.instanceLists = append(m.instanceLists, list)
	for _, inst := range m.instances {
		m.updateMembership(inst, func(c *membership.Coordinator) { m.perform(inst, c.Tick(inst.localTime(m.now))) })
		m.syncPool(inst)
	}
	m.checkTokens()
	m.checkConnectionTotal()
	m.schedule(membershipTickInterval, m.tick)
}

// updateMembership passes an event to the instance's coordinator and the
// resulting view to its ledger.
func (m *membershipFleet) updateMembership(inst *instance, event func(*membership.Coordinator)) {
	c := inst.membership
	m.deliver(inst, inst.shard, func() {
		event(c)
		now := inst.localTime(m.now)
		view := c.View(now)
		slots := &SlotAssignment{Holders: view.Holders, Peers: view.Peers}
		for _, lease := range view.SlotLeases {
			slots.Leases = append(slots.Leases, SlotLease{Index: lease.Index, Epoch: lease.Epoch, ExpiresAt: lease.ExpiresAt})
		}
		inst.shard.SetSlots(now, slots)
		inst.conns.SetSlots(now, slots)
		for _, member := range view.Live {
			inst.conns.InstanceRestarted(now, member.ID, max(member.Incarnation, 1))
		}
		for _, id := range view.Removed {
			inst.conns.InstanceRemoved(now, id)
		}
	})
}

// updateMembershipLater is updateMembership after the network's delay, if the
// process still runs.
func (m *membershipFleet) updateMembershipLater(inst *instance, event func(*membership.Coordinator)) {
	process := inst.shard
	m.schedule(m.latency+time.Duration(m.rng.Int64N(int64(m.jitter)+1)), func() {
		if inst.shard != process {
			return
		}
		m.updateMembership(inst, event)
		if m.wakes {
			m.updateMembership(inst, func(c *membership.Coordinator) { m.perform(inst, c.Tick(inst.localTime(m.now))) })
		}
	})
}

// storeError returns an error when the store is unavailable, or at random by the
// network's loss.
func (m *membershipFleet) storeError() error {
	if m.storeUnavailable || m.rng.IntN(100) < m.lossPercent {
		return store.ErrUnavailable
	}
	return nil
}

// perform executes the actions of the instance's coordinator: reads, a swap and
// heartbeats.
func (m *membershipFleet) perform(inst *instance, a membership.Actions) {
	if a.ReadList {
		list, err := m.instanceLists[max(0, len(m.instanceLists)-1-m.rng.IntN(10))], m.storeError()
		m.updateMembershipLater(inst, func(c *membership.Coordinator) { c.ListRead(inst.localTime(m.now), list, err) })
	}
	if a.ReadSlots {
		var entries []membership.SlotEntry
		for slot := range propertySlots {
			if e, exists := m.slotEntries[slot]; exists {
				entries = append(entries, e)
			}
		}
		err := m.storeError()
		m.updateMembershipLater(inst, func(c *membership.Coordinator) { c.SlotsRead(inst.localTime(m.now), entries, err) })
	}
	if swap := a.Swap; swap != nil {
		revision, err := m.swap(swap)
		m.updateMembershipLater(inst, func(c *membership.Coordinator) { c.SwapDone(inst.localTime(m.now), swap, revision, err) })
	}
	for _, to := range m.instances {
		for _, id := range a.HeartbeatRecipients {
			if id == to.id && m.rng.IntN(100) >= m.lossPercent {
				m.updateMembershipLater(to, func(c *membership.Coordinator) { c.HeartbeatReceived(to.localTime(m.now), inst.id, a.Heartbeat) })
			}
		}
	}
}

// swap updates a slot record in the store. Some responses are lost after the
// update.
func (m *membershipFleet) swap(s *membership.Swap) (store.Revision, error) {
	if m.storeUnavailable {
		return 0, store.ErrUnavailable
	}
	if m.slotEntries[s.Slot].Revision != s.Expect {
		return 0, store.ErrConflict
	}
	m.revision++
	m.slotEntries[s.Slot] = membership.SlotEntry{Index: s.Slot, Record: s.Record, Revision: m.revision}
	return m.revision, m.storeError()
}

// TestLimitsHoldWithMembership is a property test of ledger and membership
// together, with kills, restarts, pauses beyond the slot leases, lost,
// duplicated and late messages, lost responses and outages of the store. It
// fails when a customer gets more than rate*w+burst in any window, when tokens
// of a part exist twice, or when more connections may be open than the target's
// total.
func TestLimitsHoldWithMembership(t *testing.T) {
	// A check takes about ten times as long as in the tests of the ledger alone.
	fixedseed.SetChecks(t, "60")
	rapid.Check(t, func(t *rapid.T) {
		limits := []RateLimit{{Customer: "fast", Rate: 100, Burst: 20}, {Customer: "slow", Rate: 4, Burst: 3}}
		m := newMembershipFleet(rapid.Uint64().Draw(t, "seed"), limits)
		defer failOnViolation(t)
		quiet := false
		var load func()
		load = func() {
			for _, inst := range m.instances {
				if !quiet {
					m.sendRequest(inst, limits[m.rng.IntN(2)].Customer)
				}
			}
			m.schedule(23*time.Millisecond, load)
		}
		m.schedule(0, load)
		m.runUntil(10 * time.Second)
		pick := func() *instance { return m.instances[rapid.IntRange(0, propertyInstances-1).Draw(t, "instance")] }
		run := func(t *rapid.T) {
			m.runUntil(m.now + time.Duration(rapid.SampledFrom([]int{50, 300, 2000, 9000}).Draw(t, "ms"))*time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			// Running is listed twice so that it is chosen more often.
			"run":    run,
			"run on": run,
			"demand": func(t *rapid.T) {
				inst := pick()
				inst.pool.demand = rapid.IntRange(0, poolTotal).Draw(t, "demand")
				inst.pool.inUse = min(inst.pool.inUse, inst.pool.demand)
				quiet = rapid.Bool().Draw(t, "quiet")
			},
			"network": func(t *rapid.T) {
				m.lossPercent = rapid.SampledFrom([]int{0, 0, 10, 30}).Draw(t, "loss")
				m.duplicatePercent = rapid.SampledFrom([]int{0, 30}).Draw(t, "duplication")
				m.jitter = time.Duration(rapid.SampledFrom([]int{0, 5, 45, 300}).Draw(t, "jitter ms")) * time.Millisecond
				m.storeUnavailable = rapid.IntRange(0, 4).Draw(t, "store") == 0
			},
			"pause": func(*rapid.T) {
				inst := pick()
				inst.paused = true
				m.schedule(6*time.Second, func() { m.resume(inst) })
			},
			"kill": func(*rapid.T) {
				inst := pick()
				inst.down, inst.pool = true, fakePool{}
			},
			"start": func(*rapid.T) { m.startProcess(pick()) },
			"drain": func(*rapid.T) { m.updateMembership(pick(), func(c *membership.Coordinator) { c.Drain() }) },
		})
	})
}
