package execute

import (
	"context"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/route"
)

// guardInterval is how often a request looks whether its target still serves
// it.
const guardInterval = 50 * time.Millisecond

// guard takes a request off a target that stopped answering or was replaced.
type guard struct {
	request *request
	target  topology.TargetID
	term    topology.Term
	primary bool
	// interrupt ends what the request does with the target.
	interrupt func()

	mu struct {
		sync.Mutex
		timer   *time.Timer
		stopped bool
	}
}

// newGuard watches a target on behalf of a request until stop.
func newGuard(r *request, target topology.TargetID, term topology.Term, primary bool, interrupt func()) *guard {
	g := &guard{request: r, target: target, term: term, primary: primary, interrupt: interrupt}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.timer = time.AfterFunc(guardInterval, g.check)
	return g
}

// check interrupts the request when the group's view is against the target.
func (g *guard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mu.stopped {
		return
	}
	if g.condemned(g.request.watcher.View()) {
		eventInterrupt.Log(g.request.executor.deps.Logger, "session", g.request.session.ID, "target", string(g.target))
		g.interrupt()
		return
	}
	g.mu.timer.Reset(guardInterval)
}

// condemned reports whether the view shows that the target was replaced as
// primary, or that it has not answered for the stall timeout.
func (g *guard) condemned(view *group.View) bool {
	if g.primary && view.Term > g.term {
		return true
	}
	target := view.Target(g.target)
	if target == nil {
		return false
	}
	silent := g.request.executor.deps.Clock() - target.Answered
	return target.Known && !target.Reachable && silent > g.request.executor.config.StallTimeout
}

func (g *guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.stopped = true
	g.mu.timer.Stop()
}

// acquireGuarded leases a connection to the chosen target and gives up once the
// group's view is against it. Nothing was sent then.
func (r *request) acquireGuarded(decision route.Decision) (Lease, error) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	primary := decision.Reason == route.ReasonPrimary
	g := newGuard(r, decision.Target.ID, decision.Term, primary, cancel)
	defer g.stop()
	return r.acquire(ctx, decision.Target.ID)
}
