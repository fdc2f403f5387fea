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

// BenchmarkFleet measures healthy fleets of several sizes over simulated time:
// store calls and messages a second, the bytes of an exchange, and the time from
// a change to its being in force everywhere.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{7, 30, 100} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			var spreads []time.Duration
			var calls, sent int
			var simulated time.Duration
			for seed := 0; b.Loop(); seed++ {
				w := newWorld(uint64(seed), size)
				settle(b, w, 10*time.Second)
				w.advance(2 * time.Second)
				begin, callsBefore, sentBefore := w.now, w.calls, w.sent
				w.advance(20 * time.Second)
				calls += w.calls - callsBefore
				sent += w.sent - sentBefore
				simulated += w.now - begin
				for i := range 20 {
					w.advance(w.upTo(time.Second))
					w.commit(Prefix+"key/k", []byte{byte(i)}, false)
					spreads = append(spreads, settle(b, w, 10*time.Second))
				}
			}
			slices.Sort(spreads)
			seconds := simulated.Seconds()
			b.ReportMetric(float64(calls)/seconds, "storecalls/s")
			b.ReportMetric(float64(sent)/seconds/float64(size), "messages/daemon/s")
			b.ReportMetric(float64(sent)/seconds/float64(size)*digestBytes(b), "bytes/daemon/s")
			b.ReportMetric(float64(spreads[len(spreads)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(spreads[len(spreads)*99/100].Milliseconds()), "p99-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// digestBytes returns the mean size of a digest's request and answer.
func digestBytes(b *testing.B) float64 {
	ask, err := cbor.Marshal(Message{Ask: &Ask{ID: 1 << 62, Loaded: true, Complete: 1 << 30}})
	if err != nil {
		b.Fatal(err)
	}
	evidence := &Evidence{Revision: 1 << 30, AgeMicros: 1 << 20}
	answer, err := cbor.Marshal(Message{Answer: &Answer{ID: 1 << 62, Loaded: true, Content: 1 << 30, Complete: 1 << 30, Evidence: evidence}})
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(ask)+len(answer)) / 2
}

// BenchmarkAnswer takes a peer's request for a digest.
func BenchmarkAnswer(b *testing.B) {
	w := newWorld(1, 7)
	settle(b, w, 10*time.Second)
	spread, now := w.daemons[0].spread, w.now+w.daemons[0].offset
	request := Received{From: "i001", Message: Message{Ask: &Ask{ID: 1, Loaded: true, Complete: spread.replica.complete}}}
	b.ReportAllocs()
	for b.Loop() {
		spread.Handle(now, request)
	}
}

// BenchmarkTick lets time pass on an instance of a large fleet.
func BenchmarkTick(b *testing.B) {
	w := newWorld(1, 100)
	settle(b, w, 10*time.Second)
	spread, now := w.daemons[50].spread, w.now+w.daemons[50].offset
	b.ReportAllocs()
	for b.Loop() {
		spread.Handle(now, Tick{})
	}
}

// BenchmarkJudge judges freshness as each request does.
func BenchmarkJudge(b *testing.B) {
	w := newWorld(1, 7)
	settle(b, w, 10*time.Second)
	verdict, now := w.daemons[0].spread.Verdict(), w.now+w.daemons[0].offset
	for b.Loop() {
		if verdict.Judge(now) != FreshnessFresh {
			b.Fatal("not fresh")
		}
	}
}

// BenchmarkPlacement places 3,600 instances of 12 failure domains.
func BenchmarkPlacement(b *testing.B) {
	known := newWorld(1, 3600).known
	for b.Loop() {
		newPlacement(known[0], known, known)
	}
}

// BenchmarkApply applies a change to 100,000 records and sorts them.
func BenchmarkApply(b *testing.B) {
	var entries []store.Entry
	for i := range 100000 {
		entries = append(entries, store.Entry{Key: fmt.Sprintf("%skey/%06d", Prefix, i), Revision: store.Revision(i + 1)})
	}
	random := rand.New(rand.NewPCG(1, 1))
	var r replica
	r.load(entries, 100000, 100000)
	b.ReportAllocs()
	for b.Loop() {
		key := entries[random.IntN(len(entries))].Key
		next := r.complete + 1
		r.apply(Delta{After: r.complete, Complete: next, Updates: []Update{{Key: key, Revision: next}}})
		r.state()
	}
}

// BenchmarkStale measures the share of an instance's time in which keyed routes
// are closed on a fleet of 7 whose store or network is impaired for a minute.
func BenchmarkStale(b *testing.B) {
	impairments := []struct {
		name   string
		impair func(w *world)
	}{
		{"none", func(*world) {}},
		{"store-down", func(w *world) { w.down = true; w.wake() }},
		{"store-legs-to-300ms", func(w *world) { w.storeDelay = 300 * time.Millisecond }},
		{"store-legs-to-1s", func(w *world) { w.storeDelay = time.Second }},
		{"store-legs-to-3s", func(w *world) { w.storeDelay = 3 * time.Second }},
		{"store-loses-half", func(w *world) { w.loseAnswers = true }},
		{"stale-reads-2s", func(w *world) { w.staleBy = 2 * time.Second }},
		{"stale-reads-8s", func(w *world) { w.staleBy = 8 * time.Second }},
		{"messages-lost-20pct", func(w *world) { w.loss = 20 }},
		{"messages-to-500ms", func(w *world) { w.netDelay = 500 * time.Millisecond }},
		{"down-and-lost-20pct", func(w *world) { w.down, w.loss = true, 20; w.wake() }},
		{"one-domain-cut-off-store", func(w *world) { w.daemons[0].cut, w.daemons[4].cut = true, true; w.wake() }},
	}
	for _, c := range impairments {
		b.Run(c.name, func(b *testing.B) {
			var stale, samples int
			for seed := 0; b.Loop(); seed++ {
				w := newWorld(uint64(seed), 7)
				settle(b, w, 10*time.Second)
				w.advance(2 * time.Second)
				c.impair(w)
				for range 1200 {
					w.advance(50 * time.Millisecond)
					for _, d := range w.daemons {
						samples++
						if d.spread.Verdict().Judge(w.now+d.offset) == FreshnessStale {
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
