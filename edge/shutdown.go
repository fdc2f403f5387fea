package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
)

var (
	eventShutdownStep = event.Define(1314, event.Info, "step of the shutdown completed")
	eventUnfinished   = event.Define(1315, event.Warning, "statement gets a response without its result because the process exits")
)

// waitForSignal shuts the daemon down gracefully on SIGTERM or SIGINT.
func (d *Daemon) waitForSignal(a *acceptor) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-d.ctx.Done():
		return nil
	case received := <-signals:
		eventStopping.Log(d.log, "signal", received.String(), "sessions", d.callers.count())
	}
	d.drain(a)
	return errStopped
}

// reasonShutdown is the detail of responses to statements that a shutdown does not run or
// ends.
const reasonShutdown = "the instance is shutting down"

// drain stops serving within the grace period. It marks the registration as leaving and the
// readiness probe as not ready, so that no more requests are sent here, resigns the
// leadership, dismisses callers as they become idle, and waits for requests
// forwarded from other instances. Statements are refused once they may not be complete in
// time, and those that are still running at the end get a response before the process exits.
func (d *Daemon) drain(a *acceptor) {
	plan := newShutdownPlan(time.Now(), d.settings.TerminationGrace)
	d.shutdown.Store(&plan)
	d.stopping.Store(true)
	close(d.draining)
	for _, conn := range d.callers.snapshot() {
		conn.wake()
	}
	go d.leave()
	time.Sleep(time.Until(plan.idleCloseStart))
	d.logShutdown(plan, "unready")
	conns := d.callers.snapshot()
	for i, conn := range conns {
		conn.closeWhenIdle()
		time.Sleep(time.Until(plan.idleCloseAt(i, len(conns))))
	}
	d.logShutdown(plan, "idle sessions closed")
	d.finishCallers(a, plan.responseEnd)
	d.logShutdown(plan, "waited for sessions")
	d.endCallers(plan.writeEnd)
	d.mesh.Flush(plan.writeEnd)
	d.unregister(plan.unregisterEnd)
}

// leave tells the other instances that this one is shutting down.
func (d *Daemon) leave() {
	d.announceLeaving()
	d.resignLeadership()
}

// admitsStatement reports whether a statement with a timeout may be run: always, unless a
// shutdown is in progress and the statement may not be complete before the process exits.
func (d *Daemon) admitsStatement(timeout time.Duration) bool {
	plan := d.shutdown.Load()
	return plan == nil || time.Now().Before(plan.lastStart(timeout))
}

// transactionEnd returns when the open transaction of a session expires because its key was
// withdrawn, which is in the past, or its statements are no longer admitted by a shutdown. It
// is zero without either, or without a transaction.
func (d *Daemon) transactionEnd(session callerSession) time.Time {
	if session.KeyWithdrawn() {
		return time.Unix(0, 0)
	}
	if session.State() != statement.Open {
		return time.Time{}
	}
	return d.admissionEnd(session)
}

// admissionEnd returns when a shutdown ceases to admit statements of a session, zero without one.
func (d *Daemon) admissionEnd(session callerSession) time.Time {
	plan := d.shutdown.Load()
	if plan == nil {
		return time.Time{}
	}
	return plan.lastStart(session.StatementTimeout())
}

// logShutdown logs what a step of the shutdown leaves open.
func (d *Daemon) logShutdown(plan shutdownPlan, step string) {
	conns, runningCount := d.callers.snapshot(), 0
	for _, conn := range conns {
		if conn.isRunning() {
			runningCount++
		}
	}
	eventShutdownStep.Log(d.log, "step", step, "elapsed_ms", time.Since(plan.startedAt).Milliseconds(),
		"sessions", len(conns), "running", runningCount, "remote_operations", d.relay.HasRemoteOperations())
}

// finishCallers accepts no more connections and waits, until the deadline, until the
// sessions of callers and the operations of other instances have ended. The load balancer
// may send callers here even while this instance is not ready, when too few others are.
func (d *Daemon) finishCallers(a *acceptor, deadline time.Time) {
	a.stop()
	for (d.callers.count() > 0 || d.relay.HasRemoteOperations()) && time.Now().Before(deadline) {
		for _, conn := range d.callers.snapshot() {
			conn.closeWhenIdle()
		}
		time.Sleep(drainPollInterval)
	}
}

// endCallers ends the remaining connections: it responds to the statements that are still
// running and waits, until the deadline, until all responses are written. A caller that does
// not read keeps no other one from its response. The relay logs which of the statements other
// instances run.
func (d *Daemon) endCallers(deadline time.Time) {
	for _, conn := range d.callers.snapshot() {
		running := conn.end()
		if running == nil {
			continue
		}
		eventUnfinished.Log(d.log, "request", running.id, "kind", running.kind.String(),
			"age_ms", time.Since(running.since).Milliseconds(), "code", running.unfinished.Code.String())
		go func() {
			conn.finish(running)
			d.callers.remove(conn)
		}()
	}
	d.relay.LogPending()
	for d.callers.count() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// resignLeadership gives up the leadership if this instance holds it, so that another
// instance can acquire it immediately. The token is given up first: a promotion with it must not
// follow one of the next leader. While one is being requested, the lease has to expire instead.
func (d *Daemon) resignLeadership() {
	d.setLeadership(false, 0)
	if d.leadership.isOrdering() {
		return
	}
	d.mu.Lock()
	entry := d.mirror.Get(keyLeadership)
	d.mu.Unlock()
	if string(entry.Value) == d.leadershipValue() {
		d.endLeadership(d.ctx, entry)
	}
}

// unregister removes the registration, so that other instances need not wait until it
// expires.
func (d *Daemon) unregister(deadline time.Time) {
	d.mu.Lock()
	lease := d.lease.id
	d.unregistered = true
	d.mu.Unlock()
	d.authority.ObserveExpiry()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithDeadline(store.WithPurpose(d.ctx, purposeRegister), deadline)
	defer cancel()
	if err := d.store.Revoke(ctx, lease); err != nil {
		d.storeFailed("unregister", err)
	}
}
