package share

import (
	"math"
	"time"
)

// demandTimeConstant is the time in which an operation's weight in the measured
// demand decays to 1/e.
const demandTimeConstant = 2 * time.Second

// windowIntervals is the number of intervals that a window is divided into for
// counting. An interval counts until all of it has left the window, so no window
// of any position holds more than the limit.
const windowIntervals = 20

// Limit is a rate limit: at most Rate times Window plus Burst operations in any
// time of length Window.
type Limit struct {
	// Rate is in operations per second, Burst in operations.
	Rate, Burst float64
	Window      time.Duration
}

// scaled returns a fraction of the limit.
func (l Limit) scaled(fraction float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: l.Burst * fraction, Window: l.Window}
}

// steadyRate is the constant rate, in operations per second, that just fits into
// every window.
func (l Limit) steadyRate() float64 { return l.Rate + l.Burst/l.Window.Seconds() }

// maxPerWindow is the number of operations that a window may hold.
func (l Limit) maxPerWindow() float64 { return l.Rate*l.Window.Seconds() + l.Burst }

// Bucket admits a customer's operations on one instance. It combines a token
// bucket, which smooths bursts, with a sliding-window count, which enforces the
// limit. It is not safe for concurrent use.
type Bucket struct {
	// limit is this instance's share of the customer's limit, the fraction of whole.
	limit, whole Limit
	fraction     float64
	// deduction is the part of the limit that other instances have admitted in excess of
	// their shares.
	deduction float64

	// level is the number of tokens at refilledAt.
	level      float64
	refilledAt time.Duration
	// demand is the measured demand at demandUpdatedAt, in operations per
	// second.
	demand          float64
	demandUpdatedAt time.Duration
	// intervalCounts is a ring of the operations admitted in each interval.
	// Intervals are numbered from time zero.
	intervalCounts  [windowIntervals + 1]float64
	currentInterval int64
	// shareSeconds is a ring, by the same intervals, of the fraction integrated over the
	// time of the interval that has passed.
	shareSeconds [windowIntervals + 1]float64
	// createdAt is when the bucket was created. An earlier process of the
	// instance may have admitted operations before, which this one does not know
	// of, so the bucket admits less during the first window.
	createdAt time.Duration
}

// Limits of a new bucket. Together with a full window admitted by an earlier
// process, they keep the admitted operations within a tenth above the limit.
const (
	// initialLevelFraction is the fraction of the burst that the new buckets of all
	// instances hold together, and minInitialTokens the least number of tokens, as far as
	// the burst allows: a small customer's burst is within the tolerated excess of 20
	// operations, together with the rounding of windows.
	initialLevelFraction = 0.25
	minInitialTokens     = 8
	// maxRoundedShares is the number of equal shares up to which each share's level begins
	// with a random part of a token. Together they exceed the limit by half as many
	// operations.
	maxRoundedShares = 16
	// firstWindowBurstFraction is the fraction of the burst that adds to the
	// refill rate during the first window.
	firstWindowBurstFraction = 0.5
)

// NewBucket returns a bucket for this instance's fraction of a customer's limit. Draw is a
// random number in [0, 1), the part of a token that the bucket begins with. When a whole
// fleet restarts, the shares of a small customer hold less than a token each. Without the
// draw, they would all reach their first whole token at the same time, seconds later, and
// until then admit nothing.
func NewBucket(now time.Duration, limit Limit, fraction, draw float64) *Bucket {
	return &Bucket{
		limit:           limit.scaled(fraction),
		whole:           limit,
		fraction:        fraction,
		level:           initialTokens(limit)*fraction + draw*min(1, maxRoundedShares*fraction),
		refilledAt:      now,
		demandUpdatedAt: now,
		createdAt:       now,
		currentInterval: int64(now / (limit.Window / windowIntervals)),
	}
}

// initialTokens is the number of tokens of the new buckets of all instances together.
func initialTokens(limit Limit) float64 {
	return max(initialLevelFraction*limit.Burst, min(limit.Burst, minInitialTokens))
}

// Resize changes the limit and this instance's fraction. Tokens above the new
// capacity are lost; none are added.
func (b *Bucket) Resize(now time.Duration, limit Limit, fraction float64) {
	b.advance(now)
	b.limit, b.whole, b.fraction = limit.scaled(fraction), limit, fraction
	b.level = min(b.level, b.capacity())
}

// minCapacity is the minimum capacity in tokens. It lets a small share admit a
// few operations at the same time; the window count still bounds their number.
const minCapacity = 3

// capacity is the maximum number of tokens. A customer may spend its whole burst
// on one instance, as far as this instance's share of a window allows.
func (b *Bucket) capacity() float64 {
	return max(b.limit.Burst, minCapacity, min(b.whole.Burst, b.limit.maxPerWindow()))
}

