package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/ledger"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// liveHeapBytes returns the heap memory of live objects. The second collection frees what
// the first one left to finalizers and pools.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// reportRetained reports the heap memory that a value retains, as the metric retained-B.
func reportRetained[T any](b *testing.B, create func() T) {
	before := liveHeapBytes()
	value := create()
	b.ReportMetric(liveHeapBytes()-before, "retained-B")
	runtime.KeepAlive(value)
}

// newState returns a configuration of n records: equal numbers of customers, keys and
// limits, with one key and one limit for each customer.
func newState(b *testing.B, n int) config.State {
	b.Helper()
	verifier, err := record.NewVerifier("secret")
	if err != nil {
		b.Fatal(err)
	}
	state := config.State{Revision: store.Revision(n)}
	for _, kind := range []record.Kind{record.KindCustomer, record.KindKey, record.KindLimit} {
		for i := range n / 3 {
			state.Entries = append(state.Entries, newEntry(b, kind, i, verifier))
		}
	}
	return state
}

// newEntry returns the store entry of record i of a kind.
func newEntry(b *testing.B, kind record.Kind, i int, verifier record.Verifier) store.Entry {
	b.Helper()
	customer := topology.CustomerID(fmt.Sprintf("customer-%08d", i))
	var value record.Value
	switch kind {
	case record.KindCustomer:
		value = record.Customer{ID: customer, Name: string(customer)}
	case record.KindKey:
		value = record.Key{ID: topology.KeyID(fmt.Sprintf("key-%08d", i)), Customer: customer, Verifier: verifier}
	default:
		value = record.Limit{Customer: customer, Rate: 100, Burst: 50}
	}
	data, err := record.New(value).Encode()
	if err != nil {
		b.Fatal(err)
	}
	return store.Entry{Key: config.Prefix + record.Name(kind, value.RecordID()), Value: data, Revision: store.Revision(i + 1)}
}

// recordSizes are the numbers of records that benchmarks measure.
var recordSizes = []int{3000, 9000, 30000}

// BenchmarkSnapshotMemory reports the memory of a snapshot and of the records from which it
// was built.
func BenchmarkSnapshotMemory(b *testing.B) {
	for _, n := range recordSizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			for b.Loop() {
				reportRetained(b, func() *snapshot.Snapshot {
					s, _ := snapshot.Build(nil, newState(b, n))
					return s
				})
			}
		})
	}
}

// BenchmarkSnapshotChange measures the time to build a snapshot after one record changed.
func BenchmarkSnapshotChange(b *testing.B) {
	for _, n := range recordSizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			before := newState(b, n)
			previous, _ := snapshot.Build(nil, before)
			after := config.State{Revision: before.Revision + 1, Entries: append([]store.Entry(nil), before.Entries...)}
			after.Entries[0].Revision = after.Revision
			for b.Loop() {
				snapshot.Build(previous, after)
			}
		})
	}
}

// BenchmarkLedgerMemory reports the memory of a rate ledger's shard on an instance that
// owns one of eight slots.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			for b.Loop() {
				reportRetained(b, func() *ledger.RateShard { return newRateShard(n) })
			}
		})
	}
}

// newRateShard returns a shard of the rate ledger that owns one of eight slots, with the
// limits of n customers.
func newRateShard(n int) *ledger.RateShard {
	slots := &ledger.SlotAssignment{
		Holders: make([]topology.InstanceID, 8),
		Leases:  []ledger.SlotLease{{Index: 0, Epoch: 1, ExpiresAt: time.Hour}},
	}
	for i := range slots.Holders {
		slots.Holders[i] = topology.InstanceID(fmt.Sprintf("entry-%d", i))
	}
	limits := make([]ledger.RateLimit, n)
	for i := range limits {
		limits[i] = ledger.RateLimit{Customer: topology.CustomerID(fmt.Sprintf("customer-%08d", i)), Rate: 100, Burst: 50}
	}
	shard := ledger.NewRateShard(1)
	shard.SetSlots(0, slots)
	shard.SetLimits(0, limits)
	return shard
}
