package failover

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newUnrecordedFixture returns a service without a record, where a and b are listed as primary
// and b, whose term is later, does not respond.
func newUnrecordedFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.view.Record, f.view.Revision = Record{}, 0
	f.view.Targets["b"] = directory.Target{ID: "b", Role: topology.RolePrimary}
	delete(f.statuses, "b")
	f.run(2 * time.Second)
	if f.view.Revision != 0 {
		t.Fatalf("record %+v while a listed primary is silent", f.view.Record)
	}
	return f
}

// Guards against a first record that names a replaced primary, because the present one did not
// respond to one round of statuses: its commits would be lost.
func TestFirstRecordWaitsForASilentPrimary(t *testing.T) {
	f := newUnrecordedFixture(t)
	f.statuses["b"] = TargetStatus{Role: topology.RolePrimary, Term: 3, Received: pointAt(3, 60)}
	f.run(time.Second)
	if f.view.Record.Primary != "b" || f.view.Record.Term != 3 {
		t.Fatalf("record %+v", f.view.Record)
	}
}

// A silent primary is waited for only as long as it is listed.
func TestFirstRecordDoesNotWaitForAPrimaryThatIsGone(t *testing.T) {
	f := newUnrecordedFixture(t)
	delete(f.view.Targets, "b")
	f.run(time.Second)
	if f.view.Record.Primary != "a" || f.view.Record.Term != 1 {
		t.Fatalf("record %+v", f.view.Record)
	}
}

// Guards against the publication of a primary that is replaced already: two promotions took
// effect, and which of the two primaries was published depended on the order of a map.
func TestPrimaryOfTheLatestOfTwoPromotionsIsPublished(t *testing.T) {
	for range 50 {
		f := newFixture(t)
		delete(f.statuses, "a")
		f.statuses["b"] = TargetStatus{Role: topology.RolePrimary, Term: 2, Received: pointAt(1, 48)}
		f.statuses["c"] = TargetStatus{Role: topology.RolePrimary, Term: 3, Received: pointAt(1, 49)}
		f.view.SuspectCount, f.view.FenceAcknowledged = 2, true
		f.run(time.Second)
		if f.view.Record.Primary != "c" || f.view.Record.Term != 3 || f.view.Record.Fenced {
			t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
		}
	}
}

// Guards against the publication of a primary that is replaced already: of two targets that lead later
// terms than the record, the fence named one in the order of a map, and the later was dark by the choice.
func TestFenceNamesTheLatestOfTwoLaterPrimaries(t *testing.T) {
	for range 50 {
		f := newFixture(t)
		f.run(time.Second)
		for id, term := range map[topology.TargetID]topology.Term{"b": 2, "c": 3} {
			f.view.Targets[id] = directory.Target{ID: id, Role: topology.RolePrimary}
			f.statuses[id] = TargetStatus{Role: topology.RolePrimary, Term: term, Received: pointAt(1, 50)}
		}
		f.run(time.Second)
		if f.view.Record.Ordered() != "c" || !f.view.Record.Fenced {
			t.Fatalf("record %+v", f.view.Record)
		}
		delete(f.statuses, "a")
		delete(f.statuses, "c")
		f.view.FenceAcknowledged = true
		f.run(time.Second)
		if f.view.Record.Primary == "b" && f.view.Record.Term == 2 {
			t.Fatalf("record %+v although c leads term 3", f.view.Record)
		}
	}
}
