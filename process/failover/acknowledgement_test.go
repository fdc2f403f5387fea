package failover

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Found by the independent review, cases 1 and 2. Databases crash, are dark, receive nothing
// or are partitioned in drawn order: no promoted log lacks an acknowledged commit where
// replicas acknowledge them, none holds what the service had left before, and once all
// databases are back the service has a primary again.
func TestFuzzPromotedLogs(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 5).Draw(t, "databases")
		g := newModelGroup(size, rapid.IntRange(0, size-1).Draw(t, "synchronous"))
		g.advance(time.Second)
		g.commit()
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			if g.disturb(t); g.problem != "" {
				t.Fatal(g.problem)
			}
		}
		g.partitioned = false
		for _, d := range g.databases {
			g.setSilent(d, false, false)
			d.deaf = false
		}
		g.advance(20 * time.Second)
		if record := g.view.Record; g.problem != "" || record.Fenced || !g.find(record.Primary).primary || record.Term != g.term {
			t.Fatalf("record %+v, term %d: %s", record, g.term, g.problem)
		}
	})
}

// newSynchronousFixture returns a service of three databases where one replica has to
// acknowledge each commit. b has received nothing for a while.
func newSynchronousFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.view.SynchronousReplicas, f.view.FenceAcknowledged = 1, true
	f.statuses["b"] = TargetStatus{Role: topology.RoleReplica, Term: 1, Received: pointAt(1, 20)}
	f.statuses["c"] = TargetStatus{Role: topology.RoleReplica, Term: 1, Received: pointAt(1, 50)}
	f.run(time.Second)
	return f
}

// losePrimaryAndHolder has the primary and the replica that has acknowledged its commits fall silent,
// so that their entries expire.
func (f *fixture) losePrimaryAndHolder() {
	delete(f.statuses, "a")
	delete(f.statuses, "c")
	f.view.SuspectCount = 2
	f.run(3 * time.Second)
	delete(f.view.Targets, "a")
	delete(f.view.Targets, "c")
	f.run(5 * time.Second)
}

