package load

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestLimiterRefillsOncePerInstant guards against clock readings taken before the
// limiter's lock: concurrent callers would then pass them out of order, and the
// bucket would be refilled twice for the same time.
func TestLimiterRefillsOncePerInstant(t *testing.T) {
	const callers, callsPerCaller, rate, burst = 8, 2000, 1000, 8000
	var now atomic.Int64
	clock := func() time.Duration {
		reading := time.Duration(now.Add(int64(10 * time.Microsecond)))
		runtime.Gosched()
		return reading
	}
	l := newLimiter(rate, burst, clock)
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range callsPerCaller {
				if l.allow() {
					admitted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	maxAdmitted := int64(rate*time.Duration(now.Load()).Seconds()) + burst
	if got := admitted.Load(); got > maxAdmitted || got < maxAdmitted-1 {
		t.Fatalf("admitted %d requests, want %d", got, maxAdmitted)
	}
}
