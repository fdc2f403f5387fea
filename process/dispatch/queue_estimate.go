package dispatch

import "time"

// requestClass classifies requests by the targets that can run them now.
type requestClass uint8

const (
	// anyTarget requests can run on a replica as well as on the primary.
	anyTarget requestClass = iota
	// primaryOnly requests can only run on the primary, because they need it or because
	// no usable replica is likely to hold their floor.
	primaryOnly
	classCount
)

// classOf returns the class of a request.
func (d *Dispatcher) classOf(now time.Duration, r *Request) requestClass {
	if r.NeedsPrimary {
		return primaryOnly
	}
	for id, t := range d.targets {
		if id != d.primary && t.usable(now) && !r.excludes(id) && t.likelyHolds(now, r.FloorSentAt) {
			return anyTarget
		}
	}
	return primaryOnly
}

// queueEstimate estimates how long a request waits behind queued requests of its
// class.
type queueEstimate struct {
	dispatcher *Dispatcher
	now        time.Duration
	// queued is the number of requests of each class that were added.
	queued [classCount]int
	// capacity is the number of statements that the targets of each class may have in
	// flight.
	capacity [classCount]int
	// latency is the highest expected latency of the targets of each class.
	latency [classCount]time.Duration
}

// newQueueEstimate returns the estimate of an empty queue over the usable targets.
func (d *Dispatcher) newQueueEstimate(now time.Duration) *queueEstimate {
	e := &queueEstimate{dispatcher: d, now: now}
	for id, t := range d.targets {
		if !t.usable(now) {
			continue
		}
		e.addTarget(anyTarget, t)
		if id == d.primary {
			e.addTarget(primaryOnly, t)
		}
	}
	return e
}

func (e *queueEstimate) addTarget(c requestClass, t *target) {
	e.capacity[c] += e.dispatcher.maxInFlight(t)
	e.latency[c] = max(e.latency[c], t.expectedLatency(e.now))
}

// addRequest appends a request to the estimated queue.
func (e *queueEstimate) addRequest(r *Request) { e.queued[e.dispatcher.classOf(e.now, r)]++ }

// wait estimates how long it takes to serve a number of requests of a class, zero if no
// target can serve them.
func (e *queueEstimate) wait(c requestClass, count int) time.Duration {
	if e.capacity[c] == 0 {
		return 0
	}
	return e.latency[c] * time.Duration(count) / time.Duration(e.capacity[c])
}

// expiresFirst reports whether a request would expire before the added requests of its
// class are served.
func (e *queueEstimate) expiresFirst(r *Request) bool {
	c := e.dispatcher.classOf(e.now, r)
	return e.capacity[c] > 0 && e.now+e.wait(c, e.queued[c]) > r.ExpiresAt
}

// mustShed reports whether a request that cannot run immediately is to be refused (load
// shedding). That is so if its response is estimated to come after it is due, behind
// the queued requests that run before it, or if it would expire behind all queued
// requests of its class. Late responses are worth little to callers, and a longer queue
// would only delay the refusal.
func (d *Dispatcher) mustShed(now time.Duration, r *Request) bool {
	dueFirst, allQueued := d.newQueueEstimate(now), d.newQueueEstimate(now)
	for _, other := range d.queue {
		allQueued.addRequest(other)
		if now < other.DueAt && runsBefore(now, other, r) {
			dueFirst.addRequest(other)
		}
	}
	c := d.classOf(now, r)
	capacity, latency := dueFirst.capacity[c], dueFirst.latency[c]
	if capacity == 0 {
		return false
	}
	respondedAt := now + time.Duration(estimateFactor*float64(dueFirst.wait(c, dueFirst.queued[c])+latency))
	return dueFirst.queued[c] > capacity && respondedAt > r.DueAt || allQueued.expiresFirst(r)
}
