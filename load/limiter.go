package load

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// limiterOrigin is the time that is passed to rate.Limiter for a clock reading of 0.
var limiterOrigin = time.Unix(0, 0)

// limiter is a token bucket that is safe for concurrent use. It reads the clock
// while it holds its lock: rate.Limiter adds the same tokens twice when a call
// passes an earlier time than the call before.
type limiter struct {
	clock func() time.Duration

	mu struct {
		sync.Mutex
		bucket *rate.Limiter
	}
}

// newLimiter returns a full bucket. A burst below one request is raised to one.
func newLimiter(perSecond, burst float64, clock func() time.Duration) *limiter {
	l := &limiter{clock: clock}
	l.mu.bucket = rate.NewLimiter(rate.Limit(perSecond), max(1, int(burst)))
	return l
}

// allow consumes a token and returns true, or returns false if there is none.
func (l *limiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mu.bucket.AllowN(limiterOrigin.Add(l.clock()), 1)
}
