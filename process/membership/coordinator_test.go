package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/fixedseed"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// TestMain fixes the seed of rapid unless the command line sets one.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "7", Checks: "300", Steps: "80"})
	os.Exit(m.Run())
}

const (
	testInstances = 4
	testSlots     = 5
)

var errResponseLost = errors.New("response lost")

// process is one run of an instance. Its clock has an offset and drifts.
type process struct {
	instance    topology.InstanceID
	coordinator *Coordinator
	clockOffset time.Duration
	clockDrift  time.Duration
	paused      bool
	// queuedSteps holds the events that arrived while the process was paused.
	queuedSteps []func()
	killed      bool
}

func (p *process) clock(now time.Duration) time.Duration {
	return now + p.clockOffset + time.Duration(now.Seconds()*float64(p.clockDrift))
}

// harness simulates the store, the platform's list, the network and the
// instances' processes.
type harness struct {
	now      time.Duration
	pending  []delayedStep
	revision store.Revision
	// slotHistory and listHistory hold all former contents, from which stale
	// reads are served.
	slotHistory [][]SlotEntry
	slots       map[int]SlotEntry
	// running holds the processes that the platform's list shows.
	running map[topology.InstanceID]*process
	// processes holds all processes ever started, also killed ones and those
	// that the list has dropped while they were paused.
	processes   []*process
	listHistory [][]platform.Instance
	// lossPercent is the share of calls and messages that are lost, delayMillis
	// the maximum delay of the others.
	lossPercent, delayMillis int
	storeUnavailable         bool
	random                   *rand.Rand
	startCount               uint64
}

// delayedStep is a function that runs at a simulated time.
type delayedStep struct {
	dueAt time.Duration
	run   func()
}

func newHarness(seed uint64) *harness {
	return &harness{
		slots:   map[int]SlotEntry{},
		running: map[topology.InstanceID]*process{},
		random:  rand.New(rand.NewPCG(seed, 0)),
	}
}

func testConfig(id topology.InstanceID, incarnation uint64) Config {
	return Config{
		Self: platform.Instance{ID: id, State: platform.InstanceLive}, Incarnation: incarnation, Slots: testSlots,
		SlotLeaseTTL: 10 * time.Second, Quarantine: 11 * time.Second, RenewInterval: 2 * time.Second,
		ListLag: time.Second, ReadInterval: 500 * time.Millisecond, ListInterval: 500 * time.Millisecond,
		HeartbeatInterval: 200 * time.Millisecond, SilenceTimeout: time.Second,
	}
}

// start starts a process of an instance.
func (h *harness) start(id topology.InstanceID) {
	h.startCount++
	cfg := testConfig(id, h.startCount)
	cfg.Self.Peer = h.address(id)
	p := &process{instance: id, coordinator: NewCoordinator(cfg, rand.New(rand.NewPCG(h.startCount, 1)))}
	p.clockOffset = time.Duration(h.random.Int64N(int64(time.Hour)))
	p.clockDrift = time.Duration(h.random.Int64N(int64(20*time.Millisecond))) - 10*time.Millisecond
	h.running[id] = p
	h.processes = append(h.processes, p)
}

// address returns where a new process of an instance listens: the instance's
// usual address, or another one if an earlier process may still listen there.
func (h *harness) address(id topology.InstanceID) string {
	for _, p := range h.processes {
		if p.instance == id && !p.killed {
			return fmt.Sprint(id, "-", h.startCount)
		}
	}
	return string(id)
}

// kill ends an instance's process.
func (h *harness) kill(id topology.InstanceID) {
	if p := h.running[id]; p != nil {
		p.killed = true
		delete(h.running, id)
	}
}

// schedule runs a step after a random delay, on a process if p is not nil.
func (h *harness) schedule(p *process, step func()) {
	dueAt := h.now + time.Duration(h.random.IntN(h.delayMillis+1))*time.Millisecond
	h.pending = append(h.pending, delayedStep{dueAt: dueAt, run: func() { h.runOn(p, step) }})
}

// runOn runs a step on a process: a killed one drops it and a paused one queues
// it. Without a process the step always runs.
func (h *harness) runOn(p *process, step func()) {
	switch {
	case p != nil && p.killed:
	case p != nil && p.paused:
		p.queuedSteps = append(p.queuedSteps, func() { h.runOn(p, step) })
	default:
		step()
	}
}

// randomLoss decides whether the next call or message is lost.
func (h *harness) randomLoss() bool { return h.random.IntN(100) < h.lossPercent }

