package share

import (
	"math"
	"time"
)

// demandMemory is the time constant of the measured demand.
const demandMemory = 2 * time.Second

// windowSlots is into how many slots a window is divided. A slot counts until it
// has wholly left the window, so that no window of any position holds more than
// the limit.
const windowSlots = 20

// Limit is a customer's limit: in any Window at most Rate times Window plus Burst
// operations.
type Limit struct {
	// Rate is in operations a second, Burst in operations.
	Rate, Burst float64
	Window      time.Duration
}

// part returns a fraction of the limit.
func (l Limit) part(fraction float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: l.Burst * fraction, Window: l.Window}
}

// refill is the steady rate that fills a window up to its limit.
func (l Limit) refill() float64 { return l.Rate + l.Burst/l.Window.Seconds() }

// most is how many operations a window may hold.
func (l Limit) most() float64 { return l.Rate*l.Window.Seconds() + l.Burst }

// Bucket admits a customer's operations on one instance: a token bucket that
// smooths bursts, and a count of the last window that bounds them. It is not safe
// for concurrent use.
type Bucket struct {
	// limit is this instance's part of the customer's limit, wholeBurst the
	// customer's burst.
	limit      Limit
	wholeBurst float64

	level    float64
	at       time.Duration
	demand   float64
	demandAt time.Duration
	slots    [windowSlots + 1]float64
	slot     int64
	// started is when the bucket came to be. What was admitted before, by an
	// earlier process of the instance, is unknown, so for a window it gives less.
	started time.Duration
}

// startShare is the share of the burst that a new bucket holds, and earlyShare
// the share of the burst that is added to its rate in its first window: together
// with a full window of an earlier process they stay within a tenth of the limit.
const (
	startShare = 0.25
	earlyShare = 0.5
)

// NewBucket returns a bucket with this instance's fraction of a limit.
func NewBucket(now time.Duration, limit Limit, fraction float64) *Bucket {
	return &Bucket{limit: limit.part(fraction), wholeBurst: limit.Burst, level: startShare * limit.Burst * fraction, at: now, demandAt: now, started: now, slot: int64(now / (limit.Window / windowSlots))}
}

// Resize changes the part. Tokens above the new burst are lost; none are added.
func (b *Bucket) Resize(now time.Duration, limit Limit, fraction float64) {
	b.settle(now)
	b.limit, b.wholeBurst = limit.part(fraction), limit.Burst
	b.level = min(b.level, b.capacity())
}

// leastCapacity lets a small part admit a few operations that come together. The
// count of the window bounds what passes in all.
const leastCapacity = 3

// capacity is the most that the bucket holds. A customer may spend its whole burst
// on one instance, as far as that instance's part of a window allows.
func (b *Bucket) capacity() float64 {
	return max(b.limit.Burst, leastCapacity, min(b.wholeBurst, b.limit.most()))
}

func (b *Bucket) settle(now time.Duration) {
	if now > b.at {
		b.level = min(b.capacity(), b.level+b.refill(now)*(now-b.at).Seconds())
		b.at = now
	}
	current := int64(now / (b.limit.Window / windowSlots))
	for ; b.slot < current; b.slot++ {
		if current-b.slot > int64(len(b.slots)) {
			b.slot = current - int64(len(b.slots))
		}
		b.slots[(b.slot+1)%int64(len(b.slots))] = 0
	}
}

// refill returns the rate at which tokens come.
func (b *Bucket) refill(now time.Duration) float64 {
	if now-b.started < b.limit.Window {
		return b.limit.Rate + earlyShare*b.limit.Burst/b.limit.Window.Seconds()
	}
	return b.limit.refill()
}

// inWindow returns how many operations the last window holds.
func (b *Bucket) inWindow() float64 {
	sum := 0.0
	for _, count := range b.slots {
		sum += count
	}
	return sum
}

// Take admits one operation that can wait for the given time. It returns how
// long the operation has to wait, and false when it is refused.
func (b *Bucket) Take(now, patience time.Duration) (time.Duration, bool) {
	b.settle(now)
	b.count(now)
	return b.admit(now, patience)
}

// Lend admits one operation that another instance runs, at once or not at all. It is
// no demand of this instance's.
func (b *Bucket) Lend(now time.Duration) bool {
	b.settle(now)
	_, ok := b.admit(now, 0)
	return ok
}

// rounding rounds a part of a window to the nearest whole operation: parts of a few
// operations would lose a tenth by rounding down. Sixteen instances exceed a limit by
// eight operations at most, of the 20 that are tolerated.
const rounding = 0.5

func (b *Bucket) admit(now, patience time.Duration) (time.Duration, bool) {
	if b.inWindow()+1 > max(b.limit.most()+rounding, 1) {
		return 0, false
	}
	wait := time.Duration(0)
	if b.level < 1 {
		refill := b.refill(now)
		if refill <= 0 {
			return 0, false
		}
		wait = time.Duration((1 - b.level) / refill * float64(time.Second))
		if wait > patience {
			return wait, false
		}
	}
	b.level--
	b.slots[b.slot%int64(len(b.slots))]++
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
	return b.Demand(now) > share*b.limit.refill()
}
