package failover

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// world answers a coordinator's actions.
type world struct {
	t    *testing.T
	c    Coordinator
	now  time.Duration
	view View
	// statuses answers AskAll; a target without one does not answer.
	statuses map[topology.TargetID]TargetStatus
	orders   []topology.TargetID
	demoted  []topology.TargetID
	rejects  map[topology.TargetID]bool
	// lost is how many answers of each kind of action are lost after it took effect.
	lost map[ActionKind]int
}

func at(term topology.Term, position topology.Position) topology.Point {
	return topology.Point{Term: term, Position: position}
}

func newWorld(t *testing.T) *world {
	targets := map[topology.TargetID]directory.Target{
		"a": {ID: "a", Role: topology.RolePrimary},
		"b": {ID: "b", Role: topology.RoleReplica},
		"c": {ID: "c", Role: topology.RoleReplica},
	}
	return &world{t: t, view: View{
		Record: Record{Primary: "a", Term: 1}, Revision: 1, Targets: targets, Instances: 7, Homes: 2,
	}, statuses: map[topology.TargetID]TargetStatus{
		"a": {Role: topology.RolePrimary, Term: 1, Received: at(1, 50)},
		"b": {Role: topology.RoleReplica, Term: 1, Received: at(1, 48)},
		"c": {Role: topology.RoleReplica, Term: 1, Received: at(1, 49)},
	}, rejects: make(map[topology.TargetID]bool)}
}

// run steps the coordinator for a while.
func (w *world) run(span time.Duration) {
	for end := w.now + span; w.now < end; w.now += 5 * time.Millisecond {
		action := w.c.Step(w.now, w.view)
		for action.Kind != None {
			action = w.c.Done(w.now, w.view, w.act(action))
		}
	}
}

func (w *world) act(a Action) Result {
	r := Result{Action: a}
	switch a.Kind {
	case Publish:
		if a.Record.Primary != w.view.Record.Primary {
			w.view.Suspects = 0 // suspicions name the earlier primary
		}
		w.view.Record = a.Record
		w.view.Revision++
	case AskAll:
		r.Statuses = make(map[topology.TargetID]TargetStatus)
		for _, t := range a.Targets {
			if status, answers := w.statuses[t.ID]; answers {
				r.Statuses[t.ID] = status
			}
		}
	case Order:
		w.orders = append(w.orders, a.Target.ID)
		if w.rejects[a.Target.ID] {
			r.Failed, r.Rejected = true, true
			break
		}
		w.statuses[a.Target.ID] = TargetStatus{Role: topology.RolePrimary, Term: w.view.Record.Term + 1, Received: at(1, 49)}
	case DemoteOld:
		w.demoted = append(w.demoted, a.Target.ID)
	}
	if w.lost[a.Kind] > 0 {
		w.lost[a.Kind]--
		r.Failed = true
	}
	return r
}

func TestCalmPrimaryIsKept(t *testing.T) {
	w := newWorld(t)
	w.view.Suspects = 1
	w.run(10 * time.Second)
	if w.view.Revision != 1 || len(w.orders) != 0 {
		t.Fatalf("record %+v, orders %v", w.view.Record, w.orders)
	}
}

func TestNothingIsOrderedBeforeEveryRightHasEnded(t *testing.T) {
	w := newWorld(t)
	w.view.Suspects = 2
	delete(w.statuses, "a")
	w.run(time.Second)
	if !w.view.Record.Fenced || len(w.orders) != 0 {
		t.Fatalf("record %+v, orders %v", w.view.Record, w.orders)
	}
	w.view.RightsEnd = w.now + 2*time.Second
	w.run(2 * time.Second)
	if len(w.orders) != 0 {
		t.Fatalf("ordered %v before the rights ended", w.orders)
	}
	w.run(time.Second)
	if len(w.orders) != 1 || w.orders[0] != "c" || w.view.Record.Primary != "c" || w.view.Record.Fenced || w.view.Record.Term != 2 {
		t.Fatalf("record %+v, orders %v", w.view.Record, w.orders)
	}
}

func TestAcknowledgedFenceIsFollowedAtOnce(t *testing.T) {
	w := newWorld(t)
	w.view.Suspects, w.view.Acknowledged = 2, true
	delete(w.statuses, "a")
	w.run(300 * time.Millisecond)
	if w.view.Record.Primary != "c" || w.view.Record.Fenced {
		t.Fatalf("record %+v", w.view.Record)
	}
}

func TestLeavingPrimaryIsHandedOverWithoutLoss(t *testing.T) {
	w := newWorld(t)
	leaving := w.view.Targets["a"]
	leaving.Draining = true
	w.view.Targets["a"] = leaving
	w.view.Acknowledged = true
	w.run(500 * time.Millisecond)
	if len(w.orders) != 0 {
		t.Fatalf("ordered %v while no replica held the primary's log", w.orders)
	}
	w.statuses["b"] = TargetStatus{Role: topology.RoleReplica, Term: 1, Received: at(1, 50)}
	w.run(500 * time.Millisecond)
	if len(w.orders) != 1 || w.orders[0] != "b" || w.view.Record.Primary != "b" {
		t.Fatalf("record %+v, orders %v", w.view.Record, w.orders)
	}
	if len(w.demoted) != 1 || w.demoted[0] != "a" {
		t.Fatalf("demoted %v", w.demoted)
	}
}

func TestLaggingReplicasDoNotHoldAHandOverForEver(t *testing.T) {
	w := newWorld(t)
	leaving := w.view.Targets["a"]
	leaving.Draining = true
	w.view.Targets["a"] = leaving
	w.view.Acknowledged = true
	w.run(catchUpLimit + 500*time.Millisecond)
	if w.view.Record.Primary != "c" {
		t.Fatalf("record %+v", w.view.Record)
	}
}