// advance runs the simulation in small steps.
func (h *harness) advance(duration time.Duration) {
	const step = 50 * time.Millisecond
	for end := h.now + duration; h.now < end; {
		h.now += step
		due := h.pending
		h.pending = nil
		for _, d := range due {
			if d.dueAt <= h.now {
				d.run()
				continue
			}
			h.pending = append(h.pending, d)
		}
		h.recordList()
		for i := range testInstances {
			if p := h.running[instanceID(i)]; p != nil {
				h.runOn(p, func() { h.execute(p, p.coordinator.Tick(p.clock(h.now))) })
			}
		}
		h.checkSingleHolder()
	}
}

func instanceID(i int) topology.InstanceID { return topology.InstanceID(fmt.Sprintf("i%d", i)) }

// recordList appends the current list to its history.
func (h *harness) recordList() {
	var list []platform.Instance
	for i := range testInstances {
		if p := h.running[instanceID(i)]; p != nil {
			list = append(list, platform.Instance{ID: p.instance, State: platform.InstanceLive})
		}
	}
	h.listHistory = append(h.listHistory, list)
}

// execute carries out the actions of a process's coordinator.
func (h *harness) execute(p *process, a Actions) {
	if a.ReadList {
		list := h.listHistory[max(0, len(h.listHistory)-1-h.random.IntN(20))]
		h.deliverRead(p, func(err error) { p.coordinator.ListRead(p.clock(h.now), list, err) })
	}
	if a.ReadSlots {
		var entries []SlotEntry
		if len(h.slotHistory) > 0 {
			entries = h.slotHistory[max(0, len(h.slotHistory)-1-h.random.IntN(3))]
		}
		h.deliverRead(p, func(err error) { p.coordinator.SlotsRead(p.clock(h.now), entries, err) })
	}
	if a.Swap != nil {
		h.sendSwap(p, a.Swap)
	}
	for _, to := range a.HeartbeatRecipients {
		if peer := h.running[to]; peer != nil && !h.randomLoss() {
			h.schedule(peer, func() { peer.coordinator.HeartbeatReceived(peer.clock(h.now), p.instance, a.Heartbeat) })
		}
	}
}

// deliverRead delivers the outcome of a read after a delay, perhaps as an
// error.
func (h *harness) deliverRead(p *process, deliver func(error)) {
	var err error
	if h.storeUnavailable || h.randomLoss() {
		err = errResponseLost
	}
	h.schedule(p, func() { deliver(err) })
}

// sendSwap carries out a swap now, later or never. The response may be lost
// although the swap took effect.
func (h *harness) sendSwap(p *process, s *Swap) {
	if h.storeUnavailable || h.randomLoss() {
		h.schedule(p, func() { p.coordinator.SwapDone(p.clock(h.now), s, 0, store.ErrUnavailable) })
		if !h.storeUnavailable && h.random.IntN(2) == 0 {
			h.schedule(nil, func() { h.apply(s) })
		}
		return
	}
	revision, err := h.apply(s)
	h.deliverRead(p, func(readErr error) {
		if readErr != nil {
			err = store.ErrUnavailable
		}
		p.coordinator.SwapDone(p.clock(h.now), s, revision, err)
	})
}

// apply performs a compare-and-swap in the store.
func (h *harness) apply(s *Swap) (store.Revision, error) {
	if h.slots[s.Slot].Revision != s.Expect {
		return 0, store.ErrConflict
	}
	h.revision++
	h.slots[s.Slot] = SlotEntry{Index: s.Slot, Record: s.Record, Revision: h.revision}
	var all []SlotEntry
	for i := range testSlots {
		if e, exists := h.slots[i]; exists {
			all = append(all, e)
		}
	}
	h.slotHistory = append(h.slotHistory, all)
	return h.revision, nil
}

// holders returns, by slot, the processes that would use it if they ran now.
func (h *harness) holders() map[int][]*process {
	holders := map[int][]*process{}
	for _, p := range h.processes {
		if p.killed {
			continue
		}
		now := p.clock(h.now)
		for _, lease := range p.coordinator.View(now).SlotLeases {
			if now < lease.ExpiresAt {
				holders[lease.Index] = append(holders[lease.Index], p)
			}
		}
	}
	return holders
}

// checkSingleHolder panics when two processes could use the same slot now.
func (h *harness) checkSingleHolder() {
	for slot, holders := range h.holders() {
		if len(holders) > 1 {
			panic(fmt.Sprintf("slot %d has %d holders at %v", slot, len(holders), h.now))
		}
	}
}

