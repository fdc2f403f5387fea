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

// members runs a fleet whose slots are assigned by membership coordinators over
// a faulty store and a lagging list.
type members struct {
	*fleet
	revision  store.Revision
	current   map[int]membership.SlotEntry
	lists     [][]platform.Instance
	storeDown bool
	started   uint64
}

const memberTick = 50 * time.Millisecond

func newMembers(seed uint64, limits []Limit) *members {
	m := &members{fleet: newFleet(seed, exploredInstances, exploredSlots, limits), current: map[int]membership.SlotEntry{}}
	m.connections = []ConnectionLimit{{Target: poolTarget, Total: poolTotal}}
	m.expect(longestDrift)
	for _, in := range m.instances {
		in.offset = time.Duration(m.rng.Int64N(int64(time.Hour)))
		in.drift = time.Duration(m.rng.Int64N(int64(2*longestDrift))) - longestDrift
		m.boot(in)
	}
	m.after(0, m.tick)
	return m
}

// boot gives an instance a new process.
func (m *members) boot(in *instance) {
	m.started++
	demand := in.pool.demand
	in.paused, in.held, in.waiting = false, nil, nil
	in.slots = Slots{Holders: make([]topology.InstanceID, exploredSlots)}
	in.members = membership.NewCoordinator(membership.Config{
		Self:    platform.Instance{ID: in.id, Peer: string(in.id), State: platform.InstanceLive},
		FirstID: uint64(m.now) + 1, Slots: exploredSlots,
		RightTerm: 3 * time.Second, Quarantine: 4 * time.Second, RenewEvery: 700 * time.Millisecond,
		ListLag: 500 * time.Millisecond, ReadEvery: 200 * time.Millisecond, ListEvery: 200 * time.Millisecond,
		HeartbeatEvery: 100 * time.Millisecond, SilentAfter: 500 * time.Millisecond,
	}, rand.New(rand.NewPCG(m.started, 2)))
	m.start(in)
	in.pool.demand = demand
}

func (m *members) tick() {
	var list []platform.Instance
	for _, in := range m.instances {
		if !in.down {
			list = append(list, platform.Instance{ID: in.id, State: platform.InstanceLive})
		}
	}
	m.lists = append(m.lists, list)
	for _, in := range m.instances {
		m.step(in, func(c *membership.Coordinator) { m.act(in, c.Tick(in.clock(m.now))) })
		m.syncPool(in)
	}
	m.checkParts()
	m.checkPools()
	m.after(memberTick, m.tick)
}

// step runs an event of the instance's coordinator and hands the view on.
func (m *members) step(in *instance, event func(*membership.Coordinator)) {
	c := in.members
	m.on(in, in.shard, func() {
		event(c)
		now := in.clock(m.now)
		view := c.View(now)
		slots := &Slots{Holders: view.Holders}
		for _, r := range view.Rights {
			slots.Owned = append(slots.Owned, OwnedSlot{Index: r.Index, Epoch: r.Epoch, Until: r.Until})
		}
		in.shard.SetSlots(now, slots)
		in.conns.SetSlots(now, slots)
		for _, member := range view.Live {
			in.conns.Restarted(now, member.ID, max(member.FirstID, 1))
		}
		for _, id := range view.Gone {
			in.conns.Forget(now, id)
		}
	})
}

// later runs an event of the instance's coordinator after the network's delay.
func (m *members) later(in *instance, event func(*membership.Coordinator)) {
	shard := in.shard
	m.after(m.latency+time.Duration(m.rng.Int64N(int64(m.jitter)+1)), func() {
		if in.shard == shard {
			m.step(in, event)
		}
	})
}

func (m *members) failure() error {
	if m.storeDown || m.rng.IntN(100) < m.lossPercent {
		return store.ErrUnavailable
	}
	return nil
}

