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

// benchDriver returns a driver with full frontiers that asks nobody.
func benchDriver() *Driver {
	d := NewDriver(DefaultConfig("ledger", "i1", "d1"), Dependencies{
		Groups: grouptest.NewPlatform(grouptest.New("a", "b", "c"), 0), Store: memstore.New(memstore.Config{}),
		Sender: noPeers{}, Clock: clock.System(), Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
	})
	d.SetTargets(testTargets("a", "b", "c"))
	return d
}

// answerAll hands every member's request in flight an answer.
func answerAll(r *Rounds, now time.Duration, position topology.Position, out *Output) int {
	answered := 0
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
		r.Answered(now, m.asked, status, out)
		answered++
	}
	return answered
}

func BenchmarkViewAndAgeBound(b *testing.B) {
	d := benchDriver()
	var out Output
	now := time.Duration(0)
	d.mu.rounds.SetWatching(now, true, &out)
	for i := range 4 * maxFrontiers {
		now += d.config.Rounds.Heartbeat
		out.Reset()
		d.mu.rounds.Tick(now, &out)
		answerAll(d.mu.rounds, now, topology.Position(i+1), &out)
	}
	d.publish()
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

// BenchmarkAnswer measures a status answer with a waiter for a commit and one
// for a floor open, and the publication of the view.
func BenchmarkAnswer(b *testing.B) {
	d := benchDriver()
	r := d.mu.rounds
	var out Output
	answers := 0
	b.ReportAllocs()
	for i := 0; answers < b.N; i++ {
		now := time.Duration(i) * 3 * time.Millisecond
		out.Reset()
		r.Join(now, WaiterID(2*i), Need{Kind: NeedFloor}, &out)
		r.Join(now, WaiterID(2*i+1), Need{Kind: NeedCommit, Commit: Commit{Target: "a", Term: 1}}, &out)
		answers += answerAll(r, now, topology.Position(i+1), &out)
		d.publish()
		now += d.config.Rounds.MinGap
		r.Tick(now, &out)
		answers += answerAll(r, now, topology.Position(i+1), &out)
		d.publish()
		if len(r.waiters) != 0 {
			b.Fatal("waiters left")
		}
	}
}

func BenchmarkPromotionAnswer(b *testing.B) {
	c := benchDriver().mu.promotion
	status := topology.Status{Target: "b", Role: topology.RoleReplica, Term: 1, Received: topology.Point{Term: 1, Position: 5}}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		c.HandleStatus(now, now, "b", status, nil)
	}
}

// BenchmarkMemory reports the bytes that one idle group takes.
func BenchmarkMemory(b *testing.B) {
	const groups = 1000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		drivers := make([]*Driver, groups)
		for i := range drivers {
			drivers[i] = benchDriver()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/groups, "bytes/group")
		runtime.KeepAlive(drivers)
	}
}

// TestRoundsPerWrite reports how many status rounds an acknowledged write costs
// under load, in virtual time; the requests grow with the time, not the load.
func TestRoundsPerWrite(t *testing.T) {
	const span = 2 * time.Second
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
			var acks, waited sync.Map
			calls, began := p.Calls(), time.Now()
			var load sync.WaitGroup
			for i := range writers {
				load.Go(func() {
					for n := 0; time.Since(began) < span; n++ {
						write(p, 1)
						sent := time.Now()
						if _, err := d.ConfirmCommit(ctx, Commit{Target: "a", Term: 1}); err == nil {
							acks.Store(fmt.Sprint(i, "/", n), true)
							waited.Store(fmt.Sprint(i, "/", n), time.Since(sent))
						}
					}
				})
			}
			load.Wait()
			cancel()
			running.Wait()
			count, wait := 0, time.Duration(0)
			waited.Range(func(_, d any) bool { count++; wait += d.(time.Duration); return true })
			rounds := float64(p.Calls()-calls) / 3
			t.Logf("%3d writers: %5d acknowledged, %.0f rounds, %.3f rounds per write, mean wait %v",
				writers, count, rounds, rounds/float64(count), wait/time.Duration(count))
			const fastest = 3 * time.Millisecond
			if limit := 1 + float64(span/fastest); rounds > 2*limit {
				t.Errorf("%.0f rounds in %v, want at most two each round trip", rounds, span)
			}
		})
	}
}

// BenchmarkIdleHeartbeats measures a second of heartbeats of one watched group
// against members that answer at once. Nothing waits: the time between the
// heartbeats is skipped.
func BenchmarkIdleHeartbeats(b *testing.B) {
	d := benchDriver()
	d.SetWatchers([]promotion.Peer{{ID: "i1", Domain: "d1"}, {ID: "i2", Domain: "d2"}})
	var out Output
	b.ReportAllocs()
	now := time.Duration(0)
	for range b.N {
		for end := now + time.Second; now < end; now += d.config.Rounds.Heartbeat {
			out.Reset()
			d.mu.rounds.Tick(now, &out)
			for _, ask := range out.Asks {
				status, _ := d.Groups.Status(context.Background(), ask.Target)
				d.mu.rounds.Answered(now, ask.Sequence, status, &out)
				d.mu.promotion.HandleStatus(now, now, ask.Target.ID, status, &d.mu.actions)
				d.publish()
			}
		}
	}
}
