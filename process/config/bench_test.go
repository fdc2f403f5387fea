package config

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"samphirehitch.example/samphirehitch/process/store"
)

// BenchmarkFleet measures fleets of several sizes without faults over simulated
// time: store calls and messages per second, the size of the digest exchange,
// and how long a change takes to reach every instance.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{7, 30, 100} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			var propagationTimes []time.Duration
			var calls, sent int
			var simulated time.Duration
			for seed := 0; b.Loop(); seed++ {
				h := newHarness(uint64(seed), size)
				awaitConvergence(b, h, 10*time.Second)
				h.advance(2 * time.Second)
				begin, callsBefore, sentBefore := h.now, h.storeCalls, h.sentMessages
				h.advance(20 * time.Second)
				calls += h.storeCalls - callsBefore
				sent += h.sentMessages - sentBefore
				simulated += h.now - begin
				for i := range 20 {
					h.advance(h.randomDelay(time.Second))
					h.commit(Prefix+"key/k", []byte{byte(i)}, false)
					propagationTimes = append(propagationTimes, awaitConvergence(b, h, 10*time.Second))
				}
			}
			slices.Sort(propagationTimes)
			seconds := simulated.Seconds()
			b.ReportMetric(float64(calls)/seconds, "storecalls/s")
			b.ReportMetric(float64(sent)/seconds/float64(size), "messages/daemon/s")
			b.ReportMetric(float64(sent)/seconds/float64(size)*digestBytes(b), "bytes/daemon/s")
			b.ReportMetric(float64(propagationTimes[len(propagationTimes)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(propagationTimes[len(propagationTimes)*99/100].Milliseconds()), "p99-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// digestBytes returns the mean encoded size of a digest request and its
// response.
func digestBytes(b *testing.B) float64 {
	request, err := cbor.Marshal(Message{DigestRequest: &DigestRequest{ID: 1 << 62, Loaded: true, CompleteRevision: 1 << 30}})
	if err != nil {
		b.Fatal(err)
	}
	evidence := &Evidence{Revision: 1 << 30, AgeMicros: 1 << 20}
	digest, err := cbor.Marshal(Message{Digest: &Digest{ID: 1 << 62, Loaded: true, ContentRevision: 1 << 30, CompleteRevision: 1 << 30, Evidence: evidence}})
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(request)+len(digest)) / 2
}

// BenchmarkSendDigest measures the response to a peer's digest request.
func BenchmarkSendDigest(b *testing.B) {
	h := newHarness(1, 7)
	awaitConvergence(b, h, 10*time.Second)
	coordinator, now := h.daemons[0].coordinator, h.now+h.daemons[0].clockOffset
	request := MessageReceived{From: "i001", Message: Message{DigestRequest: &DigestRequest{ID: 1, Loaded: true, CompleteRevision: coordinator.replica.completeRevision}}}
	b.ReportAllocs()
	for b.Loop() {
		coordinator.Handle(now, request)
	}
}

// BenchmarkTick measures a tick on an instance of a large fleet.
func BenchmarkTick(b *testing.B) {
	h := newHarness(1, 100)
	awaitConvergence(b, h, 10*time.Second)
	coordinator, now := h.daemons[50].coordinator, h.now+h.daemons[50].clockOffset
	b.ReportAllocs()
	for b.Loop() {
		coordinator.Handle(now, Tick{})
	}
}

// BenchmarkFreshness measures the freshness check that every request makes.
func BenchmarkFreshness(b *testing.B) {
	h := newHarness(1, 7)
	awaitConvergence(b, h, 10*time.Second)
	freshness, now := h.daemons[0].coordinator.FreshnessState(), h.now+h.daemons[0].clockOffset
	for b.Loop() {
		if freshness.At(now) != FreshnessFresh {
			b.Fatal("the instance is not fresh")
		}
	}
}

// BenchmarkPlacement measures the placement of 3,600 instances in four failure
// domains.
func BenchmarkPlacement(b *testing.B) {
	known := newHarness(1, 3600).known
	for b.Loop() {
		newPlacement(known[0], known, known)
	}
}

// BenchmarkApply measures applying a change to 100,000 records.
func BenchmarkApply(b *testing.B) {
	var entries []store.Entry
	for i := range 100000 {
		entries = append(entries, store.Entry{Key: fmt.Sprintf("%skey/%06d", Prefix, i), Revision: store.Revision(i + 1)})
	}
	random := rand.New(rand.NewPCG(1, 1))
	var r replica
	r.loadSnapshot(entries, 100000, 100000)
	b.ReportAllocs()
	for b.Loop() {
		key := entries[random.IntN(len(entries))].Key
		next := r.completeRevision + 1
		r.apply(Delta{After: r.completeRevision, CompleteRevision: next, Updates: []Update{{Key: key, Revision: next}}})
		r.state()
	}
}

// BenchmarkStale measures for what share of the time instances are stale, and
// so refuse keyed routes, in a fleet of 7 whose store or network is impaired
// for a minute.
func BenchmarkStale(b *testing.B) {
	impairments := []struct {
		name   string
		impair func(h *harness)
	}{
		{"none", func(*harness) {}},
		{"store-down", func(h *harness) { h.storeUnavailable = true; h.checkWatches() }},
		{"store-delay-to-300ms", func(h *harness) { h.storeDelay = 300 * time.Millisecond }},
		{"store-delay-to-1s", func(h *harness) { h.storeDelay = time.Second }},
		{"store-delay-to-3s", func(h *harness) { h.storeDelay = 3 * time.Second }},
		{"store-loses-half", func(h *harness) { h.loseResponses = true }},
		{"stale-reads-2s", func(h *harness) { h.readStaleness = 2 * time.Second }},
		{"stale-reads-8s", func(h *harness) { h.readStaleness = 8 * time.Second }},
		{"messages-lost-20pct", func(h *harness) { h.lossPercent = 20 }},
		{"messages-to-500ms", func(h *harness) { h.messageDelay = 500 * time.Millisecond }},
		{"down-and-lost-20pct", func(h *harness) { h.storeUnavailable, h.lossPercent = true, 20; h.checkWatches() }},
		{"one-domain-cut-off-store", func(h *harness) { h.daemons[0].storeCutOff, h.daemons[4].storeCutOff = true, true; h.checkWatches() }},
	}
	for _, c := range impairments {
		b.Run(c.name, func(b *testing.B) {
			var stale, samples int
			for seed := 0; b.Loop(); seed++ {
				h := newHarness(uint64(seed), 7)
				awaitConvergence(b, h, 10*time.Second)
				h.advance(2 * time.Second)
				c.impair(h)
				for range 1200 {
					h.advance(50 * time.Millisecond)
					for _, d := range h.daemons {
						samples++
						if d.coordinator.FreshnessState().At(h.now+d.clockOffset) == FreshnessStale {
							stale++
						}
					}
				}
			}
			b.ReportMetric(100*float64(stale)/float64(samples), "stale-%")
			b.ReportMetric(0, "ns/op")
		})
	}
}
