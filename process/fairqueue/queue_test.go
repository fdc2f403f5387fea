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
	at, serviceTime time.Duration
	customer        topology.CustomerID
}

// customerResult is the service that one customer got in a simulation.
type customerResult struct {
	arrivals, finished int
	latencies          []time.Duration
}

func (r *customerResult) p99() time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[len(r.latencies)*99/100]
}

const (
	meanServiceTime   = 4 * time.Millisecond
	simulationLength  = 60 * time.Second
	ordinaryCustomers = 7
)

// poissonArrivals returns the arrivals of one customer as a Poisson process.
// They come from a random source of its own, so that they are the same in every
// simulation.
func poissonArrivals(customer topology.CustomerID, seed uint64, perSecond float64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var arrivals []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at > simulationLength {
			return arrivals
		}
		serviceTime := time.Duration(rng.ExpFloat64() * float64(meanServiceTime))
		arrivals = append(arrivals, arrival{at: at, serviceTime: serviceTime, customer: customer})
	}
}

// capacity is the number of requests per second that the servers can handle.
func capacity(servers int) float64 { return float64(servers) / meanServiceTime.Seconds() }

// ordinaryArrivals returns the arrivals of one of the ordinary customers, which
// together use 40 % of the capacity.
func ordinaryArrivals(servers, i int) []arrival {
	id := topology.CustomerID(fmt.Sprintf("ordinary-%d", i))
	return poissonArrivals(id, uint64(i+1), capacity(servers)*0.4/ordinaryCustomers)
}

// arrivalsWithFlood returns the arrivals of the ordinary customers and of one
// that sends three times the whole capacity.
func arrivalsWithFlood(servers int) []arrival {
	arrivals := poissonArrivals("flood", 100, 3*capacity(servers))
	for i := range ordinaryCustomers {
		arrivals = append(arrivals, ordinaryArrivals(servers, i)...)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// simulate serves the arrivals by a number of servers behind one queue.
func simulate(servers int, arrivals []arrival) map[topology.CustomerID]*customerResult {
	type running struct {
		end   time.Duration
		entry *Entry[arrival]
	}
	q := New[arrival](DefaultConfig())
	results := make(map[topology.CustomerID]*customerResult)
	var inService []running
	now := time.Duration(0)
	startNext := func() {
		q.Expire(now)
		for len(inService) < servers {
			entry, ok := q.Pop()
			if !ok {
				return
			}
			inService = append(inService, running{end: now + entry.Item.serviceTime, entry: entry})
		}
	}
	finishUntil := func(limit time.Duration) {
		for len(inService) > 0 {
			slices.SortFunc(inService, func(a, b running) int { return int(a.end - b.end) })
			first := inService[0]
			if first.end > limit {
				return
			}
			now = first.end
			inService = inService[1:]
			q.Finish(first.entry, first.entry.Item.serviceTime)
			r := results[first.entry.Customer]
			r.finished++
			r.latencies = append(r.latencies, now-first.entry.QueuedAt)
			startNext()
		}
	}
	for _, a := range arrivals {
		finishUntil(a.at)
		now = a.at
		if results[a.customer] == nil {
			results[a.customer] = &customerResult{}
		}
		results[a.customer].arrivals++
		q.Push(now, a.customer, a)
		startNext()
	}
	finishUntil(1 << 62)
	return results
}

// TestFloodDoesNotStarveOthers compares every ordinary customer among all others,
// one of which floods the queue, with the same customer alone, for the number of
// servers in each of the two workloads. The customer must keep 95 % of the
// goodput and less than twice the 99th percentile latency that it has alone.
func TestFloodDoesNotStarveOthers(t *testing.T) {
	for _, servers := range []int{2, 3} {
		t.Run(fmt.Sprintf("servers=%d", servers), func(t *testing.T) {
			together := simulate(servers, arrivalsWithFlood(servers))
			for i := range ordinaryCustomers {
				arrivals := ordinaryArrivals(servers, i)
				id := arrivals[0].customer
				alone, flooded := simulate(servers, arrivals)[id], together[id]
				goodput := float64(flooded.finished) / float64(alone.finished)
				p99Ratio := float64(flooded.p99()) / float64(alone.p99())
				t.Logf("%s: goodput %.4f, p99 %v -> %v (%.2f)", id, goodput, alone.p99(), flooded.p99(), p99Ratio)
				if goodput < 0.95 || p99Ratio >= 2 {
					t.Errorf("%s is starved: goodput %.4f, p99 ratio %.2f", id, goodput, p99Ratio)
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
		t.Fatalf("dropped %+v, want the new entry of the longest backlog", dropped)
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
		t.Fatal("removed an expired entry or failed to remove a waiting one")
	}
	if _, ok := q.Pop(); ok {
		t.Fatal("popped from an empty queue")
	}
}

// TestFairByCostNotByCount checks that customers share the time equally, not the
// number of requests.
func TestFairByCostNotByCount(t *testing.T) {
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
		t.Fatalf("time by customer: %v", spent)
	}
}
