package group

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
)

func testTargets(ids ...topology.TargetID) []TargetConfig {
	var targets []TargetConfig
	for _, id := range ids {
		targets = append(targets, TargetConfig{Target: platform.Target{ID: id, FailureDomain: topology.FailureDomain(id)}})
	}
	return targets
}

func testDependencies(p *grouptest.Platform) Dependencies {
	return Dependencies{
		Groups: p, Store: memstore.New(memstore.Config{}), Sender: noPeers{}, Clock: clock.System(),
		Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
	}
}

type noPeers struct{}

func (noPeers) Send(topology.InstanceID, peer.Kind, any) {}

// runDriver runs a driver in a bubble, which fails when a goroutine outlives
// the driver.
func runDriver(t *testing.T, test func(t *testing.T, d *Driver, p *grouptest.Platform)) {
	synctest.Test(t, func(t *testing.T) {
		p := grouptest.NewPlatform(grouptest.New("a", "b", "c"), 1500*time.Microsecond)
		d := NewDriver(DefaultConfig("ledger", "i1", "d1"), testDependencies(p))
		d.SetTargets(testTargets("a", "b", "c"))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		test(t, d, p)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func write(p *grouptest.Platform, label int) uint64 {
	var transaction uint64
	p.Do(func(g *grouptest.Group) {
		open := g.Member("a").Begin()
		g.Member("a").Commit(open, label)
		transaction = open.ID
	})
	return transaction
}

func TestDriverServesWithAHungReplica(t *testing.T) {
	runDriver(t, func(t *testing.T, d *Driver, p *grouptest.Platform) {
		p.Hang("c", true)
		view, err := d.Refresh(t.Context())
		if err != nil || view.Primary != "a" || view.Term != 1 {
			t.Fatalf("Refresh = %+v, %v; want primary a of term 1", view, err)
		}
		write(p, 1)
		started := time.Now()
		p.Do(func(g *grouptest.Group) { g.Replicate(g.Member("a"), g.Member("b"), 1) })
		point, err := d.ConfirmCommit(t.Context(), Commit{Target: "a", Term: 1})
		if want := (topology.Point{Term: 1, Position: 2}); err != nil || point != want {
			t.Fatalf("ConfirmCommit = %v, %v; want %v", point, err, want)
		}
		floor, err := d.ReadFloor(t.Context())
		if err != nil || !floor.Reaches(point) {
			t.Fatalf("ReadFloor = %v, %v; want at least %v", floor, err, point)
		}
		if took, limit := time.Since(started), 20*time.Millisecond; took > limit {
			t.Errorf("took %v beside a hung replica, want at most %v", took, limit)
		}
	})
}

func TestDriverGivesNoEvidence(t *testing.T) {
	runDriver(t, func(t *testing.T, d *Driver, p *grouptest.Platform) {
		write(p, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := d.ConfirmCommit(ctx, Commit{Target: "a", Term: 1}); !errors.Is(err, ErrNoEvidence) {
			t.Errorf("ConfirmCommit of an unreplicated write = %v, want ErrNoEvidence", err)
		}
		p.Do(func(g *grouptest.Group) {
			for _, id := range []topology.TargetID{"b", "c"} {
				if err := g.Fence(g.Member(id), 2); err != nil {
					t.Error(err)
				}
			}
		})
		if _, err := d.ConfirmCommit(t.Context(), Commit{Target: "a", Term: 1}); !errors.Is(err, ErrReplaced) {
			t.Errorf("ConfirmCommit after a fence = %v, want ErrReplaced", err)
		}
	})
}

func TestDriverResolvesLostCommit(t *testing.T) {
	runDriver(t, func(t *testing.T, d *Driver, p *grouptest.Platform) {
		lost := write(p, 1)
		p.Hang("a", true)
		promote := func(g *grouptest.Group) {
			for _, id := range []topology.TargetID{"b", "c"} {
				if err := g.Fence(g.Member(id), 2); err != nil {
					t.Error(err)
				}
			}
			if err := g.Promote(g.Member("b"), 2); err != nil {
				t.Error(err)
			}
			g.Replicate(g.Member("b"), g.Member("c"), 10)
		}
		time.AfterFunc(500*time.Millisecond, func() { p.Do(promote) })
		outcome, _, err := d.ResolveTransaction(t.Context(), Commit{Target: "a", Term: 1}, lost)
		if err != nil || outcome != platform.OutcomeAbsent {
			t.Errorf("ResolveTransaction = %v, %v; want absent", outcome, err)
		}
	})
}

func TestDriverStopsAskingWhenIdle(t *testing.T) {
	runDriver(t, func(t *testing.T, d *Driver, p *grouptest.Platform) {
		if _, err := d.Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		<-time.After(10 * time.Second)
		calls := p.Calls()
		<-time.After(10 * time.Second)
		if idle := p.Calls() - calls; idle != 0 {
			t.Errorf("%d requests while idle and not watching, want 0", idle)
		}
		d.SetWatchers([]promotion.Peer{{ID: "i1", Domain: "d1"}})
		<-time.After(10 * time.Second)
		if beats := p.Calls() - calls; beats < 180 || beats > 220 {
			t.Errorf("%d heartbeats to 3 members in 10 s, want about 200", beats)
		}
	})
}

// aliased answers for every member with the state of one.
type aliased struct{ *grouptest.Platform }

func (a aliased) Status(ctx context.Context, _ platform.Target) (topology.Status, error) {
	return a.Platform.Status(ctx, platform.Target{ID: "a"})
}

func TestDriverCountsEachMemberOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := grouptest.NewPlatform(grouptest.New("a", "b", "c"), time.Millisecond)
		deps := testDependencies(p)
		deps.Groups = aliased{p}
		d := NewDriver(DefaultConfig("ledger", "i1", "d1"), deps)
		d.SetTargets(testTargets("a", "b", "c"))
		write(p, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := d.ConfirmCommit(ctx, Commit{Target: "a", Term: 1}); !errors.Is(err, ErrNoEvidence) {
			t.Errorf("ConfirmCommit by one member's answers = %v, want ErrNoEvidence", err)
		}
		d.close()
	})
}
