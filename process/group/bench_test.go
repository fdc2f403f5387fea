package group

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newTestDriver returns a driver of a group of three members. It is not run, so it
// sends no heartbeats.
func newTestDriver() *Driver {
	d := NewDriver(DefaultConfig("ledger", "i1", "d1"), Dependencies{
		Groups: grouptest.NewPlatform(grouptest.New("a", "b", "c"), 0), Store: memstore.New(memstore.Config{}),
		Sender: discardSender{}, Clock: clock.System(), Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
	})
	d.SetTargets(testTargets("a", "b", "c"))
	return d
}

// respondAll responds to every request in flight and returns their number.
func respondAll(r *Rounds, now time.Duration, position topology.Position, out *Output) int {
	responded := 0
	for i := range r.members {
		m := &r.members[i]
		if !m.pending {
			continue
		}
		status := topology.Status{
			Target: m.ID, Role: topology.RoleReplica, Term: 1,
			Received: topology.Point{Term: 1, Position: position},
			Replayed: topology.Point{Term: 1, Position: position},
		}
		if i == 0 {
			status.Role = topology.RolePrimary
		}
		r.HandleStatus(now, m.requestSequence, status, out)
		responded++
	}
	return responded
}

// BenchmarkViewAndAgeBound measures an age bound from a view with all frontiers.
func BenchmarkViewAndAgeBound(b *testing.B) {
	d := newTestDriver()
	var out Output
	now := time.Duration(0)
	d.mu.rounds.SetWatching(now, true, &out)
	for i := range 4 * maxFrontiers {
		now += d.config.Rounds.HeartbeatInterval
		out.Reset()
		d.mu.rounds.Tick(now, &out)
		respondAll(d.mu.rounds, now, topology.Position(i+1), &out)
	}
	d.publishView()
	if len(d.View().Frontiers) != maxFrontiers {
		b.Fatalf("%d frontiers", len(d.View().Frontiers))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, ok := d.View().AgeBound("b", now); !ok {
			b.Fatal("no bound")
		}
	}
}

// BenchmarkStatusResponse measures the processing of a status response while one waiter
// waits for a commit and one for a floor, including the publication of the view.
func BenchmarkStatusResponse(b *testing.B) {
	d := newTestDriver()
	r := d.mu.rounds
	var out Output
	responses := 0
	b.ReportAllocs()
	for i := 0; responses < b.N; i++ {
		now := time.Duration(i) * 3 * time.Millisecond
		out.Reset()
		r.AddWaiter(now, WaiterID(2*i), Condition{Kind: ConditionFloor}, &out)
		r.AddWaiter(now, WaiterID(2*i+1), Condition{Kind: ConditionCommit, Commit: Commit{Target: "a", Term: 1}}, &out)
		responses += respondAll(r, now, topology.Position(i+1), &out)
		d.publishView()
		now += d.config.Rounds.MinRequestInterval
		r.Tick(now, &out)
		responses += respondAll(r, now, topology.Position(i+1), &out)
		d.publishView()
		if len(r.waiters) != 0 {
			b.Fatal("open waiters left")
		}
	}
}

// BenchmarkPromotionStatus measures the promotion coordinator's processing of a status
// response.
func BenchmarkPromotionStatus(b *testing.B) {
	c := newTestDriver().mu.promotion
	status := topology.Status{Target: "b", Role: topology.RoleReplica, Term: 1, Received: topology.Point{Term: 1, Position: 5}}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		c.HandleStatus(now, now, "b", status, nil)
	}
}

// BenchmarkDriverMemory reports the memory of the driver of one idle group.
func BenchmarkDriverMemory(b *testing.B) {
	const groups = 1000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		drivers := make([]*Driver, groups)
		for i := range drivers {
			drivers[i] = newTestDriver()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/groups, "bytes/group")
		runtime.KeepAlive(drivers)
	}
}

// TestRoundsPerWrite reports the number of status rounds for each acknowledged write
// under load, in virtual time. Concurrent writes share rounds, so the number of
// requests must grow with the time, not with the load.
func TestRoundsPerWrite(t *testing.T) {
	const duration = 2 * time.Second
	for _, writers := range []int{1, 8, 64} {
		synctest.Test(t, func(t *testing.T) {
			p := grouptest.NewPlatform(grouptest.New("a", "b", "c"), 1500*time.Microsecond)
			d := NewDriver(DefaultConfig("ledger", "i1", "d1"), testDependencies(p))
			d.SetTargets(testTargets("a", "b", "c"))
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = d.Run(ctx) })
			f := &fleet{platform: p}
			running.Go(func() { f.replicate(ctx) })
			if _, err := d.Refresh(ctx); err != nil {
				t.Fatal(err)
			}
			var acknowledged, waitTimes sync.Map
			calls, startedAt := p.Calls(), time.Now()
			var load sync.WaitGroup
			for i := range writers {
				load.Go(func() {
					for n := 0; time.Since(startedAt) < duration; n++ {
						write(p, 1)
						sent := time.Now()
						if _, err := d.ConfirmCommit(ctx, Commit{Target: "a", Term: 1}); err == nil {
							acknowledged.Store(fmt.Sprint(i, "/", n), true)
							waitTimes.Store(fmt.Sprint(i, "/", n), time.Since(sent))
						}
					}
				})
			}
			load.Wait()
			cancel()
			running.Wait()
			count, wait := 0, time.Duration(0)
			waitTimes.Range(func(_, d any) bool { count++; wait += d.(time.Duration); return true })
			rounds := float64(p.Calls()-calls) / 3
			t.Logf("%3d writers: %5d acknowledged, %.0f rounds, %.3f rounds per write, mean wait %v",
				writers, count, rounds, rounds/float64(count), wait/time.Duration(count))
			const minRoundTrip = 3 * time.Millisecond
			if limit := 1 + float64(duration/minRoundTrip); rounds > 2*limit {
				t.Errorf("%.0f rounds in %v, want at most two each round trip", rounds, duration)
			}
		})
	}
}

// BenchmarkIdleHeartbeats measures one second of heartbeats of a watched group whose
// members respond immediately. The time between heartbeats is skipped.
func BenchmarkIdleHeartbeats(b *testing.B) {
	d := newTestDriver()
	d.SetWatchers([]promotion.Peer{{ID: "i1", Domain: "d1"}, {ID: "i2", Domain: "d2"}})
	var out Output
	b.ReportAllocs()
	now := time.Duration(0)
	for range b.N {
		for end := now + time.Second; now < end; now += d.config.Rounds.HeartbeatInterval {
			out.Reset()
			d.mu.rounds.Tick(now, &out)
			for _, request := range out.StatusRequests {
				status, _ := d.Groups.Status(context.Background(), request.Target)
				d.mu.rounds.HandleStatus(now, request.Sequence, status, &out)
				d.mu.promotion.HandleStatus(now, now, request.Target.ID, status, &d.mu.actions)
				d.publishView()
			}
		}
	}
}
