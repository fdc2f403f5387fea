// Package outage implements a circuit breaker for calls to the store: while the
// store does not respond, it admits only lease renewals and occasional probes. It
// performs no I/O and reads no clock; the caller passes in times and outcomes.
package outage

import "time"

// failureThreshold is the number of consecutive failed calls after which the store
// counts as unavailable. One failure may be a single lost response.
const failureThreshold = 2

// Breaker suppresses calls while the store is unavailable. Without it, several loops
// of every instance would each retry throughout an outage. It is not safe for
// concurrent use.
type Breaker struct {
	// failures counts the consecutive failed calls.
	failures int
	// probeAt is when the next probe is admitted while the store is unavailable.
	probeAt time.Duration
}

// Unavailable reports whether the store counts as unavailable.
func (b *Breaker) Unavailable() bool { return b.failures >= failureThreshold }

// Allow reports whether a call may be made now; if not, wait is the time until the
// next probe. While the store is unavailable, a probe is admitted in each
// probeInterval. Lease renewals are always admitted: they cost a tenth of another call
// and also detect that the store is available again.
func (b *Breaker) Allow(now, probeInterval time.Duration, renewal bool) (ok bool, wait time.Duration) {
	if !b.Unavailable() || renewal {
		return true, 0
	}
	if now < b.probeAt {
		return false, b.probeAt - now
	}
	b.probeAt = now + probeInterval
	return true, 0
}

// RecordResponse records that the store responded, be it with an error. It reports
// whether the store counted as unavailable before.
func (b *Breaker) RecordResponse() (recovered bool) {
	recovered = b.Unavailable()
	b.failures = 0
	return recovered
}

// RecordFailure records a call without a usable response. It reports whether this
// failure made the store count as unavailable.
func (b *Breaker) RecordFailure(now, probeInterval time.Duration) (becameUnavailable bool) {
	b.failures++
	if b.failures != failureThreshold {
		return false
	}
	b.probeAt = now + probeInterval
	return true
}
