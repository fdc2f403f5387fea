package dispatch

import (
	"slices"
	"time"
)

// Load pattern: a target runs statements but some of its responses are lost. Each of them
// would occupy one of the few statements that an instance may have in flight at the target
// until the statement times out, and callers would be refused while the target idles.

const (
	// minOverdueAge and overdueFactor, a multiple of the target's expected latency, set the
	// age from which a statement counts as overdue. Execution times reach eight times
	// their mean; a statement that is only slow costs one queued statement at the target.
	minOverdueAge = 100 * time.Millisecond
	overdueFactor = 6
	// maxOverduePerSlot bounds the overdue statements of a target that responds to later
	// ones. A target that has not responded since is replaced in the count of statements
	// in flight only once for each slot, since it may be unreachable.
	maxOverduePerSlot = 4
)

// overdueAge returns the age from which a statement at the target is overdue.
func (t *target) overdueAge(now time.Duration) time.Duration {
	return max(minOverdueAge, overdueFactor*t.expectedLatency(now))
}

// startStatement counts a statement as in flight.
func (t *target) startStatement(now time.Duration, l *Lease) {
	l.statementRunning, l.overdue, l.statementStart = true, false, now
	t.inFlight++
	t.running = append(t.running, l)
}

// endStatement stops counting the lease's statement. It does nothing if there is none.
func (t *target) endStatement(l *Lease) {
	if !l.statementRunning {
		return
	}
	l.statementRunning = false
	if l.overdue {
		t.overdue--
	} else {
		t.inFlight--
	}
	t.running = slices.DeleteFunc(t.running, func(other *Lease) bool { return other == l })
}

// releaseOverdue stops counting overdue statements as in flight.
func (t *target) releaseOverdue(now time.Duration) {
	for _, l := range t.running {
		if l.overdue || l.Conn == nil || now-l.statementStart < t.overdueAge(now) {
			continue
		}
		overdue := t.overdue
		if t.latencyAt > l.statementStart {
			overdue /= maxOverduePerSlot
		}
		if overdue >= max(t.Slots, 1) {
			continue
		}
		l.overdue = true
		t.overdue++
		t.inFlight--
	}
}

// AbandonStatement records that nobody waits for the response to the lease's statement any
// longer. The lease is kept, because the response may still arrive on its connection.
func (d *Dispatcher) AbandonStatement(now time.Duration, l *Lease) {
	l.target.endStatement(l)
	d.dispatchQueue(now)
}
