package dispatch

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/floor"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Limits of the queue.
const (
	// maxQueueLength is the maximum number of requests that wait for a service in one
	// instance.
	maxQueueLength = 256
	// maxPrimaryWait is how long a request that needs the primary waits while there is
	// none that may be used, as during a failover.
	maxPrimaryWait = 400 * time.Millisecond
	// estimateFactor multiplies the estimated response time of a queued request.
	// Execution times vary by two thirds of their mean; over a queue of ten requests,
	// the total varies by a fifth.
	estimateFactor = 1.2
)

// Config configures a Dispatcher.
type Config struct {
	Service       topology.ServiceID
	FailureDomain topology.FailureDomain
	// MaxDrainDelay is the time after which a draining target must not receive statements,
	// counted from its report; zero is no limit.
	MaxDrainDelay time.Duration
}

// Dispatcher schedules the requests of one service and tracks the connections to its
// targets. It is not safe for concurrent use.
type Dispatcher struct {
	config  Config
	targets map[topology.TargetID]*target
	queue   []*Request
	// primary is the target that may be used as primary, empty for none.
	primary topology.TargetID
	// connectionLimit is how many connections this instance may hold to each target.
	connectionLimit int
	// Floors is the history of the log's growth, from which a replica's lag is
	// estimated.
	Floors floor.History
	// evicted are connections that were removed from the pools and are still open; see
	// TakeEvicted.
	evicted []any
}

// New returns a dispatcher without targets.
func New(config Config) *Dispatcher {
	return &Dispatcher{config: config, targets: make(map[topology.TargetID]*target), connectionLimit: 1}
}

// SetTargets replaces the targets. Idle connections to removed or draining targets,
// and to targets that were restarted or moved, are evicted; see TakeEvicted.
func (d *Dispatcher) SetTargets(now time.Duration, targets map[topology.TargetID]directory.Target) {
	for id, info := range targets {
		t, known := d.targets[id]
		if !known {
			t = &target{}
			d.targets[id] = t
		}
		if known && (t.Address != info.Address || t.Incarnation != info.Incarnation) {
			d.evictIdle(t)
			t.failures, t.backoffUntil, t.latency = 0, 0, 0
		}
		if !t.Draining {
			t.drainingSince = now
		}
		t.Target, t.removed = info, false
		if t.Draining {
			d.evictIdle(t)
		}
	}
	for id, t := range d.targets {
		if _, listed := targets[id]; listed {
			continue
		}
		t.removed = true
		d.evictIdle(t)
		if len(t.pool) == 0 && t.opening == 0 {
			delete(d.targets, id)
		}
	}
	d.dispatchQueue(now)
}

// evictIdle evicts the idle connections to a target.
func (d *Dispatcher) evictIdle(t *target) {
	kept := t.pool[:0]
	for _, conn := range t.pool {
		if conn.idle {
			d.evicted = append(d.evicted, conn.driverConn)
			continue
		}
		kept = append(kept, conn)
	}
	t.pool = kept
}

// SetPrimary names the target that may be used as primary, empty for none.
func (d *Dispatcher) SetPrimary(now time.Duration, id topology.TargetID) {
	if d.primary == id {
		return
	}
	d.primary = id
	d.dispatchQueue(now)
}

// Primary returns the target that may be used as primary, empty for none.
func (d *Dispatcher) Primary() topology.TargetID { return d.primary }

// SetConnectionLimit sets how many connections this instance may hold to each target.
// Idle connections beyond the limit are evicted, least recently used first. While the
// limit is zero, no request is granted.
func (d *Dispatcher) SetConnectionLimit(now time.Duration, connections int) {
	if connections == d.connectionLimit {
		return
	}
	d.connectionLimit = connections
	for _, t := range d.targets {
		for len(t.pool)+t.opening > d.connectionLimit {
			oldest := t.leastRecentlyUsed()
			if oldest == nil {
				break
			}
			t.remove(oldest)
			d.evicted = append(d.evicted, oldest.driverConn)
		}
	}
	d.dispatchQueue(now)
}

