package dispatch

import (
	"math"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// The cost of a target whose entry names a very large capacity overflowed, so that it took
// requests from cheaper ones.
func TestHugeCapacityDoesNotAttractRequests(t *testing.T) {
	for _, slots := range []int{1 << 32, 1 << 40, math.MaxInt / 2, math.MaxInt} {
		d := New(Config{Service: "s", FailureDomain: "x"})
		d.SetTargets(testStart, map[topology.TargetID]directory.Target{
			"near": {ID: "near", Service: "s", FailureDomain: "x", Slots: 2},
			"huge": {ID: "huge", Service: "s", FailureDomain: "y", Slots: slots},
		})
		d.SetConnectionLimit(testStart, 8)
		if l := mustSubmit(t, testStart, d, newRead(testStart, "k")); l.Target != "near" {
			t.Errorf("capacity %d: the read went to target %q", slots, l.Target)
		}
	}
}

// The number of overdue statements that a target may have overflowed as well, so that they
// were counted as in flight for good.
func TestOverdueStatementsOfAHugeTargetAreReleased(t *testing.T) {
	d := newTestDispatcher(math.MaxInt, 1)
	l := mustSubmit(t, testStart, d, newWrite(testStart, "k"))
	l.target.latencyAt = testStart + time.Millisecond
	if now := testStart + time.Minute; now-l.statementStart < l.target.overdueAge(now) {
		t.Fatal("the statement is not overdue")
	}
	d.DispatchQueue(testStart + time.Minute)
	if l.target.inFlight != 0 || l.target.overdue != 1 {
		t.Errorf("%d in flight, %d overdue", l.target.inFlight, l.target.overdue)
	}
}
