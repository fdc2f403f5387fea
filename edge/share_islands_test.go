package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/upkeep"
	"samphirehitch.example/samphirehitch/version/catalog"
)

const (
	// simFavoredPart is the part of the operations that arrive at the favored instances.
	simFavoredPart = 0.8
	// simPlanLength is the time in which the events of a plan begin, simPlanRest the time
	// after it.
	simPlanLength = 18 * time.Second
	simPlanRest   = 8 * time.Second
)

// storeAway reports whether the instance cannot call the store.
func (i *simInstance) storeAway() bool { return i.lacksStore || i.fleet.storeAway }

// renew renews the registration when that is due, or registers if there is none.
func (i *simInstance) renew() {
	f := i.fleet
	if f.now < i.renewalAt {
		return
	}
	schedule := upkeep.For(upkeep.Using)
	if i.storeAway() {
		i.renewalAt = f.now + schedule.RenewRetryInterval
		return
	}
	i.renewalAt = f.now + schedule.RenewInterval
	if i.lease == 0 || !i.registered {
		i.daemon.authority.ObserveExpiry()
		r := i.daemon.registration(simLeaseTTL)
		f.write(i.id, &r)
		i.daemon.ownRevisions[instanceKey(i.id)] = store.NewRevision(1, uint64(len(f.changes)))
		i.registered = true
	}
	i.lease = f.now + simLeaseTTL
	i.daemon.authority.ObserveRenewal(f.now, simLeaseTTL)
}

// expire removes the registration when its lease has ended.
func (i *simInstance) expire() {
	if i.lease > 0 && i.fleet.now >= i.lease {
		i.lease = 0
		i.fleet.write(i.id, nil)
	}
}

// crash ends the process, which starts again after a time.
func (i *simInstance) crash(restart time.Duration) {
	if i.daemon != nil {
		i.daemon = nil
		i.fleet.at(i.fleet.now+restart, i.start)
	}
}

// simEventKind is the kind of an event of a plan.
type simEventKind string

const (
	// eventPeersCut puts the members on an island, without links to the others.
	eventPeersCut simEventKind = "cut from the others"
	eventStoreCut simEventKind = "cut from the store"
	// eventCrash kills the members, which start again after the length.
	eventCrash simEventKind = "crash"
	eventRoll  simEventKind = "roll"
	// eventLoad changes the load to a multiple of the customer's rate and favors the members.
	eventLoad simEventKind = "load"
)

// plannedEvent is an event of a plan.
type plannedEvent struct {
	kind       simEventKind
	at, length time.Duration
	members    []int
	load       float64
}

func (e plannedEvent) String() string {
	return fmt.Sprintf("%v +%v %s %v load %.1f", e.at, e.length, e.kind, e.members, e.load)
}

// islandPlan is a drawn course of events in a fleet that serves one customer.
type islandPlan struct {
	seed        uint64
	instances   int
	rate, burst float64
	// load is the load from the start, in multiples of the rate.
	load float64
	// startSpread bounds the time between the starts of instances that start together.
	startSpread time.Duration
	events      []plannedEvent
}

func (p islandPlan) String() string {
	text := fmt.Sprintf("seed %d: %d instances starting within %v, rate %.0f, burst %.0f, load %.1f from the start", p.seed, p.instances, p.startSpread, p.rate, p.burst, p.load)
	for _, e := range p.events {
		text += "\n    " + e.String()
	}
	return text
}

// maxPerWindow is the number of operations that the rule allows in a window.
func (p islandPlan) maxPerWindow() int {
	return int((p.rate*simWindow.Seconds()+p.burst)*1.1 + 20)
}

// drawPlan draws a plan with up to five events of the given kinds.
func drawPlan(seed uint64, kinds ...simEventKind) islandPlan {
	random := rand.New(rand.NewPCG(seed, 12))
	rate := []float64{12, 40, 206, 400}[random.IntN(4)]
	p := islandPlan{seed: seed, instances: 3 + random.IntN(10), rate: rate, burst: rate * (0.1 + 0.9*random.Float64()),
		load: []float64{0.5, 1, 3, 5}[random.IntN(4)]}
	for range 1 + random.IntN(5) {
		p.events = append(p.events, plannedEvent{
			kind: kinds[random.IntN(len(kinds))], at: time.Duration(random.Int64N(int64(simPlanLength))),
			length:  500*time.Millisecond + time.Duration(random.Int64N(int64(9*time.Second))),
			members: random.Perm(p.instances)[:1+random.IntN(p.instances)], load: []float64{0.3, 0.8, 2, 5}[random.IntN(4)],
		})
	}
	slices.SortFunc(p.events, func(a, b plannedEvent) int { return int(a.at - b.at) })
	p.startSpread = []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}[random.IntN(3)]
	return p
}