func (m *members) act(in *instance, a membership.Actions) {
	if a.ReadList {
		list, err := m.lists[max(0, len(m.lists)-1-m.rng.IntN(10))], m.failure()
		m.later(in, func(c *membership.Coordinator) { c.ListRead(in.clock(m.now), list, err) })
	}
	if a.ReadSlots {
		var entries []membership.SlotEntry
		for slot := range exploredSlots {
			if e, exists := m.current[slot]; exists {
				entries = append(entries, e)
			}
		}
		err := m.failure()
		m.later(in, func(c *membership.Coordinator) { c.SlotsRead(in.clock(m.now), entries, err) })
	}
	if swap := a.Swap; swap != nil {
		revision, err := m.swap(swap)
		m.later(in, func(c *membership.Coordinator) { c.SwapDone(in.clock(m.now), swap, revision, err) })
	}
	for _, to := range m.instances {
		for _, id := range a.Heartbeats {
			if id == to.id && m.rng.IntN(100) >= m.lossPercent {
				m.later(to, func(c *membership.Coordinator) { c.HeartbeatReceived(to.clock(m.now), in.id, a.Heartbeat) })
			}
		}
	}
}

// swap changes the store; some answers are lost after the change.
func (m *members) swap(s *membership.Swap) (store.Revision, error) {
	if m.storeDown {
		return 0, store.ErrUnavailable
	}
	if m.current[s.Slot].Revision != s.Expect {
		return 0, store.ErrConflict
	}
	m.revision++
	m.current[s.Slot] = membership.SlotEntry{Index: s.Slot, Record: s.Record, Revision: m.revision}
	return m.revision, m.failure()
}

// TestFleetHolds explores the ledger and the membership together: kills,
// restarts, pauses past the slots' term, lost, doubled and late messages, lost
// answers and outages of the store. The fleet panics as soon as a customer gets
// more than rate*w+burst in any window, some part's tokens exist twice, or more
// connections may be open than the target takes.
func TestFleetHolds(t *testing.T) {
	// One exploration costs some ten times that of the ledger alone.
	fixedseed.Checks(t, "60")
	rapid.Check(t, func(t *rapid.T) {
		limits := []Limit{{Customer: "fast", Rate: 100, Burst: 20}, {Customer: "slow", Rate: 4, Burst: 3}}
		m := newMembers(rapid.Uint64().Draw(t, "seed"), limits)
		defer failOnBreach(t)
		quiet := false
		var load func()
		load = func() {
			for _, in := range m.instances {
				if !quiet {
					m.request(in, limits[m.rng.IntN(2)].Customer)
				}
			}
			m.after(23*time.Millisecond, load)
		}
		m.after(0, load)
		m.runUntil(10 * time.Second)
		pick := func() *instance { return m.instances[rapid.IntRange(0, exploredInstances-1).Draw(t, "instance")] }
		run := func(t *rapid.T) {
			m.runUntil(m.now + time.Duration(rapid.SampledFrom([]int{50, 300, 2000, 9000}).Draw(t, "ms"))*time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":    run,
			"run on": run,
			"demand": func(t *rapid.T) {
				in := pick()
				in.pool.demand = rapid.IntRange(0, poolTotal).Draw(t, "demand")
				in.pool.inUse = min(in.pool.inUse, in.pool.demand)
				quiet = rapid.Bool().Draw(t, "quiet")
			},
			"network": func(t *rapid.T) {
				m.lossPercent = rapid.SampledFrom([]int{0, 0, 10, 30}).Draw(t, "loss")
				m.doublePercent = rapid.SampledFrom([]int{0, 30}).Draw(t, "double")
				m.jitter = time.Duration(rapid.SampledFrom([]int{0, 5, 45, 300}).Draw(t, "jitter ms")) * time.Millisecond
				m.storeDown = rapid.IntRange(0, 4).Draw(t, "store") == 0
			},
			"pause": func(*rapid.T) {
				in := pick()
				in.paused = true
				m.after(6*time.Second, func() { m.resume(in) })
			},
			"kill": func(*rapid.T) {
				in := pick()
				in.down, in.pool = true, fakePool{}
			},
			"start": func(*rapid.T) { m.boot(pick()) },
		})
	})
}
