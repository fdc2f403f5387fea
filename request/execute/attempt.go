package execute

import (
	"context"
	"time"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/route"
)

// attempt is one attempt of a request on one target connection. From start to
// suspend, the connection is interrupted when the request's context is done or
// when the monitor finds the target unusable. From admitCancel on, cancel requests
// are sent for it.
type attempt struct {
	*pipeline
	request *request
	lease   Lease
	target  topology.TargetID
	// term is the group's term when the target was chosen.
	term topology.Term
	// primary is set when the target was chosen as the primary.
	primary bool
	// stopInterrupt ends the interruption by the request's context.
	stopInterrupt func()
	monitor       *targetMonitor
}

// beginAttempt acquires a connection to the chosen target and starts an attempt
// on it. It checks the session's access again, which may have been withdrawn
// during the wait for the connection.
func (r *request) beginAttempt(decision route.Decision) (*attempt, error) {
	target := decision.Target.ID
	lease, err := r.acquireMonitored(decision)
	if err != nil {
		return nil, err
	}
	a := &attempt{
		request: r,
		lease:   lease,
		target:  target,
		term:    decision.Term,
		primary: decision.Reason == route.ReasonPrimary,
	}
	r.executor.inFlight.add(target, 1)
	if err := r.checkGate(); err != nil {
		r.executor.inFlight.add(target, -1)
		lease.Release(true)
		return nil, err
	}
	a.start()
	return a, nil
}

// resumeTransaction starts an attempt on the connection of the pinned
// transaction.
func (r *request) resumeTransaction() *attempt {
	a := &attempt{
		request: r,
		lease:   r.pinned.lease,
		target:  r.pinned.target,
		term:    r.pinned.term,
		primary: !r.pinned.readOnly,
	}
	a.start()
	return a
}

// start begins the use of the leased connection.
func (a *attempt) start() {
	conn := a.lease.Conn()
	a.pipeline = &pipeline{conn: conn, response: &a.request.response}
	a.stopInterrupt = conn.InterruptOnDone(a.request.ctx)
	a.monitor = startMonitor(a.request, a.target, a.term, a.primary, conn.Interrupt)
}

// admitCancel lets cancel requests reach the target. Before that they cancel the
// request's context: a BEGIN that a cancel request hits would leave the statements
// behind it to run on their own.
func (a *attempt) admitCancel() { a.request.setActiveConn(a.conn) }

// detachContext bounds the use of the connection by a timeout, in place of the
// request's context, until the returned function is called. From then on only
// the monitor and Abandon interrupt the connection.
func (a *attempt) detachContext(timeout time.Duration) (stop func()) {
	a.stopInterrupt()
	ctx, cancel := context.WithTimeout(a.request.commitContext, timeout)
	stopInterrupt := a.conn.InterruptOnDone(ctx)
	a.stopInterrupt = func() {}
	return func() {
		stopInterrupt()
		cancel()
	}
}

// suspend ends the use of the connection and keeps its lease.
func (a *attempt) suspend() {
	a.stopInterrupt()
	a.monitor.stop()
	a.request.setActiveConn(nil)
}

// finish ends the use of the connection and releases it. The connection is
// reused if its state allows it.
func (a *attempt) finish() {
	a.suspend()
	a.request.executor.inFlight.add(a.target, -1)
	a.lease.Release(a.conn.Reusable())
}

// queueSettings queues the statements that turn the connection's settings into
// those of the session, and returns their number. A connection whose settings
// may differ from the recorded ones is reset first.
func (a *attempt) queueSettings(settings session.Settings) int {
	desired := settings.Values()
	count := 0
	if a.conn.SettingsUnknown {
		a.queueQuery(queryResetAll)
		a.queueQuery(queryDiscardTemporary)
		count += 2
		a.conn.SettingsUnknown = false
		a.conn.Settings = nil
	}
	for name := range a.conn.Settings {
		if _, ok := desired[name]; !ok {
			a.queueQuery("RESET " + name)
			count++
		}
	}
	for name, value := range desired {
		if a.conn.Settings[name] != value {
			a.queueQuery("SET " + name + " " + value)
			count++
		}
	}
	if count > 0 {
		a.conn.Settings = desired
	}
	return count
}

// awaitSettings receives the results of the statements that queueSettings
// queued. A *settingError is for the caller, who chose the setting; the
// connection is not reused after it.
func (a *attempt) awaitSettings(count int) error {
	for range count {
		result, err := a.awaitResult(tagSet, tagReset, tagDiscard)
		if err != nil {
			return err
		}
		if result.failure != nil {
			a.conn.MarkBroken()
			return &settingError{result.failure}
		}
	}
	return nil
}
