package outage

import (
	"testing"
	"time"
)

// Five loops try again every 100 ms while the store is away for 4.5 s, and one renews
// a lease every 300 ms. Few calls other than renewals are made, and the first call
// after the return is admitted within a probe's pause.
func TestFewCallsAreMadeWhileTheStoreIsAway(t *testing.T) {
	var g Gate
	calls, renewals := 0, 0
	for now := time.Duration(0); now < 4500*time.Millisecond; now += 100 * time.Millisecond {
		for range 5 {
			if ok, _ := g.Admit(now, false); ok {
				calls++
				g.Failed(now)
			}
		}
		if now%(300*time.Millisecond) == 0 {
			if ok, _ := g.Admit(now, true); ok {
				renewals++
				g.Failed(now)
			}
		}
	}
	if calls > 12 || renewals != 15 {
		t.Fatalf("%d calls and %d renewals", calls, renewals)
	}
	if _, wait := g.Admit(4500*time.Millisecond, false); wait > probeInterval {
		t.Fatalf("the next call waits %s", wait)
	}
}

func TestOneFailureHoldsNothingBack(t *testing.T) {
	var g Gate
	if g.Failed(0) || g.Away() {
		t.Fatal("away after one failure")
	}
	if ok, _ := g.Admit(0, false); !ok {
		t.Fatal("held back after one failure")
	}
	if g.Answered() {
		t.Fatal("back without having been away")
	}
	if g.Failed(0); g.Away() {
		t.Fatal("failures that were not in a row count")
	}
}

func TestAnswerEndsTheOutage(t *testing.T) {
	var g Gate
	g.Failed(0)
	if !g.Failed(time.Second) {
		t.Fatal("the loss is not reported")
	}
	if g.Failed(time.Second) {
		t.Fatal("the loss is reported twice")
	}
	if ok, wait := g.Admit(time.Second, false); ok || wait != probeInterval {
		t.Fatalf("admitted %v, wait %s", ok, wait)
	}
	if !g.Answered() || g.Away() {
		t.Fatal("the return is not reported")
	}
	if ok, _ := g.Admit(time.Second, false); !ok {
		t.Fatal("held back after the return")
	}
}
