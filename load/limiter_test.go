package load

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestLimiterCountsEachMomentOnce has many askers whose clock readings would
// come out of order if they were taken before the limiter's lock.
func TestLimiterCountsEachMomentOnce(t *testing.T) {
	const askers, asks, rate, burst = 8, 2000, 1000, 8000
	var now atomic.Int64
	clock := func() time.Duration {
		read := time.Duration(now.Add(int64(10 * time.Microsecond)))
		runtime.Gosched()
		return read
	}
	l := newLimiter(rate, burst, clock)
	var admitted atomic.Int64
	var wait sync.WaitGroup
	for range askers {
		wait.Go(func() {
			for range asks {
				if l.allow() {
					admitted.Add(1)
				}
			}
		})
	}
	wait.Wait()
	most := int64(rate*time.Duration(now.Load()).Seconds()) + burst
	if got := admitted.Load(); got > most || got < most-1 {
		t.Fatalf("admitted %d, want %d", got, most)
	}
}
