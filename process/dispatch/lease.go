package dispatch

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Opened records that the holder of a lease has opened the lease's new connection.
func (d *Dispatcher) Opened(now time.Duration, l *Lease, conn any) {
	t := l.target
	t.opening--
	t.failures = 0
	l.pooled.driverConn, l.Conn = conn, conn
	l.pooled.lastUsed = now
	t.pool = append(t.pool, l.pooled)
	l.statementStart = now
}

// OpenFailure is the reason why a connection could not be opened.
type OpenFailure uint8

// Reasons why a connection could not be opened.
const (
	// OpenUnreachable means that the target did not respond.
	OpenUnreachable OpenFailure = iota
	// OpenRefused means that the target responded and refused the connection.
	OpenRefused
	// OpenAtLimit means that the target has as many connections as it accepts.
	OpenAtLimit
)

// OpenFailed records that the lease's new connection could not be opened. The lease
// ends. The target is avoided for a backoff; one that accepts no more connections is
// still used over those that exist.
func (d *Dispatcher) OpenFailed(now time.Duration, l *Lease, failure OpenFailure) {
	t := l.target
	t.opening--
	t.endStatement(l)
	switch {
	case failure == OpenUnreachable:
		t.observeFailure(now)
	case failure == OpenAtLimit && len(t.pool)+t.opening > 0:
		t.observedLimit, t.atLimitUntil = len(t.pool)+t.opening, now+atLimitBackoff
	default:
		t.backoffUntil = max(t.backoffUntil, now+minBackoff)
	}
	d.removeUnused(t)
	d.dispatchQueue(now)
}

// BeginStatement records that a further statement starts on a lease that is kept for a
// transaction.
func (d *Dispatcher) BeginStatement(now time.Duration, l *Lease) {
	if !l.statementRunning {
		l.target.startStatement(now, l)
	}
}

// EndStatement records the response to a statement. The lease is kept.
func (d *Dispatcher) EndStatement(now time.Duration, l *Lease) {
	if !l.statementRunning {
		return
	}
	l.target.endStatement(l)
	l.target.observeLatency(now, now-l.statementStart)
	d.dispatchQueue(now)
}

// Release returns the lease's connection to the pool. It is evicted instead if its
// target is removed or draining or the limit is exceeded.
func (d *Dispatcher) Release(now time.Duration, l *Lease) {
	l.target.endStatement(l)
	t := l.target
	l.pooled.idle, l.pooled.lastUsed = true, now
	if t.removed || t.Draining || len(t.pool)+t.opening > d.connectionLimit {
		t.remove(l.pooled)
		d.evicted = append(d.evicted, l.pooled.driverConn)
		d.removeUnused(t)
	}
	d.dispatchQueue(now)
}

// Drop records that the lease's connection was closed. If it is broken, the target or
// the path to it failed, and the target is avoided for a backoff.
func (d *Dispatcher) Drop(now time.Duration, l *Lease, broken bool) {
	l.target.endStatement(l)
	t := l.target
	t.remove(l.pooled)
	if broken {
		t.observeFailure(now)
	}
	d.removeUnused(t)
	d.dispatchQueue(now)
}

// removeUnused deletes a removed target once it has no connections left.
func (d *Dispatcher) removeUnused(t *target) {
	if t.removed && len(t.pool) == 0 && t.opening == 0 {
		delete(d.targets, t.ID)
	}
}

// ObserveLagRefusal records that the lease's target refused the request because its log
// does not reach the request's floor.
func (d *Dispatcher) ObserveLagRefusal(now time.Duration, l *Lease, r *Request) {
	l.target.observeLagRefusal(now, r.FloorSentAt)
}

// ObservePosition records the end of a replica's log, as a response reported it.
func (d *Dispatcher) ObservePosition(now time.Duration, l *Lease, point topology.Point) {
	if behindSince, behind := d.Floors.BehindSince(point); behind {
		l.target.observeLag(now, now-behindSince)
		return
	}
	l.target.observeLag(now, 0)
}
