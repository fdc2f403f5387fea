package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// maxPropagationTime is the documented time within which a change has reached
// every instance of a fleet without faults.
const maxPropagationTime = 2 * time.Second

const (
	// A fleet converges within maxRecoveryTime after all faults have ended: the
	// longest backoff plus the propagation of a change. When watches have died
	// unnoticed it takes maxStallRecoveryTime: a heartbeat in flight may
	// first run into its timeout, the next one follows after its interval, and
	// only then does the stall timeout of the dead watch begin.
	maxRecoveryTime      = maxRetryBackoff*5/4 + maxPropagationTime
	maxStallRecoveryTime = maxRecoveryTime + swapTimeout + heartbeatInterval*5/4 + watchStallTimeout
)

// TestCoordinatorInvariants drives a fleet through random sequences of faults.
// The harness checks its invariants after each event; after the faults the
// fleet must converge.
func TestCoordinatorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "daemons"))
		pick := func() *daemon { return h.daemons[rapid.IntRange(0, len(h.daemons)-1).Draw(t, "daemon")] }
		recoveryTime := maxRecoveryTime
		verify := func(*rapid.T) {
			if h.failure != "" {
				t.Fatal(h.failure)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": verify,
			"advance": func(t *rapid.T) {
				h.advance(time.Duration(rapid.SampledFrom([]int{3, 40, 400, 1500, 6000}).Draw(t, "millis")) * time.Millisecond)
			},
			"commit": func(t *rapid.T) { commitRandomChange(t, h) },
			"partition": func(t *rapid.T) {
				for _, d := range h.daemons {
					d.partition = rapid.IntRange(0, 2).Draw(t, "partition")
				}
				h.updateIsolation()
			},
			"cutStore": func(t *rapid.T) {
				for _, d := range h.daemons {
					d.storeCutOff = rapid.Bool().Draw(t, "store cut off")
				}
				h.updateIsolation()
			},
			"refresh": func(*rapid.T) { h.sendMembers(pick()) },
			"pause":   func(*rapid.T) { pick().paused = true },
			"resume":  func(*rapid.T) { h.resume(pick()) },
			"restart": func(*rapid.T) { h.start(pick()) },
			"store": func(t *rapid.T) {
				h.storeUnavailable = rapid.Bool().Draw(t, "down")
				h.loseResponses = rapid.Bool().Draw(t, "lose responses")
				h.readStaleness = time.Duration(rapid.SampledFrom([]int{0, 0, 500, 8000}).Draw(t, "stale")) * time.Millisecond
				h.storeDelay = time.Duration(rapid.SampledFrom([]int{2, 2, 300, 3000}).Draw(t, "slow")) * time.Millisecond
				h.checkWatches()
			},
			"dropWatches": func(*rapid.T) { h.waitingWatches, recoveryTime = nil, maxStallRecoveryTime },
			"network": func(t *rapid.T) {
				h.lossPercent = rapid.SampledFrom([]int{0, 0, 20, 80}).Draw(t, "loss")
				h.duplicatePercent = rapid.SampledFrom([]int{0, 30}).Draw(t, "duplicates")
				h.messageDelay = time.Duration(rapid.SampledFrom([]int{2, 50, 6000}).Draw(t, "delay")) * time.Millisecond
			},
		})
		h.heal()
		h.advance(recoveryTime)
		verify(t)
		if !h.converged() {
			t.Fatalf("the fleet has not converged %v after the faults ended", recoveryTime)
		}
	})
}

// commitRandomChange writes or deletes a random record.
func commitRandomChange(t *rapid.T, h *harness) {
	key := fmt.Sprintf("%skey/k%d", Prefix, rapid.IntRange(0, 4).Draw(t, "key"))
	if h.keyRevisions[key] != 0 && rapid.Bool().Draw(t, "delete") {
		h.commit(key, nil, true)
		return
	}
	size := rapid.SampledFrom([]int{10, 10, 10, 300 << 10, 900 << 10}).Draw(t, "size")
	h.commit(key, make([]byte, size), false)
}

// awaitConvergence runs the harness until the fleet has converged and returns
// how long that took.
func awaitConvergence(t testing.TB, h *harness, limit time.Duration) time.Duration {
	t.Helper()
	begin := h.now
	for !h.converged() {
		if h.now-begin > limit || h.failure != "" {
			t.Fatalf("not converged after %v %s", h.now-begin, h.failure)
		}
		h.advance(time.Millisecond)
	}
	return h.now - begin
}

// TestChangePropagatesInTime changes records in fleets of several sizes without
// faults.
func TestChangePropagatesInTime(t *testing.T) {
	for _, size := range []int{1, 7, 60} {
		h := newHarness(uint64(size), size)
		awaitConvergence(t, h, 10*time.Second)
		for i := range 20 {
			h.advance(h.randomDelay(time.Second))
			h.commit(Prefix+"key/k", []byte{byte(i)}, i%3 == 2)
			awaitConvergence(t, h, maxPropagationTime)
		}
	}
}

