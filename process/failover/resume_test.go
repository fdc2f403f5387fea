package failover

import (
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newAbandonedFixture returns a service whose primary a is fenced and silent, as are all others.
func newAbandonedFixture(t *testing.T) (f *fixture, status TargetStatus) {
	f = newFixture(t)
	f.view.Record.TermStart = pointAt(1, 10)
	status = f.statuses["a"]
	f.statuses = map[topology.TargetID]TargetStatus{}
	f.view.SuspectCount, f.view.FenceAcknowledged = 2, true
	f.run(time.Second)
	if !f.view.Record.Fenced {
		t.Fatalf("record %+v", f.view.Record)
	}
	return f, status
}

// Guards against a service that stays without a primary although the only database that is left
// is its fenced primary, back with its log.
func TestFencedPrimaryThatIsBackIsUsedAgainWithoutASuccessor(t *testing.T) {
	f, status := newAbandonedFixture(t)
	f.statuses["a"], f.view.SuspectCount = status, 0
	f.run(time.Second)
	if r := f.view.Record; r.Primary != "a" || r.Term != 1 || r.Fenced || len(f.promotions) != 0 {
		t.Fatalf("record %+v, promotions %v", r, f.promotions)
	}
	fence := f.view.Record.FenceSequence
	f.run(5 * time.Second)
	if f.view.Record.FenceSequence != fence {
		t.Fatalf("fenced again: %+v", f.view.Record)
	}
}

// A primary stays fenced if it is to be replaced all the same, has lost its log or its role, if
// another target knows of a later term, or if the promotion of another one may have taken effect.
func TestFencedPrimaryIsNotUsedAgainIfItMayHaveBeenReplaced(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"draining": func(f *fixture) {
			f.view.Targets["a"] = directory.Target{ID: "a", Role: topology.RolePrimary, Draining: true}
		},
		"suspected": func(f *fixture) { f.view.SuspectCount = 2 },
		"replica": func(f *fixture) {
			f.statuses["a"] = TargetStatus{Role: topology.RoleReplica, Term: 1, Received: pointAt(1, 50)}
		},
		"lost its log": func(f *fixture) { f.statuses["a"] = TargetStatus{Role: topology.RolePrimary, Term: 1} },
		"later term": func(f *fixture) {
			f.view.SynchronousReplicas, f.view.Record.Databases = 1, 4
			f.statuses["c"] = TargetStatus{Role: topology.RoleReplica, Term: 2, Received: pointAt(1, 40)}
		},
		"another one ordered by an earlier leader": func(f *fixture) { f.view.Record.Order = &Order{Successor: "c"} },
	} {
		f, status := newAbandonedFixture(t)
		f.statuses["a"], f.view.SuspectCount = status, 0
		change(f)
		f.run(10 * time.Second)
		if !f.view.Record.Fenced || len(f.promotions) != 0 {
			t.Errorf("%s: record %+v, promotions %v", name, f.view.Record, f.promotions)
		}
	}
}

// Guards against a primary that stays fenced for ever because the platform has rejected the only
// successor, whoever leads afterwards.
func TestFencedPrimaryIsUsedAgainAfterARejection(t *testing.T) {
	f := newFixture(t)
	status := f.statuses["a"]
	delete(f.view.Targets, "b")
	delete(f.statuses, "a")
	f.rejected["c"], f.view.FenceAcknowledged, f.view.SuspectCount = true, true, 2
	f.run(500 * time.Millisecond)
	if len(f.promotions) == 0 {
		t.Fatalf("no promotion is requested: %+v", f.view.Record)
	}
	delete(f.statuses, "c")
	f.run(3 * time.Second)
	f.coordinator = Coordinator{}
	f.statuses["a"], f.view.SuspectCount = status, 0
	f.run(3 * time.Second)
	if r := f.view.Record; r.Primary != "a" || r.Fenced {
		t.Fatalf("record %+v, promotions %v", r, f.promotions)
	}
}

