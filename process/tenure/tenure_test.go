package tenure

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

func TestRightEndsWithWhicheverConfirmationIsOlder(t *testing.T) {
	r := New(4 * time.Second)
	groups := map[topology.ServiceID]store.Revision{"s": 5}
	r.Confirmed(time.Second, groups)
	if r.Primary(time.Second, "s", 5) {
		t.Fatal("a right without a registration")
	}
	r.Renewed(0)
	if !r.Primary(RightSpan-1, "s", 5) || r.Primary(RightSpan, "s", 5) {
		t.Fatal("the right does not end with the registration")
	}
	if r.End("s") != RightSpan {
		t.Fatalf("the right ends at %s", r.End("s"))
	}
	r.Renewed(10 * time.Second)
	if r.Primary(time.Second+RightSpan, "s", 5) {
		t.Fatal("the right does not end with the confirmation")
	}
}

func TestAnswersThatComeInAnotherOrderDoNotTurnBack(t *testing.T) {
	r := New(4 * time.Second)
	r.Renewed(2 * time.Second)
	r.Confirmed(2*time.Second, map[topology.ServiceID]store.Revision{"s": 7})
	r.Confirmed(time.Second, map[topology.ServiceID]store.Revision{"s": 5})
	r.Renewed(time.Second)
	if !r.Primary(2*time.Second+RightSpan-1, "s", 7) || r.Primary(2*time.Second, "s", 5) {
		t.Fatal("an earlier answer has replaced a later one")
	}
}

// A machine that was suspended finds its clock, which counts the time, ahead.
func TestSuspensionEndsRights(t *testing.T) {
	r := New(4 * time.Second)
	r.Renewed(0)
	r.Confirmed(0, map[topology.ServiceID]store.Revision{"s": 1})
	if now := 6 * time.Second; r.Primary(now, "s", 1) || r.Keys(now) || r.Registered(now) {
		t.Fatal("a right outlived the suspension")
	}
}

func TestKeysAreAcceptedForTheirOwnSpan(t *testing.T) {
	r := New(4 * time.Second)
	if r.Keys(0) || r.Age(0) >= 0 {
		t.Fatal("keys are accepted without a confirmation")
	}
	r.Confirmed(time.Second, nil)
	if !r.Keys(5*time.Second-1) || r.Keys(5*time.Second) {
		t.Fatal("wrong span")
	}
}

func TestALeaseOutlivesTheRightsItBounds(t *testing.T) {
	if RightSpan >= LeaseTerm || FenceSpan <= RightSpan {
		t.Fatalf("right %s, lease %s, fence %s", RightSpan, LeaseTerm, FenceSpan)
	}
}

// Another instance's word keeps keys valid, but no primary.
func TestConfirmationOfAnotherInstanceGivesNoPrimary(t *testing.T) {
	r := New(4 * time.Second)
	r.Renewed(0)
	r.Confirmed(0, map[topology.ServiceID]store.Revision{"s": 1})
	r.Renewed(RightSpan)
	r.ConfirmedElsewhere(RightSpan)
	if !r.Keys(RightSpan + time.Second) {
		t.Fatal("keys are not accepted on another instance's confirmation")
	}
	if r.Primary(RightSpan, "s", 1) {
		t.Fatal("another instance's confirmation extends the right to a primary")
	}
	r.ConfirmedElsewhere(time.Second)
	if age := r.Age(RightSpan); age != 0 {
		t.Fatalf("an older word made the confirmation %s old", age)
	}
}
