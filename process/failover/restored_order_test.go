package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/store"
)

// modelSettling is how long after a restore of the store promotions from before may take effect.
const modelSettling = 2200 * time.Millisecond

// restoreStore replaces the stored record by an older one. A user still knows the one of before, and
// others may know earlier ones.
func (g *modelGroup) restoreStore(older Record, others ...Record) {
	if g.view.Revision == 0 {
		return
	}
	if g.view.verified() {
		g.known = g.view.Record
	}
	g.view.Era++
	g.view.Record, g.view.Revision = older, store.NewRevision(g.view.Era, uint64(g.view.Revision)%1000)
	g.view.RecordSeenAt, g.view.Known = g.now, append(others, g.known)
	g.view.DeclaredAt = store.NewRevision(g.view.Era, uint64(g.view.DeclaredAt)%1000) // it counts as written anew
	g.settledAt = g.now + modelSettling
	g.mirrored, g.delayed = nil, nil
}

// Guards against two primaries: the store is restored to a time before the order, its target is dark
// once it leads, and the fenced primary is back.
func TestOrderThatARestoreHasLostTakesEffect(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		g := newLateGroup(t)
		old, ordered := g.find(g.view.Record.Primary), g.orders[0].successor
		if newLeader {
			g.replaceLeader()
		}
		g.restoreStore(g.overwritten.record)
		for _, d := range g.databases {
			g.setSilent(d, d != old && d != ordered, true) // the primary is back before it is replaced
		}
		g.advance(5 * time.Second)
		if g.current != ordered {
			t.Fatalf("%s leads, not %s", g.current.id, ordered.id)
		}
		g.setSilent(old, false, false)
		g.advance(5 * time.Second)
		if g.problem != "" {
			t.Errorf("new leader %t: %s", newLeader, g.problem)
		}
	}
}

// The same as TestFuzzLatePromotions, with a store that is restored and replicas that start again
// without their logs at any moment.
func TestFuzzLatePromotionsAcrossRestores(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		newModelGroup(rapid.IntRange(2, 4).Draw(t, "databases"), 0).drawFailovers(t, append(failoverEvents, "restore", "restore", "restart"))
	})
}

// drawRestore restores the store to a record that was overwritten lately. Users know such records.
func (g *modelGroup) drawRestore(t *rapid.T) {
	recent := g.earlier[max(0, len(g.earlier)-4):]
	if len(recent) == 0 {
		return
	}
	var others []Record
	for range rapid.IntRange(0, 2).Draw(t, "others") {
		others = append(others, rapid.SampledFrom(recent).Draw(t, "known"))
	}
	g.restoreStore(rapid.SampledFrom(recent).Draw(t, "restored"), others...)
}

// restart has a replica start again under its ID without its log.
func (g *modelGroup) restart(d *modelDatabase) {
	if d != g.current && !d.primary {
		d.incarnation++
		d.log = nil
		g.setSilent(d, false, false)
	}
}
