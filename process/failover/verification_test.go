package failover

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newRestoredFixture returns a service whose store was just restored, for the second time.
// The stored record is from before.
func newRestoredFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.view.Era, f.view.Record.Era = 3, 2
	f.view.Revision = store.NewRevision(3, 9)
	f.view.PromotionsSettled = false
	return f
}

// wantVerified checks that the record names a primary in a term and is verified.
func (f *fixture) wantVerified(id topology.TargetID, term topology.Term) {
	f.t.Helper()
	if r := f.view.Record; r.Primary != id || r.Term != term || r.Fenced || r.Era != f.view.Era {
		f.t.Fatalf("record %+v, want %s in term %d", r, id, term)
	}
}

// Without a leader that knows the service's history, a promotion that was ordered before the
// restore may still take effect, so that no primary is named until it would have.
func TestRecordIsVerifiedOnceEarlierPromotionsHaveTakenEffect(t *testing.T) {
	f := newRestoredFixture(t)
	f.run(3 * time.Second)
	if f.view.Record.Era != 2 {
		t.Fatalf("record %+v was published too early", f.view.Record)
	}
	f.view.PromotionsSettled = true
	f.run(50 * time.Millisecond)
	f.wantVerified("a", 1)
	if len(f.promotions) != 0 {
		t.Fatalf("promoted %v", f.promotions)
	}
}

// The restore has lost a promotion. Writes on the primary that the record names would be
// lost, although it still has its role and its term.
func TestPromotionLostInARestoreIsFound(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.PromotionsSettled = true
	f.statuses["b"] = TargetStatus{Role: topology.RolePrimary, Term: 2, Received: pointAt(2, 60)}
	f.runNeverNaming("a", time.Second)
	f.view.FenceAcknowledged = true
	f.runNeverNaming("a", 2*time.Second)
	f.wantVerified("b", 2)
}

// Guards against a second promotion of a primary that is found, because a replica follows it.
func TestPromotionLostInARestoreIsFoundBesideItsReplica(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.PromotionsSettled, f.view.FenceAcknowledged = true, true
	f.statuses["b"] = TargetStatus{Role: topology.RolePrimary, Term: 2, Received: pointAt(2, 60)}
	f.statuses["c"] = TargetStatus{Role: topology.RoleReplica, Term: 2, Received: pointAt(2, 59)}
	f.run(time.Second)
	f.wantVerified("b", 2)
	if len(f.promotions) != 0 {
		t.Fatalf("promoted %v", f.promotions)
	}
}

// runNeverNaming runs the coordinator and fails if it publishes a usable record of a primary.
func (f *fixture) runNeverNaming(id topology.TargetID, duration time.Duration) {
	f.t.Helper()
	for end := f.now + duration; f.now < end; {
		f.run(5 * time.Millisecond)
		if r := f.view.Record; r.Primary == id && !r.Fenced && r.Era == f.view.Era {
			f.t.Fatalf("record %+v was published", r)
		}
	}
}

// A target that is listed as primary and does not respond may lead a later term. The record's
// primary is fenced, and the promotion of a target decides.
func TestUnresponsivePrimaryMayLeadALaterTerm(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.PromotionsSettled = true
	f.view.Targets["b"] = directory.Target{ID: "b", Role: topology.RolePrimary}
	delete(f.statuses, "b")
	f.runNeverNaming("a", time.Second)
	if r := f.view.Record; !r.Fenced || r.Era != 3 {
		t.Fatalf("record %+v, want a fence", r)
	}
}

// A replica that has followed a later term shows that the record is out of date, although
// that term's primary is gone.
func TestReplicaOfALaterTermRefutesTheRecord(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.PromotionsSettled = true
	f.statuses["c"] = TargetStatus{Role: topology.RoleReplica, Term: 2, Received: pointAt(2, 60)}
	f.runNeverNaming("a", time.Second)
	if r := f.view.Record; !r.Fenced {
		t.Fatalf("record %+v, want a fence", r)
	}
}

// One lost response does not cost a failover.
func TestVerificationIsRepeatedBeforeTheRecordIsFenced(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.PromotionsSettled = true
	status := f.statuses["a"]
	delete(f.statuses, "a")
	f.run(10 * time.Millisecond)
	f.statuses["a"] = status
	f.run(200 * time.Millisecond)
	f.wantVerified("a", 1)
}

// A leader that led until the restore publishes what it knows at once, so that the users go
// on without a gap.
func TestRecordKnownBeforeTheRestoreIsPublishedAtOnce(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.Known = []Record{{Primary: "a", Term: 1, Era: 2}, {Primary: "b", Term: 2, FenceSequence: 1, Era: 2}}
	f.view.LedThroughout = true
	f.run(5 * time.Millisecond)
	f.wantVerified("b", 2)
	if f.view.Record.FenceSequence != 1 {
		t.Fatalf("the fence sequence changed: %+v", f.view.Record)
	}
}