// A primary that crashed came back with its log under another id in the same term.
func TestPrimaryUnderAnotherIDIsFollowedWithoutAnOrder(t *testing.T) {
	w := newWorld(t)
	delete(w.view.Targets, "a")
	w.view.Targets["d"] = directory.Target{ID: "d", Role: topology.RolePrimary}
	w.statuses["d"] = TargetStatus{Role: topology.RolePrimary, Term: 1, Received: at(1, 50)}
	delete(w.statuses, "a")
	w.view.Acknowledged = true
	w.run(300 * time.Millisecond)
	if len(w.orders) != 0 || w.view.Record.Primary != "d" || w.view.Record.Fenced {
		t.Fatalf("record %+v, orders %v", w.view.Record, w.orders)
	}
}

func TestMissingEntryWaitsForItsReturn(t *testing.T) {
	w := newWorld(t)
	primary := w.view.Targets["a"]
	delete(w.view.Targets, "a")
	w.run(missingGrace - 100*time.Millisecond)
	w.view.Targets["a"] = primary
	w.run(5 * time.Second)
	if w.view.Revision != 1 {
		t.Fatalf("record %+v", w.view.Record)
	}
	delete(w.view.Targets, "a")
	w.run(missingGrace + 100*time.Millisecond)
	if !w.view.Record.Fenced {
		t.Fatal("a primary without an entry is kept")
	}
}

func TestRejectedSuccessorIsPassedOver(t *testing.T) {
	w := newWorld(t)
	w.view.Suspects, w.view.Acknowledged = 2, true
	w.rejects["c"] = true
	delete(w.statuses, "a")
	w.run(time.Second)
	if len(w.orders) != 2 || w.orders[1] != "b" || w.view.Record.Primary != "b" {
		t.Fatalf("record %+v, orders %v", w.view.Record, w.orders)
	}
}

// A holder of the duty that takes over finds the order of the one before done.
func TestFenceOfAnEarlierHolderIsCompleted(t *testing.T) {
	w := newWorld(t)
	w.view.Record.Fenced, w.view.Record.Sequence = true, 3
	w.view.Acknowledged = true
	w.statuses["b"] = TargetStatus{Role: topology.RolePrimary, Term: 2, Received: at(1, 48)}
	w.run(300 * time.Millisecond)
	if len(w.orders) != 0 || w.view.Record.Primary != "b" || w.view.Record.Sequence != 3 {
		t.Fatalf("record %+v, orders %v", w.view.Record, w.orders)
	}
}

func TestSuspicionNeedsAShareOfInstancesOrAllHomes(t *testing.T) {
	for _, test := range []struct{ instances, homes, want int }{{7, 2, 2}, {7, 0, 3}, {81, 2, 2}, {1, 0, 1}, {3, 1, 1}} {
		if got := suspectsNeeded(View{Instances: test.instances, Homes: test.homes}); got != test.want {
			t.Errorf("%d instances, %d homes: %d, want %d", test.instances, test.homes, got, test.want)
		}
	}
}

// Soak seed 122: a primary that was replaced came back and still called itself primary,
// at its old term, when the later one was lost. It is no successor until it is promoted.
func TestReplacedPrimaryThatCameBackIsNoSuccessorByItself(t *testing.T) {
	w := newWorld(t)
	w.view.Record = Record{Primary: "a", Term: 4, Sequence: 3}
	w.view.Suspects, w.view.Acknowledged = 2, true
	w.statuses = map[topology.TargetID]TargetStatus{"b": {Role: topology.RolePrimary, Term: 2, Received: at(2, 1768)}}
	w.run(3 * time.Second)
	if record := w.view.Record; record.Term < 4 || record.Primary == "b" && len(w.orders) == 0 {
		t.Fatalf("record %+v, orders %v", record, w.orders)
	}
	if len(w.orders) != 1 || w.orders[0] != "b" || w.view.Record.Primary != "b" || w.view.Record.Term != 5 {
		t.Fatalf("record %+v, orders %v", w.view.Record, w.orders)
	}
}

// The first record names the newest of several targets that say they lead.
func TestFirstRecordNamesTheNewestPrimary(t *testing.T) {
	w := newWorld(t)
	w.view.Record, w.view.Revision = Record{}, 0
	w.view.Targets["b"] = directory.Target{ID: "b", Role: topology.RolePrimary}
	w.statuses["b"] = TargetStatus{Role: topology.RolePrimary, Term: 3, Received: at(3, 60)}
	w.run(time.Second)
	if w.view.Record.Primary != "b" || w.view.Record.Term != 3 {
		t.Fatalf("record %+v", w.view.Record)
	}
}

// Any answer may be lost after its call took effect: of the fence, of the order, of the
// record that names the successor. The failover ends the same, with one order more at
// most, and the old primary is demoted.
func TestLostAnswersAreSettled(t *testing.T) {
	for name, lost := range map[string]map[ActionKind]int{
		"publish, once": {Publish: 1}, "publish, twice": {Publish: 2}, "order": {Order: 1}, "all": {Publish: 2, Order: 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.view.Suspects, w.view.Acknowledged, w.lost = 2, true, lost
			w.run(5 * time.Second)
			if record := w.view.Record; record.Primary != "c" || record.Term != 2 || record.Fenced || record.Sequence != 1 {
				t.Fatalf("record %+v", record)
			}
			if len(w.orders) > 2 || len(w.demoted) != 1 || w.demoted[0] != "a" {
				t.Fatalf("orders %v, demoted %v", w.orders, w.demoted)
			}
		})
	}
}
