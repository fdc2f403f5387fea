package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/store"
)

var (
	eventShutdownStep = event.Define(1314, event.Info, "step of the shutdown completed")
	eventUnanswered   = event.Define(1315, event.Warning, "statement gets no response because the process exits")
)

// Parts of the grace period of a shutdown.
const (
	// readinessDelay is how long callers may still connect after the instance has become
	// unready: until the load balancer has probed it twice, a second apart, and a margin.
	readinessDelay = 2300 * time.Millisecond
	// closeSpread is the time over which the closing of idle connections is spread, so
	// that their callers do not all reconnect to other instances at the same time.
	closeSpread = 1200 * time.Millisecond
	// exitMargin is reserved at the end of the grace period for the process to exit.
	exitMargin = 500 * time.Millisecond
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

// drain stops serving within the grace period: it marks the registration as leaving and
// the readiness probe as not ready, so that no more requests are sent here, resigns the
// leadership, closes callers' connections as they become idle, waits for requests
// forwarded from other instances, and unregisters.
func (d *Daemon) drain(a *acceptor) {
	started := time.Now()
	deadline := started.Add(d.settings.TerminationGrace - exitMargin)
	d.stopping.Store(true)
	d.announceLeaving()
	d.resignLeadership()
	sleep(d.ctx, readinessDelay)
	d.logShutdown(started, "unready")
	conns := d.callers.snapshot()
	for i, conn := range conns {
		conn.closeWhenIdle()
		if wait := time.Until(started.Add(readinessDelay + closeSpread*time.Duration(i)/time.Duration(len(conns)))); wait > 0 {
			sleep(d.ctx, wait)
		}
	}
	d.logShutdown(started, "idle sessions closed")
	d.finishCallers(a, deadline)
	d.logShutdown(started, "waited for sessions")
	d.logUnanswered()
	d.unregister()
}

// logShutdown logs what a step of the shutdown leaves open.
func (d *Daemon) logShutdown(started time.Time, step string) {
	conns, running := d.callers.snapshot(), 0
	for _, conn := range conns {
		if _, _, _, isRunning := conn.runningStatement(); isRunning {
			running++
		}
	}
	eventShutdownStep.Log(d.log, "step", step, "elapsed_ms", time.Since(started).Milliseconds(),
		"sessions", len(conns), "running", running, "remote_operations", d.relay.HasRemoteOperations())
}

// logUnanswered logs the statements whose callers get no response because the process
// exits. The relay logs which of them other instances run.
func (d *Daemon) logUnanswered() {
	for _, conn := range d.callers.snapshot() {
		if id, kind, age, running := conn.runningStatement(); running {
			eventUnanswered.Log(d.log, "request", id, "kind", kind.String(), "age_ms", age.Milliseconds())
		}
	}
	d.relay.LogPending()
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
		sleep(d.ctx, 20*time.Millisecond)
	}
}

// resignLeadership gives up the leadership if this instance holds it, so that another
// instance can acquire it immediately.
func (d *Daemon) resignLeadership() {
	d.mu.Lock()
	entry := d.mirror.Get(keyLeadership)
	d.mu.Unlock()
	if string(entry.Value) == d.leadershipValue() {
		d.endLeadership(d.ctx, entry)
	}
}

// unregister removes the registration, so that other instances need not wait until it
// expires.
func (d *Daemon) unregister() {
	d.mu.Lock()
	lease := d.lease.id
	d.mu.Unlock()
	d.authority.ObserveExpiry()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(store.WithPurpose(d.ctx, purposeRegister), exitMargin/2)
	defer cancel()
	if err := d.store.Revoke(ctx, lease); err != nil {
		d.storeFailed("unregister", err)
	}
}
