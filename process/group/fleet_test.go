package group

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
)

// fleet is a test environment with seven instances in four failure domains, which run
// the drivers of one group, a store, and network links that can be cut. It runs in a
// synctest bubble.
type fleet struct {
	platform      *grouptest.Platform
	store         *memstore.Store
	sets          []*Set
	oneWayLatency time.Duration

	mu struct {
		sync.Mutex
		// cutLinks holds the interrupted links, each in one direction, as "from>to".
		cutLinks map[string]bool
		gaps     []promotion.FailoverGap
		// streamInterval, when not zero, is the interval at which primaries stream
		// their logs to the replicas.
		streamInterval time.Duration
		// cutAt is when failover cut the primary off, and outage is the time from
		// then until the first promotion was reported.
		cutAt  time.Time
		outage time.Duration
	}
}

const fleetSize = 7

func domainOf(instance int) topology.FailureDomain {
	return topology.FailureDomain(fmt.Sprintf("d%d", instance%4))
}

func instanceOf(i int) topology.InstanceID { return topology.InstanceID(fmt.Sprintf("i%d", i)) }

// network carries the calls of one instance to the members and its messages to peers.
// It implements platform.Groups and peer.Sender.
type network struct {
	fleet *fleet
	self  topology.InstanceID
}

func (n network) isCut(to string) bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.fleet.mu.cutLinks[string(n.self)+">"+to]
}

// awaitReachable returns nil if the link to the target is intact, and otherwise blocks
// until ctx is done.
func (n network) awaitReachable(ctx context.Context, target platform.Target) error {
	if !n.isCut(string(target.ID)) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (n network) Status(ctx context.Context, target platform.Target) (topology.Status, error) {
	if err := n.awaitReachable(ctx, target); err != nil {
		return topology.Status{}, err
	}
	return n.fleet.platform.Status(ctx, target)
}

func (n network) Fence(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	if err := n.awaitReachable(ctx, target); err != nil {
		return topology.Status{}, err
	}
	return n.fleet.platform.Fence(ctx, target, term)
}

func (n network) Promote(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	if err := n.awaitReachable(ctx, target); err != nil {
		return topology.Status{}, err
	}
	return n.fleet.platform.Promote(ctx, target, term)
}

func (n network) TransactionStatus(ctx context.Context, target platform.Target, transaction uint64) (platform.TransactionReport, error) {
	if err := n.awaitReachable(ctx, target); err != nil {
		return platform.TransactionReport{}, err
	}
	return n.fleet.platform.TransactionStatus(ctx, target, transaction)
}

func (n network) Send(to topology.InstanceID, _ peer.Kind, payload any) {
	if n.isCut(string(to)) {
		return
	}
	data, err := cbor.Marshal(payload)
	if err != nil {
		panic(err)
	}
	for i, set := range n.fleet.sets {
		if instanceOf(i) == to {
			time.AfterFunc(n.fleet.oneWayLatency, func() { set.Receive(n.self, data) })
		}
	}
}

// runFleet runs the drivers of a fleet while the test function runs.
func runFleet(t testing.TB, seed uint64, oneWayLatency time.Duration, test func(f *fleet)) {
	f := &fleet{
		platform:      grouptest.NewPlatform(grouptest.New("a", "b", "c"), oneWayLatency),
		store:         memstore.New(memstore.Config{}),
		oneWayLatency: oneWayLatency,
	}
	f.store.SetFaults(memstore.Faults{DelayMillis: 3})
	f.mu.cutLinks = make(map[string]bool)
	var instances []platform.Instance
	for i := range fleetSize {
		instances = append(instances, platform.Instance{ID: instanceOf(i), FailureDomain: domainOf(i)})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range fleetSize {
		n := network{fleet: f, self: instanceOf(i)}
		f.sets = append(f.sets, NewSet(
			func(service topology.ServiceID) Config { return DefaultConfig(service, n.self, domainOf(i)) },
			Dependencies{
				Groups: n, Store: f.store, Sender: n, Clock: clock.System(), Log: logr.Discard(),
				Random: rand.New(rand.NewPCG(seed, uint64(i))),
				OnPromotion: func(_ topology.ServiceID, gap promotion.FailoverGap) {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.mu.gaps = append(f.mu.gaps, gap)
					if f.mu.outage == 0 {
						f.mu.outage = time.Since(f.mu.cutAt)
					}
				},
			}))
	}
	random := rand.New(rand.NewPCG(seed, 99))
	for _, set := range f.sets {
		set.SetInstances(instances)
		set.SetServices([]ServiceConfig{{Service: "ledger", Targets: testTargets("a", "b", "c")}})
		// Staggers the instances' heartbeats.
		<-time.After(time.Duration(random.Int64N(int64(150 * time.Millisecond))))
		running.Go(func() { _ = set.Run(ctx) })
	}
	running.Go(func() { f.replicate(ctx) })
	test(f)
	cancel()
	running.Wait()
}

// replicate streams the logs of all primaries to the other members until ctx is done.
func (f *fleet) replicate(ctx context.Context) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	var streamed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(streamed) < f.streamInterval() {
			continue
		}
		streamed = time.Now()
		f.platform.WithGroup(func(g *grouptest.Group) {
			for _, from := range g.Members {
				for _, to := range g.Members {
					if !f.replicationCut(from.ID, to.ID) {
						g.Replicate(from, to, 8)
					}
				}
			}
		})
	}
}

func (f *fleet) streamInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mu.streamInterval
}

func (f *fleet) replicationCut(from, to topology.TargetID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mu.cutLinks[string(from)+">"+string(to)] || f.mu.cutLinks["*>"+string(from)]
}

// cutLink cuts a link in one direction. As from, "*" stands for every instance.
func (f *fleet) cutLink(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mu.cutLinks[from+">"+to] = true
	if from == "*" {
		for i := range fleetSize {
			f.mu.cutLinks[string(instanceOf(i))+">"+to] = true
		}
	}
}

// reportedGaps returns the gaps of the promotions reported so far.
func (f *fleet) reportedGaps() []promotion.FailoverGap {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]promotion.FailoverGap(nil), f.mu.gaps...)
}

// outage returns the time from when failover cut the primary off until the first
// promotion was reported.
func (f *fleet) outage() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mu.outage
}

// failover cuts the primary off from all instances and returns the gaps that were
// reported after the wait.
func (f *fleet) failover(wait time.Duration) []promotion.FailoverGap {
	<-time.After(time.Second)
	f.cutLink("*", "a")
	f.mu.Lock()
	f.mu.cutAt = time.Now()
	f.mu.Unlock()
	<-time.After(wait)
	return f.reportedGaps()
}
