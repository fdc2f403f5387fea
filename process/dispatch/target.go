package dispatch

import (
	"math"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
)

// Costs, backoffs and estimates of targets.
const (
	// initialLatency is the latency assumed of a target before its first response.
	initialLatency = 20 * time.Millisecond
	// latencyDecay is the time in which the expected latency of an unused target falls
	// back to initialLatency, so that a target that was slow is used again.
	latencyDecay = 2 * time.Second
	// handshakeCost is the expected cost of opening a connection: 12 ms of a slot and a
	// round trip.
	handshakeCost = 15 * time.Millisecond
	// crossDomainCost is the additional cost of a target in another failure domain.
	crossDomainCost = 3 * time.Millisecond
	// primaryReadCost is the additional cost of a read on the primary. It directs reads
	// that replicas can serve away from the primary, which has to serve all others.
	primaryReadCost = 25 * time.Millisecond
	// minBackoff and maxBackoff bound how long a target is avoided after a connection
	// failed.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// atLimitBackoff is how long no further connection is opened to a target that
	// accepts no more. Other instances close theirs when the connections are next
	// divided; those of crashed instances are closed after 3 s.
	atLimitBackoff = 400 * time.Millisecond
	// lagBackoff is how long a replica that refused a request for lag is not used for
	// requests with an equally recent floor.
	lagBackoff = 200 * time.Millisecond
	// lagMargin is added to a replica's estimated lag.
	lagMargin = 10 * time.Millisecond
	// lagDecay is the time constant with which the estimated lag of an unused replica
	// decays. Only a replica in use can report that it has caught up.
	lagDecay = 500 * time.Millisecond
	// maxLag bounds the estimated lag, so that it soon decays to a value at which reads
	// use the replica again.
	maxLag = 5 * time.Second
)

// target is the dispatcher's state of one target.
type target struct {
	directory.Target
	// pool holds the open connections, both idle and leased.
	pool []*pooledConn
	// opening is the number of connections that are being opened.
	opening int
	// running holds the leases whose statements are running. inFlight is the number of
	// them that count against the target's slots, overdue that of the others.
	running           []*Lease
	inFlight, overdue int
	// latency is the moving average of the response times, zero before the first
	// response; it was last updated at latencyAt.
	latency   time.Duration
	latencyAt time.Duration
	// lag is the replica's lag at lagAt, as estimated from its responses.
	lag, lagAt time.Duration
	// Until laggingUntil, requests whose floor is at most laggingFloorAge old do not
	// use the replica, because it refused one.
	laggingUntil, laggingFloorAge time.Duration
	// failures is the number of consecutive failures of connections.
	failures int
	// backoffUntil is when the target may be used again after a failure.
	backoffUntil time.Duration
	// Until atLimitUntil, this instance opens no connections beyond observedLimit,
	// because the target accepted no more.
	atLimitUntil  time.Duration
	observedLimit int
	// drainingSince is when a draining target was first listed as such.
	drainingSince time.Duration
	// removed is set when the target is no longer listed: it receives no new requests
	// and its connections are closed when they become idle.
	removed bool
}

// expectedLatency returns the average latency, which decays linearly toward
// initialLatency while there are no responses.
func (t *target) expectedLatency(now time.Duration) time.Duration {
	if t.latency == 0 {
		return initialLatency
	}
	age := now - t.latencyAt
	if age >= latencyDecay || t.latency <= initialLatency {
		if t.latency <= initialLatency {
			return t.latency
		}
		return initialLatency
	}
	return initialLatency + time.Duration(float64(t.latency-initialLatency)*(1-float64(age)/float64(latencyDecay)))
}

// observeLatency records the response time of a statement.
func (t *target) observeLatency(now, latency time.Duration) {
	if t.latency == 0 {
		t.latency = latency
	} else {
		t.latency += (latency - t.latency) / 8
	}
	t.latencyAt = now
}

// likelyHolds estimates whether a replica's log reaches a floor that the primary
// reported in response to a request sent at floorSentAt.
func (t *target) likelyHolds(now, floorSentAt time.Duration) bool {
	age := now - floorSentAt
	if now < t.laggingUntil && age <= t.laggingFloorAge {
		return false
	}
	return age >= t.expectedLag(now)+lagMargin
}

// expectedLag returns the estimated lag. It decays with the time since the last
// response, less lagBackoff, within which a replica in use responds.
func (t *target) expectedLag(now time.Duration) time.Duration {
	sinceReport := now - t.lagAt - lagBackoff
	if sinceReport <= 0 {
		return t.lag
	}
	return time.Duration(float64(t.lag) * math.Exp(-float64(sinceReport)/float64(lagDecay)))
}

// observeLagRefusal records that the target's log did not reach a floor that the
// primary reported in response to a request sent at floorSentAt.
func (t *target) observeLagRefusal(now, floorSentAt time.Duration) {
	t.laggingFloorAge = now - floorSentAt
	t.laggingUntil = now + lagBackoff
	t.lag, t.lagAt = min(max(t.lag, t.laggingFloorAge), maxLag), now
}

// observeLag updates the moving average of the lag.
func (t *target) observeLag(now, lag time.Duration) {
	t.lag += (min(lag, maxLag) - t.lag) / 4
	t.lagAt = now
}

// observeFailure records that a connection could not be opened or broke, and starts a
// backoff that doubles with every consecutive failure.
func (t *target) observeFailure(now time.Duration) {
	backoff := min(minBackoff<<min(t.failures, 8), maxBackoff)
	t.failures++
	t.backoffUntil = now + backoff
}

// usable reports whether the target may receive requests of any kind.
func (t *target) usable(now time.Duration) bool {
	return !t.removed && !t.Draining && now >= t.backoffUntil
}

// idleConn returns an idle connection of the request's customer: that of its session,
// else the most recently used one, nil if there is none.
func (t *target) idleConn(r *Request) *pooledConn {
	var mostRecent *pooledConn
	for _, conn := range t.pool {
		if !conn.idle || conn.customer != r.Customer {
			continue
		}
		if conn.session == r.Session {
			return conn
		}
		if mostRecent == nil || conn.lastUsed > mostRecent.lastUsed {
			mostRecent = conn
		}
	}
	return mostRecent
}

// leastRecentlyUsed returns the least recently used idle connection, nil if there is
// none.
func (t *target) leastRecentlyUsed() *pooledConn {
	var oldest *pooledConn
	for _, conn := range t.pool {
		if conn.idle && (oldest == nil || conn.lastUsed < oldest.lastUsed) {
			oldest = conn
		}
	}
	return oldest
}

// remove removes a connection from the pool.
func (t *target) remove(conn *pooledConn) {
	for i, pooled := range t.pool {
		if pooled == conn {
			t.pool = append(t.pool[:i], t.pool[i+1:]...)
			return
		}
	}
}
