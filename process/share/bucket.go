package share

import (
	"math"
	"time"
)

// demandMemory is the time constant of the measured demand.
const demandMemory = 2 * time.Second

// Bucket admits a customer's operations on one instance. It is not safe for
// concurrent use.
type Bucket struct {
	rate, burst float64
	level       float64
	at          time.Duration
	demand      float64
	demandAt    time.Duration
}

// NewBucket returns a full bucket with this instance's part of rate and burst.
func NewBucket(now time.Duration, rate, burst float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: burst, at: now, demandAt: now}
}

// Resize changes the parts. Tokens above the new burst are lost; none are added.
func (b *Bucket) Resize(now time.Duration, rate, burst float64) {
	b.settle(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, max(burst, 1))
}

func (b *Bucket) settle(now time.Duration) {
	if now > b.at {
		b.level = min(max(b.burst, 1), b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// Take admits one operation that can wait for the given time. It returns how
// long the operation has to wait, and false when it is refused.
func (b *Bucket) Take(now, patience time.Duration) (time.Duration, bool) {
	b.settle(now)
	b.count(now)
	if b.level >= 1 {
		b.level--
		return 0, true
	}
	if b.rate <= 0 {
		return 0, false
	}
	wait := time.Duration((1 - b.level) / b.rate * float64(time.Second))
	if wait > patience {
		return wait, false
	}
	b.level--
	return wait, true
}

// count adds an operation to the measured demand.
func (b *Bucket) count(now time.Duration) {
	b.demand = b.Demand(now) + 1/demandMemory.Seconds()
	b.demandAt = now
}

// Demand returns the measured demand in operations a second, with refused ones.
func (b *Bucket) Demand(now time.Duration) float64 {
	return b.demand * math.Exp(-(now-b.demandAt).Seconds()/demandMemory.Seconds())
}

// Pressed reports that the demand takes up the given share of the rate.
func (b *Bucket) Pressed(now time.Duration, share float64) bool {
	return b.Demand(now) > share*b.rate
}
