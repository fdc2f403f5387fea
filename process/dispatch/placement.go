package dispatch

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// tryGrant leases a connection to the target with the lowest cost, or returns nil if no
// target can run the request now.
func (d *Dispatcher) tryGrant(now time.Duration, r *Request) *Lease {
	best := d.cheapest(now, r)
	if best.target == nil {
		return nil
	}
	return d.leaseFrom(now, r, best)
}

// CanGrant reports whether Submit would grant the request at once.
func (d *Dispatcher) CanGrant(now time.Duration, r *Request) bool {
	return d.cheapest(now, r).target != nil
}

// cheapest returns the candidate with the lowest cost, one without a target if there is none.
func (d *Dispatcher) cheapest(now time.Duration, r *Request) candidate {
	var best candidate
	for id, t := range d.targets {
		if c, ok := d.evaluate(now, r, id, t); ok && (best.target == nil || c.cost < best.cost || c.cost == best.cost && id < best.target.ID) {
			best = c
		}
	}
	return best
}

// candidate is a target that could run a request now.
type candidate struct {
	target *target
	// pooled is the idle connection to use, nil when a new one is to be opened.
	pooled *pooledConn
	// evict is the idle connection that has to be closed first, or nil.
	evict *pooledConn
	// cost is the expected time to the response, with additions for targets that are
	// better left to other requests.
	cost time.Duration
}

// evaluate reports whether a target could run the request now, and at what cost.
func (d *Dispatcher) evaluate(now time.Duration, r *Request, id topology.TargetID, t *target) (candidate, bool) {
	isPrimary := id == d.primary
	switch {
	case !t.usable(now) && !(d.isDrainingPrimary(now, t) && r.NeedsPrimary && now >= t.backoffUntil):
		return candidate{}, false
	case r.NeedsPrimary && !isPrimary, r.excludes(id):
		return candidate{}, false
	case !isPrimary && !t.likelyHolds(now, r.FloorSentAt):
		return candidate{}, false
	case t.inFlight >= d.maxInFlight(t):
		return candidate{}, false
	}
	c := candidate{target: t, pooled: t.idleConn(r)}
	// Any number of slots may be listed: the product of latency and slots overflows.
	latency := t.expectedLatency(now)
	c.cost = latency + latency*time.Duration(t.inFlight)/time.Duration(max(t.Slots, 1))
	if c.pooled == nil {
		c.cost += handshakeCost
		if len(t.pool)+t.opening >= d.connectionsAllowed(now, t) {
			if c.evict = t.leastRecentlyUsed(); c.evict == nil {
				return candidate{}, false
			}
		}
	}
	if t.FailureDomain != d.config.FailureDomain {
		c.cost += crossDomainCost
	}
	if isPrimary && !r.NeedsPrimary {
		c.cost += primaryReadCost
	}
	return c, true
}

// connectionsAllowed returns how many connections to a target this instance may hold
// now. While the target accepts no more, that is the number that it last accepted.
func (d *Dispatcher) connectionsAllowed(now time.Duration, t *target) int {
	if now < t.atLimitUntil {
		return min(d.connectionLimit, t.observedLimit)
	}
	return d.connectionLimit
}

// drainMargin is the part of MaxDrainDelay for which a draining primary is no longer used: its
// report may reach this instance late, and statements take a while to arrive.
const drainMargin = 0.25

// isDrainingPrimary reports whether the target is a draining primary that may still be used. It
// receives the requests that need the primary, since no other target can run them until its
// successor is promoted. If none is found, that ends before MaxDrainDelay.
func (d *Dispatcher) isDrainingPrimary(now time.Duration, t *target) bool {
	usable := time.Duration(float64(d.config.MaxDrainDelay) * (1 - drainMargin))
	return t.ID == d.primary && t.Draining && !t.removed && (usable == 0 || now-t.drainingSince < usable)
}

// leaseFrom returns a lease of the candidate's idle connection, or of a connection that
// the holder of the lease is to open.
func (d *Dispatcher) leaseFrom(now time.Duration, r *Request, c candidate) *Lease {
	t := c.target
	lease := &Lease{Target: t.ID, Address: t.Address, Primary: t.ID == d.primary, target: t}
	t.startStatement(now, lease)
	if c.pooled != nil {
		c.pooled.idle, c.pooled.session = false, r.Session
		lease.pooled, lease.Conn = c.pooled, c.pooled.driverConn
		lease.Reason = "idle connection"
		return lease
	}
	lease.Reason = "new connection"
	if c.evict != nil {
		t.remove(c.evict)
		lease.Evict = c.evict.driverConn
		lease.Reason = "new connection in place of another customer's"
	}
	t.opening++
	lease.pooled = &pooledConn{customer: r.Customer, session: r.Session}
	return lease
}
