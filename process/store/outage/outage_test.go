package outage

import (
	"testing"
	"time"
)

// Five loops retry every 100 ms during an outage of 4.5 s, and one renews a lease
// every 300 ms. All renewals but few other calls must be admitted, and after the
// outage a call must be admitted within one probe interval.
func TestFewCallsWhileTheStoreIsUnavailable(t *testing.T) {
	var b Breaker
	calls, renewals := 0, 0
	for now := time.Duration(0); now < 4500*time.Millisecond; now += 100 * time.Millisecond {
		for range 5 {
			if ok, _ := b.Allow(now, false); ok {
				calls++
				b.RecordFailure(now)
			}
		}
		if now%(300*time.Millisecond) == 0 {
			if ok, _ := b.Allow(now, true); ok {
				renewals++
				b.RecordFailure(now)
			}
		}
	}
	if calls > 12 || renewals != 15 {
		t.Fatalf("%d calls and %d renewals", calls, renewals)
	}
	if _, wait := b.Allow(4500*time.Millisecond, false); wait > probeInterval {
		t.Fatalf("next call has to wait %s", wait)
	}
}

func TestSingleFailureDoesNotSuppressCalls(t *testing.T) {
	var b Breaker
	if b.RecordFailure(0) || b.Unavailable() {
		t.Fatal("unavailable after one failure")
	}
	if ok, _ := b.Allow(0, false); !ok {
		t.Fatal("call suppressed after one failure")
	}
	if b.RecordResponse() {
		t.Fatal("recovery reported without an outage")
	}
	if b.RecordFailure(0); b.Unavailable() {
		t.Fatal("unavailable after two failures that were not consecutive")
	}
}

func TestResponseEndsTheOutage(t *testing.T) {
	var b Breaker
	b.RecordFailure(0)
	if !b.RecordFailure(time.Second) {
		t.Fatal("start of the outage not reported")
	}
	if b.RecordFailure(time.Second) {
		t.Fatal("start of the outage reported twice")
	}
	if ok, wait := b.Allow(time.Second, false); ok || wait != probeInterval {
		t.Fatalf("admitted %v, wait %s", ok, wait)
	}
	if !b.RecordResponse() || b.Unavailable() {
		t.Fatal("recovery not reported")
	}
	if ok, _ := b.Allow(time.Second, false); !ok {
		t.Fatal("call suppressed after the recovery")
	}
}
