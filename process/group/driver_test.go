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

// testTargets returns members, each in a failure domain of its own.
func testTargets(ids ...topology.TargetID) []TargetConfig {
	var targets []TargetConfig
	for _, id := range ids {
		targets = append(targets, TargetConfig{Target: platform.Target{ID: id, FailureDomain: topology.FailureDomain(id)}})
	}
	return targets
}

func testDependencies(p *grouptest.Platform) Dependencies {
	return Dependencies{
		Groups: p, Store: memstore.New(memstore.Config{}), Sender: discardSender{}, Clock: clock.System(),
		Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
	}
}

// discardSender drops all messages to peers.
type discardSender struct{}

func (discardSender) Send(topology.InstanceID, peer.Kind, any) {}

// runDriver runs a driver in a synctest bubble. The bubble fails the test if a goroutine
// outlives the driver.
func runDriver(t *testing.T, test func(t *testing.T, d *Driver, p *grouptest.Platform)) {
	synctest.Test(t, func(t *testing.T) {
		p := grouptest.NewPlatform(grouptest.New("a", "b", "c"), 1500*time.Microsecond)
		d := NewDriver(DefaultConfig("ledger", "i1", "d1"), testDependencies(p))
		d.SetTargets(testTargets("a", "b", "c"))
		ctx, cancel := context.WithCancel(t.Context())
		runErr := make(chan error, 1)
		go func() { runErr <- d.Run(ctx) }()
		test(t, d, p)
		cancel()
		if err := <-runErr; err != nil {
			t.Error(err)
		}
	})
}

// write commits a transaction on member a and returns its ID.
func write(p *grouptest.Platform, label int) uint64 {
	var transaction uint64
	p.WithGroup(func(g *grouptest.Group) {
		open := g.Member("a").Begin()
		g.Member("a").Commit(open, label)
		transaction = open.ID
	})
	return transaction
}

// TestDriverServesDespiteHungReplica checks that no operation waits for a replica that
// does not respond.
func TestDriverServesDespiteHungReplica(t *testing.T) {
	runDriver(t, func(t *testing.T, d *Driver, p *grouptest.Platform) {
		p.SetHung("c", true)
		view, err := d.Refresh(t.Context())
		if err != nil || view.Primary != "a" || view.Term != 1 {
			t.Fatalf("Refresh = %+v, %v; want primary a of term 1", view, err)
		}
		write(p, 1)
		startedAt := time.Now()
		p.WithGroup(func(g *grouptest.Group) { g.Replicate(g.Member("a"), g.Member("b"), 1) })
		point, err := d.ConfirmCommit(t.Context(), Commit{Target: "a", Term: 1})
		if want := (topology.Point{Term: 1, Position: 2}); err != nil || point != want {
			t.Fatalf("ConfirmCommit = %v, %v; want %v", point, err, want)
		}
		floor, err := d.ReadFloor(t.Context())
		if err != nil || !floor.Reaches(point) {
			t.Fatalf("ReadFloor = %v, %v; want at least %v", floor, err, point)
		}
		if took, limit := time.Since(startedAt), 20*time.Millisecond; took > limit {
			t.Errorf("took %v with a hung replica, want at most %v", took, limit)
		}
	})
}

// TestDriverReportsUnconfirmedCommits checks that a commit is not confirmed while no
// replica holds it, nor after a majority was fenced.
func TestDriverReportsUnconfirmedCommits(t *testing.T) {
	runDriver(t, func(t *testing.T, d *Driver, p *grouptest.Platform) {
		write(p, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := d.ConfirmCommit(ctx, Commit{Target: "a", Term: 1}); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("ConfirmCommit of an unreplicated write = %v, want ErrNoQuorum", err)
		}
		p.WithGroup(func(g *grouptest.Group) {
			for _, id := range []topology.TargetID{"b", "c"} {
				if err := g.Fence(g.Member(id), 2); err != nil {
					t.Error(err)
				}
			}
		})
		if _, err := d.ConfirmCommit(t.Context(), Commit{Target: "a", Term: 1}); !errors.Is(err, ErrPrimaryReplaced) {
			t.Errorf("ConfirmCommit after a fence = %v, want ErrPrimaryReplaced", err)
		}
	})
}

// TestDriverResolvesLostCommit checks that a transaction which only the replaced primary
// holds is resolved as absent after the promotion.
func TestDriverResolvesLostCommit(t *testing.T) {
	runDriver(t, func(t *testing.T, d *Driver, p *grouptest.Platform) {
		transaction := write(p, 1)
		p.SetHung("a", true)
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
		time.AfterFunc(500*time.Millisecond, func() { p.WithGroup(promote) })
		outcome, _, err := d.ResolveTransaction(t.Context(), Commit{Target: "a", Term: 1}, transaction)
		if err != nil || outcome != platform.OutcomeAbsent {
			t.Errorf("ResolveTransaction = %v, %v; want absent", outcome, err)
		}
	})
}

// TestDriverStopsPollingWhenIdle checks that an instance that is not a watcher sends no
// heartbeats to an idle group, and that a watcher does.
func TestDriverStopsPollingWhenIdle(t *testing.T) {
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
		if heartbeats := p.Calls() - calls; heartbeats < 180 || heartbeats > 220 {
			t.Errorf("%d heartbeats to 3 members in 10 s, want about 200", heartbeats)
		}
	})
}

// aliasedPlatform responds to the status requests of every member with the status of
// member a, as if all members were configured with one control address.
type aliasedPlatform struct{ *grouptest.Platform }

func (a aliasedPlatform) Status(ctx context.Context, _ platform.Target) (topology.Status, error) {
	return a.Platform.Status(ctx, platform.Target{ID: "a"})
}

// TestDriverCountsEachMemberOnce checks that the responses of one target do not count as
// those of several members.
func TestDriverCountsEachMemberOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := grouptest.NewPlatform(grouptest.New("a", "b", "c"), time.Millisecond)
		deps := testDependencies(p)
		deps.Groups = aliasedPlatform{p}
		d := NewDriver(DefaultConfig("ledger", "i1", "d1"), deps)
		d.SetTargets(testTargets("a", "b", "c"))
		write(p, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := d.ConfirmCommit(ctx, Commit{Target: "a", Term: 1}); !errors.Is(err, ErrNoQuorum) {
			t.Errorf("ConfirmCommit with the responses of a single member = %v, want ErrNoQuorum", err)
		}
		d.close()
	})
}