// TestSlotsHaveOneHolder explores random sequences of starts, kills, pauses
// beyond every lease, stale reads, lost responses, swaps that take effect late
// and outages of the store. No two processes may ever have an unexpired lease
// on one slot.
func TestSlotsHaveOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(rapid.Uint64().Draw(t, "seed"))
		defer func() {
			violation := recover()
			if text, ok := violation.(string); ok {
				t.Fatal(text)
			}
			if violation != nil {
				panic(violation)
			}
		}()
		pick := func() topology.InstanceID { return instanceID(rapid.IntRange(0, testInstances-1).Draw(t, "instance")) }
		run := func(t *rapid.T) {
			h.advance(time.Duration(rapid.SampledFrom([]int{100, 500, 3000, 13000}).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":       run,
			"run again": run,
			"start": func(t *rapid.T) {
				if id := pick(); h.running[id] == nil {
					h.start(id)
				}
			},
			"kill": func(*rapid.T) { h.kill(pick()) },
			"restart": func(*rapid.T) {
				id := pick()
				h.kill(id)
				h.start(id)
			},
			"drain": func(*rapid.T) {
				if p := h.running[pick()]; p != nil {
					p.coordinator.Drain()
				}
			},
			"pause": func(*rapid.T) {
				if p := h.running[pick()]; p != nil {
					p.paused = true
				}
			},
			// The list may drop a paused instance that later resumes.
			"list drops": func(*rapid.T) {
				if id := pick(); h.running[id] != nil && h.running[id].paused {
					delete(h.running, id)
				}
			},
			"unpause": func(*rapid.T) {
				for _, p := range h.processes {
					queued := p.queuedSteps
					p.paused, p.queuedSteps = false, nil
					for _, step := range queued {
						step()
					}
				}
			},
			"faults": func(t *rapid.T) {
				h.lossPercent = rapid.SampledFrom([]int{0, 0, 20, 60}).Draw(t, "loss percent")
				h.delayMillis = rapid.SampledFrom([]int{0, 50, 1000, 8000}).Draw(t, "delay ms")
				h.storeUnavailable = rapid.IntRange(0, 3).Draw(t, "store") == 0
			},
		})
	})
}

// TestSlotsAreReassigned follows a fleet through its start, a graceful leave, a
// new instance, a kill after which the slot changes hands only after the
// quarantine, a restart that reclaims its slot immediately, and a short outage
// of the store.
func TestSlotsAreReassigned(t *testing.T) {
	h := newHarness(5)
	h.delayMillis = 50
	heldSlots := func() int { return len(h.holders()) }
	for i := range testInstances {
		h.start(instanceID(i))
	}
	h.advance(10 * time.Second)
	if heldSlots() != testSlots {
		t.Fatalf("%d of %d slots are held after the fleet started", heldSlots(), testSlots)
	}
	h.running["i0"].coordinator.Drain()
	h.advance(time.Second)
	if !h.running["i0"].coordinator.Drained() {
		t.Fatal("the leaving instance still holds a slot")
	}
	h.kill("i0")
	h.advance(5 * time.Second)
	if heldSlots() != testSlots {
		t.Fatalf("%d of %d slots are held after a graceful leave", heldSlots(), testSlots)
	}
	h.start("i0")
	h.advance(10 * time.Second)
	if leases := h.running["i0"].coordinator.View(0).SlotLeases; len(leases) != 1 {
		t.Fatalf("a new instance got %d slots", len(leases))
	}
	h.kill("i1")
	h.advance(5 * time.Second)
	if heldSlots() == testSlots {
		t.Fatal("a killed holder's slot was acquired before the end of the quarantine")
	}
	h.advance(11 * time.Second)
	if heldSlots() != testSlots {
		t.Fatalf("%d of %d slots are held after the quarantine", heldSlots(), testSlots)
	}
	h.kill("i2")
	h.start("i2")
	h.advance(2 * time.Second)
	if heldSlots() != testSlots {
		t.Fatal("a restarted instance did not reclaim its slot immediately")
	}
	h.storeUnavailable = true
	h.advance(7 * time.Second)
	if heldSlots() != testSlots {
		t.Fatal("leases ended in a short outage of the store")
	}
}

// TestConnectedInstancesBecomeLiveWithoutList checks that two instances missing
// from the platform's list learn of each other through the link between them.
func TestConnectedInstancesBecomeLiveWithoutList(t *testing.T) {
	ids := []topology.InstanceID{"a", "b"}
	var fleet []*Coordinator
	for i, id := range ids {
		cfg := DefaultConfig(platform.Instance{ID: id}, uint64(i+1), 8)
		fleet = append(fleet, NewCoordinator(cfg, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	fleet[0].PeerConnected(0, platform.Instance{ID: "b", FailureDomain: "d"})
	fleet[1].PeerConnected(0, platform.Instance{ID: "a", FailureDomain: "d"})
	for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
		for i, c := range fleet {
			a := c.Tick(now)
			for range a.HeartbeatRecipients {
				fleet[1-i].HeartbeatReceived(now, ids[i], a.Heartbeat)
			}
		}
	}
	for i, c := range fleet {
		if live := c.View(time.Second).Live; len(live) != len(ids) {
			t.Errorf("%s believes %d instances alive, want %d", ids[i], len(live), len(ids))
		}
	}
}
