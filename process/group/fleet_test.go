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

// fleet is seven drivers in four failure domains with one group, a store and
// links between them, in a bubble.
type fleet struct {
	platform *grouptest.Platform
	store    *memstore.Store
	sets     []*Set
	oneWay   time.Duration

	mu struct {
		sync.Mutex
		cut  map[string]bool
		gaps []promotion.Gap
		// streamEvery, when not zero, is how rarely replicas take the log.
		streamEvery time.Duration
		// cutAt is when failover cut the primary off, and resumed when the
		// first promotion after that was reported.
		cutAt   time.Time
		resumed time.Duration
	}
}

const fleetSize = 7

func domainOf(instance int) topology.FailureDomain {
	return topology.FailureDomain(fmt.Sprintf("d%d", instance%4))
}

func instanceOf(i int) topology.InstanceID { return topology.InstanceID(fmt.Sprintf("i%d", i)) }

// link carries the calls and messages of one instance.
type link struct {
	fleet *fleet
	self  topology.InstanceID
}

func (l link) cut(to string) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.mu.cut[string(l.self)+">"+to]
}

func (l link) reach(ctx context.Context, target platform.Target) error {
	if !l.cut(string(target.ID)) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (l link) Status(ctx context.Context, target platform.Target) (topology.Status, error) {
	if err := l.reach(ctx, target); err != nil {
		return topology.Status{}, err
	}
	return l.fleet.platform.Status(ctx, target)
}

func (l link) Fence(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	if err := l.reach(ctx, target); err != nil {
		return topology.Status{}, err
	}
	return l.fleet.platform.Fence(ctx, target, term)
}

func (l link) Promote(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	if err := l.reach(ctx, target); err != nil {
		return topology.Status{}, err
	}
	return l.fleet.platform.Promote(ctx, target, term)
}

func (l link) TransactionStatus(ctx context.Context, target platform.Target, transaction uint64) (platform.TransactionReport, error) {
	if err := l.reach(ctx, target); err != nil {
		return platform.TransactionReport{}, err
	}
	return l.fleet.platform.TransactionStatus(ctx, target, transaction)
}

func (l link) Send(to topology.InstanceID, _ peer.Kind, payload any) {
	if l.cut(string(to)) {
		return
	}
	data, err := cbor.Marshal(payload)
	if err != nil {
		panic(err)
	}
	for i, set := range l.fleet.sets {
		if instanceOf(i) == to {
			time.AfterFunc(l.fleet.oneWay, func() { set.Receive(l.self, data) })
		}
	}
}

// runFleet runs the fleet until test returns.
func runFleet(t testing.TB, seed uint64, oneWay time.Duration, test func(f *fleet)) {
	f := &fleet{
		platform: grouptest.NewPlatform(grouptest.New("a", "b", "c"), oneWay),
		store:    memstore.New(memstore.Config{}),
		oneWay:   oneWay,
	}
	f.store.SetFaults(memstore.Faults{DelayMillis: 3})
	f.mu.cut = make(map[string]bool)
	var instances []platform.Instance
	for i := range fleetSize {
		instances = append(instances, platform.Instance{ID: instanceOf(i), FailureDomain: domainOf(i)})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range fleetSize {
		l := link{fleet: f, self: instanceOf(i)}
		f.sets = append(f.sets, NewSet(
			func(service topology.ServiceID) Config { return DefaultConfig(service, l.self, domainOf(i)) },
			Dependencies{
				Groups: l, Store: f.store, Sender: l, Clock: clock.System(), Log: logr.Discard(),
				Random: rand.New(rand.NewPCG(seed, uint64(i))),
				OnGap: func(_ topology.ServiceID, gap promotion.Gap) {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.mu.gaps = append(f.mu.gaps, gap)
					if f.mu.resumed == 0 {
						f.mu.resumed = time.Since(f.mu.cutAt)
					}
				},
			}))
	}
	random := rand.New(rand.NewPCG(seed, 99))
	for _, set := range f.sets {
		set.SetInstances(instances)
		set.SetServices([]ServiceConfig{{Service: "ledger", Targets: testTargets("a", "b", "c")}})
		// The instances' heartbeats are not in step.
		<-time.After(time.Duration(random.Int64N(int64(150 * time.Millisecond))))
		running.Go(func() { _ = set.Run(ctx) })
	}
	running.Go(func() { f.replicate(ctx) })
	test(f)
	cancel()
	running.Wait()
}

// replicate streams from every primary until ctx ends.
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
		f.platform.Do(func(g *grouptest.Group) {
			for _, from := range g.Members {
				for _, to := range g.Members {
					if !f.severed(from.ID, to.ID) {
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
	return f.mu.streamEvery
}

func (f *fleet) severed(from, to topology.TargetID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mu.cut[string(from)+">"+string(to)] || f.mu.cut["*>"+string(from)]
}

// sever cuts a link in one direction; "*" stands for every instance.
func (f *fleet) sever(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mu.cut[from+">"+to] = true
	if from == "*" {
		for i := range fleetSize {
			f.mu.cut[string(instanceOf(i))+">"+to] = true
		}
	}
}

// promotions returns the gaps reported so far.
func (f *fleet) promotions() []promotion.Gap {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]promotion.Gap(nil), f.mu.gaps...)
}

// outage returns the time from the primary's end to the first promotion's.
func (f *fleet) outage() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mu.resumed
}

// failover makes the primary vanish and returns the gaps that the fleet reports.
func (f *fleet) failover(wait time.Duration) []promotion.Gap {
	<-time.After(time.Second)
	f.sever("*", "a")
	f.mu.Lock()
	f.mu.cutAt = time.Now()
	f.mu.Unlock()
	<-time.After(wait)
	return f.promotions()
}
