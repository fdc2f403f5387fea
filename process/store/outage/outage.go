// Package outage decides which calls to the store are worth making while it does not
// answer. It is a plain structure: time and outcomes go in, decisions come out.
package outage

import "time"

// Figures of an outage.
const (
	// enoughFailures is how many calls in a row must fail before the store counts as
	// away: a single lost answer says little.
	enoughFailures = 2
	// probeInterval is the pause between calls that may find the store back. Each call
	// costs, and rights last for 3.3 s.
	probeInterval = 500 * time.Millisecond
)

// Gate holds back calls while the store is away. The load that it answers: several
// loops of every instance that each try again during an outage. It is not safe for
// concurrent use.
type Gate struct {
	failures int
	probeAt  time.Duration
}

// Away reports that the store counts as away.
func (g *Gate) Away() bool { return g.failures >= enoughFailures }

// Admit reports whether a call is to be made now, or when to ask again. Renewals of
// leases are always made: they cost a tenth and find the store back as well.
func (g *Gate) Admit(now time.Duration, renewal bool) (ok bool, wait time.Duration) {
	if !g.Away() || renewal {
		return true, 0
	}
	if now < g.probeAt {
		return false, g.probeAt - now
	}
	g.probeAt = now + probeInterval
	return true, 0
}

// Answered notes an answer of the store, whatever it said. It reports whether the
// store was away.
func (g *Gate) Answered() (back bool) {
	back = g.Away()
	g.failures = 0
	return back
}

// Failed notes a call without a usable answer. It reports whether the store has just
// come to count as away.
func (g *Gate) Failed(now time.Duration) (lost bool) {
	g.failures++
	if g.failures != enoughFailures {
		return false
	}
	g.probeAt = now + probeInterval
	return true
}
