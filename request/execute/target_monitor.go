package execute

import (
	"context"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/route"
)

// monitorInterval is the interval between two checks of a request's target.
const monitorInterval = 50 * time.Millisecond

// targetMonitor interrupts a request whose target was replaced as primary or
// stopped responding. It checks the group's view periodically, since a
// connection to such a target may block without an error.
type targetMonitor struct {
	request *request
	target  topology.TargetID
	// term is the group's term when the target was chosen.
	term topology.Term
	// primary is set when the target was chosen as the primary.
	primary bool
	// interrupt is called at most once, with mu held.
	interrupt func()

	// mu guards the timer. Once stop has returned, interrupt is not called.
	mu struct {
		sync.Mutex
		timer   *time.Timer
		stopped bool
	}
}

// startMonitor starts to monitor a target on behalf of a request. The caller
// must call stop.
func startMonitor(r *request, target topology.TargetID, term topology.Term, primary bool, interrupt func()) *targetMonitor {
	m := &targetMonitor{request: r, target: target, term: term, primary: primary, interrupt: interrupt}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.timer = time.AfterFunc(monitorInterval, m.check)
	return m
}

// check interrupts the request when its target is unusable, and else schedules
// the next check.
func (m *targetMonitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mu.stopped {
		return
	}
	if m.isUnusable(m.request.watcher.View()) {
		eventInterrupted.Log(m.request.executor.deps.Logger, "session", m.request.session.ID, "target", string(m.target))
		m.interrupt()
		return
	}
	m.mu.timer.Reset(monitorInterval)
}

// isUnusable reports whether the view shows that the target was replaced as
// primary, or that it has not responded to status requests for longer than the
// stall timeout.
func (m *targetMonitor) isUnusable(view *group.View) bool {
	if m.primary && view.Term > m.term {
		return true
	}
	target := view.Target(m.target)
	if target == nil {
		return false
	}
	silence := m.request.executor.deps.Clock() - target.SilentSince
	return target.Known && !target.Reachable && silence > m.request.executor.config.StallTimeout
}

// stop ends the monitoring.
func (m *targetMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.stopped = true
	m.mu.timer.Stop()
}

// acquireMonitored leases a connection to the chosen target. It stops waiting
// once the target is unusable. After an error nothing was sent to the target.
func (r *request) acquireMonitored(decision route.Decision) (Lease, error) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	primary := decision.Reason == route.ReasonPrimary
	m := startMonitor(r, decision.Target.ID, decision.Term, primary, cancel)
	defer m.stop()
	return r.acquire(ctx, decision.Target.ID)
}
