package outage

import (
	"testing"
	"time"
)

// Five loops retry every 100 ms during an outage of 4.5 s, and one renews a lease
// every 300 ms. All renewals but few other calls must be admitted, and after the
// outage a call must be admitted within one probe interval.
func TestFewCallsWhileTheStoreIsUnavailable(t *testing.T) {
	var g Breaker
	calls, renewals := 0, 0
	for now := time.Duration(0); now < 4500*time.Millisecond; now += 100 * time.Millisecond {
		for range 5 {
			if ok, _ := g.Allow(now, false); ok {
				calls++
				g.RecordFailure(now)
			}
		}
		if now%(300*time.Millisecond) == 0 {
			if ok, _ := g.Allow(now, true); ok {
				renewals++
				g.RecordFailure(now)
			}
		}
	}
	if calls > 12 || renewals != 15 {
		t.Fatalf("%d calls and %d renewals", calls, renewals)
	}
	if _, wait := g.Allow(4500*time.Millisecond, false); wait > probeInterval {
		t.Fatalf("next call has to wait %s", wait)
	}
}

func TestSingleFailureDoesNotSuppressCalls(t *testing.T) {
	var g Breaker
	if g.RecordFailure(0) || g.Unavailable() {
		t.Fatal("unavailable after one failure")
	}
	if ok, _ := g.Allow(0, false); !ok {
		t.Fatal("call suppressed after one failure")
	}
	if g.RecordResponse() {
		t.Fatal("recovery reported without an outage")
	}
	if g.RecordFailure(0); g.Unavailable() {
		t.Fatal("unavailable after two failures that were not consecutive")
	}
}

func TestResponseEndsTheOutage(t *testing.T) {
	var g Breaker
	g.RecordFailure(0)
	if !g.RecordFailure(time.Second) {
		t.Fatal("start of the outage not reported")
	}
	if g.RecordFailure(time.Second) {
		t.Fatal("start of the outage reported twice")
	}
	if ok, wait := g.Allow(time.Second, false); ok || wait != probeInterval {
		t.Fatalf("admitted %v, wait %s", ok, wait)
	}
	if !g.RecordResponse() || g.Unavailable() {
		t.Fatal("recovery not reported")
	}
	if ok, _ := g.Allow(time.Second, false); !ok {
		t.Fatal("call suppressed after the recovery")
	}
}