// The restore has removed all records of the service.
func TestRecordThatTheRestoreRemovedIsPublishedAgain(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.Record, f.view.Revision = Record{}, 0
	f.view.Known = []Record{{Primary: "b", Term: 2, FenceSequence: 1, Era: 2}}
	f.statuses["b"] = TargetStatus{Role: topology.RolePrimary, Term: 2, Received: pointAt(2, 60)}
	f.run(100 * time.Millisecond)
	if f.view.Revision != 0 {
		t.Fatalf("record %+v was published before earlier promotions have taken effect", f.view.Record)
	}
	f.view.PromotionsSettled = true
	f.run(100 * time.Millisecond)
	f.wantVerified("b", 2)
}

// The copy was made during a failover. Its acknowledgements do not count for the fence that
// continues it.
func TestFailoverInterruptedByARestoreIsFencedAnew(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.Record.Fenced, f.view.Record.FenceSequence = true, 7
	f.view.PromotionsSettled = true
	f.run(10 * time.Millisecond)
	if r := f.view.Record; !r.Fenced || r.Era != 3 || r.FenceSequence <= 7 {
		t.Fatalf("record %+v", r)
	}
}

// A leader that led until the restore and has requested no promotion need not wait before it
// fences anew.
func TestInterruptedFailoverOfTheSameLeaderGoesOnAtOnce(t *testing.T) {
	f := newRestoredFixture(t)
	f.view.Known = []Record{{Primary: "a", Term: 1, Fenced: true, FenceSequence: 7, Era: 2}}
	f.view.LedThroughout = true
	f.run(10 * time.Millisecond)
	if r := f.view.Record; !r.Fenced || r.Era != 3 || r.FenceSequence <= 7 {
		t.Fatalf("record %+v", r)
	}
}

// The sequences of lost fences are not used again: an acknowledgement of one may still be
// written, and must not count for a later fence.
func TestFenceSequencesAreUniqueAcrossRestores(t *testing.T) {
	record := Record{FenceSequence: 4}
	lost := record.NextFenceSequence(2)
	if again := record.NextFenceSequence(2); again != lost || lost <= 4 {
		t.Fatalf("sequences %d and %d", lost, again)
	}
	if next := record.NextFenceSequence(3); next <= lost {
		t.Fatalf("sequence %d after %d, which the restore has lost", next, lost)
	}
	if next := (Record{FenceSequence: lost}).NextFenceSequence(2); next != lost+1 {
		t.Fatalf("sequence %d follows %d", next, lost)
	}
}

// The store has lost the terms in which the service left a log. Who used the primary knows them.
func TestHistoryThatARestoreHasLostIsPublishedAgain(t *testing.T) {
	for _, led := range []bool{true, false} {
		f := newRestoredFixture(t)
		f.view.LedThroughout, f.view.PromotionsSettled = led, true
		f.view.Known = []Record{{Primary: "b", Term: 2, TermStart: pointAt(1, 48), Terms: []TermBegin{{Term: 1}, {Term: 2, After: pointAt(1, 48)}}, FenceSequence: 1, Era: 2}}
		f.statuses["b"] = TargetStatus{Role: topology.RolePrimary, Term: 2, Received: pointAt(2, 60)}
		f.run(100 * time.Millisecond)
		f.wantVerified("b", 2)
		f.statuses = map[topology.TargetID]TargetStatus{"a": {Role: topology.RolePrimary, Term: 1, Received: pointAt(1, 50)}}
		f.view.SuspectCount, f.view.FenceAcknowledged = 2, true
		f.run(5 * time.Second)
		if len(f.promotions) != 0 {
			t.Errorf("led %t: record %+v, promotions %v", led, f.view.Record, f.promotions)
		}
	}
}

// Guards against two primaries: a target that may lead a later term is silent after a restore, so that
// the record's primary is fenced, and is not listed any more once the primary is looked at again.
func TestPrimaryThatWasFencedAfterARestoreIsNotUsedAgain(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"listed as primary": func(f *fixture) { f.view.Targets["b"] = directory.Target{ID: "b", Role: topology.RolePrimary} },
		"followed by a replica": func(f *fixture) {
			f.statuses["c"] = TargetStatus{Role: topology.RoleReplica, Term: 2, Received: pointAt(2, 60)}
		},
	} {
		f := newRestoredFixture(t)
		f.view.PromotionsSettled = true
		delete(f.statuses, "b")
		delete(f.statuses, "c")
		change(f)
		f.run(time.Second)
		if r := f.view.Record; !r.Fenced {
			t.Fatalf("%s: record %+v, want a fence", name, r)
		}
		delete(f.view.Targets, "b")
		delete(f.statuses, "c")
		f.view.FenceAcknowledged = true
		f.run(10 * time.Second)
		if r := f.view.Record; !r.Fenced {
			t.Errorf("%s: record %+v, promotions %v", name, r, f.promotions)
		}
	}
}