// Guards against two primaries: the promotion of a dark target has taken effect, that of the next
// successor is rejected, and the fenced primary is back.
func TestFencedPrimaryIsNotUsedAgainAfterAnotherOrderWasRejected(t *testing.T) {
	g := newLateGroup(t)
	old, dark := g.current, g.orders[0].successor
	g.setSilent(dark, false, true)
	for end := g.now + 10*time.Second; g.now < end && g.view.Record.Ordered() == dark.id; {
		g.advance(modelStep)
	}
	if dark != g.current || g.view.Record.Ordered() == "" {
		t.Fatalf("no other successor is ordered after %s leads: %+v", dark.id, g.view.Record)
	}
	g.setSilent(g.find(g.view.Record.Ordered()), true, false)
	g.advance(5 * time.Second)
	g.setSilent(old, false, false)
	old.primary = true
	g.advance(5 * time.Second)
	if g.problem != "" || !g.view.Record.Fenced {
		t.Fatalf("%s, record %+v", g.problem, g.view.Record)
	}
}

// Guards against two primaries: another target was seen to lead a later term, so that the primary is
// fenced, and goes dark, so that the primary is used again.
func TestFencedPrimaryIsNotUsedAgainOnceAnotherWasSeenToLead(t *testing.T) {
	g := newLateGroup(t)
	late := g.orders[0].successor
	g.orders[0].effectAt = g.now + 5*time.Second
	g.setSilent(late, false, true)
	g.advance(5500 * time.Millisecond)
	if late != g.current || g.view.Record.Fenced {
		t.Fatalf("%s leads, record %+v", g.current.id, g.view.Record)
	}
	g.problem = "" // see TestPrimaryOfALaterTermThanTheRecordReplacesIt
	g.setSilent(late, false, false)
	for end := g.now + time.Second; g.now < end && !g.view.Record.Fenced; {
		g.advance(modelStep)
	}
	g.setSilent(late, false, true)
	g.advance(10 * time.Second)
	if g.problem != "" || !g.view.Record.Fenced {
		t.Fatalf("%s, record %+v", g.problem, g.view.Record)
	}
}

// Guards against a wait without end: a successor was ordered after another target and is published while its
// order may still take effect. It is then fenced and back, and the order from before its record said that
// another target may have replaced it.
func TestPublishedSuccessorOfASecondOrderIsUsedAgain(t *testing.T) {
	f := newFixture(t)
	f.view.Record.Fenced, f.view.FenceAcknowledged = true, true
	f.view.Record.Order = &Order{Successor: "b", AfterAnother: true}
	primary := TargetStatus{Role: topology.RolePrimary, Term: 2, Received: pointAt(1, 48)}
	f.statuses = map[topology.TargetID]TargetStatus{"b": primary}
	f.run(300 * time.Millisecond)
	if r := f.view.Record; r.Primary != "b" || r.Fenced || r.Ordered() != "b" {
		t.Fatalf("record %+v", r)
	}
	f.statuses, f.view.SuspectCount = map[topology.TargetID]TargetStatus{}, 2
	f.run(300 * time.Millisecond)
	if !f.view.Record.Fenced {
		t.Fatalf("record %+v", f.view.Record)
	}
	f.statuses["b"], f.view.SuspectCount = primary, 0
	f.run(10 * time.Second)
	if r := f.view.Record; r.Primary != "b" || r.Fenced || len(f.promotions) != 0 {
		t.Fatalf("record %+v, order %+v, promotions %v", r, r.Order, f.promotions)
	}
}

// Guards against a database that counts as lost once more although it was back: the primary was declared
// lost, and used again by the record that lifts its fence.
func TestLostPrimaryThatIsUsedAgainIsNotLost(t *testing.T) {
	f, status := newAbandonedFixture(t)
	f.view.SynchronousReplicas, f.view.Record.Databases = 1, 3
	primary := f.view.Targets["a"]
	f.remove("a", "c")
	f.declare(1, "a", "c")
	f.run(time.Second)
	if lost := f.view.Record.Lost; len(lost) != 2 {
		t.Fatalf("record %+v", f.view.Record)
	}
	f.view.Targets["a"], f.statuses["a"], f.view.SuspectCount = primary, status, 0
	for end := f.now + 5*time.Second; f.now < end && f.view.Record.Fenced; {
		f.run(5 * time.Millisecond)
	}
	if r := f.view.Record; r.Fenced || !slices.Equal(r.Lost, []string{"c"}) {
		t.Fatalf("record %+v", r)
	}
}
