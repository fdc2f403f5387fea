package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	exploredInstances = 4
	exploredSlots     = 5
	// exploredRight is how long an explored slot right lasts unless renewed.
	exploredRight = 600 * time.Millisecond
	// longestDrift is how fast or slow explored clocks run, per second.
	longestDrift = 10 * time.Millisecond
)

// authority hands slots to instances the way membership promises: a slot passes
// on only after the holder's right has ended by the holder's own clock, its
// process is gone, or it gave the slot up.
type authority struct {
	f      *fleet
	holder []*instance
	epoch  uint64
}

// release takes a slot from its holder, if that is safe now or forced.
func (a *authority) release(slot int, forced bool) bool {
	in := a.holder[slot]
	for i, owned := range in.slots.Owned {
		if owned.Index != slot {
			continue
		}
		if !forced && in.clock(a.f.now) < owned.Until {
			return false
		}
		in.slots.Owned = append(in.slots.Owned[:i:i], in.slots.Owned[i+1:]...)
		break
	}
	return true
}

// grant gives a slot to an instance in a new epoch.
func (a *authority) grant(slot int, to *instance) {
	a.epoch++
	a.holder[slot] = to
	until := to.clock(a.f.now) + exploredRight
	to.slots.Owned = append(to.slots.Owned[:len(to.slots.Owned):len(to.slots.Owned)],
		OwnedSlot{Index: slot, Epoch: a.epoch, Until: until})
}

// renew prolongs the rights of an instance that runs.
func (a *authority) renew(in *instance) {
	if in.paused {
		return
	}
	owned := append([]OwnedSlot(nil), in.slots.Owned...)
	for i := range owned {
		owned[i].Until = in.clock(a.f.now) + exploredRight
	}
	in.slots.Owned = owned
	a.publish(in)
}

// publish tells an instance who holds what.
func (a *authority) publish(in *instance) {
	holders := make([]topology.InstanceID, len(a.holder))
	for slot, holder := range a.holder {
		holders[slot] = holder.id
	}
	in.slots.Holders = holders
	slots := in.slots
	a.f.on(in, in.shard, func() {
		in.shard.SetSlots(in.clock(a.f.now), &slots)
		in.conns.SetSlots(in.clock(a.f.now), &slots)
	})
}

// newAuthority takes over the slots that the fleet starts with.
func newAuthority(f *fleet) *authority {
	a := &authority{f: f, epoch: 100}
	for slot := range exploredSlots {
		a.holder = append(a.holder, f.instances[slot%exploredInstances])
	}
	for _, in := range f.instances {
		for i := range in.slots.Owned {
			in.slots.Owned[i].Until = in.clock(f.now) + exploredRight
		}
	}
	return a
}

// restart gives an instance a new process, which takes its slots again.
func (a *authority) restart(in *instance) {
	in.paused, in.held, in.waiting = false, nil, nil
	for slot, holder := range a.holder {
		if holder == in {
			a.release(slot, true)
			a.grant(slot, in)
		}
	}
	a.f.start(in)
}

// move passes a slot on, given up by its holder or after the right has ended.
func (a *authority) move(t *rapid.T, to *instance) {
	slot := rapid.IntRange(0, exploredSlots-1).Draw(t, "slot")
	from := a.holder[slot]
	givesUp := !from.paused && rapid.Bool().Draw(t, "gives up")
	if to == from || to.paused || !a.release(slot, givesUp) {
		return
	}
	a.grant(slot, to)
	a.publish(from)
	a.publish(to)
}

// resume lets a paused instance run what waited.
func (f *fleet) resume(in *instance) {
	held := in.held
	in.paused, in.held = false, nil
	for _, step := range held {
		step()
	}
}

// drawNetwork changes the faults of the network.
func (f *fleet) drawNetwork(t *rapid.T) {
	f.lossPercent = rapid.SampledFrom([]int{0, 10, 60, 100}).Draw(t, "loss")
	f.doublePercent = rapid.IntRange(0, 60).Draw(t, "double")
	f.jitter = time.Duration(rapid.SampledFrom([]int{0, 5, 45, 150, 500}).Draw(t, "jitter ms")) * time.Millisecond
}

// failOnBreach turns the panic of an oracle into a failure of the exploration.
func failOnBreach(t *rapid.T) {
	breach := recover()
	if text, ok := breach.(string); ok {
		t.Fatal(text)
	}
	if breach != nil {
		panic(breach)
	}
}

// TestWindowsHold explores requests, lost, doubled and late messages, pauses,
// restarts, slots that change hands and clocks that differ, under load far above
// the rates. The fleet panics as soon as an admission exceeds rate*w+burst in
// any window, or some part's tokens exist twice.
func TestWindowsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := []Limit{{Customer: "fast", Rate: 200, Burst: 40}, {Customer: "slow", Rate: 4, Burst: 3}}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), exploredInstances, exploredSlots, limits)
		a := newAuthority(f)
		f.expect(longestDrift)
		for _, in := range f.instances {
			in.offset = time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset ms")) * time.Millisecond
			in.drift = time.Duration(rapid.IntRange(-10, 10).Draw(t, "drift ms/s")) * time.Millisecond
			f.start(in)
		}
		pick := func() *instance { return f.instances[rapid.IntRange(0, exploredInstances-1).Draw(t, "instance")] }
		defer failOnBreach(t)
		quiet := false
		var load func()
		load = func() {
			f.checkParts()
			for _, in := range f.instances {
				if !quiet {
					f.request(in, limits[f.rng.IntN(2)].Customer)
				}
			}
			f.after(7*time.Millisecond, load)
		}
		f.after(0, load)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { f.checkParts() },
			"run": func(t *rapid.T) {
				f.runUntil(f.now + time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond)
			},
			"burst": func(t *rapid.T) {
				in := pick()
				customer := limits[rapid.IntRange(0, 1).Draw(t, "customer")].Customer
				for range rapid.IntRange(1, 60).Draw(t, "requests") {
					f.request(in, customer)
				}
			},
			"load":    func(t *rapid.T) { quiet = rapid.Bool().Draw(t, "quiet") },
			"network": func(t *rapid.T) { f.drawNetwork(t) },
			"pause":   func(*rapid.T) { pick().paused = true },
			"resume":  func(*rapid.T) { f.resume(pick()) },
			"restart": func(*rapid.T) { a.restart(pick()) },
			"renew": func(*rapid.T) {
				for _, in := range f.instances {
					a.renew(in)
				}
			},
			"move slot": func(t *rapid.T) { a.move(t, pick()) },
		})
	})
}