// TestChangePropagatesWithDeadWatchers cuts all watchers off the store except
// those of one failure domain, and commits a change before the other instances
// have noticed.
func TestChangePropagatesWithDeadWatchers(t *testing.T) {
	h := newHarness(5, 30)
	awaitConvergence(t, h, 10*time.Second)
	for _, d := range h.daemons {
		_, watches := d.coordinator.placement.watcherRank()
		d.storeCutOff = watches && d.self.FailureDomain != "fd0"
	}
	h.checkWatches()
	h.advance(time.Second)
	h.commit(Prefix+"key/k", []byte("x"), false)
	awaitConvergence(t, h, maxPropagationTime)
}

// TestStalledWatchesAreRestarted drops all waiting watches without a response,
// as when their connections die without notice. Heartbeats still succeed, and
// that the watches do not return them reveals the failure.
func TestStalledWatchesAreRestarted(t *testing.T) {
	h := newHarness(10, 7)
	awaitConvergence(t, h, 10*time.Second)
	for len(h.waitingWatches) < len(h.daemons) {
		h.advance(time.Millisecond)
	}
	h.waitingWatches = nil
	h.commit(Prefix+"key/k", []byte("x"), false)
	awaitConvergence(t, h, heartbeatInterval*5/4+watchStallTimeout+maxPropagationTime)
}

// TestStalledWatchAfterStaleReads drops the waiting watch of an instance after
// its reads have been stale for long. It must still recover in time.
func TestStalledWatchAfterStaleReads(t *testing.T) {
	for _, staleness := range []time.Duration{6 * time.Second, 9 * time.Second, 12 * time.Second} {
		h := newHarness(0, 1)
		awaitConvergence(t, h, 10*time.Second)
		h.readStaleness = staleness
		h.advance(staleness)
		h.waitingWatches = nil
		h.heal()
		awaitConvergence(t, h, maxStallRecoveryTime)
	}
}

// TestStoreCallsAreBounded counts the store calls of fleets of several sizes,
// with the store available and unavailable. The bound is 3 % of the 2,000 reads
// a second that the store serves.
func TestStoreCallsAreBounded(t *testing.T) {
	const boundPerSecond = 60
	for _, size := range []int{7, 60} {
		h := newHarness(uint64(size), size)
		awaitConvergence(t, h, 10*time.Second)
		for _, down := range []bool{false, true} {
			h.storeUnavailable = down
			h.checkWatches()
			h.advance(5 * time.Second)
			before := h.storeCalls
			h.advance(10 * time.Second)
			rate := float64(h.storeCalls-before) / 10
			t.Logf("%d daemons, store unavailable %v: %.1f calls/s", size, down, rate)
			if rate > boundPerSecond {
				t.Errorf("%d daemons, store unavailable %v: %.1f calls/s", size, down, rate)
			}
		}
	}
}

// TestInstancesServeDuringStoreOutage checks that no instance becomes stale
// while the store is unavailable, and that one which restarts meanwhile gets
// the configuration from its peers and serves too.
func TestInstancesServeDuringStoreOutage(t *testing.T) {
	h := newHarness(3, 7)
	h.commit(Prefix+"key/k", []byte("x"), false)
	awaitConvergence(t, h, 10*time.Second)
	h.storeUnavailable = true
	h.checkWatches()
	for range 300 {
		h.advance(100 * time.Millisecond)
		for _, d := range h.daemons {
			if d.coordinator.FreshnessState().At(h.now+d.clockOffset) == FreshnessStale {
				t.Fatalf("%s is stale during the outage, at %v", d.self.ID, h.now)
			}
		}
	}
	h.start(h.daemons[2])
	h.advance(maxPropagationTime)
	d := h.daemons[2]
	if freshness := d.coordinator.FreshnessState().At(h.now + d.clockOffset); freshness != FreshnessOutage || len(d.publishedState.Entries) != 1 {
		t.Errorf("the restarted instance is %v with %d records, want an outage and 1 record", freshness, len(d.publishedState.Entries))
	}
}

// TestMinorityFailsClosed cuts two of seven instances off their peers and the
// store. They must become stale while the others stay fresh.
func TestMinorityFailsClosed(t *testing.T) {
	h := newHarness(4, 7)
	awaitConvergence(t, h, 10*time.Second)
	for _, d := range h.daemons[:2] {
		d.partition, d.storeCutOff = 1, true
	}
	h.updateIsolation()
	h.checkWatches()
	h.advance(MaxEvidenceAge + MaxResponseAge)
	for i, d := range h.daemons {
		want := FreshnessFresh
		if i < 2 {
			want = FreshnessStale
		}
		if got := d.coordinator.FreshnessState().At(h.now + d.clockOffset); got != want {
			t.Errorf("%s is %v, want %v", d.self.ID, got, want)
		}
	}
}

