package dispatch

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Opened reports that the lease's connection is open.
func (d *Dispatcher) Opened(now time.Duration, l *Lease, conn any) {
	t := l.target
	t.opening--
	t.failures = 0
	l.link.conn, l.Conn = conn, conn
	l.link.lastUsed = now
	t.links = append(t.links, l.link)
	l.started = now
}

// OpenFailure says why a connection could not be opened.
type OpenFailure uint8

// Failures of opening a connection.
const (
	// Unreached targets gave no answer.
	Unreached OpenFailure = iota
	// Refused targets answered and refused the connection.
	Refused
	// Full targets have as many connections as they accept.
	Full
)

// OpenFailed reports that the lease's connection could not be opened.
func (d *Dispatcher) OpenFailed(now time.Duration, l *Lease, failure OpenFailure) {
	t := l.target
	t.opening--
	t.running--
	l.running = false
	switch {
	case failure == Unreached:
		t.failed(now)
	case failure == Full && len(t.links)+t.opening > 0:
		t.fullAt, t.fullUntil = len(t.links)+t.opening, now+fullPause
	default:
		t.downUntil = max(t.downUntil, now+firstBackoff)
	}
	d.forget(t)
	d.pump(now)
}

// Begin counts a further statement on a lease that is kept for a transaction.
func (d *Dispatcher) Begin(now time.Duration, l *Lease) {
	if !l.running {
		l.running, l.started = true, now
		l.target.running++
	}
}

// End reports the answer to a statement; the lease is kept.
func (d *Dispatcher) End(now time.Duration, l *Lease) {
	if !l.running {
		return
	}
	l.running = false
	l.target.running--
	l.target.observe(now, now-l.started)
	d.pump(now)
}

// Release gives the connection back for other work.
func (d *Dispatcher) Release(now time.Duration, l *Lease) {
	d.stop(l)
	t := l.target
	l.link.idle, l.link.lastUsed = true, now
	if t.gone || t.Draining || len(t.links)+t.opening > d.connections {
		t.remove(l.link)
		d.evicted = append(d.evicted, l.link.conn)
		d.forget(t)
	}
	d.pump(now)
}

// Drop reports that the lease's connection was closed. Broken tells that the
// target or the path to it failed.
func (d *Dispatcher) Drop(now time.Duration, l *Lease, broken bool) {
	d.stop(l)
	t := l.target
	t.remove(l.link)
	if broken {
		t.failed(now)
	}
	d.forget(t)
	d.pump(now)
}

func (d *Dispatcher) stop(l *Lease) {
	if l.running {
		l.running = false
		l.target.running--
	}
}

// forget removes a target that is gone once nothing refers to it.
func (d *Dispatcher) forget(t *target) {
	if t.gone && len(t.links) == 0 && t.opening == 0 {
		delete(d.targets, t.ID)
	}
}

// Lagging reports that the lease's target lacked the request's floor.
func (d *Dispatcher) Lagging(now time.Duration, l *Lease, r *Request) {
	l.target.refusedForLag(now, r.FloorAt)
}

// Position takes the end of a replica's log as it told in an answer.
func (d *Dispatcher) Position(now time.Duration, l *Lease, point topology.Point) {
	if since, behind := d.Floors.BehindSince(point); behind {
		l.target.observeLag(now, now-since)
		return
	}
	l.target.observeLag(now, 0)
}
