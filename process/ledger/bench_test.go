package ledger

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/membership"
	"samphirehitch.example/samphirehitch/process/topology"
)

// BenchmarkAdmit measures a decision that needs no peer, on a shard that holds
// one of eight slots and has ten thousand customers.
func BenchmarkAdmit(b *testing.B) {
	const customers = 10_000
	shard, names := newBenchShard(customers)
	now := 10 * time.Second
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += time.Microsecond
		if ticket, refusal := shard.Admit(now, names[i%customers]); ticket != nil || refusal != nil {
			b.Fatal("not admitted immediately")
		}
	}
}

// BenchmarkDriverAdmit measures the same through the driver, from several
// goroutines. The limits are set at time zero, so the buckets are full when the
// benchmark starts at 10 s.
func BenchmarkDriverAdmit(b *testing.B) {
	const customers = 10_000
	var elapsed atomic.Int64
	d := New(1, nil, func() time.Duration { return 10*time.Second + time.Duration(elapsed.Load()) }, logr.Discard())
	slots, names, limits := newBenchLimits(customers)
	elapsed.Store(int64(-10 * time.Second))
	d.MembershipChanged(membership.View{Holders: slots.Holders, SlotLeases: []membership.SlotLease{{Index: 0, Epoch: 1, ExpiresAt: noExpiry}}})
	d.SetRateLimits(limits)
	elapsed.Store(0)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if err := d.Admit(b.Context(), names[i%customers]); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkCustomers reports the memory of 1000 customers without requests.
func BenchmarkCustomers(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		newBenchShard(1000)
	}
}

// newBenchShard returns a shard with the assignment and limits of
// newBenchLimits.
func newBenchShard(customers int) (*RateShard, []topology.CustomerID) {
	slots, names, limits := newBenchLimits(customers)
	shard := NewRateShard(1)
	shard.SetSlots(0, slots)
	shard.SetLimits(0, limits)
	return shard, names
}

// newBenchLimits returns eight slots, of which the first is held, and limits
// that customers never reach.
func newBenchLimits(customers int) (*SlotAssignment, []topology.CustomerID, []RateLimit) {
	slots := &SlotAssignment{Holders: make([]topology.InstanceID, 8), Leases: []SlotLease{{Index: 0, Epoch: 1, ExpiresAt: noExpiry}}}
	for slot := range slots.Holders {
		slots.Holders[slot] = topology.InstanceID(fmt.Sprintf("i%d", slot))
	}
	names := make([]topology.CustomerID, customers)
	limits := make([]RateLimit, customers)
	for i := range names {
		names[i] = topology.CustomerID(fmt.Sprintf("customer-%d", i))
		limits[i] = RateLimit{Customer: names[i], Rate: 1e9, Burst: 1e9}
	}
	return slots, names, limits
}

// BenchmarkMessages reports the messages and CBOR bytes that an instance sends
// per second. The customers' rates add up to about 150 requests a second per
// instance, and the load is 80 % of them. Four fifths of a customer's requests
// go to one instance, the rest to any.
func BenchmarkMessages(b *testing.B) {
	for _, count := range []int{7, 30, 100} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			for range b.N {
				measureMessages(b, count)
			}
		})
	}
}

func measureMessages(b *testing.B, count int) {
	const length = 20 * time.Second
	rates := []float64{400, 300, 200, 50, 50, 20, 20, 5}
	var limits []RateLimit
	for i := range count + 1 {
		rate := rates[i%len(rates)]
		limits = append(limits, RateLimit{Customer: topology.CustomerID(fmt.Sprintf("c%d", i)), Rate: rate, Burst: rate / 2})
	}
	f := newFleet(3, count, count+1, limits)
	f.runUntil(5 * time.Second)
	messages, bytes := 0, 0
	f.onSend = func(m *Message) {
		encoded, err := cbor.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		messages++
		bytes += len(encoded)
	}
	for i, limit := range limits {
		var next func()
		next = func() {
			receiver := i
			if f.rng.IntN(10) >= 8 {
				receiver = f.rng.IntN(count)
			}
			f.sendRequest(f.instances[receiver%count], limit.Customer)
			f.schedule(time.Duration(f.rng.ExpFloat64()/(limit.Rate*0.8)*float64(time.Second)), next)
		}
		f.schedule(0, next)
	}
	f.runUntil(f.now + length)
	b.ReportMetric(float64(messages)/length.Seconds()/float64(count), "messages/s/instance")
	b.ReportMetric(float64(bytes)/length.Seconds()/float64(count), "bytes/s/instance")
}
