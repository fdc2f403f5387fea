// Package retry decides whether and after which delay a failed request is retried. It
// starts no goroutines and reads no clock. The caller classifies the failures and knows
// whether a request is idempotent.
package retry

import "sync/atomic"

// unitsPerRetry is the cost of a retry. A budget counts in units, so that a request can
// add a fraction of a retry.
const unitsPerRetry = 1000

// Budget bounds retries to a fraction of the requests, so that retries cannot multiply
// the load on a failing service. It is a token bucket that requests fill and retries
// drain. It is safe for concurrent use.
type Budget struct {
	unitsPerRequest int64
	maxUnits        int64
	units           atomic.Int64
}

// NewBudget returns a full budget, of burst retries. Each request adds the given
// fraction of a retry.
func NewBudget(fraction float64, burst int) *Budget {
	b := &Budget{
		unitsPerRequest: int64(fraction * unitsPerRetry),
		maxUnits:        int64(burst) * unitsPerRetry,
	}
	b.units.Store(b.maxUnits)
	return b
}

// Deposit adds a request's fraction of a retry to the budget. It is called once for each
// request and not for its retries.
func (b *Budget) Deposit() {
	for {
		units := b.units.Load()
		refilled := min(b.maxUnits, units+b.unitsPerRequest)
		if refilled == units || b.units.CompareAndSwap(units, refilled) {
			return
		}
	}
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	for {
		units := b.units.Load()
		if units < unitsPerRetry {
			return false
		}
		if b.units.CompareAndSwap(units, units-unitsPerRetry) {
			return true
		}
	}
}
