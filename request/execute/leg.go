package execute

import (
	"context"
	"time"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/route"
)

// leg is one attempt of a request on one target connection.
type leg struct {
	*flight
	request *request
	lease   Lease
	target  topology.TargetID
	term    topology.Term
	// primary is set when the target was chosen as the primary.
	primary bool
	// release ends the interruption by the request's context.
	release func()
	guard   *guard
}

// embark acquires a connection to the chosen target.
func (r *request) embark(decision route.Decision) (*leg, error) {
	target := decision.Target.ID
	lease, err := r.acquireGuarded(decision)
	if err != nil {
		return nil, err
	}
	l := &leg{
		request: r,
		lease:   lease,
		target:  target,
		term:    decision.Term,
		primary: decision.Reason == route.ReasonPrimary,
	}
	r.executor.loads.add(target, 1)
	if err := r.gate(); err != nil {
		r.executor.loads.add(target, -1)
		lease.Release(true)
		return nil, err
	}
	l.begin()
	return l, nil
}

// resume continues the open transaction on its connection.
func (r *request) resume() *leg {
	l := &leg{
		request: r,
		lease:   r.pin.lease,
		target:  r.pin.target,
		term:    r.pin.term,
		primary: !r.pin.readOnly,
	}
	l.begin()
	return l
}

func (l *leg) begin() {
	conn := l.lease.Conn()
	l.flight = &flight{conn: conn, out: &l.request.out}
	l.request.setRunning(conn)
	l.release = conn.InterruptAfter(l.request.ctx)
	l.guard = newGuard(l.request, l.target, l.term, l.primary, conn.Interrupt)
}

// shield keeps the end of the request's context from interrupting the
// connection, and bounds what follows instead, until the returned function is
// called. From then on nothing interrupts the connection.
func (l *leg) shield(timeout time.Duration) (end func()) {
	l.release()
	ctx, stop := context.WithTimeout(context.WithoutCancel(l.request.ctx), timeout)
	release := l.conn.InterruptAfter(ctx)
	l.release = func() {}
	return func() {
		release()
		stop()
	}
}

// pause ends the use of the connection without giving it back.
func (l *leg) pause() {
	l.release()
	l.guard.stop()
	l.request.setRunning(nil)
}

// end gives the connection back.
func (l *leg) end() {
	l.pause()
	l.request.executor.loads.add(l.target, -1)
	l.lease.Release(l.conn.Reusable())
}

// queueSettings queues the statements that put the session's settings in force
// and returns how many there are. Another session's settings are reset.
func (l *leg) queueSettings(settings session.Settings) int {
	wanted := settings.Values()
	count := 0
	if l.conn.Dirty {
		l.queue(queryResetAll)
		l.queue(queryDiscardTemporary)
		count += 2
		l.conn.Dirty = false
		l.conn.Settings = nil
	}
	for name := range l.conn.Settings {
		if _, ok := wanted[name]; !ok {
			l.queue("RESET " + name)
			count++
		}
	}
	for name, value := range wanted {
		if l.conn.Settings[name] != value {
			l.queue("SET " + name + " " + value)
			count++
		}
	}
	if count > 0 {
		l.conn.Settings = wanted
	}
	return count
}

// awaitSettings takes the answers to queueSettings. A refused setting is the
// caller's error; the connection is then not used again.
func (l *leg) awaitSettings(count int) error {
	for range count {
		a, err := l.await(tagSet, tagReset, tagDiscard)
		if err != nil {
			return err
		}
		if a.failure != nil {
			l.conn.MarkBroken()
			return &settingError{a.failure}
		}
	}
	return nil
}
