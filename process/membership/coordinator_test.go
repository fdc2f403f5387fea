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

// TestMain fixes the seed of the explorations unless the command line gives one.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "7", Checks: "300", Steps: "80"})
	os.Exit(m.Run())
}

const (
	testInstances = 4
	testSlots     = 5
)

var errLost = errors.New("answer lost")

// process is one run of an instance.
type process struct {
	instance topology.InstanceID
	c        *Coordinator
	offset   time.Duration
	drift    time.Duration
	paused   bool
	held     []func()
	dead     bool
}

func (p *process) clock(now time.Duration) time.Duration {
	return now + p.offset + time.Duration(now.Seconds()*float64(p.drift))
}

// world is the store, the list, the network and the instances.
type world struct {
	now      time.Duration
	pending  []delayed
	revision store.Revision
	history  [][]SlotEntry
	current  map[int]SlotEntry
	running  map[topology.InstanceID]*process
	// all keeps every process that still exists.
	all   []*process
	lists [][]platform.Instance
	// faults of the network, in percent, and the longest delay in milliseconds.
	lossPercent, delayMillis int
	storeDown                bool
	rng                      *rand.Rand
	started                  uint64
}

type delayed struct {
	at  time.Duration
	run func()
}

func newWorld(seed uint64) *world {
	return &world{
		current: map[int]SlotEntry{},
		running: map[topology.InstanceID]*process{},
		rng:     rand.New(rand.NewPCG(seed, 0)),
	}
}

func testConfig(id topology.InstanceID, firstID uint64) Config {
	return Config{
		Self: platform.Instance{ID: id, State: platform.InstanceLive}, FirstID: firstID, Slots: testSlots,
		RightTerm: 10 * time.Second, Quarantine: 11 * time.Second, RenewEvery: 2 * time.Second,
		ListLag: time.Second, ReadEvery: 500 * time.Millisecond, ListEvery: 500 * time.Millisecond,
		HeartbeatEvery: 200 * time.Millisecond, SilentAfter: time.Second,
	}
}

func (w *world) start(id topology.InstanceID) {
	w.started++
	cfg := testConfig(id, w.started)
	cfg.Self.Peer = w.address(id)
	p := &process{instance: id, c: NewCoordinator(cfg, rand.New(rand.NewPCG(w.started, 1)))}
	p.offset = time.Duration(w.rng.Int64N(int64(time.Hour)))
	p.drift = time.Duration(w.rng.Int64N(int64(20*time.Millisecond))) - 10*time.Millisecond
	w.running[id] = p
	w.all = append(w.all, p)
}

// address returns where a new process of an instance listens: the usual place,
// unless a forgotten process may still be there.
func (w *world) address(id topology.InstanceID) string {
	for _, p := range w.all {
		if p.instance == id && !p.dead {
			return fmt.Sprint(id, "-", w.started)
		}
	}
	return string(id)
}

func (w *world) kill(id topology.InstanceID) {
	if p := w.running[id]; p != nil {
		p.dead = true
		delete(w.running, id)
	}
}

// later runs a step after a random delay, on a process if one is given.
func (w *world) later(p *process, step func()) {
	at := w.now + time.Duration(w.rng.IntN(w.delayMillis+1))*time.Millisecond
	w.pending = append(w.pending, delayed{at: at, run: func() { w.on(p, step) }})
}

func (w *world) on(p *process, step func()) {
	switch {
	case p != nil && p.dead:
	case p != nil && p.paused:
		p.held = append(p.held, func() { w.on(p, step) })
	default:
		step()
	}
}

func (w *world) lost() bool { return w.rng.IntN(100) < w.lossPercent }

// run advances the time in small steps.
func (w *world) run(length time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now + length; w.now < end; {
		w.now += step
		due := w.pending
		w.pending = nil
		for _, d := range due {
			if d.at <= w.now {
				d.run()
				continue
			}
			w.pending = append(w.pending, d)
		}
		w.noteList()
		for i := range testInstances {
			if p := w.running[instanceID(i)]; p != nil {
				w.on(p, func() { w.act(p, p.c.Tick(p.clock(w.now))) })
			}
		}
		w.check()
	}
}

