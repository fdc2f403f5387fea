package group

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newTestSet returns a set that is not run, and its instances.
func newTestSet(serviceCount, instanceCount int) (*Set, []platform.Instance) {
	set := NewSet(func(service topology.ServiceID) Config { return DefaultConfig(service, "i0", "d0") }, Dependencies{
		Groups: grouptest.NewPlatform(grouptest.New("a", "b", "c"), time.Microsecond), Store: memstore.New(memstore.Config{}),
		Sender: discardSender{}, Clock: clock.System(), Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
	})
	var instances []platform.Instance
	for i := range instanceCount {
		instances = append(instances, platform.Instance{ID: instanceOf(i), FailureDomain: domainOf(i)})
	}
	set.SetInstances(instances)
	var configs []ServiceConfig
	for i := range serviceCount {
		service := topology.ServiceID(fmt.Sprintf("service-%d", i))
		configs = append(configs, ServiceConfig{Service: service, Targets: testTargets("a", "b", "c")})
	}
	set.SetServices(configs)
	return set, instances
}

// TestSetRunsDriversOfWatchedAndUsedServices checks that only a part of the services has
// a driver at first, that the first use creates one, and that removing a service ends
// its waits.
func TestSetRunsDriversOfWatchedAndUsedServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set, instances := newTestSet(100, 70)
		ctx, cancel := context.WithCancel(t.Context())
		runErr := make(chan error, 1)
		go func() { runErr <- set.Run(ctx) }()
		synctest.Wait()
		drivers, unused := 0, topology.ServiceID("")
		for id, service := range set.mu.services {
			if service.driver != nil {
				drivers++
			} else {
				unused = id
			}
		}
		if drivers == 0 || drivers > 50 {
			t.Errorf("%d of 100 services have a driver before use, want about 10", drivers)
		}
		watcher, ok := set.Watcher(unused)
		if !ok {
			t.Fatalf("no watcher for %s", unused)
		}
		if view, err := watcher.Refresh(ctx); err != nil || view.Primary != "a" {
			t.Errorf("Refresh of a service that is not watched = %+v, %v", view, err)
		}
		set.SetInstances(instances[:1])
		set.SetServices(nil)
		if _, ok := set.Watcher(unused); ok {
			t.Error("a removed service has a watcher")
		}
		if _, err := watcher.Refresh(ctx); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("Refresh of a removed service = %v, want ErrNoQuorum", err)
		}
		cancel()
		if err := <-runErr; err != nil {
			t.Error(err)
		}
	})
}

// TestRingWatchers checks that instances agree on a group's watchers in whatever order
// they know the instances, and that the watchers are in at least two failure domains if
// there are two.
func TestRingWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []promotion.Peer
		domains := make(map[topology.FailureDomain]bool)
		for i := range rapid.IntRange(1, 40).Draw(t, "instances") {
			peers = append(peers, promotion.Peer{ID: instanceOf(i), Domain: domainOf(i)})
			domains[domainOf(i)] = true
		}
		service := topology.ServiceID(rapid.StringN(1, 10, 20).Draw(t, "service"))
		watchers := promotion.NewRing(peers).Watchers(service)
		permuted := promotion.NewRing(rapid.Permutation(peers).Draw(t, "order")).Watchers(service)
		if !slices.Equal(watchers, permuted) {
			t.Fatalf("watchers depend on the order: %v and %v", watchers, permuted)
		}
		covered := make(map[topology.FailureDomain]bool)
		distinct := make(map[topology.InstanceID]bool)
		for _, w := range watchers {
			covered[w.Domain] = true
			distinct[w.ID] = true
		}
		if len(distinct) != min(len(peers), promotion.MaxWatchers) || len(distinct) != len(watchers) {
			t.Fatalf("%d watchers of %d instances: %v", len(watchers), len(peers), watchers)
		}
		if len(covered) < min(2, len(domains)) {
			t.Fatalf("watchers cover %d of %d domains", len(covered), len(domains))
		}
	})
}

// Sizes projected for two years from now: 38,000 databases in groups of three.
const (
	projectedServices  = 12667
	projectedInstances = 3600
)

// BenchmarkSetInstances measures a change of the list of live instances.
func BenchmarkSetInstances(b *testing.B) {
	set, instances := newTestSet(projectedServices, projectedInstances)
	b.ResetTimer()
	for i := range b.N {
		set.SetInstances(instances[:len(instances)-i%2])
	}
}

// BenchmarkSetMemory reports the memory of a set with all services, none of which is in
// use on this instance.
func BenchmarkSetMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		set, _ := newTestSet(projectedServices, projectedInstances)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(set)
	}
}
