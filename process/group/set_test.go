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

func benchSet(services, instances int) (*Set, []platform.Instance) {
	set := NewSet(func(service topology.ServiceID) Config { return DefaultConfig(service, "i0", "d0") }, Dependencies{
		Groups: grouptest.NewPlatform(grouptest.New("a", "b", "c"), time.Microsecond), Store: memstore.New(memstore.Config{}),
		Sender: noPeers{}, Clock: clock.System(), Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
	})
	var list []platform.Instance
	for i := range instances {
		list = append(list, platform.Instance{ID: instanceOf(i), FailureDomain: domainOf(i)})
	}
	set.SetInstances(list)
	var configs []ServiceConfig
	for i := range services {
		service := topology.ServiceID(fmt.Sprintf("service-%d", i))
		configs = append(configs, ServiceConfig{Service: service, Targets: testTargets("a", "b", "c")})
	}
	set.SetServices(configs)
	return set, list
}

func TestSetDrivesWatchedAndUsedServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set, list := benchSet(100, 70)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- set.Run(ctx) }()
		synctest.Wait()
		driven, unused := 0, topology.ServiceID("")
		for id, service := range set.mu.services {
			if service.driver != nil {
				driven++
			} else {
				unused = id
			}
		}
		if driven == 0 || driven > 50 {
			t.Errorf("%d of 100 services have a driver before use, want about 10", driven)
		}
		watcher, ok := set.Watcher(unused)
		if !ok {
			t.Fatalf("no watcher for %s", unused)
		}
		if view, err := watcher.Refresh(ctx); err != nil || view.Primary != "a" {
			t.Errorf("Refresh of a service that is not watched = %+v, %v", view, err)
		}
		set.SetInstances(list[:1])
		set.SetServices(nil)
		if _, ok := set.Watcher(unused); ok {
			t.Error("a removed service has a watcher")
		}
		if _, err := watcher.Refresh(ctx); !errors.Is(err, ErrNoEvidence) {
			t.Errorf("Refresh of a removed service = %v, want ErrNoEvidence", err)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// TestRing checks that instances agree on a group's watchers whatever the order
// of their lists, and that these cover two domains.
func TestRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var peers []promotion.Peer
		domains := make(map[topology.FailureDomain]bool)
		for i := range rapid.IntRange(1, 40).Draw(t, "instances") {
			peers = append(peers, promotion.Peer{ID: instanceOf(i), Domain: domainOf(i)})
			domains[domainOf(i)] = true
		}
		service := topology.ServiceID(rapid.StringN(1, 10, 20).Draw(t, "service"))
		watchers := promotion.NewRing(peers).Watchers(service)
		other := promotion.NewRing(rapid.Permutation(peers).Draw(t, "order")).Watchers(service)
		if !slices.Equal(watchers, other) {
			t.Fatalf("watchers depend on the order: %v and %v", watchers, other)
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

// Sizes expected in two years: 38,000 databases in groups of three.
const (
	futureServices  = 12667
	futureInstances = 3600
)

// BenchmarkSetInstances measures a change of the list of instances.
func BenchmarkSetInstances(b *testing.B) {
	set, list := benchSet(futureServices, futureInstances)
	b.ResetTimer()
	for i := range b.N {
		set.SetInstances(list[:len(list)-i%2])
	}
}

// BenchmarkSetMemory reports the memory of an instance that knows every service
// and uses none.
func BenchmarkSetMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		set, _ := benchSet(futureServices, futureInstances)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(set)
	}
}