// TestPausedInstanceResumesStale pauses an instance for longer than its
// evidence lasts. It must be stale as soon as it resumes: neither the freshness
// state from before the pause nor a response that was queued during it may
// count.
func TestPausedInstanceResumesStale(t *testing.T) {
	h := newHarness(6, 7)
	awaitConvergence(t, h, 10*time.Second)
	d := h.daemons[1]
	d.coordinator.requestDigest(h.now+d.clockOffset, h.daemons[0].self.ID)
	id := d.coordinator.actions[len(d.coordinator.actions)-1].(Send).Message.DigestRequest.ID
	d.paused = true
	h.deliver(h.daemons[0], MessageReceived{From: d.self.ID, Message: Message{DigestRequest: &DigestRequest{ID: id, Loaded: true}}})
	h.advance(10 * time.Second)
	if freshness := d.coordinator.FreshnessState().At(h.now + d.clockOffset); freshness != FreshnessStale {
		t.Errorf("freshness from before the pause is %v, want stale", freshness)
	}
	d.paused = false
	for _, event := range d.queuedEvents {
		d.coordinator.Handle(h.now+d.clockOffset, event)
		if freshness := d.coordinator.FreshnessState().At(h.now + d.clockOffset); freshness != FreshnessStale {
			t.Fatalf("freshness is %v after event %+v, want stale", freshness, event)
		}
	}
}

// TestMissingChangeMakesStaleDuringOutage checks that an instance which lacks a
// change known to a peer is stale, although the store is unavailable.
func TestMissingChangeMakesStaleDuringOutage(t *testing.T) {
	h := newHarness(8, 3)
	awaitConvergence(t, h, 10*time.Second)
	h.storeUnavailable = true
	h.checkWatches()
	h.advance(2 * MaxEvidenceAge)
	d := h.daemons[0]
	now := h.now + d.clockOffset
	if got := d.coordinator.FreshnessState().At(now); got != FreshnessOutage {
		t.Fatalf("freshness before the digest is %v, want an outage", got)
	}
	d.coordinator.requestDigest(now, h.daemons[1].self.ID)
	id := d.coordinator.actions[len(d.coordinator.actions)-1].(Send).Message.DigestRequest.ID
	newer := d.coordinator.replica.completeRevision + 1
	digest := &Digest{ID: id, Loaded: true, ContentRevision: newer, CompleteRevision: newer}
	d.coordinator.Handle(now, MessageReceived{From: h.daemons[1].self.ID, Message: Message{Digest: digest}})
	if got := d.coordinator.FreshnessState().At(now); got != FreshnessStale {
		t.Errorf("freshness with a change missing is %v, want stale", got)
	}
}

// TestVotersAreProportionalToFailureDomains checks that in a large fleet each
// failure domain has its share of every instance's voters, so that the two
// smaller of four failure domains are never a majority.
func TestVotersAreProportionalToFailureDomains(t *testing.T) {
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
		perDomain := map[topology.FailureDomain]int{self.FailureDomain: 1}
		for _, id := range p.voters {
			perDomain[domains[id]]++
		}
		if len(p.voters) != maxVoters-1 || perDomain["fd2"]+perDomain["fd3"] >= topology.Majority(maxVoters) {
			t.Fatalf("voters of %s by failure domain: %v", self.ID, perDomain)
		}
	}
}

// TestUnknownFleetFailsClosed checks that an instance which has never read the
// list of instances does not count itself as a majority.
func TestUnknownFleetFailsClosed(t *testing.T) {
	h := newHarness(9, 1)
	h.known = nil
	h.sendMembers(h.daemons[0])
	awaitConvergence(t, h, 10*time.Second)
	h.storeUnavailable = true
	h.checkWatches()
	h.advance(MaxEvidenceAge)
	if got := h.daemons[0].coordinator.FreshnessState().At(h.now + h.daemons[0].clockOffset); got != FreshnessStale {
		t.Errorf("freshness without evidence is %v, want stale", got)
	}
}

// TestLaggingInstanceListIsNoMajority gives an instance a list that names only
// itself after it has had responses from a peer. It must not count as a fleet
// of one.
func TestLaggingInstanceListIsNoMajority(t *testing.T) {
	h := newHarness(12, 2)
	awaitConvergence(t, h, 10*time.Second)
	d := h.daemons[0]
	d.coordinator.Handle(h.now+d.clockOffset, MembersChanged{Known: h.known[:1]})
	h.storeUnavailable, d.partition = true, 1
	h.checkWatches()
	h.advance(MaxEvidenceAge + MaxResponseAge)
	if got := d.coordinator.FreshnessState().At(h.now + d.clockOffset); got != FreshnessStale {
		t.Errorf("freshness when cut off is %v, want stale", got)
	}
}

