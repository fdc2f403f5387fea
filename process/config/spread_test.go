package config

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// inForceTarget is the stated time within which a change is in force everywhere
// while nothing fails.
const inForceTarget = 2 * time.Second

// healTarget is the time within which a fleet settles once all faults end: the
// longest wait of a retry, and the time of a change. When watches have died
// unnoticed, a heartbeat under way may first take its timeout, the next one its
// interval, and the dead watch the patience.
const (
	healTarget       = retryMax*5/4 + inForceTarget
	healSilentTarget = healTarget + swapTimeout + heartbeatInterval*5/4 + watchPatience
)

// TestSpreadInvariants drives a fleet through faults in any order. The world
// checks its invariants after each event.
func TestSpreadInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "daemons"))
		pick := func() *daemon { return w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon")] }
		target := healTarget
		verify := func(*rapid.T) {
			if w.failure != "" {
				t.Fatal(w.failure)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": verify,
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.SampledFrom([]int{3, 40, 400, 1500, 6000}).Draw(t, "millis")) * time.Millisecond)
			},
			"commit": func(t *rapid.T) { commitSome(t, w) },
			"partition": func(t *rapid.T) {
				for _, d := range w.daemons {
					d.island = rapid.IntRange(0, 2).Draw(t, "island")
				}
				w.isolate()
			},
			"cutStore": func(t *rapid.T) {
				for _, d := range w.daemons {
					d.cut = rapid.Bool().Draw(t, "cut")
				}
				w.isolate()
			},
			"refresh": func(*rapid.T) { w.refresh(pick()) },
			"pause":   func(*rapid.T) { pick().paused = true },
			"resume":  func(*rapid.T) { w.resume(pick()) },
			"restart": func(*rapid.T) { w.start(pick()) },
			"store": func(t *rapid.T) {
				w.down = rapid.Bool().Draw(t, "down")
				w.loseAnswers = rapid.Bool().Draw(t, "loses")
				w.staleBy = time.Duration(rapid.SampledFrom([]int{0, 0, 500, 8000}).Draw(t, "stale")) * time.Millisecond
				w.storeDelay = time.Duration(rapid.SampledFrom([]int{2, 2, 300, 3000}).Draw(t, "slow")) * time.Millisecond
				w.wake()
			},
			"dropWatches": func(*rapid.T) { w.waiting, target = nil, healSilentTarget },
			"network": func(t *rapid.T) {
				w.loss = rapid.SampledFrom([]int{0, 0, 20, 80}).Draw(t, "loss")
				w.double = rapid.SampledFrom([]int{0, 30}).Draw(t, "double")
				w.netDelay = time.Duration(rapid.SampledFrom([]int{2, 50, 6000}).Draw(t, "delay")) * time.Millisecond
			},
		})
		w.heal()
		w.advance(target)
		verify(t)
		if !w.settled() {
			t.Fatalf("the fleet has not settled %v after the faults", target)
		}
	})
}

// commitSome writes or deletes a record as a racing operator does.
func commitSome(t *rapid.T, w *world) {
	key := fmt.Sprintf("%skey/k%d", Prefix, rapid.IntRange(0, 4).Draw(t, "key"))
	if w.latest[key] != 0 && rapid.Bool().Draw(t, "delete") {
		w.commit(key, nil, true)
		return
	}
	size := rapid.SampledFrom([]int{10, 10, 10, 300 << 10, 900 << 10}).Draw(t, "size")
	w.commit(key, make([]byte, size), false)
}

// settle waits until the fleet is fresh and reports how long that took.
func settle(t testing.TB, w *world, limit time.Duration) time.Duration {
	t.Helper()
	begin := w.now
	for !w.settled() {
		if w.now-begin > limit || w.failure != "" {
			t.Fatalf("not settled after %v %s", w.now-begin, w.failure)
		}
		w.advance(time.Millisecond)
	}
	return w.now - begin
}

// TestChangeIsInForceInTime changes records of fleets of several sizes.
func TestChangeIsInForceInTime(t *testing.T) {
	for _, size := range []int{1, 7, 60} {
		w := newWorld(uint64(size), size)
		settle(t, w, 10*time.Second)
		for i := range 20 {
			w.advance(w.upTo(time.Second))
			w.commit(Prefix+"key/k", []byte{byte(i)}, i%3 == 2)
			settle(t, w, inForceTarget)
		}
	}
}

// TestChangeIsInForceWithDeadWatchers loses every watcher but those of one
// domain, before the others notice.
func TestChangeIsInForceWithDeadWatchers(t *testing.T) {
	w := newWorld(5, 30)
	settle(t, w, 10*time.Second)
	for _, d := range w.daemons {
		_, watches := d.spread.placement.watcher()
		d.cut = watches && d.self.FailureDomain != "fd0"
	}
	w.wake()
	w.advance(time.Second)
	w.commit(Prefix+"key/k", []byte("x"), false)
	settle(t, w, inForceTarget)
}

