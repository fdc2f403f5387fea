// Package retry decides whether, and after which delay, a failed request is
// tried again. It starts nothing and reads no clock. What a failure means, and
// whether a request is idempotent, is for the caller to say.
package retry

import "sync/atomic"

// tokenScale is the number of units that one retry costs.
const tokenScale = 1000

// Budget bounds retries to a fraction of the requests, so that retries cannot
// multiply the load on a service that fails. It is a token bucket that requests
// fill. It is safe for concurrent use.
type Budget struct {
	perRequest int64
	limit      int64
	units      atomic.Int64
}

// NewBudget returns a full budget. Each request adds fraction of a retry, up to
// burst retries.
func NewBudget(fraction float64, burst int) *Budget {
	b := &Budget{
		perRequest: int64(fraction * tokenScale),
		limit:      int64(burst) * tokenScale,
	}
	b.units.Store(b.limit)
	return b
}

// Request counts a request, not a retry.
func (b *Budget) Request() {
	for {
		units := b.units.Load()
		filled := min(b.limit, units+b.perRequest)
		if filled == units || b.units.CompareAndSwap(units, filled) {
			return
		}
	}
}

// Take spends a retry and reports whether there was one.
func (b *Budget) Take() bool {
	for {
		units := b.units.Load()
		if units < tokenScale {
			return false
		}
		if b.units.CompareAndSwap(units, units-tokenScale) {
			return true
		}
	}
}