func instanceID(i int) topology.InstanceID { return topology.InstanceID(fmt.Sprintf("i%d", i)) }

// noteList keeps the list's history, from which lagging answers come.
func (w *world) noteList() {
	var list []platform.Instance
	for i := range testInstances {
		if p := w.running[instanceID(i)]; p != nil {
			list = append(list, platform.Instance{ID: p.instance, State: platform.InstanceLive})
		}
	}
	w.lists = append(w.lists, list)
}

func (w *world) act(p *process, a Actions) {
	if a.ReadList {
		list := w.lists[max(0, len(w.lists)-1-w.rng.IntN(20))]
		w.answer(p, func(err error) { p.c.ListRead(p.clock(w.now), list, err) })
	}
	if a.ReadSlots {
		var entries []SlotEntry
		if len(w.history) > 0 {
			entries = w.history[max(0, len(w.history)-1-w.rng.IntN(3))]
		}
		w.answer(p, func(err error) { p.c.SlotsRead(p.clock(w.now), entries, err) })
	}
	if a.Swap != nil {
		w.sendSwap(p, a.Swap)
	}
	for _, to := range a.Heartbeats {
		if peer := w.running[to]; peer != nil && !w.lost() {
			w.later(peer, func() { peer.c.HeartbeatReceived(peer.clock(w.now), p.instance, a.Heartbeat) })
		}
	}
}

// answer delivers the outcome of a read, late or as a failure.
func (w *world) answer(p *process, deliver func(error)) {
	var err error
	if w.storeDown || w.lost() {
		err = errLost
	}
	w.later(p, func() { deliver(err) })
}

// sendSwap lets a swap take effect now, later or never, and loses some answers.
func (w *world) sendSwap(p *process, s *Swap) {
	if w.storeDown || w.lost() {
		w.later(p, func() { p.c.SwapDone(p.clock(w.now), s, 0, store.ErrUnavailable) })
		if !w.storeDown && w.rng.IntN(2) == 0 {
			w.later(nil, func() { w.apply(s) })
		}
		return
	}
	revision, err := w.apply(s)
	w.answer(p, func(lost error) {
		if lost != nil {
			err = store.ErrUnavailable
		}
		p.c.SwapDone(p.clock(w.now), s, revision, err)
	})
}

func (w *world) apply(s *Swap) (store.Revision, error) {
	if w.current[s.Slot].Revision != s.Expect {
		return 0, store.ErrConflict
	}
	w.revision++
	w.current[s.Slot] = SlotEntry{Index: s.Slot, Record: s.Record, Revision: w.revision}
	var all []SlotEntry
	for i := range testSlots {
		if e, exists := w.current[i]; exists {
			all = append(all, e)
		}
	}
	w.history = append(w.history, all)
	return w.revision, nil
}

// holders returns the processes that would use each slot if they ran now.
func (w *world) holders() map[int][]*process {
	holders := map[int][]*process{}
	for _, p := range w.all {
		if p.dead {
			continue
		}
		now := p.clock(w.now)
		for _, right := range p.c.View(now).Rights {
			if now < right.Until {
				holders[right.Index] = append(holders[right.Index], p)
			}
		}
	}
	return holders
}

func (w *world) check() {
	for slot, holders := range w.holders() {
		if len(holders) > 1 {
			panic(fmt.Sprintf("slot %d has %d holders at %v", slot, len(holders), w.now))
		}
	}
}

