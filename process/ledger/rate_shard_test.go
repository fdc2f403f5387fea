package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Settings of the property tests.
const (
	propertyInstances = 4
	propertySlots     = 5
	// propertyLeaseTTL is how long a slot lease lasts unless it is renewed.
	propertyLeaseTTL = 600 * time.Millisecond
	// maxClockDrift is how much clocks run fast or slow, per second.
	maxClockDrift = 10 * time.Millisecond
)

// slotAssigner assigns slots with the guarantee that membership gives: a slot
// gets a new holder only after the previous holder's lease has expired by that
// holder's clock, its process is gone, or it released the slot.
type slotAssigner struct {
	fleet   *fleet
	holders []*instance
	epoch   uint64
}

// releaseSlot takes a slot from its holder and reports whether it did. Unless
// forced is set, it requires that the holder's lease has expired.
func (s *slotAssigner) releaseSlot(slot int, forced bool) bool {
	inst := s.holders[slot]
	for i, lease := range inst.slots.Leases {
		if lease.Index != slot {
			continue
		}
		if !forced && inst.localTime(s.fleet.now) < lease.ExpiresAt {
			return false
		}
		inst.slots.Leases = append(inst.slots.Leases[:i:i], inst.slots.Leases[i+1:]...)
		break
	}
	return true
}

// grantSlot gives an instance a lease on a slot, with a new epoch.
func (s *slotAssigner) grantSlot(slot int, to *instance) {
	s.epoch++
	s.holders[slot] = to
	expiresAt := to.localTime(s.fleet.now) + propertyLeaseTTL
	to.slots.Leases = append(to.slots.Leases[:len(to.slots.Leases):len(to.slots.Leases)],
		SlotLease{Index: slot, Epoch: s.epoch, ExpiresAt: expiresAt})
}

// renewLeases extends the leases of an instance unless it is paused.
func (s *slotAssigner) renewLeases(inst *instance) {
	if inst.paused {
		return
	}
	renewed := append([]SlotLease(nil), inst.slots.Leases...)
	for i := range renewed {
		renewed[i].ExpiresAt = inst.localTime(s.fleet.now) + propertyLeaseTTL
	}
	inst.slots.Leases = renewed
	s.publishSlots(inst)
}

// publishSlots sends the assignment of slots to an instance.
func (s *slotAssigner) publishSlots(inst *instance) {
	holders := make([]topology.InstanceID, len(s.holders))
	for slot, holder := range s.holders {
		holders[slot] = holder.id
	}
	inst.slots.Holders = holders
	slots := inst.slots
	s.fleet.deliver(inst, inst.shard, func() {
		inst.shard.SetSlots(inst.localTime(s.fleet.now), &slots)
		inst.conns.SetSlots(inst.localTime(s.fleet.now), &slots)
	})
}

// newSlotAssigner starts with the slots as newFleet assigned them.
func newSlotAssigner(f *fleet) *slotAssigner {
	assigner := &slotAssigner{fleet: f, epoch: 100}
	for slot := range propertySlots {
		assigner.holders = append(assigner.holders, f.instances[slot%propertyInstances])
	}
	for _, inst := range f.instances {
		for i := range inst.slots.Leases {
			inst.slots.Leases[i].ExpiresAt = inst.localTime(f.now) + propertyLeaseTTL
		}
	}
	return assigner
}

// restartInstance gives an instance a new process, which gets new leases on the
// same slots.
func (s *slotAssigner) restartInstance(inst *instance) {
	inst.paused, inst.deferred, inst.waiting = false, nil, nil
	for slot, holder := range s.holders {
		if holder == inst {
			s.releaseSlot(slot, true)
			s.grantSlot(slot, inst)
		}
	}
	s.fleet.startLedger(inst)
}

// moveSlot moves a random slot to another instance, if its holder releases it or
// the lease has expired.
func (s *slotAssigner) moveSlot(t *rapid.T, to *instance) {
	slot := rapid.IntRange(0, propertySlots-1).Draw(t, "slot")
	from := s.holders[slot]
	released := !from.paused && rapid.Bool().Draw(t, "released")
	if to == from || to.paused || !s.releaseSlot(slot, released) {
		return
	}
	s.grantSlot(slot, to)
	s.publishSlots(from)
	s.publishSlots(to)
}

// resume resumes a paused instance and runs the steps deferred meanwhile.
func (f *fleet) resume(inst *instance) {
	deferred := inst.deferred
	inst.paused, inst.deferred = false, nil
	for _, step := range deferred {
		step()
	}
}

// drawNetworkFaults draws new probabilities of loss and duplication and a new
// jitter.
func (f *fleet) drawNetworkFaults(t *rapid.T) {
	f.lossPercent = rapid.SampledFrom([]int{0, 10, 60, 100}).Draw(t, "loss")
	f.duplicatePercent = rapid.IntRange(0, 60).Draw(t, "duplication")
	f.jitter = time.Duration(rapid.SampledFrom([]int{0, 5, 45, 150, 500}).Draw(t, "jitter ms")) * time.Millisecond
}

// failOnViolation turns the panic of a check into a failure of the property
// test, which rapid can shrink.
func failOnViolation(t *rapid.T) {
	violation := recover()
	if text, ok := violation.(string); ok {
		t.Fatal(text)
	}
	if violation != nil {
		panic(violation)
	}
}

// TestRateHoldsInEveryWindow is a property test of the rate shards under load
// far above the rates, with lost, duplicated and late messages, pauses,
// restarts, slots that move and clocks that differ. It fails when admissions
// exceed rate*w+burst in any window, or when tokens of a part exist twice.
func TestRateHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := []RateLimit{{Customer: "fast", Rate: 200, Burst: 40}, {Customer: "slow", Rate: 4, Burst: 3}}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), propertyInstances, propertySlots, limits)
		assigner := newSlotAssigner(f)
		f.startOracles(maxClockDrift)
		for _, inst := range f.instances {
			inst.offset = time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset ms")) * time.Millisecond
			inst.drift = time.Duration(rapid.IntRange(-10, 10).Draw(t, "drift ms/s")) * time.Millisecond
			f.startLedger(inst)
		}
		pick := func() *instance { return f.instances[rapid.IntRange(0, propertyInstances-1).Draw(t, "instance")] }
		defer failOnViolation(t)
		quiet := false
		var load func()
		load = func() {
			f.checkTokens()
			for _, inst := range f.instances {
				if !quiet {
					f.sendRequest(inst, limits[f.rng.IntN(2)].Customer)
				}
			}
			f.schedule(7*time.Millisecond, load)
		}
		f.schedule(0, load)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { f.checkTokens() },
			"run": func(t *rapid.T) {
				f.runUntil(f.now + time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond)
			},
			"burst": func(t *rapid.T) {
				inst := pick()
				customer := limits[rapid.IntRange(0, 1).Draw(t, "customer")].Customer
				for range rapid.IntRange(1, 60).Draw(t, "requests") {
					f.sendRequest(inst, customer)
				}
			},
			"load":    func(t *rapid.T) { quiet = rapid.Bool().Draw(t, "quiet") },
			"network": func(t *rapid.T) { f.drawNetworkFaults(t) },
			"pause":   func(*rapid.T) { pick().paused = true },
			"resume":  func(*rapid.T) { f.resume(pick()) },
			"restart": func(*rapid.T) { assigner.restartInstance(pick()) },
			"renew": func(*rapid.T) {
				for _, inst := range f.instances {
					assigner.renewLeases(inst)
				}
			},
			"move slot": func(t *rapid.T) { assigner.moveSlot(t, pick()) },
		})
	})
}
