package outage

import (
	"testing"
	"time"
)

// probeInterval is the probe interval of an instance that uses primaries.
const probeInterval = 500 * time.Millisecond

// Five loops retry every 100 ms during an outage of 4.5 s, and one renews a lease
// every 300 ms. All renewals but few other calls must be admitted, and after the
// outage a call must be admitted within one probe interval.
func TestFewCallsWhileTheStoreIsUnavailable(t *testing.T) {
	var b Breaker
	calls, renewals := 0, 0
	for now := time.Duration(0); now < 4500*time.Millisecond; now += 100 * time.Millisecond {
		for range 5 {
			if ok, _ := b.Allow(now, probeInterval, false); ok {
				calls++
				b.RecordFailure(now, probeInterval)
			}
		}
		if now%(300*time.Millisecond) == 0 {
			if ok, _ := b.Allow(now, probeInterval, true); ok {
				renewals++
				b.RecordFailure(now, probeInterval)
			}
		}
	}
	if calls > 12 || renewals != 15 {
		t.Fatalf("%d calls and %d renewals", calls, renewals)
	}
	if _, wait := b.Allow(4500*time.Millisecond, probeInterval, false); wait > probeInterval {
		t.Fatalf("next call has to wait %s", wait)
	}
}

func TestSingleFailureDoesNotSuppressCalls(t *testing.T) {
	var b Breaker
	if b.RecordFailure(0, probeInterval) || b.Unavailable() {
		t.Fatal("unavailable after one failure")
	}
	if ok, _ := b.Allow(0, probeInterval, false); !ok {
		t.Fatal("call suppressed after one failure")
	}
	if b.RecordResponse() {
		t.Fatal("recovery reported without an outage")
	}
	if b.RecordFailure(0, probeInterval); b.Unavailable() {
		t.Fatal("unavailable after two failures that were not consecutive")
	}
}

func TestResponseEndsTheOutage(t *testing.T) {
	var b Breaker
	b.RecordFailure(0, probeInterval)
	if !b.RecordFailure(time.Second, probeInterval) {
		t.Fatal("start of the outage not reported")
	}
	if b.RecordFailure(time.Second, probeInterval) {
		t.Fatal("start of the outage reported twice")
	}
	if ok, wait := b.Allow(time.Second, probeInterval, false); ok || wait != probeInterval {
		t.Fatalf("admitted %v, wait %s", ok, wait)
	}
	if !b.RecordResponse() || b.Unavailable() {
		t.Fatal("recovery not reported")
	}
	if ok, _ := b.Allow(time.Second, probeInterval, false); !ok {
		t.Fatal("call suppressed after the recovery")
	}
}