// TestSilentWatchesAreRestarted loses all waiting watches without an answer, as
// dead connections do. The heartbeats, which pass, show that.
func TestSilentWatchesAreRestarted(t *testing.T) {
	w := newWorld(10, 7)
	settle(t, w, 10*time.Second)
	for len(w.waiting) < len(w.daemons) {
		w.advance(time.Millisecond)
	}
	w.waiting = nil
	w.commit(Prefix+"key/k", []byte("x"), false)
	settle(t, w, heartbeatInterval*5/4+watchPatience+inForceTarget)
}

// TestSilentWatchAfterOldReads loses a watch while reads have been old for long.
func TestSilentWatchAfterOldReads(t *testing.T) {
	for _, long := range []time.Duration{6 * time.Second, 9 * time.Second, 12 * time.Second} {
		w := newWorld(0, 1)
		settle(t, w, 10*time.Second)
		w.staleBy = long
		w.advance(long)
		w.waiting = nil
		w.heal()
		settle(t, w, healSilentTarget)
	}
}

// TestStoreCallsAreBounded counts the calls of fleets of several sizes, with the
// store up and down. The bound is 3 % of the store's 2,000 reads a second.
func TestStoreCallsAreBounded(t *testing.T) {
	const boundPerSecond = 60
	for _, size := range []int{7, 60} {
		w := newWorld(uint64(size), size)
		settle(t, w, 10*time.Second)
		for _, down := range []bool{false, true} {
			w.down = down
			w.wake()
			w.advance(5 * time.Second)
			before := w.calls
			w.advance(10 * time.Second)
			rate := float64(w.calls-before) / 10
			t.Logf("%d daemons, store down %v: %.1f calls/s", size, down, rate)
			if rate > boundPerSecond {
				t.Errorf("%d daemons, store down %v: %.1f calls/s", size, down, rate)
			}
		}
	}
}

// TestOutage serves on while the store is down, also on an instance that starts
// meanwhile.
func TestOutage(t *testing.T) {
	w := newWorld(3, 7)
	w.commit(Prefix+"key/k", []byte("x"), false)
	settle(t, w, 10*time.Second)
	w.down = true
	w.wake()
	for range 300 {
		w.advance(100 * time.Millisecond)
		for _, d := range w.daemons {
			if d.spread.Verdict().Judge(w.now+d.offset) == FreshnessStale {
				t.Fatalf("%s is stale %v into the outage", d.self.ID, w.now)
			}
		}
	}
	w.start(w.daemons[2])
	w.advance(inForceTarget)
	d := w.daemons[2]
	if freshness := d.spread.Verdict().Judge(w.now + d.offset); freshness != FreshnessOutage || len(d.state.Entries) != 1 {
		t.Errorf("the new instance is %v with %d records", freshness, len(d.state.Entries))
	}
}

// TestMinorityFailsClosed cuts off two of seven from peers and store.
func TestMinorityFailsClosed(t *testing.T) {
	w := newWorld(4, 7)
	settle(t, w, 10*time.Second)
	for _, d := range w.daemons[:2] {
		d.island, d.cut = 1, true
	}
	w.isolate()
	w.wake()
	w.advance(FreshLimit + AnswerLimit)
	for i, d := range w.daemons {
		want := FreshnessFresh
		if i < 2 {
			want = FreshnessStale
		}
		if got := d.spread.Verdict().Judge(w.now + d.offset); got != want {
			t.Errorf("%s is %v, want %v", d.self.ID, got, want)
		}
	}
}

// TestPausedDaemonWakesStale judges the verdict of before the pause after it,
// and lets an answer that waited meanwhile count for nothing.
func TestPausedDaemonWakesStale(t *testing.T) {
	w := newWorld(6, 7)
	settle(t, w, 10*time.Second)
	d := w.daemons[1]
	d.spread.ask(w.now+d.offset, w.daemons[0].self.ID)
	id := d.spread.actions[len(d.spread.actions)-1].(Send).Message.Ask.ID
	d.paused = true
	w.feed(w.daemons[0], Received{From: d.self.ID, Message: Message{Ask: &Ask{ID: id, Loaded: true}}})
	w.advance(10 * time.Second)
	if freshness := d.spread.Verdict().Judge(w.now + d.offset); freshness != FreshnessStale {
		t.Errorf("the verdict of before the pause is %v", freshness)
	}
	d.paused = false
	for _, event := range d.held {
		d.spread.Handle(w.now+d.offset, event)
		if freshness := d.spread.Verdict().Judge(w.now + d.offset); freshness != FreshnessStale {
			t.Fatalf("%v after %+v", freshness, event)
		}
	}
}