// schedule adds an event to the fleet. Number distinguishes the islands of overlapping cuts.
func (f *simFleet) schedule(e plannedEvent, number int, startSpread time.Duration) {
	for n, member := range e.members {
		i := f.instances[member]
		switch e.kind {
		case eventPeersCut:
			f.at(e.at, func() { i.island |= 1 << number })
			f.at(e.at+e.length, func() { i.island &^= 1 << number })
		case eventStoreCut:
			f.at(e.at, func() { i.lacksStore = true })
			f.at(e.at+e.length, func() { i.lacksStore = false })
		case eventCrash:
			f.at(e.at, func() { i.crash(e.length + f.below(startSpread)) })
		case eventRoll:
			f.at(e.at+time.Duration(n)*e.length/4, i.terminate)
		}
	}
}

// play returns the fleet after the plan. All its admitted operations are counted.
func (p islandPlan) play(t *testing.T) *simFleet {
	f := newSimFleet(t, p.seed, p.instances, p.rate)
	f.catalog.Customers["k"] = catalog.Customer{ID: "k", Rate: p.rate, Burst: p.burst}
	f.leases, f.events = true, nil
	for _, i := range f.instances {
		f.at(f.below(p.startSpread), i.start)
	}
	for number, e := range p.events {
		f.schedule(e, number, p.startSpread)
	}
	load := p.load * p.rate
	for _, e := range p.events {
		if e.kind != eventLoad {
			continue
		}
		f.run(e.at, load)
		load, f.favored = e.load*p.rate, nil
		for _, member := range e.members {
			f.favored = append(f.favored, f.instances[member])
		}
	}
	f.run(simPlanLength+simPlanRest, load)
	return f
}

// exceeds reports whether more operations are admitted in a window than the rule allows.
func (p islandPlan) exceeds(t *testing.T) (admitted int, exceeds bool) {
	admitted = p.play(t).maxInWindow(simWindow)
	return admitted, admitted > p.maxPerWindow()
}

// reduce removes the events without which the limit is exceeded as well.
func (p islandPlan) reduce(t *testing.T) islandPlan {
	for n := 0; n < len(p.events); {
		fewer := p
		fewer.events = slices.Delete(slices.Clone(p.events), n, n+1)
		if _, exceeds := fewer.exceeds(t); exceeds {
			p = fewer
		} else {
			n++
		}
	}
	return p
}

// exitKinds are the kinds of events by which instances start and stop, in one island.
var exitKinds = []simEventKind{eventCrash, eventCrash, eventRoll, eventLoad}

// testDrawnPlans plays the plans drawn from seeds and reports each that exceeds the limit.
func testDrawnPlans(t *testing.T, seeds []uint64, kinds ...simEventKind) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			p := drawPlan(seed, kinds...)
			admitted, exceeds := p.exceeds(t)
			if !exceeds {
				return
			}
			reduced := p.reduce(t)
			admittedReduced, _ := reduced.exceeds(t)
			t.Errorf("%d operations in a window, allowed %d; %d after reduction to\n  %v", admitted, p.maxPerWindow(), admittedReduced, reduced)
		})
	}
}

// seedsBelow returns all seeds below a number.
func seedsBelow(count uint64) []uint64 {
	seeds := make([]uint64, count)
	for n := range seeds {
		seeds[n] = uint64(n)
	}
	return seeds
}

func TestLimitHoldsWhileInstancesStartAndStop(t *testing.T) {
	testDrawnPlans(t, seedsBelow(30), exitKinds...)
}

// The operations that leaving instances had admitted did not count against the shares of the
// others: in rolls beside a customer above its limit, 2,736 were in a window, 2,610 allowed.
func TestLimitHoldsInARollBesideAHotCustomer(t *testing.T) {
	testDrawnPlans(t, []uint64{689, 899, 1742, 2080}, exitKinds...)
}

// One instance held the whole limit while the others started again. Their new buckets count the
// time before them with their present shares, which it held then: 2,624 operations were in a
// window, 2,617 allowed.
func TestLimitHoldsWhenMostInstancesStartAtOnce(t *testing.T) {
	testDrawnPlans(t, []uint64{2130}, exitKinds...)
}

// Instances that had links to the store but not to each other each raised their shares by
// their own demand: 1,650 operations were in a window, 1,210 allowed.
func TestLimitHoldsInIslands(t *testing.T) {
	testDrawnPlans(t, append(seedsBelow(50), 78, 88, 93, 98, 104), eventPeersCut, eventPeersCut, eventStoreCut, eventCrash, eventRoll, eventLoad)
}

// Seven of eight instances lost the store, so that the other one held the whole limit. When they were
// registered again, their buckets counted the time before with their present shares: 2,795 operations
// were in a window, 2,655 allowed.
func TestLimitHoldsWhenInstancesAreRegisteredAgain(t *testing.T) {
	testDrawnPlans(t, append(seedsBelow(10), 50104), eventStoreCut, eventStoreCut, eventStoreCut, eventLoad)
}