// TestOverflowingEvidenceAgeIsIgnored delivers evidence whose age is expired or
// would overflow a duration.
func TestOverflowingEvidenceAgeIsIgnored(t *testing.T) {
	h := newHarness(11, 2)
	awaitConvergence(t, h, 10*time.Second)
	d := h.daemons[0]
	before := d.coordinator.evidence.provenAt
	for _, age := range []uint64{1 << 63, 1<<64 - 1, uint64(MaxEvidenceAge / time.Microsecond)} {
		now := h.now + d.clockOffset + MaxEvidenceAge
		d.coordinator.requestDigest(now, h.daemons[1].self.ID)
		id := d.coordinator.actions[len(d.coordinator.actions)-1].(Send).Message.DigestRequest.ID
		digest := &Digest{ID: id, Loaded: true, Evidence: &Evidence{Revision: 1, AgeMicros: age}}
		d.coordinator.Handle(now, MessageReceived{From: h.daemons[1].self.ID, Message: Message{Digest: digest}})
		if d.coordinator.evidence.provenAt != before {
			t.Errorf("evidence of age %d moved provenAt by %v", age, d.coordinator.evidence.provenAt-before)
		}
	}
}

// TestRestoredStoreIsReported lets a heartbeat return a revision below one seen
// before, as after a restore of the store from a backup.
func TestRestoredStoreIsReported(t *testing.T) {
	h := newHarness(7, 1)
	awaitConvergence(t, h, 10*time.Second)
	d := h.daemons[0]
	d.coordinator.store.revisionAtSend = 50
	for _, action := range d.coordinator.Handle(h.now+d.clockOffset, SwapDone{Revision: store.Revision(7)}) {
		if _, ok := action.(StoreReverted); ok {
			return
		}
	}
	t.Error("the reverted store is not reported")
}

// TestRestoreOfTheStoreDoesNotRevertTheConfiguration restores the store to a time before a
// key was withdrawn, a customer added and a route removed. None of it comes back, and what
// is written after the restore comes into force although its number is below known ones.
func TestRestoreOfTheStoreDoesNotRevertTheConfiguration(t *testing.T) {
	c := NewCoordinator(platform.Instance{ID: "a"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Duration(0)
	handle := func(event Event) (published map[string]string, held []string) {
		now += 3 * time.Second
		for _, action := range c.Handle(now, event) {
			switch action := action.(type) {
			case Publish:
				published = make(map[string]string)
				for _, entry := range action.State.Entries {
					published[entry.Key] = string(entry.Value)
				}
			case StoreReverted:
				held = action.Held
			}
		}
		return published, held
	}
	entry := func(key, value string, revision store.Revision) store.Entry {
		return store.Entry{Key: key, Value: []byte(value), Revision: revision}
	}
	handle(MembersChanged{Live: []platform.Instance{{ID: "a"}}, Known: []platform.Instance{{ID: "a"}}})
	handle(Tick{})
	handle(ListDone{Listing: store.Listing{Revision: 5, Entries: []store.Entry{entry("key", "valid", 3), entry("route", "r", 4), entry("limit", "1", 5)}}})
	handle(WatchDone{CompleteRevision: 40, Changes: []store.Change{
		{Entry: entry("key", "withdrawn", 10)}, {Entry: entry("customer", "new", 20)}, {Entry: store.Entry{Key: "route", Revision: 30}, Deleted: true}}})
	handle(Tick{})
	handle(WatchDone{Err: store.ErrHistoryDiscarded})
	handle(Tick{})
	at := func(sequence uint64) store.Revision { return store.NewRevision(1, sequence) }
	published, held := handle(ListDone{Listing: store.Listing{Revision: at(6), Entries: []store.Entry{
		entry("key", "valid", at(3)), entry("route", "r", at(4)), entry("limit", "2", at(6))}}})
	if want := map[string]string{"key": "withdrawn", "customer": "new", "limit": "2"}; !maps.Equal(published, want) {
		t.Fatalf("published %v, want %v", published, want)
	}
	if slices.Sort(held); !slices.Equal(held, []string{"customer", "key", "route"}) {
		t.Fatalf("held %v", held)
	}
	handle(Tick{})
	published, _ = handle(WatchDone{CompleteRevision: at(8), Changes: []store.Change{{Entry: entry("key", "other", at(8))}}})
	if published["key"] != "other" {
		t.Fatalf("published %v after a change at a number below known ones", published)
	}
}
