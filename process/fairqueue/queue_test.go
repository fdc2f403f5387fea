package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// arrival is one request of the simulated load.
type arrival struct {
	at, service time.Duration
	customer    topology.CustomerID
}

// outcome sums up what one customer got.
type outcome struct {
	offered, done int
	latencies     []time.Duration
}

func (o *outcome) p99() time.Duration {
	slices.Sort(o.latencies)
	return o.latencies[len(o.latencies)*99/100]
}

const (
	meanService = 4 * time.Millisecond
	trialLength = 60 * time.Second
	ordinary    = 7
)

// poisson makes the arrivals of one customer from its own random source, so
// that they are the same in every trial.
func poisson(customer topology.CustomerID, seed uint64, perSecond float64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at > trialLength {
			return all
		}
		service := time.Duration(rng.ExpFloat64() * float64(meanService))
		all = append(all, arrival{at: at, service: service, customer: customer})
	}
}

// capacity is the requests per second that the slots can serve.
func capacity(slots int) float64 { return float64(slots) / meanService.Seconds() }

// ordinaryLoad is the arrivals of one of the customers that together ask for
// 40 % of the capacity.
func ordinaryLoad(slots, i int) []arrival {
	id := topology.CustomerID(fmt.Sprintf("ordinary-%d", i))
	return poisson(id, uint64(i+1), capacity(slots)*0.4/ordinary)
}

// flooded adds to the ordinary customers one that asks for three times the
// whole capacity.
func flooded(slots int) []arrival {
	all := poisson("flood", 100, 3*capacity(slots))
	for i := range ordinary {
		all = append(all, ordinaryLoad(slots, i)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// simulate serves the arrivals by slots servers behind the queue.
func simulate(slots int, arrivals []arrival) map[topology.CustomerID]*outcome {
	type running struct {
		end   time.Duration
		entry *Entry[arrival]
	}
	q := New[arrival](DefaultConfig())
	results := make(map[topology.CustomerID]*outcome)
	var active []running
	now := time.Duration(0)
	start := func() {
		q.Expire(now)
		for len(active) < slots {
			entry, ok := q.Pop()
			if !ok {
				return
			}
			active = append(active, running{end: now + entry.Item.service, entry: entry})
		}
	}
	finishUntil := func(limit time.Duration) {
		for len(active) > 0 {
			slices.SortFunc(active, func(a, b running) int { return int(a.end - b.end) })
			first := active[0]
			if first.end > limit {
				return
			}
			now = first.end
			active = active[1:]
			q.Finish(first.entry, first.entry.Item.service)
			r := results[first.entry.Customer]
			r.done++
			r.latencies = append(r.latencies, now-first.entry.Queued)
			start()
		}
	}
	for _, a := range arrivals {
		finishUntil(a.at)
		now = a.at
		if results[a.customer] == nil {
			results[a.customer] = &outcome{}
		}
		results[a.customer].offered++
		q.Push(now, a.customer, a)
		start()
	}
	finishUntil(1 << 62)
	return results
}

// TestFloodLeavesOthersTheirService checks the measure of the worst-served
// customer at the slots of both workloads: 95 % of the goodput and less than
// twice the 99th percentile that it has when it is alone on the target.
func TestFloodLeavesOthersTheirService(t *testing.T) {
	for _, slots := range []int{2, 3} {
		t.Run(fmt.Sprintf("slots=%d", slots), func(t *testing.T) {
			together := simulate(slots, flooded(slots))
			for i := range ordinary {
				arrivals := ordinaryLoad(slots, i)
				id := arrivals[0].customer
				alone, after := simulate(slots, arrivals)[id], together[id]
				goodput := float64(after.done) / float64(alone.done)
				stretch := float64(after.p99()) / float64(alone.p99())
				t.Logf("%s: goodput %.4f, p99 %v -> %v (%.2f)", id, goodput, alone.p99(), after.p99(), stretch)
				if goodput < 0.95 || stretch >= 2 {
					t.Errorf("%s is crowded out: goodput %.4f, p99 stretch %.2f", id, goodput, stretch)
				}
			}
		})
	}
}

func TestFullQueueDropsFromTheLongestBacklog(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxLength = 4
	q := New[int](cfg)
	for i := range 4 {
		q.Push(0, "large", i)
	}
	entry, dropped := q.Push(0, "small", 9)
	if dropped == nil || dropped == entry || dropped.Item != 3 {
		t.Fatalf("dropped %+v, want the newest of the large customer", dropped)
	}
	if entry, dropped := q.Push(0, "large", 10); dropped != entry {
		t.Fatalf("the longest backlog took a place from %+v", dropped)
	}
}

func TestExpiryAndRemoval(t *testing.T) {
	q := New[int](DefaultConfig())
	first, _ := q.Push(0, "a", 1)
	second, _ := q.Push(time.Second, "a", 2)
	if at, ok := q.NextExpiry(); !ok || at != 2*time.Second {
		t.Fatalf("next expiry %v %v", at, ok)
	}
	if expired := q.Expire(2 * time.Second); len(expired) != 1 || expired[0] != first {
		t.Fatalf("expired %v", expired)
	}
	if q.Remove(first) || !q.Remove(second) || q.Len() != 0 {
		t.Fatal("an expired entry can't be removed, a waiting one can")
	}
	if _, ok := q.Pop(); ok {
		t.Fatal("popped from an empty queue")
	}
}

// TestChargeFollowsRealCost checks that shares are of time, not of requests.
func TestChargeFollowsRealCost(t *testing.T) {
	q := New[int](DefaultConfig())
	spent := map[topology.CustomerID]time.Duration{}
	cost := map[topology.CustomerID]time.Duration{"long": 40 * time.Millisecond, "short": 2 * time.Millisecond}
	for i := range 2000 {
		for customer := range cost {
			q.Push(time.Duration(i), customer, i)
		}
		entry, _ := q.Pop()
		spent[entry.Customer] += cost[entry.Customer]
		q.Finish(entry, cost[entry.Customer])
	}
	if ratio := float64(spent["long"]) / float64(spent["short"]); ratio < 0.9 || ratio > 1.1 {
		t.Fatalf("time shares %v", spent)
	}
}
