package dispatch

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// grant places a request now, or returns nil.
func (d *Dispatcher) grant(now time.Duration, r *Request) *Lease {
	var best candidate
	for id, t := range d.targets {
		if c, ok := d.consider(now, r, id, t); ok && (best.target == nil || c.cost < best.cost || c.cost == best.cost && id < best.target.ID) {
			best = c
		}
	}
	if best.target == nil {
		return nil
	}
	return d.take(now, r, best)
}

// candidate is a target that could run a request now.
type candidate struct {
	target *target
	link   *link
	evict  *link
	cost   time.Duration
}

// consider judges one target for a request.
func (d *Dispatcher) consider(now time.Duration, r *Request, id topology.TargetID, t *target) (candidate, bool) {
	isPrimary := id == d.primary
	switch {
	case !t.usable(now) && !(d.leaving(t) && r.NeedsPrimary && now >= t.downUntil):
		return candidate{}, false
	case r.NeedsPrimary && !isPrimary, r.excludes(id):
		return candidate{}, false
	case !isPrimary && !t.holds(now, r.FloorAt):
		return candidate{}, false
	case t.running >= d.lanes(t):
		return candidate{}, false
	}
	c := candidate{target: t, link: t.pick(r)}
	c.cost = t.expectedLatency(now) * time.Duration(t.Slots+t.running) / time.Duration(max(t.Slots, 1))
	if c.link == nil {
		c.cost += handshakeCost
		if len(t.links)+t.opening >= d.allowed(now, t) {
			if c.evict = t.coldest(); c.evict == nil {
				return candidate{}, false
			}
		}
	}
	if t.FailureDomain != d.cfg.FailureDomain {
		c.cost += otherDomainCost
	}
	if isPrimary && !r.NeedsPrimary {
		c.cost += primaryCost
	}
	return c, true
}

// allowed is how many connections to a target this instance may hold now: no more than
// it has while the target is full.
func (d *Dispatcher) allowed(now time.Duration, t *target) int {
	if now < t.fullUntil {
		return min(d.connections, t.fullAt)
	}
	return d.connections
}

// leaving reports whether the target is a primary that drains: until its successor
// leads, nobody else can run what needs a primary.
func (d *Dispatcher) leaving(t *target) bool { return t.ID == d.primary && t.Draining && !t.gone }

// take hands the candidate's connection to the request.
func (d *Dispatcher) take(now time.Duration, r *Request, c candidate) *Lease {
	t := c.target
	lease := &Lease{Target: t.ID, Address: t.Address, Primary: t.ID == d.primary, target: t, running: true, started: now}
	t.running++
	if c.link != nil {
		c.link.idle, c.link.session = false, r.Session
		lease.link, lease.Conn = c.link, c.link.conn
		lease.Why = "idle connection"
		return lease
	}
	lease.Why = "new connection"
	if c.evict != nil {
		t.remove(c.evict)
		lease.Evict = c.evict.conn
		lease.Why = "new connection in place of another customer's"
	}
	t.opening++
	lease.link = &link{customer: r.Customer, session: r.Session}
	return lease
}
