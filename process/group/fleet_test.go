package group

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
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

func TestFleetPromotesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 1, 1500*time.Microsecond, func(f *fleet) {
			gaps := f.failover(3 * time.Second)
			if len(gaps) != 1 || !gaps[0].Claimed || gaps[0].Total() > 1500*time.Millisecond {
				t.Errorf("gaps = %+v, want one with a claim and at most 1.5 s", gaps)
			}
			for i, set := range f.sets {
				watcher, _ := set.Watcher("ledger")
				if view := watcher.View(); view.Term != 2 || view.Primary == "a" {
					t.Errorf("instance %d sees primary %s of term %d, want another of term 2", i, view.Primary, view.Term)
				}
			}
		})
	})
}

func TestFleetPromotesWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 2, 1500*time.Microsecond, func(f *fleet) {
			f.store.SetFaults(memstore.Faults{Down: true})
			gaps := f.failover(5 * time.Second)
			if len(gaps) == 0 || gaps[0].Claimed || gaps[0].Total() > 13*time.Second {
				t.Errorf("gaps = %+v, want one without a claim and at most 13 s", gaps)
			}
		})
	})
}

func TestFleetKeepsPrimaryThatOneDomainLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 3, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			for i := range fleetSize {
				if domainOf(i) == "d0" {
					f.sever(string(instanceOf(i)), "a")
				}
			}
			<-time.After(30 * time.Second)
			f.platform.Do(func(g *grouptest.Group) {
				if term := g.Member("a").Promised; term != 1 {
					t.Errorf("a healthy primary was fenced at term %d", term)
				}
			})
		})
	})
}

func TestFleetReplacesPrimaryCutOffFromItsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 4, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.sever("a", "b")
			f.sever("a", "c")
			write(f.platform, 1)
			<-time.After(4 * time.Second)
			gaps := f.promotions()
			if len(gaps) != 1 || gaps[0].Cause != promotion.CauseStalled || gaps[0].Primary == "a" {
				t.Errorf("gaps = %+v, want one of a stalled primary, to another", gaps)
			}
		})
	})
}

func TestFleetTakesUpAbandonedPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 5, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.platform.Do(func(g *grouptest.Group) {
				for _, m := range g.Members[1:] {
					if err := g.Fence(m, 2); err != nil {
						t.Error(err)
					}
				}
			})
			<-time.After(3 * time.Second)
			gaps := f.promotions()
			if len(gaps) != 1 || gaps[0].Cause != promotion.CauseHeadless || gaps[0].Term < 3 {
				t.Errorf("gaps = %+v, want one of a headless group above term 2", gaps)
			}
		})
	})
}

func TestFleetPromotesBesideAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 6, 1500*time.Microsecond, func(f *fleet) {
			swap := store.Swap{Key: promotion.ClaimKey("ledger"), Value: []byte{0}}
			if _, err := f.store.CompareAndSwap(t.Context(), swap); err != nil {
				t.Fatal(err)
			}
			gaps := f.failover(8 * time.Second)
			if len(gaps) == 0 || gaps[0].Claimed || f.outage() > 13*time.Second {
				t.Errorf("gaps = %+v after %v, want one without the claim and at most 13 s", gaps, f.outage())
			}
		})
	})
}

func TestFleetPromotesWithSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 7, 1500*time.Microsecond, func(f *fleet) {
			f.store.SetFaults(memstore.Faults{DelayMillis: 3000})
			gaps := f.failover(8 * time.Second)
			if len(gaps) == 0 || f.outage() > 13*time.Second {
				t.Errorf("gaps = %+v after %v, want one within 13 s", gaps, f.outage())
			}
		})
	})
}

func TestFleetPromotesWhenClaimAnswerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 8, 1500*time.Microsecond, func(f *fleet) {
			f.store.SetFaults(memstore.Faults{DelayMillis: 3, LoseProbability: 1})
			gaps := f.failover(4 * time.Second)
			if len(gaps) != 1 || f.outage() > 1500*time.Millisecond {
				t.Errorf("gaps = %+v after %v, want one within 1.5 s", gaps, f.outage())
			}
		})
	})
}

func TestFleetReplacesLeavingPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 9, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.platform.Do(func(g *grouptest.Group) {
				g.Member("a").Leaving = true
				g.Member("c").Leaving = true
			})
			<-time.After(3 * time.Second)
			gaps := f.promotions()
			if len(gaps) != 1 || gaps[0].Cause != promotion.CauseLeaving || gaps[0].Primary != "b" {
				t.Errorf("gaps = %+v, want one of a leaving primary, to the member that stays", gaps)
			}
		})
	})
}

func TestFleetKeepsLeavingPrimaryThatItNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 10, 1500*time.Microsecond, func(f *fleet) {
			f.sever("*", "c")
			<-time.After(time.Second)
			f.platform.Do(func(g *grouptest.Group) { g.Member("a").Leaving = true })
			<-time.After(20 * time.Second)
			if gaps := f.promotions(); len(gaps) != 0 {
				t.Errorf("gaps = %+v, want none while the majority needs the primary", gaps)
			}
		})
	})
}

// TestFleetBearsReplicasThatFallBehind has both replicas take the log in bursts
// that are further apart than a stalled primary is borne at first.
func TestFleetBearsReplicasThatFallBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runFleet(t, 11, 1500*time.Microsecond, func(f *fleet) {
			<-time.After(time.Second)
			f.mu.Lock()
			f.mu.streamEvery = 2500 * time.Millisecond
			f.mu.Unlock()
			watcher, _ := f.sets[0].Watcher("ledger")
			for range 60 {
				f.platform.Do(func(g *grouptest.Group) {
					primary := g.Member(watcher.View().Primary)
					primary.Commit(primary.Begin(), 1)
				})
				<-time.After(time.Second)
			}
			if gaps := f.promotions(); len(gaps) > 1 {
				t.Errorf("%d promotions in a minute with replicas 2.5 s behind, want at most one", len(gaps))
			}
		})
	})
}
