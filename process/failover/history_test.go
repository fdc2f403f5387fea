package failover

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newForkedFixture returns a service whose primary a was partitioned and committed 1/76 to
// 1/94 alone, while b began term 2 after 1/75 and c term 3 after 2/90. c was the primary last
// and has committed 3/93; a and b follow nobody and are silent.
func newForkedFixture(t *testing.T) *fixture {
	f := newFixture(t)
	replica := func(term topology.Term, received topology.Point) TargetStatus {
		return TargetStatus{Role: topology.RoleReplica, Term: term, Received: received}
	}
	f.view.FenceAcknowledged = true
	f.statuses = map[topology.TargetID]TargetStatus{"b": replica(1, pointAt(1, 75)), "c": replica(1, pointAt(1, 70))}
	f.view.SuspectCount = 2
	f.run(time.Second)
	f.statuses = map[topology.TargetID]TargetStatus{"c": replica(2, pointAt(2, 90))}
	f.view.SuspectCount = 2
	f.run(time.Second)
	if r := f.view.Record; r.Primary != "c" || r.Term != 3 || r.Fenced {
		t.Fatalf("record %+v", r)
	}
	f.promotions, f.demoted = nil, nil
	f.statuses = map[topology.TargetID]TargetStatus{}
	return f
}

// Found by the independent review, case 1: both successors of a partitioned primary are
// silent, and its log, which the service has left, is the only one that responds.
func TestReplacedPrimaryWithADivergentLogIsNotPromoted(t *testing.T) {
	for name, status := range map[string]TargetStatus{
		"as primary": {Role: topology.RolePrimary, Term: 1, Received: pointAt(1, 94)},
		"demoted":    {Role: topology.RoleReplica, Term: 3, Received: pointAt(1, 94)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForkedFixture(t)
			f.statuses["a"], f.view.SuspectCount = status, 2
			f.run(10 * time.Second)
			if len(f.promotions) != 0 || !f.view.Record.Fenced || f.view.Record.Primary != "c" {
				t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
			}
			f.statuses["a"] = TargetStatus{Role: topology.RoleReplica, Term: 3, Received: pointAt(3, 92)}
			f.run(time.Second)
			if len(f.promotions) != 1 || f.view.Record.Primary != "a" || f.view.Record.Term != 4 {
				t.Fatalf("record %+v, promotions %v: a database that has followed the primary is a candidate", f.view.Record, f.promotions)
			}
		})
	}
}

// The service waits for a log of its history. Callers are told so while it does, not before, and
// not once there is a primary again.
func TestCallersAreToldWhyTheServiceWaits(t *testing.T) {
	f := newForkedFixture(t)
	f.statuses["a"], f.view.SuspectCount = TargetStatus{Role: topology.RolePrimary, Term: 1, Received: pointAt(1, 94)}, 2
	f.run(waitNotice - 100*time.Millisecond)
	if f.view.Record.Waiting != "" {
		t.Fatalf("record %+v: callers may still be served in time", f.view.Record)
	}
	f.run(5 * time.Second)
	if r := f.view.Record; r.Waiting != waitingForHistory || !r.Fenced {
		t.Fatalf("record %+v", r)
	}
	fence := f.view.Record.FenceSequence
	f.view.SynchronousReplicas, f.view.Record.Databases = 1, 4
	f.statuses["b"] = TargetStatus{Role: topology.RoleReplica, Term: 3, Received: pointAt(2, 80)}
	f.run(5 * time.Second)
	if r := f.view.Record; r.Waiting != waitingForAcknowledgement || r.FenceSequence != fence || f.view.Revision > 12 {
		t.Fatalf("record %+v, revision %s", r, f.view.Revision)
	}
	f.statuses["c"] = TargetStatus{Role: topology.RolePrimary, Term: 3, Received: pointAt(3, 93)}
	f.statuses["b"] = TargetStatus{Role: topology.RoleReplica, Term: 3, Received: pointAt(3, 93)}
	f.run(500 * time.Millisecond)
	if r := f.view.Record; r.Primary != "b" || r.Waiting != "" || r.Fenced {
		t.Fatalf("record %+v", r)
	}
}

