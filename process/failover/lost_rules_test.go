package failover

import (
	"errors"
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// declare has the operator name databases that are lost.
func (f *fixture) declare(term topology.Term, names ...string) {
	f.view.Declared = LossDeclaration{Term: term, Databases: names}
	f.view.DeclaredAt++
}

// remove takes databases out of the directory.
func (f *fixture) remove(ids ...topology.TargetID) {
	for _, id := range ids {
		delete(f.statuses, id)
		delete(f.view.Targets, id)
	}
}

// Guards against the loss of commits that only the primary and the lost database hold: the lost one counts
// until a replica holds all that the primary had when the loss was recorded.
func TestLostDatabaseCountsUntilTheOthersHoldAllCommits(t *testing.T) {
	f := newSynchronousFixture(t)
	f.remove("c")
	f.declare(1, "c")
	f.run(5 * time.Second)
	if record := f.view.Record; record.Databases != 3 || !slices.Equal(record.Lost, []string{"c"}) {
		t.Fatalf("the others lack commits: %+v", record)
	}
	f.statuses["a"] = TargetStatus{Role: topology.RolePrimary, Term: 1, Received: pointAt(1, 60)}
	f.statuses["b"] = TargetStatus{Role: topology.RoleReplica, Term: 1, Received: pointAt(1, 55)}
	f.run(2 * time.Second)
	if record := f.view.Record; record.Databases != 2 || len(record.Lost) != 0 || !slices.Equal(record.Names, []string{"a", "b"}) {
		t.Fatalf("the others hold all commits: %+v", record)
	}
	delete(f.statuses, "a")
	f.view.SuspectCount = 2
	f.run(300 * time.Millisecond)
	if f.view.Record.Primary != "b" {
		t.Fatalf("record %+v waits for %+v", f.view.Record, f.coordinator.Waits())
	}
}

// Guards against the loss of a commit that a database which is left holds: with one of three lost the
// silent primary is waited for, with both lost nothing else can be.
func TestPromotionWithLostDatabasesNeedsAllThatAreLeft(t *testing.T) {
	f := newSynchronousFixture(t)
	f.losePrimaryAndHolder()
	f.declare(1, "c")
	f.run(5 * time.Second)
	if len(f.promotions) != 0 || !f.coordinator.Waits().Equal(Wait{Missing: 1, Databases: []string{"a"}}) {
		t.Fatalf("record %+v waits for %+v, promotions %v", f.view.Record, f.coordinator.Waits(), f.promotions)
	}
	f.declare(1, "a", "c")
	f.run(5 * time.Second)
	if f.view.Record.Primary != "b" || len(f.promotions) != 1 || !slices.Equal(f.view.Record.Lost, []string{"a", "c"}) {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
}

// Guards against a count that is too low: a declaration of another term, of a database that is listed or that
// does not count has no effect, and none is accepted twice.
func TestDeclarationsThatDoNotLowerTheCount(t *testing.T) {
	f := newSynchronousFixture(t)
	c, status := f.view.Targets["c"], f.statuses["c"]
	f.declare(1, "c", "x")
	f.run(time.Second)
	f.remove("c")
	f.declare(2, "c")
	f.run(time.Second)
	if record := f.view.Record; len(record.Lost) != 0 || record.Databases != 3 {
		t.Fatalf("%+v", record)
	}
	f.declare(1, "c")
	f.run(time.Second)
	if record := f.view.Record; !slices.Equal(record.Lost, []string{"c"}) {
		t.Fatalf("not accepted: %+v", record)
	}
	f.view.Targets["c"], f.statuses["c"] = c, status
	f.run(time.Second)
	f.remove("c")
	f.run(time.Second)
	if record := f.view.Record; len(record.Lost) != 0 || record.Databases != 3 {
		t.Fatalf("a database that was back is lost by the earlier declaration: %+v", record)
	}
}

// A database that is named while its entry is there is lost once that lapses.
func TestDeclarationWaitsForTheLapseOfTheEntry(t *testing.T) {
	f := newSynchronousFixture(t)
	f.declare(1, "c")
	f.run(time.Second)
	f.remove("c")
	f.run(time.Second)
	if record := f.view.Record; !slices.Equal(record.Lost, []string{"c"}) {
		t.Fatalf("%+v", record)
	}
}

// Guards against two reductions by one database of which a record of an earlier version has no name.
func TestUnnamedDatabaseIsLostOnce(t *testing.T) {
	f := newSynchronousFixture(t)
	f.remove("c")
	f.statuses["b"] = TargetStatus{Role: topology.RoleReplica, Term: 1, Received: pointAt(1, 50)}
	f.view.Record.Databases, f.view.Record.Names = 5, nil
	f.declare(1, "c")
	f.run(10 * time.Second)
	if record := f.view.Record; record.Databases != 4 || len(record.Lost) != 0 {
		t.Fatalf("%+v", record)
	}
}

// Guards against a count that falls with an entry's lapse: a database that does not reach the store goes on
// receiving and acknowledging commits, which the listed ones may lack when the primary crashes.
func TestLapsedEntryDoesNotLowerTheCount(t *testing.T) {
	g := newModelGroup(3, 1)
	g.advance(time.Second)
	behind, holder := g.databases[1], g.databases[2]
	g.setCut(holder, true)
	g.advance(time.Minute)
	behind.deaf = true
	g.commit()
	g.advance(time.Second)
	g.setSilent(g.current, true, false)
	g.advance(10 * time.Second)
	if g.problem != "" || !g.view.Record.Fenced || len(g.acknowledged) != 1 {
		t.Fatalf("%s, record %+v, acknowledged: %v", g.problem, g.view.Record, g.acknowledged)
	}
	g.setCut(holder, false)
	g.advance(10 * time.Second)
	if g.view.Record.Primary != holder.id {
		t.Fatalf("record %+v", g.view.Record)
	}
}

func TestDecodeLossDeclaration(t *testing.T) {
	declared, err := DecodeLossDeclaration([]byte(`{"term":7,"databases":["10.0.0.3:5432","db-4:5432"]}`))
	if err != nil || declared.Term != 7 || !slices.Equal(declared.Databases, []string{"10.0.0.3:5432", "db-4:5432"}) {
		t.Fatalf("%+v, %v", declared, err)
	}
	for value, impossible := range map[string]bool{
		``: false, `[]`: false, `{"term":-1,"databases":["a:1"]}`: false, `{"term":1,"database":["a:1"]}`: false,
		`{"databases":["a:1"]}`: true, `{"term":1}`: true, `{"term":1,"databases":[]}`: true, `{"term":1,"databases":["a"]}`: true,
		`{"term":1,"databases":["a:1","a:1"]}`: true, `{"term":1,"databases":["a:1"]}{}`: true,
	} {
		if declared, err := DecodeLossDeclaration([]byte(value)); err == nil || errors.Is(err, ErrImpossibleDeclaration) != impossible {
			t.Errorf("%s: %+v, %v", value, declared, err)
		}
	}
}

// Guards against the loss of commits that silent databases hold: a new database, without a log, is listed
// with them while the primary is fenced, and is promoted once their entries have expired.
func TestDatabaseThatIsListedDuringAFailoverCounts(t *testing.T) {
	f := newFixture(t)
	f.view.SynchronousReplicas, f.view.FenceAcknowledged = 1, true
	f.remove("c")
	f.run(time.Second)
	f.statuses, f.view.SuspectCount = map[topology.TargetID]TargetStatus{}, 2
	f.run(time.Second)
	f.view.Targets["d"] = directory.Target{ID: "d", Role: topology.RoleReplica}
	f.statuses["d"] = TargetStatus{Role: topology.RoleReplica, Term: 1}
	f.run(time.Second)
	f.remove("a", "b")
	f.run(5 * time.Second)
	if record := f.view.Record; !record.Fenced || record.Databases != 3 || len(f.promotions) != 0 {
		t.Fatalf("record %+v, promotions %v", record, f.promotions)
	}
}