// TestOutageWaitsForNewerContent lets an instance that lacks a change which its
// peers know count as stale, although the store is out.
func TestOutageWaitsForNewerContent(t *testing.T) {
	w := newWorld(8, 3)
	settle(t, w, 10*time.Second)
	w.down = true
	w.wake()
	w.advance(2 * FreshLimit)
	d := w.daemons[0]
	now := w.now + d.offset
	if got := d.spread.Verdict().Judge(now); got != FreshnessOutage {
		t.Fatalf("before: %v", got)
	}
	d.spread.ask(now, w.daemons[1].self.ID)
	id := d.spread.actions[len(d.spread.actions)-1].(Send).Message.Ask.ID
	newer := d.spread.replica.complete + 1
	answer := &Answer{ID: id, Loaded: true, Content: newer, Complete: newer}
	d.spread.Handle(now, Received{From: w.daemons[1].self.ID, Message: Message{Answer: answer}})
	if got := d.spread.Verdict().Judge(now); got != FreshnessStale {
		t.Errorf("with a change missing: %v", got)
	}
}

// TestPanelFollowsTheFailureDomains gives each domain of a large fleet its share
// of every panel, so that two small domains of four are never a majority.
func TestPanelFollowsTheFailureDomains(t *testing.T) {
	var known []platform.Instance
	sizes := map[topology.FailureDomain]int{"fd0": 120, "fd1": 120, "fd2": 80, "fd3": 80}
	domains := map[topology.InstanceID]topology.FailureDomain{}
	for domain, size := range sizes {
		for i := range size {
			id := topology.InstanceID(fmt.Sprintf("%s-%d", domain, i))
			domains[id] = domain
			known = append(known, platform.Instance{ID: id, FailureDomain: domain})
		}
	}
	for _, self := range known {
		p := newPlacement(self, known, known)
		held := map[topology.FailureDomain]int{self.FailureDomain: 1}
		for _, id := range p.panel {
			held[domains[id]]++
		}
		if len(p.panel) != panelSize-1 || held["fd2"]+held["fd3"] >= topology.Majority(panelSize) {
			t.Fatalf("panel of %s: %v", self.ID, held)
		}
	}
}

// TestUnknownFleetFailsClosed keeps an instance that has never seen the list of
// instances from taking itself for a majority.
func TestUnknownFleetFailsClosed(t *testing.T) {
	w := newWorld(9, 1)
	w.known = nil
	w.refresh(w.daemons[0])
	settle(t, w, 10*time.Second)
	w.down = true
	w.wake()
	w.advance(FreshLimit)
	if got := w.daemons[0].spread.Verdict().Judge(w.now + w.daemons[0].offset); got != FreshnessStale {
		t.Errorf("without evidence: %v", got)
	}
}

// TestLaggingListIsNoMajority has a list of instances that names only this one,
// which has met a peer.
func TestLaggingListIsNoMajority(t *testing.T) {
	w := newWorld(12, 2)
	settle(t, w, 10*time.Second)
	d := w.daemons[0]
	d.spread.Handle(w.now+d.offset, MembersChanged{Known: w.known[:1]})
	w.down, d.island = true, 1
	w.wake()
	w.advance(FreshLimit + AnswerLimit)
	if got := d.spread.Verdict().Judge(w.now + d.offset); got != FreshnessStale {
		t.Errorf("cut off: %v", got)
	}
}

// TestAbsurdAgeIsIgnored takes evidence whose age would overflow.
func TestAbsurdAgeIsIgnored(t *testing.T) {
	w := newWorld(11, 2)
	settle(t, w, 10*time.Second)
	d := w.daemons[0]
	before := d.spread.evidence.at
	for _, age := range []uint64{1 << 63, 1<<64 - 1, uint64(FreshLimit / time.Microsecond)} {
		now := w.now + d.offset + FreshLimit
		d.spread.ask(now, w.daemons[1].self.ID)
		id := d.spread.actions[len(d.spread.actions)-1].(Send).Message.Ask.ID
		answer := &Answer{ID: id, Loaded: true, Evidence: &Evidence{Revision: 1, AgeMicros: age}}
		d.spread.Handle(now, Received{From: w.daemons[1].self.ID, Message: Message{Answer: answer}})
		if d.spread.evidence.at != before {
			t.Errorf("age %d moved the evidence by %v", age, d.spread.evidence.at-before)
		}
	}
}

// TestRestoredStoreIsReported gives a heartbeat a revision from the past.
func TestRestoredStoreIsReported(t *testing.T) {
	w := newWorld(7, 1)
	settle(t, w, 10*time.Second)
	d := w.daemons[0]
	d.spread.watch.swapKnown = 50
	for _, action := range d.spread.Handle(w.now+d.offset, Swapped{Revision: store.Revision(7)}) {
		if _, ok := action.(StoreReverted); ok {
			return
		}
	}
	t.Error("not reported")
}