// advance refills the bucket up to now and clears the counts of intervals that
// have left the window.
func (b *Bucket) advance(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.level = min(b.capacity(), b.level+b.refillRate(now)*(now-b.refilledAt).Seconds())
	interval := b.limit.Window / windowIntervals
	current := int64(now / interval)
	if oldest := current - windowIntervals - 1; b.currentInterval < oldest {
		b.currentInterval = oldest
	}
	for ; b.currentInterval < current; b.currentInterval++ {
		b.accrueShare(time.Duration(b.currentInterval+1) * interval)
		next := b.slot(b.currentInterval + 1)
		b.intervalCounts[next], b.shareSeconds[next] = 0, 0
	}
	b.accrueShare(now)
	b.refilledAt = now
}

// accrueShare adds the present fraction to the current interval, from the end of what was
// added before to a time.
func (b *Bucket) accrueShare(until time.Duration) {
	from := max(b.refilledAt, time.Duration(b.currentInterval)*(b.limit.Window/windowIntervals))
	b.shareSeconds[b.slot(b.currentInterval)] += b.fraction * max(0, until-from).Seconds()
}

// slot returns the index of an interval in the rings.
func (b *Bucket) slot(interval int64) int64 { return interval % int64(len(b.intervalCounts)) }

// Deduct sets the part of the limit that other instances have admitted in excess of their
// shares, as far as it reduces this instance's share.
func (b *Bucket) Deduct(deduction float64) { b.deduction = deduction }

// Excess returns the number of operations in the window above this instance's share of it: it
// has admitted them under a larger share, or a smaller deduction.
func (b *Bucket) Excess(now time.Duration) float64 {
	b.advance(now)
	return max(0, b.countInWindow()-b.windowShare(now))
}

// windowShare is this instance's share of the window: the whole limit times the average of
// the fraction over the counted time, so that a share that moves to another instance does so
// in the time in which the operations admitted under it leave the window. The time before
// the bucket was created counts with the present fraction.
func (b *Bucket) windowShare(now time.Duration) float64 {
	interval := b.limit.Window / windowIntervals
	counted := now - time.Duration(b.currentInterval-windowIntervals)*interval
	known := min(counted, now-b.createdAt)
	sum := b.fraction * (counted - known).Seconds()
	for _, seconds := range b.shareSeconds {
		sum += seconds
	}
	return b.whole.maxPerWindow() * sum / counted.Seconds()
}

// refillRate is the rate at which tokens are added, in tokens per second.
func (b *Bucket) refillRate(now time.Duration) float64 {
	if now-b.createdAt < b.limit.Window {
		return b.limit.Rate + firstWindowBurstFraction*b.limit.Burst/b.limit.Window.Seconds()
	}
	return b.limit.steadyRate()
}

// countInWindow returns the number of operations admitted in the last window.
func (b *Bucket) countInWindow() float64 {
	sum := 0.0
	for _, count := range b.intervalCounts {
		sum += count
	}
	return sum
}

// Admit admits an operation that can wait for up to maxWait. It returns how long
// the operation has to wait, and false when it is refused. Refused operations
// count as demand, too.
func (b *Bucket) Admit(now, maxWait time.Duration) (time.Duration, bool) {
	b.advance(now)
	b.recordDemand(now)
	return b.takeToken(now, maxWait)
}

// Lend admits an operation that another instance runs, either immediately or not
// at all. The operation does not count as demand of this instance.
func (b *Bucket) Lend(now time.Duration) bool {
	b.advance(now)
	_, ok := b.takeToken(now, 0)
	return ok
}

// windowRounding rounds an instance's share of a window to the nearest whole
// number of operations. Rounding down would reduce shares of a few operations by
// a tenth. Sixteen instances together exceed a limit by eight operations at
// most; an excess of 20 is tolerated.
const windowRounding = 0.5

// takeToken admits an operation when the window count allows it and a token is
// available within maxWait.
func (b *Bucket) takeToken(now, maxWait time.Duration) (time.Duration, bool) {
	if b.countInWindow()+1 > max(b.windowShare(now)-b.deduction+windowRounding, 1) {
		return 0, false
	}
	wait := time.Duration(0)
	if b.level < 1 {
		refill := b.refillRate(now)
		if refill <= 0 {
			return 0, false
		}
		wait = time.Duration((1 - b.level) / refill * float64(time.Second))
		if wait > maxWait {
			return wait, false
		}
	}
	b.level--
	b.intervalCounts[b.slot(b.currentInterval)]++
	return wait, true
}

// recordDemand adds one operation to the measured demand.
func (b *Bucket) recordDemand(now time.Duration) {
	b.demand = b.Demand(now) + 1/demandTimeConstant.Seconds()
	b.demandUpdatedAt = now
}

// Demand returns the measured demand in operations per second, including refused
// operations.
func (b *Bucket) Demand(now time.Duration) float64 {
	return b.demand * math.Exp(-(now-b.demandUpdatedAt).Seconds()/demandTimeConstant.Seconds())
}

// DemandExceeds reports whether the demand exceeds the given fraction of the
// steady rate.
func (b *Bucket) DemandExceeds(now time.Duration, fraction float64) bool {
	return b.Demand(now) > fraction*b.limit.steadyRate()
}