// Found by the independent review, case 2: the primary has crashed, and the replica that has
// acknowledged its commits is dark, so that its entry expires too.
func TestReplicaThatMayLackAcknowledgedCommitsWaitsForTheDarkOne(t *testing.T) {
	f := newSynchronousFixture(t)
	holder, dark := f.statuses["c"], f.view.Targets["c"]
	f.losePrimaryAndHolder()
	if len(f.promotions) != 0 {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
	f.statuses["c"], f.view.Targets["c"] = holder, dark
	f.run(200 * time.Millisecond)
	if len(f.promotions) != 1 || f.view.Record.Primary != "c" {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
}

// The rule for n databases, of which the first may be the old primary, and k synchronous
// replicas: positions of those that respond, and whether the longest may be promoted.
func TestPromotionNeedsResponsesOfEnoughDatabases(t *testing.T) {
	for _, test := range []struct {
		databases, synchronous int
		primary                topology.Position
		replicas               []topology.Position
		want                   bool
	}{
		{3, 0, 0, []topology.Position{20}, true},
		{3, 1, 0, []topology.Position{50}, false},
		{3, 1, 0, []topology.Position{50, 20}, true},
		{3, 1, 50, []topology.Position{50}, true},
		{3, 1, 50, []topology.Position{49}, false},
		{3, 2, 0, []topology.Position{50}, true},
		{5, 1, 0, []topology.Position{50, 20, 20}, false},
		{5, 1, 0, []topology.Position{50, 20, 20, 20}, true},
		{5, 2, 0, []topology.Position{50, 20}, false},
		{5, 2, 0, []topology.Position{50, 20, 20}, true},
		{5, 2, 60, []topology.Position{60}, true},
		{3, 7, 0, []topology.Position{50}, true},
	} {
		v := View{Record: Record{Primary: "a", Term: 1, Databases: test.databases}, SynchronousReplicas: test.synchronous}
		statuses := make(map[topology.TargetID]TargetStatus)
		if test.primary != 0 {
			statuses["a"] = TargetStatus{Role: topology.RolePrimary, Term: 1, Received: pointAt(1, test.primary)}
		}
		var candidate TargetStatus
		for i, position := range test.replicas {
			status := TargetStatus{Role: topology.RoleReplica, Term: 1, Received: pointAt(1, position)}
			statuses[topology.TargetID("bcdef"[i:i+1])] = status
			if i == 0 {
				candidate = status
			}
		}
		if got := holdsAcknowledged(v, candidate, statuses); got != test.want {
			t.Errorf("%+v: %t", test, got)
		}
	}
}

// The log of a replaced primary counts up to the branch, and not at all if the branch is not
// known; a database that has lost its log does not count either.
func TestLogsThatCountForAcknowledgedCommits(t *testing.T) {
	for name, test := range map[string]struct {
		candidate topology.Point
		other     topology.Point
		terms     []TermBegin
		want      bool
	}{
		"candidate beyond the branch":  {pointAt(2, 80), pointAt(1, 94), []TermBegin{{Term: 1}, {Term: 2, After: pointAt(1, 75)}}, true},
		"candidate before the branch":  {pointAt(1, 60), pointAt(1, 94), []TermBegin{{Term: 1}, {Term: 2, After: pointAt(1, 75)}}, false},
		"branch not known":             {pointAt(2, 80), pointAt(1, 94), []TermBegin{{Term: 2}}, false},
		"database that lost its log":   {pointAt(2, 80), topology.Point{}, []TermBegin{{Term: 1}, {Term: 2, After: pointAt(1, 75)}}, false},
		"other has received even more": {pointAt(2, 80), pointAt(2, 81), []TermBegin{{Term: 1}, {Term: 2, After: pointAt(1, 75)}}, false},
	} {
		v := View{SynchronousReplicas: 1, Record: Record{Primary: "x", Term: 2, TermStart: pointAt(1, 75), Terms: test.terms, Databases: 3}}
		candidate := TargetStatus{Role: topology.RoleReplica, Term: 2, Received: test.candidate}
		statuses := map[topology.TargetID]TargetStatus{"b": candidate, "a": {Role: topology.RolePrimary, Term: 1, Received: test.other}}
		if got := holdsAcknowledged(v, candidate, statuses); got != test.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}

// A draining replica is no candidate, but its log counts, and so does its replacement at the
// same address, as one database.
func TestDrainingReplicaCountsForAcknowledgedCommits(t *testing.T) {
	f := newSynchronousFixture(t)
	if f.view.Record.Databases != 3 {
		t.Fatalf("record %+v", f.view.Record)
	}
	f.view.Targets["b"] = directory.Target{ID: "b", Address: "host:1", Role: topology.RoleReplica, Draining: true}
	f.view.Targets["d"] = directory.Target{ID: "d", Address: "host:1", Role: topology.RoleReplica}
	delete(f.statuses, "a")
	f.view.SuspectCount = 2
	f.run(300 * time.Millisecond)
	if f.view.Record.Primary != "c" || f.view.Record.Databases != 3 {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
}

// A restore of the store may lose the number of databases; a user's record has it.
func TestNumberOfDatabasesSurvivesARestore(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.Known = []Record{{Primary: "a", Term: 1, Era: 2, Databases: 5}}
	f.view.SynchronousReplicas, f.view.PromotionsSettled = 1, true
	f.run(100 * time.Millisecond)
	f.wantVerified("a", 1)
	if f.view.Record.Databases != 5 {
		t.Fatalf("record %+v", f.view.Record)
	}
}

// Guards against an acknowledgement of an earlier fence that counts for a later one: the record is
// deleted by hand, and the fences of the next one are numbered from the start.
func TestFenceOfTheNextRecordHasASequenceOfItsOwn(t *testing.T) {
	f := newFixture(t)
	f.view.SuspectCount = 2
	f.run(100 * time.Millisecond)
	earlier := f.view.Record
	f.coordinator, f.view.Record, f.view.Revision, f.view.SuspectCount = Coordinator{}, Record{}, 0, 0
	f.run(100 * time.Millisecond)
	f.view.Revision = 20 // revisions of the store are not used again
	f.view.SuspectCount = 2
	f.run(100 * time.Millisecond)
	if r := f.view.Record; !earlier.Fenced || !r.Fenced || r.FenceSequence <= earlier.FenceSequence {
		t.Fatalf("fence %d after fence %d of the deleted record", r.FenceSequence, earlier.FenceSequence)
	}
}

// The same of the names of the databases.
func TestNamesOfDatabasesSurviveARestore(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.Record.Names = []string{"a", "d"}
	f.view.Known = []Record{{Primary: "a", Term: 1, Era: 2, Names: []string{"a", "e"}}}
	f.view.SynchronousReplicas, f.view.PromotionsSettled = 1, true
	f.run(100 * time.Millisecond)
	f.wantVerified("a", 1)
	if want := []string{"a", "b", "c", "d", "e"}; !slices.Equal(f.view.Record.Names, want) {
		t.Fatalf("%v, want %v", f.view.Record.Names, want)
	}
}

// Guards against a wait of which nobody is told what it is for.
func TestWaitNamesTheDatabasesThatMayHoldAcknowledgedCommits(t *testing.T) {
	f := newSynchronousFixture(t)
	f.losePrimaryAndHolder()
	if wait, want := f.coordinator.Waits(), (Wait{Missing: 1, Databases: []string{"a", "c"}}); !wait.Equal(want) {
		t.Fatalf("%+v, want %+v", wait, want)
	}
	f.view.Targets["c"] = directory.Target{ID: "c", Role: topology.RoleReplica}
	f.statuses["c"] = TargetStatus{Role: topology.RoleReplica, Term: 1, Received: pointAt(1, 50)}
	f.run(200 * time.Millisecond)
	if wait := f.coordinator.Waits(); f.view.Record.Primary != "c" || !wait.Equal(Wait{}) {
		t.Fatalf("record %+v waits for %+v", f.view.Record, wait)
	}
}
