package load

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// limiterOrigin anchors the token buckets, which count in wall time.
var limiterOrigin = time.Unix(0, 0)

// limiter is a token bucket. It reads the clock under its lock: rate.Limiter
// adds tokens twice when it is asked for an earlier time than before.
type limiter struct {
	clock func() time.Duration

	mu struct {
		sync.Mutex
		bucket *rate.Limiter
	}
}

// newLimiter returns a full bucket. Burst is at least one request.
func newLimiter(perSecond, burst float64, clock func() time.Duration) *limiter {
	l := &limiter{clock: clock}
	l.mu.bucket = rate.NewLimiter(rate.Limit(perSecond), max(1, int(burst)))
	return l
}

// allow takes a token when there is one.
func (l *limiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mu.bucket.AllowN(limiterOrigin.Add(l.clock()), 1)
}
