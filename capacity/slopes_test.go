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

// heap returns the bytes that live objects occupy.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// reportRetained reports what a value that make returns occupies.
func reportRetained[T any](b *testing.B, make func() T) {
	before := heap()
	kept := make()
	b.ReportMetric(heap()-before, "retained-B")
	runtime.KeepAlive(kept)
}

// records returns the state of n records, in the proportions of customers with a
// key and a limit each.
func records(b *testing.B, n int) config.State {
	b.Helper()
	verifier, err := record.NewVerifier("secret")
	if err != nil {
		b.Fatal(err)
	}
	state := config.State{Revision: store.Revision(n)}
	for _, kind := range []record.Kind{record.KindCustomer, record.KindKey, record.KindLimit} {
		for i := range n / 3 {
			state.Entries = append(state.Entries, entry(b, kind, i, verifier))
		}
	}
	return state
}

func entry(b *testing.B, kind record.Kind, i int, verifier record.Verifier) store.Entry {
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

var recordSizes = []int{3000, 9000, 30000}

// BenchmarkSnapshotMemory reports the memory of a snapshot with the records it
// was built from.
func BenchmarkSnapshotMemory(b *testing.B) {
	for _, n := range recordSizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			for b.Loop() {
				reportRetained(b, func() *snapshot.Snapshot {
					built, _ := snapshot.Build(nil, records(b, n))
					return built
				})
			}
		})
	}
}

// BenchmarkSnapshotChange measures the processor time of a change of one record.
func BenchmarkSnapshotChange(b *testing.B) {
	for _, n := range recordSizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			before := records(b, n)
			previous, _ := snapshot.Build(nil, before)
			after := config.State{Revision: before.Revision + 1, Entries: append([]store.Entry(nil), before.Entries...)}
			after.Entries[0].Revision = after.Revision
			for b.Loop() {
				snapshot.Build(previous, after)
			}
		})
	}
}

// BenchmarkLedgerMemory reports the memory of the ledger for customers of which
// this instance holds a part.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			for b.Loop() {
				reportRetained(b, func() *ledger.RateShard { return ledgerOf(n) })
			}
		})
	}
}

// ledgerOf returns a shard with one of eight slots and n customers.
func ledgerOf(n int) *ledger.RateShard {
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
