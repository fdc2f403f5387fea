package failover

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newUnorderedFixture returns a service whose successor c is chosen, while the platform
// accepts no promotion request.
func newUnorderedFixture(t *testing.T, synchronous int) *fixture {
	f := newFixture(t)
	f.view.SynchronousReplicas, f.view.FenceAcknowledged = synchronous, true
	f.run(time.Second)
	f.unavailable = true
	delete(f.statuses, "a")
	f.view.SuspectCount = 2
	f.run(time.Second)
	if len(f.promotions) < 2 || f.view.Record.Primary != "a" {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
	f.promotions = nil
	return f
}

// Guards against a promotion on the strength of an old status: the successor restarts without
// its log while the platform accepts no promotion request, so that the acknowledged commits,
// which the other replica holds, are lost.
func TestSuccessorThatLostItsLogMeanwhileIsNotPromoted(t *testing.T) {
	for _, synchronous := range []int{0, 1} {
		f := newUnorderedFixture(t, synchronous)
		f.statuses["c"] = TargetStatus{Role: topology.RoleReplica}
		f.run(time.Second)
		f.promotions, f.unavailable = nil, false
		f.run(3 * time.Second)
		if len(f.promotions) != 1 || f.view.Record.Primary != "b" || f.view.Record.Fenced {
			t.Errorf("%d synchronous replicas: record %+v, promotions %v", synchronous, f.view.Record, f.promotions)
		}
	}
}

// Guards against the same while the successor does not respond: its entry in the directory tells
// that it is another process.
func TestSuccessorThatRestartedAndIsSilentIsNotPromoted(t *testing.T) {
	f := newUnorderedFixture(t, 0)
	delete(f.statuses, "c")
	f.run(time.Second)
	f.view.Targets["c"] = directory.Target{ID: "c", Role: topology.RoleReplica, Incarnation: 2}
	f.promotions, f.unavailable = nil, false
	f.run(3 * time.Second)
	if len(f.promotions) != 1 || f.view.Record.Primary != "b" || f.view.Record.Fenced {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
}

// A successor that only fails to respond is ordered again: the platform rejects it if it does
// not run, and an earlier order may take effect yet.
func TestSilentSuccessorIsOrderedAgain(t *testing.T) {
	f := newUnorderedFixture(t, 0)
	status := f.statuses["c"]
	delete(f.statuses, "c")
	f.run(3 * time.Second)
	if len(f.promotions) < 2 || f.promotions[0] != "c" {
		t.Fatalf("promotions %v", f.promotions)
	}
	f.statuses["c"], f.unavailable = status, false
	f.run(time.Second)
	if f.view.Record.Primary != "c" || f.view.Record.Fenced {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
}

// An order whose response was lost has taken effect: the check before the next order finds
// the successor as primary, and nothing is ordered again.
func TestSuccessorThatIsPrimaryAlreadyIsPublished(t *testing.T) {
	f := newUnorderedFixture(t, 1)
	f.statuses["c"] = TargetStatus{Role: topology.RolePrimary, Term: 2, Received: pointAt(1, 49)}
	f.run(time.Second)
	if f.view.Record.Primary != "c" || f.view.Record.Term != 2 || f.view.Record.Fenced {
		t.Fatalf("record %+v, promotions %v", f.view.Record, f.promotions)
	}
}
