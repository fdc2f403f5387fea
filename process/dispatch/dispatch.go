package dispatch

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/floor"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Figures about the queue.
const (
	// longestQueue bounds the requests that wait for a service in one instance.
	longestQueue = 256
	// failoverPatience is how long work that needs the primary waits while there
	// is none to use.
	failoverPatience = 400 * time.Millisecond
	// estimateMargin is how much longer than estimated an answer is taken to need:
	// work times vary by two thirds of their mean, and a queue of ten evens that
	// out to a fifth.
	estimateMargin = 1.2
)

// Config sets up a Dispatcher.
type Config struct {
	Service       topology.ServiceID
	FailureDomain topology.FailureDomain
}

// Dispatcher decides for one service. It is not safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	targets map[topology.TargetID]*target
	queue   []*Request
	// primary is empty while none may be used.
	primary topology.TargetID
	// connections is how many connections this instance may hold to each target.
	connections int
	// Floors is the evidence of the log's growth.
	Floors  floor.History
	evicted []any
}

// New returns a dispatcher without targets.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, targets: make(map[topology.TargetID]*target), connections: 1}
}

// SetTargets replaces the targets. Connections of those that are gone or drain
// are to be closed by the caller once idle: see TakeEvicted.
func (d *Dispatcher) SetTargets(now time.Duration, targets map[topology.TargetID]directory.Target) {
	for id, info := range targets {
		t, known := d.targets[id]
		if !known {
			t = &target{}
			d.targets[id] = t
		}
		if known && (t.Address != info.Address || t.Born != info.Born) {
			d.dropIdle(t)
			t.failures, t.downUntil, t.latency = 0, 0, 0
		}
		t.Target, t.gone = info, false
		if t.Draining {
			d.dropIdle(t)
		}
	}
	for id, t := range d.targets {
		if _, listed := targets[id]; listed {
			continue
		}
		t.gone = true
		d.dropIdle(t)
		if len(t.links) == 0 && t.opening == 0 {
			delete(d.targets, id)
		}
	}
	d.pump(now)
}

// dropIdle closes the idle connections of a target.
func (d *Dispatcher) dropIdle(t *target) {
	kept := t.links[:0]
	for _, l := range t.links {
		if l.idle {
			d.evicted = append(d.evicted, l.conn)
			continue
		}
		kept = append(kept, l)
	}
	t.links = kept
}

// SetPrimary names the target that may be used as primary, empty for none.
func (d *Dispatcher) SetPrimary(now time.Duration, id topology.TargetID) {
	if d.primary == id {
		return
	}
	d.primary = id
	d.pump(now)
}

// Primary returns the target that may be used as primary, empty for none.
func (d *Dispatcher) Primary() topology.TargetID { return d.primary }

// SetConnections sets how many connections this instance may hold to each target;
// zero closes those that are idle and lets nothing run.
func (d *Dispatcher) SetConnections(now time.Duration, connections int) {
	if connections == d.connections {
		return
	}
	d.connections = connections
	for _, t := range d.targets {
		for len(t.links)+t.opening > d.connections {
			coldest := t.coldest()
			if coldest == nil {
				break
			}
			t.remove(coldest)
			d.evicted = append(d.evicted, coldest.conn)
		}
	}
	d.pump(now)
}

// TakeEvicted returns the connections that the caller closes.
func (d *Dispatcher) TakeEvicted() []any {
	evicted := d.evicted
	d.evicted = nil
	return evicted
}

// Submit asks for a connection.
func (d *Dispatcher) Submit(now time.Duration, r *Request) (*Lease, Verdict) {
	r.arrived = now
	if lease := d.grant(now, r); lease != nil {
		return lease, Granted
	}
	if !d.hopeful(now, r) {
		return nil, NoTarget
	}
	if len(d.queue) >= longestQueue || d.tooLong(now, r) {
		return nil, Overloaded
	}
	if r.NeedsPrimary && d.primary == "" {
		r.Expires = min(r.Expires, now+failoverPatience)
	}
	r.granted = make(chan *Lease, 1)
	r.waiting = true
	d.queue = append(d.queue, r)
	return nil, Queued
}

// Abandon withdraws a waiting request. It returns the lease that the request
// received meanwhile, if any.
func (d *Dispatcher) Abandon(r *Request) *Lease {
	if i := slices.Index(d.queue, r); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
		r.waiting = false
		return nil
	}
	select {
	case lease := <-r.granted:
		return lease
	default:
		return nil
	}
}

// hopeful reports whether some target may serve the request later.
func (d *Dispatcher) hopeful(now time.Duration, r *Request) bool {
	if r.NeedsPrimary && d.primary == "" {
		return len(d.targets) > 0
	}
	for id, t := range d.targets {
		if t.gone || t.Draining && !(d.leaving(t) && r.NeedsPrimary) || r.excludes(id) || r.NeedsPrimary && id != d.primary {
			continue
		}
		if id != d.primary && !t.holds(r.Expires, r.FloorAt) {
			continue
		}
		if t.downUntil > r.Expires {
			continue
		}
		return true
	}
	return false
}

// lanes is how many statements this instance keeps in flight at a target.
func (d *Dispatcher) lanes(t *target) int { return min(max(t.Slots, 1), d.connections) }

// before orders waiting requests: those that can still be in time go first, the
// earliest due first; late ones follow in order of arrival.
func before(now time.Duration, a, b *Request) bool {
	aLate, bLate := now >= a.Late, now >= b.Late
	if aLate != bLate {
		return !aLate
	}
	if aLate {
		return a.arrived < b.arrived
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Late < b.Late
}

// pump grants what has become possible.
func (d *Dispatcher) pump(now time.Duration) {
	if len(d.queue) == 0 {
		return
	}
	slices.SortStableFunc(d.queue, func(a, b *Request) int {
		switch {
		case before(now, a, b):
			return -1
		case before(now, b, a):
			return 1
		default:
			return 0
		}
	})
	kept := d.queue[:0]
	ahead := d.newLine(now)
	for _, r := range d.queue {
		lease := d.grant(now, r)
		switch {
		case lease != nil:
			r.granted <- lease
		case ahead.hopeless(r):
			close(r.granted)
		default:
			kept = append(kept, r)
			ahead.join(r)
			continue
		}
		r.waiting = false
	}
	clear(d.queue[len(kept):])
	d.queue = kept
}

// Pump grants what the passing of time has made possible.
func (d *Dispatcher) Pump(now time.Duration) { d.pump(now) }

// Waiting returns the length of the queue.
func (d *Dispatcher) Waiting() int { return len(d.queue) }
