package failover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/topology"
)

// setCut changes whether only the other databases reach a database.
func (g *modelGroup) setCut(d *modelDatabase, cut bool) {
	if d.reachable() && cut {
		d.silentSince = g.now
	}
	d.cut = cut
}

// lose takes a database and its log away for good.
func (g *modelGroup) lose(d *modelDatabase) {
	g.setSilent(d, true, d.dark)
	d.lost = true
}

// declareLost has the operator name all databases that are lost.
func (g *modelGroup) declareLost() {
	g.view.Declared = LossDeclaration{Term: g.view.Record.Term}
	g.view.DeclaredAt++
	for _, d := range g.databases {
		if d.lost {
			g.view.Declared.Databases = append(g.view.Declared.Databases, d.address())
		}
	}
}

// add starts a new database at another address, if it is then listed together with all that count:
// one that replaces another which is not listed does not raise the count.
func (g *modelGroup) add() {
	for _, d := range g.left() {
		if !d.reachable() {
			return
		}
	}
	for _, d := range g.databases {
		if d.lost && slices.Contains(withoutNames(g.view.Record.Names, g.view.Record.Lost), d.address()) {
			return
		}
	}
	g.databases = append(g.databases, &modelDatabase{id: topology.TargetID(fmt.Sprintf("d%d", len(g.databases)))})
	g.advance(time.Second)
}

// left returns the databases that are not lost.
func (g *modelGroup) left() []*modelDatabase {
	return slices.DeleteFunc(slices.Clone(g.databases), func(d *modelDatabase) bool { return d.lost })
}

// disturbDatabases draws one event of databases that are removed, replaced, cut off, dark and back.
func (g *modelGroup) disturbDatabases(t *rapid.T) {
	d := rapid.SampledFrom(g.left()).Draw(t, "database")
	switch rapid.SampledFrom([]string{"other", "other", "commit", "cut", "connected", "lost", "declared", "added", "replaced"}).Draw(t, "change") {
	case "other":
		g.disturb(t)
	case "commit":
		g.commit()
	case "cut":
		g.setCut(d, true)
	case "connected":
		g.setCut(d, false)
	case "lost":
		if len(g.left()) > 1 {
			g.lose(d)
		}
	case "declared":
		g.declareLost()
	case "added":
		g.add()
	case "replaced":
		if len(g.left()) > 1 {
			g.lose(d)
		}
		g.declareLost()
		g.advance(2 * modelListing)
		g.add()
	}
	g.advance(time.Duration(rapid.SampledFrom([]int{0, 20, 300, 2500, 6000}).Draw(t, "then ms")) * time.Millisecond)
}

// calm brings all databases back that are not lost.
func (g *modelGroup) calm() {
	g.partitioned = false
	for _, d := range g.databases {
		g.setSilent(d, false, false)
		d.deaf, d.cut = false, false
	}
}

// removeUnknown has the operator remove the databases whose logs are not known to belong to the
// service: with so many lost they have to respond, and cannot until there is a primary.
func (g *modelGroup) removeUnknown() {
	for _, d := range g.left() {
		if !g.view.Record.shareOf(d.received()).known {
			g.lose(d)
		}
	}
}

// hasCandidate reports whether a database that is left holds a part of the history.
func (g *modelGroup) hasCandidate() bool {
	return slices.ContainsFunc(g.left(), func(d *modelDatabase) bool { return g.view.Record.shareOf(d.received()).complete })
}

// orderedLost reports whether the promotion of a lost database may have taken effect.
func (g *modelGroup) orderedLost() bool {
	ordered := g.find(g.view.Record.Ordered())
	return ordered != nil && (ordered.lost || g.view.Record.Order.AfterAnother)
}

// Guards against a wait without end, and against the loss of acknowledged commits by its end:
// databases are removed, replaced at other addresses, cut off, dark and back in drawn order, and the
// operator names those that are gone. No commit is lost that a database which is left holds. Once all is
// calm the service has a primary, the lost databases do not count, and so the next loss of a
// primary does not wait for them.
func TestFuzzLostDatabases(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 4).Draw(t, "databases")
		synchronous := rapid.IntRange(1, size-1).Draw(t, "synchronous")
		g := newModelGroup(size, synchronous)
		g.advance(time.Second)
		g.commit()
		for range rapid.IntRange(1, 14).Draw(t, "events") {
			if g.disturbDatabases(t); g.problem != "" {
				t.Fatal(g.problem)
			}
		}
		g.expectLostDoNotCount(t, 4*time.Second)
	})
}

// expectLostDoNotCount checks that the service has a primary once all is calm and the operator has named the lost
// databases, and that these do not count then. Each step may take the given time, or twice that for a promotion.
func (g *modelGroup) expectLostDoNotCount(t *rapid.T, settling time.Duration) {
	synchronous := g.view.SynchronousReplicas
	g.calm()
	g.advance(settling)
	if g.view.Record.Fenced {
		g.removeUnknown()
		if !g.hasCandidate() || g.orderedLost() {
			return // no log is left that may be promoted, or the primary is one that is lost
		}
	}
	g.declareLost()
	g.advance(2 * settling)
	if record := g.view.Record; g.problem != "" || record.Fenced || record.Primary != g.current.id || record.Term != g.term {
		t.Fatalf("%d acknowledge, record %+v, term %d: %s", synchronous, record, g.term, g.problem)
	}
	g.declareLost()
	for range synchronous + 1 {
		g.add()
	}
	g.advance(settling)
	if record := g.view.Record; len(record.Lost) > 0 || record.Databases > max(len(record.Names), synchronous+1) || g.problem != "" {
		t.Fatalf("%d acknowledge, lost databases count: %+v: %s", synchronous, record, g.problem)
	}
	g.commit()
	g.advance(time.Second)
	g.setSilent(g.current, true, false)
	g.advance(2 * settling)
	if record := g.view.Record; g.problem != "" || record.Fenced || record.Primary != g.current.id {
		t.Fatalf("%d acknowledge, record %+v: %s", synchronous, record, g.problem)
	}
}
