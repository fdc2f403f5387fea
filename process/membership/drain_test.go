package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// handoverFleet is a fleet with the durations of production whose calls and messages
// take effect at once, so that only the coordinators' own waits pass.
type handoverFleet struct {
	now          time.Duration
	revision     store.Revision
	entries      map[int]SlotEntry
	coordinators map[topology.InstanceID]*Coordinator
	ids          []topology.InstanceID
	// damagedSlot is one whose record is not read and whose swaps conflict; -1 for none.
	// conflicts counts the conflicts.
	damagedSlot, conflicts int
}

const (
	handoverSlots = 8
	// maxHandover is a tenth of the interval at which instances read the slots' records.
	maxHandover = 500 * time.Millisecond
)

func newHandoverFleet(seed uint64, ids ...topology.InstanceID) *handoverFleet {
	f := &handoverFleet{entries: map[int]SlotEntry{}, coordinators: map[topology.InstanceID]*Coordinator{}, ids: ids, damagedSlot: -1}
	for i, id := range ids {
		self := platform.Instance{ID: id, Peer: string(id), State: platform.InstanceLive}
		f.coordinators[id] = NewCoordinator(DefaultConfig(self, 1, handoverSlots), rand.New(rand.NewPCG(seed, uint64(i))))
	}
	return f
}

// run ticks the coordinators, as often as a driver does, for a time.
func (f *handoverFleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += tickInterval {
		swaps := map[topology.InstanceID]*Swap{}
		for _, id := range f.ids {
			if swap := f.tick(id); swap != nil {
				swaps[id] = swap
			}
		}
		for len(swaps) > 0 {
			f.carryOut(swaps)
		}
	}
}

// carryOut carries out swaps that were decided on at the same time, and replaces them by those
// that the drivers decide on next.
func (f *handoverFleet) carryOut(swaps map[topology.InstanceID]*Swap) {
	for _, id := range f.ids {
		swap := swaps[id]
		if swap == nil {
			continue
		}
		revision, err := store.Revision(0), store.ErrConflict
		if swap.Slot == f.damagedSlot || f.entries[swap.Slot].Revision != swap.Expect {
			f.conflicts++
		} else {
			f.revision++
			revision, err = f.revision, nil
			f.entries[swap.Slot] = SlotEntry{Index: swap.Slot, Record: swap.Record, Revision: revision}
		}
		f.coordinators[id].SwapDone(f.now, swap, revision, err)
		delete(swaps, id)
		if next := f.tick(id); next != nil {
			swaps[id] = next
		}
	}
}

// tick ticks a coordinator, carries out its reads and heartbeats, and returns its swap.
func (f *handoverFleet) tick(id topology.InstanceID) *Swap {
	c := f.coordinators[id]
	a := c.Tick(f.now)
	if a.ReadList {
		var list []platform.Instance
		for _, listed := range f.ids {
			list = append(list, platform.Instance{ID: listed, Peer: string(listed), State: platform.InstanceLive})
		}
		c.ListRead(f.now, list, nil)
	}
	if a.ReadSlots {
		var entries []SlotEntry
		for slot := range handoverSlots {
			if e, exists := f.entries[slot]; exists {
				entries = append(entries, e)
			}
		}
		c.SlotsRead(f.now, entries, nil)
	}
	for _, to := range a.HeartbeatRecipients {
		f.coordinators[to].HeartbeatReceived(f.now, id, a.Heartbeat)
	}
	return a.Swap
}

// held returns the number of slots on which an instance has a lease.
func (f *handoverFleet) held(id topology.InstanceID) int {
	return len(f.coordinators[id].View(f.now).SlotLeases)
}

// An instance that had lost the race for its first slot held none for up to 5 s, so that a drain
// of the others left it without tokens.
func TestLostRaceForASlotIsRetriedAtOnce(t *testing.T) {
	for seed := range uint64(100) {
		f := newHandoverFleet(seed, "a", "b")
		f.run(time.Second)
		if f.held("a") != handoverSlots/2 || f.held("b") != handoverSlots/2 {
			t.Errorf("seed %d: a holds %d and b %d of %d slots a second after their start", seed, f.held("a"), f.held("b"), handoverSlots)
		}
	}
}

// The slots of a drained instance stayed free until the others next read the records, up to 5 s
// later, and the rates were reduced by its parts for that time.
func TestDrainedSlotsAreAcquiredAtOnce(t *testing.T) {
	for seed := range uint64(100) {
		f := newHandoverFleet(seed, "a", "b", "c")
		f.run(20*time.Second + time.Duration(seed)*50*time.Millisecond)
		f.coordinators["a"].Drain()
		drainedAt := f.now
		for f.held("b")+f.held("c") < handoverSlots && f.now < drainedAt+10*time.Second {
			f.run(tickInterval)
		}
		if took := f.now - drainedAt; took > maxHandover || !f.coordinators["a"].Drained() {
			t.Errorf("seed %d: the others hold all %d slots %v after the drain", seed, handoverSlots, took)
		}
	}
}

// Swaps that conflict are repeated at once, but not without end: those of a record that cannot
// be decoded always conflict.
func TestSwapsOfADamagedRecordAreSpacedOut(t *testing.T) {
	f := newHandoverFleet(1, "a")
	f.damagedSlot = 3
	f.run(time.Minute)
	if f.held("a") != handoverSlots-1 || f.conflicts > 60 {
		t.Errorf("a holds %d slots, %d conflicts in a minute", f.held("a"), f.conflicts)
	}
}