// TestSlotsHaveOneHolder explores starts, kills, pauses past every term, stale
// reads, lost answers, swaps that take effect late and outages of the store.
func TestSlotsHaveOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		defer func() {
			breach := recover()
			if text, ok := breach.(string); ok {
				t.Fatal(text)
			}
			if breach != nil {
				panic(breach)
			}
		}()
		pick := func() topology.InstanceID { return instanceID(rapid.IntRange(0, testInstances-1).Draw(t, "instance")) }
		run := func(t *rapid.T) {
			w.run(time.Duration(rapid.SampledFrom([]int{100, 500, 3000, 13000}).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":    run,
			"run on": run,
			"start": func(t *rapid.T) {
				if id := pick(); w.running[id] == nil {
					w.start(id)
				}
			},
			"kill": func(*rapid.T) { w.kill(pick()) },
			"restart": func(*rapid.T) {
				id := pick()
				w.kill(id)
				w.start(id)
			},
			"drain": func(*rapid.T) {
				if p := w.running[pick()]; p != nil {
					p.c.Drain()
				}
			},
			"pause": func(*rapid.T) {
				if p := w.running[pick()]; p != nil {
					p.paused = true
				}
			},
			// A paused instance may vanish from the list although it wakes later.
			"list drops": func(*rapid.T) {
				if id := pick(); w.running[id] != nil && w.running[id].paused {
					delete(w.running, id)
				}
			},
			"wake": func(*rapid.T) {
				for _, p := range w.all {
					held := p.held
					p.paused, p.held = false, nil
					for _, step := range held {
						step()
					}
				}
			},
			"faults": func(t *rapid.T) {
				w.lossPercent = rapid.SampledFrom([]int{0, 0, 20, 60}).Draw(t, "loss")
				w.delayMillis = rapid.SampledFrom([]int{0, 50, 1000, 8000}).Draw(t, "delay ms")
				w.storeDown = rapid.IntRange(0, 3).Draw(t, "store") == 0
			},
		})
	})
}

// TestEverySlotIsHeld follows a fleet through a start, a graceful leave and a
// kill whose slot passes on after the quarantine.
func TestEverySlotIsHeld(t *testing.T) {
	w := newWorld(5)
	w.delayMillis = 50
	held := func() int { return len(w.holders()) }
	for i := range testInstances {
		w.start(instanceID(i))
	}
	w.run(10 * time.Second)
	if held() != testSlots {
		t.Fatalf("%d of %d slots are held after the start", held(), testSlots)
	}
	w.running["i0"].c.Drain()
	w.run(time.Second)
	if !w.running["i0"].c.Drained() {
		t.Fatal("the leaving instance still holds a slot")
	}
	w.kill("i0")
	w.run(5 * time.Second)
	if held() != testSlots {
		t.Fatalf("%d of %d slots are held after a graceful leave", held(), testSlots)
	}
	w.start("i0")
	w.run(10 * time.Second)
	if rights := w.running["i0"].c.View(0).Rights; len(rights) != 1 {
		t.Fatalf("a new instance got %d slots", len(rights))
	}
	w.kill("i1")
	w.run(5 * time.Second)
	if held() == testSlots {
		t.Fatal("a killed holder's slot passed on without a quarantine")
	}
	w.run(11 * time.Second)
	if held() != testSlots {
		t.Fatalf("%d of %d slots are held after the quarantine", held(), testSlots)
	}
	w.kill("i2")
	w.start("i2")
	w.run(2 * time.Second)
	if held() != testSlots {
		t.Fatal("a restarted instance did not take its slot at once")
	}
	w.storeDown = true
	w.run(7 * time.Second)
	if held() != testSlots {
		t.Fatal("slots were lost in a short outage of the store")
	}
}

// TestInstancesMeetWithoutTheList lets two instances that the platform's list
// shows to neither know each other by the link between them.
func TestInstancesMeetWithoutTheList(t *testing.T) {
	ids := []topology.InstanceID{"a", "b"}
	var fleet []*Coordinator
	for i, id := range ids {
		cfg := DefaultConfig(platform.Instance{ID: id}, uint64(i+1), 8)
		fleet = append(fleet, NewCoordinator(cfg, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	fleet[0].Met(0, platform.Instance{ID: "b", FailureDomain: "d"})
	fleet[1].Met(0, platform.Instance{ID: "a", FailureDomain: "d"})
	for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
		for i, c := range fleet {
			a := c.Tick(now)
			for range a.Heartbeats {
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
