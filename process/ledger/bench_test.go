package ledger

import (
	"fmt"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// BenchmarkAdmit measures a decision that needs no peer, on a shard that owns
// one of eight slots and holds ten thousand customers.
func BenchmarkAdmit(b *testing.B) {
	const customers = 10_000
	shard, names := benchShard(customers)
	now := 10 * time.Second
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += time.Microsecond
		if ticket, refusal := shard.Admit(now, names[i%customers]); ticket != nil || refusal != nil {
			b.Fatal("not admitted at once")
		}
	}
}

// BenchmarkCustomers reports the memory of a customer that is not active.
func BenchmarkCustomers(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		benchShard(1000)
	}
}

func benchShard(customers int) (*Shard, []topology.CustomerID) {
	shard := NewShard(1)
	slots := &Slots{Holders: make([]topology.InstanceID, 8), Owned: []OwnedSlot{{Index: 0, Epoch: 1, Until: never}}}
	for slot := range slots.Holders {
		slots.Holders[slot] = topology.InstanceID(fmt.Sprintf("i%d", slot))
	}
	shard.SetSlots(0, slots)
	names := make([]topology.CustomerID, customers)
	limits := make([]Limit, customers)
	for i := range names {
		names[i] = topology.CustomerID(fmt.Sprintf("customer-%d", i))
		limits[i] = Limit{Customer: names[i], Rate: 1e9, Burst: 1e9}
	}
	shard.SetLimits(0, limits)
	return shard, names
}