// TakeEvicted returns the evicted connections and forgets them. The caller must close
// them.
func (d *Dispatcher) TakeEvicted() []any {
	evicted := d.evicted
	d.evicted = nil
	return evicted
}

// Submit requests a connection. The lease is nil unless the decision is Granted. Only
// a request with the decision Queued is kept.
func (d *Dispatcher) Submit(now time.Duration, r *Request) (*Lease, Decision) {
	r.arrivedAt = now
	if lease := d.tryGrant(now, r); lease != nil {
		return lease, Granted
	}
	if !d.canServeLater(now, r) {
		return nil, NoTarget
	}
	if len(d.queue) >= maxQueueLength || d.mustShed(now, r) {
		return nil, Overloaded
	}
	if r.NeedsPrimary && d.primary == "" {
		r.ExpiresAt = min(r.ExpiresAt, now+maxPrimaryWait)
	}
	r.granted = make(chan *Lease, 1)
	r.queued = true
	d.queue = append(d.queue, r)
	return nil, Queued
}

// Abandon removes a request from the queue. If the request was granted meanwhile, it
// returns the lease, which the caller must release.
func (d *Dispatcher) Abandon(r *Request) *Lease {
	if i := slices.Index(d.queue, r); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
		r.queued = false
		return nil
	}
	select {
	case lease := <-r.granted:
		return lease
	default:
		return nil
	}
}

// canServeLater reports whether a target may become able to serve the request before
// it expires.
func (d *Dispatcher) canServeLater(now time.Duration, r *Request) bool {
	if r.NeedsPrimary && d.primary == "" {
		return len(d.targets) > 0
	}
	for id, t := range d.targets {
		if t.removed || t.Draining && !(d.isDrainingPrimary(now, t) && r.NeedsPrimary) || r.excludes(id) || r.NeedsPrimary && id != d.primary {
			continue
		}
		if id != d.primary && !t.likelyHolds(r.ExpiresAt, r.FloorSentAt) {
			continue
		}
		if t.backoffUntil > r.ExpiresAt {
			continue
		}
		return true
	}
	return false
}

// maxInFlight returns how many statements this instance may have in flight at a target.
func (d *Dispatcher) maxInFlight(t *target) int { return min(max(t.Slots, 1), d.connectionLimit) }

// runsBefore reports whether queued request a runs before b. Requests that are not late
// run first, by priority and then by due time; late ones follow in order of arrival.
func runsBefore(now time.Duration, a, b *Request) bool {
	aLate, bLate := now >= a.DueAt, now >= b.DueAt
	if aLate != bLate {
		return !aLate
	}
	if aLate {
		return a.arrivedAt < b.arrivedAt
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.DueAt < b.DueAt
}

// dispatchQueue grants the queued requests that can run now, and rejects those that
// would expire before the requests ahead of them are served.
func (d *Dispatcher) dispatchQueue(now time.Duration) {
	if len(d.queue) == 0 {
		return
	}
	slices.SortStableFunc(d.queue, func(a, b *Request) int {
		switch {
		case runsBefore(now, a, b):
			return -1
		case runsBefore(now, b, a):
			return 1
		default:
			return 0
		}
	})
	kept := d.queue[:0]
	estimate := d.newQueueEstimate(now)
	for _, r := range d.queue {
		lease := d.tryGrant(now, r)
		switch {
		case lease != nil:
			r.granted <- lease
		case estimate.expiresFirst(r):
			close(r.granted)
		default:
			kept = append(kept, r)
			estimate.addRequest(r)
			continue
		}
		r.queued = false
	}
	clear(d.queue[len(kept):])
	d.queue = kept
}

// DispatchQueue processes the queue again. It is called periodically, since statements
// become overdue, backoffs expire and replicas catch up without any other event.
func (d *Dispatcher) DispatchQueue(now time.Duration) {
	for _, t := range d.targets {
		t.releaseOverdue(now)
	}
	d.dispatchQueue(now)
}

// QueueLength returns the number of queued requests.
func (d *Dispatcher) QueueLength() int { return len(d.queue) }
