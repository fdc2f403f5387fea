package dispatch

import (
	"testing"
	"time"
)

// answerOne has the target of the primary respond to one write.
func answerOne(t *testing.T, now time.Duration, d *Dispatcher) {
	t.Helper()
	l := mustSubmit(t, now, d, newWrite(now, "k"))
	d.EndStatement(now+5*time.Millisecond, l)
	d.Release(now+5*time.Millisecond, l)
}

// The responses of two reads are lost on the way. Seen on the large fleet, trouble-1: both
// slots of a primary counted as in use for five more seconds after the reads had timed out,
// and 1,164 requests were refused, although the target was idle.
func TestLostResponsesDoNotOccupyTheTarget(t *testing.T) {
	d := newTestDispatcher(2, 12)
	now := testStart
	answerOne(t, now, d)
	mustSubmit(t, now, d, newWrite(now, "k"))
	mustSubmit(t, now, d, newWrite(now, "k"))
	waiting := newWrite(now, "k")
	if _, decision := d.Submit(now, waiting); decision != Queued {
		t.Fatalf("decision %s with both slots in use", decision)
	}
	now += minOverdueAge - time.Millisecond
	d.DispatchQueue(now)
	select {
	case <-waiting.Granted():
		t.Fatal("granted before a statement is overdue")
	default:
	}
	now += time.Millisecond
	d.DispatchQueue(now)
	select {
	case l := <-waiting.Granted():
		openLease(now, d, l)
	default:
		t.Fatal("not granted although both statements are overdue")
	}
}

// Nobody waits for a response after its statement has timed out, so that it does not count
// even on a slow target, whose statements are not overdue yet.
func TestAbandonedStatementDoesNotOccupyTheTarget(t *testing.T) {
	d := newTestDispatcher(1, 12)
	now := testStart
	l := mustSubmit(t, now, d, newWrite(now, "k"))
	d.EndStatement(now+300*time.Millisecond, l)
	d.BeginStatement(now+300*time.Millisecond, l)
	now += 800 * time.Millisecond
	d.AbandonStatement(now, l)
	mustSubmit(t, now, d, newWrite(now, "k"))
	if _, decision := d.Submit(now, newWrite(now, "k")); decision == Granted {
		t.Fatal("more statements are in flight than the target has slots")
	}
	d.Drop(now, l, true) // the late response did not arrive
	if got := d.targets["a"].inFlight; got != 1 {
		t.Fatalf("%d statements in flight", got)
	}
}

// A target that has stopped responding may be unreachable. Only one more statement for each
// slot is sent to it, since every write to it becomes in doubt.
func TestFewStatementsAreSentToASilentTarget(t *testing.T) {
	const slots = 2
	d := newTestDispatcher(slots, 30)
	now := testStart
	answerOne(t, now, d)
	granted := 0
	for step := time.Duration(0); step < time.Second; step += 25 * time.Millisecond {
		r := newWrite(now+step, "k")
		if l, decision := d.Submit(now+step, r); decision == Granted {
			openLease(now+step, d, l)
			granted++
		} else if decision == Queued {
			d.Abandon(r)
		}
		d.DispatchQueue(now + step)
	}
	if granted != 2*slots {
		t.Fatalf("%d statements were sent to a silent target with %d slots", granted, slots)
	}
}

// Late responses end overdue statements, which have stopped counting already.
func TestLateResponsesAreCountedOnce(t *testing.T) {
	d := newTestDispatcher(2, 12)
	now := testStart
	var leases []*Lease
	for range 2 {
		leases = append(leases, mustSubmit(t, now, d, newWrite(now, "k")))
	}
	now += time.Second
	d.DispatchQueue(now)
	for _, l := range leases {
		d.EndStatement(now, l)
		d.Release(now, l)
	}
	if a := d.targets["a"]; a.inFlight != 0 || a.overdue != 0 || len(a.running) != 0 {
		t.Fatalf("%d in flight, %d overdue, %d running", a.inFlight, a.overdue, len(a.running))
	}
}