// The other form of case 1: one successor has crashed, the other one is dark for half a second.
func TestDivergentLogDoesNotReplaceABriefSilenceOfTheRightOne(t *testing.T) {
	f := newForkedFixture(t)
	f.statuses["a"] = TargetStatus{Role: topology.RolePrimary, Term: 1, Received: pointAt(1, 94)}
	f.view.SuspectCount = 2
	f.run(500 * time.Millisecond)
	f.statuses["b"] = TargetStatus{Role: topology.RoleReplica, Term: 3, Received: pointAt(3, 93)}
	f.run(200 * time.Millisecond)
	if len(f.promotions) != 1 || f.view.Record.Primary != "b" {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
}

// A target that was down during a failover may hold a part of the history. Its term alone
// does not exclude it.
func TestLogThatIsPartOfTheHistoryIsPromoted(t *testing.T) {
	for _, log := range []topology.Point{pointAt(1, 75), pointAt(1, 60), pointAt(2, 90), pointAt(2, 80)} {
		f := newForkedFixture(t)
		f.statuses["b"], f.view.SuspectCount = TargetStatus{Role: topology.RoleReplica, Term: log.Term, Received: log}, 2
		f.run(200 * time.Millisecond)
		if len(f.promotions) != 1 || f.view.Record.Primary != "b" {
			t.Errorf("log %s: record %+v, promotions %v", log, f.view.Record, f.promotions)
		}
	}
}

// What left the history at the begin of any of its terms is no candidate, nor is a database
// that lost its log.
func TestLogsThatTheServiceHasLeft(t *testing.T) {
	for _, log := range []topology.Point{pointAt(1, 76), pointAt(2, 91), {}} {
		f := newForkedFixture(t)
		f.statuses["b"], f.view.SuspectCount = TargetStatus{Role: topology.RoleReplica, Term: 3, Received: log}, 2
		f.run(5 * time.Second)
		if len(f.promotions) != 0 {
			t.Errorf("log %s: record %+v, promotions %v", log, f.view.Record, f.promotions)
		}
	}
}

// All daemons may restart, and the record come back from the store alone, stored by this
// version or by one that knows nothing of the history.
func TestHistorySurvivesInTheStoredRecord(t *testing.T) {
	f := newForkedFixture(t)
	decoded, err := DecodeRecord(f.view.Record.Encode())
	if err != nil || !decoded.Equal(f.view.Record) || len(decoded.Terms) < 2 {
		t.Fatalf("%+v, %v", decoded, err)
	}
	older := decoded
	older.Terms = nil
	for _, record := range []Record{decoded, older} {
		f.coordinator, f.view.Record, f.view.SuspectCount = Coordinator{}, record, 2
		f.statuses["a"] = TargetStatus{Role: topology.RolePrimary, Term: 1, Received: pointAt(1, 94)}
		f.run(5 * time.Second)
		if len(f.promotions) != 0 {
			t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
		}
	}
}

// Of a term whose begin is unknown, as its primary had committed before the service was first
// recorded, only logs of the term are known to belong to the history.
func TestLogBeforeAnUnknownBeginIsNoCandidate(t *testing.T) {
	f := newFixture(t)
	f.view.Record, f.view.Revision = Record{}, 0
	f.statuses["a"] = TargetStatus{Role: topology.RolePrimary, Term: 3, Received: pointAt(3, 60)}
	f.run(100 * time.Millisecond)
	f.view.SuspectCount, f.view.FenceAcknowledged = 2, true
	f.statuses = map[topology.TargetID]TargetStatus{"b": {Role: topology.RoleReplica, Term: 2, Received: pointAt(2, 40)}}
	f.run(5 * time.Second)
	if len(f.promotions) != 0 {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
	f.statuses["c"] = TargetStatus{Role: topology.RoleReplica, Term: 3, Received: pointAt(3, 40)}
	f.run(200 * time.Millisecond)
	if f.view.Record.Primary != "c" {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
}

// The record keeps the latest begins only; older logs count as left.
func TestHistoryIsBounded(t *testing.T) {
	record := Record{Term: 1, TermStart: pointAt(0, 0)}
	for term := topology.Term(2); term < 3*maxTerms; term++ {
		record.Terms = record.extendHistory(term, pointAt(term-1, topology.Position(10*term)))
		record.Term = term
	}
	if len(record.Terms) != maxTerms {
		t.Fatalf("%d begins", len(record.Terms))
	}
	if record.shareOf(pointAt(1, 5)).complete || !record.shareOf(pointAt(3*maxTerms-2, 10)).complete {
		t.Fatal("old logs must count as left, recent ones must not")
	}
}

// Found by TestFuzzPromotedLogs with seed 54292: term 2 began after 1/11, and then term 3
// after 1/4, with a log that lacks the rest. What followed 1/4 in terms 1 and 2 is left.
func TestLaterTermThatBeganEarlierCutsTheHistory(t *testing.T) {
	record := Record{Term: 1, Terms: []TermBegin{{Term: 1}}}
	record.Terms, record.Term = record.extendHistory(2, pointAt(1, 11)), 2
	record.Terms, record.Term = record.extendHistory(3, pointAt(1, 4)), 3
	for log, want := range map[topology.Point]share{
		pointAt(1, 4):  {complete: true, known: true, end: 4},
		pointAt(1, 11): {known: true, end: 4},
		pointAt(2, 12): {},
		pointAt(3, 5):  {complete: true, known: true, end: 5},
	} {
		if got := record.shareOf(log); got != want {
			t.Errorf("%s: %+v, want %+v", log, got, want)
		}
	}
}

// A primary that comes back under another ID in its term doesn't begin a term: what left the
// history before stays left.
func TestReturnInTheSameTermDoesNotMoveItsBegin(t *testing.T) {
	f := newForkedFixture(t)
	delete(f.view.Targets, "c")
	f.view.Targets["d"] = directory.Target{ID: "d", Role: topology.RolePrimary}
	f.statuses["d"] = TargetStatus{Role: topology.RolePrimary, Term: 3, Received: pointAt(3, 99)}
	f.run(500 * time.Millisecond)
	if f.view.Record.Primary != "d" || len(f.promotions) != 0 {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
	if f.view.Record.shareOf(pointAt(1, 94)).complete || f.view.Record.shareOf(pointAt(2, 95)).complete {
		t.Fatalf("record %+v takes a log back that the service has left", f.view.Record)
	}
}

// A record whose history does not end with its term ended the leader that read it.
func TestRecordWithAnUnfinishedHistoryIsReadWithoutIt(t *testing.T) {
	record := Record{Primary: "a", Term: 5, TermStart: pointAt(4, 9), Terms: []TermBegin{{Term: 2}, {Term: 3, After: pointAt(2, 7)}}}
	if record.shareOf(pointAt(3, 8)).complete || !record.shareOf(pointAt(4, 9)).complete {
		t.Error("the begin of the record's own term decides")
	}
}
