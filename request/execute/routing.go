package execute

import (
	"context"
	"errors"

	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/pool"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/refusal"
	"samphirehitch.example/samphirehitch/request/retry"
	"samphirehitch.example/samphirehitch/request/route"
)

// findGroup looks up the group of the session's service.
func (r *request) findGroup() error {
	watcher, ok := r.executor.deps.Groups.Watcher(r.session.Service())
	if !ok {
		return refusal.New(refusal.UnknownService, refusal.StepRoute, string(r.session.Service()), nil)
	}
	r.watcher = watcher
	r.floor = r.session.Floor.At(r.session.Service())
	return nil
}

// settleFloor raises the request's floor to cover every write acknowledged
// before the request arrived, where the session needs that.
func (r *request) settleFloor() error {
	if !r.session.NeedsArrivalFloor() {
		return nil
	}
	ctx, stop := context.WithTimeout(r.ctx, r.executor.config.FloorTimeout)
	defer stop()
	point, err := r.watcher.ReadFloor(ctx)
	if err != nil {
		if ended := r.ended(refusal.StepFloor); ended != nil {
			return ended
		}
		return refusal.New(refusal.NoFloor, refusal.StepFloor, string(r.session.Service()), err)
	}
	r.floor = topology.MaxPoint(r.floor, point)
	return nil
}

// use is what a request wants of its target.
type use uint8

const (
	reading use = iota
	// writing has no stated age.
	writing
)

// need describes what the request asks of its target.
func (r *request) need(use use) *route.Need {
	return &route.Need{
		Floor:  r.floor,
		MaxAge: r.session.MaxAge,
		Aged:   r.session.Aged && use == reading,
		Now:    r.executor.deps.Clock(),
		Own:    r.executor.config.Own,
		Avoid:  r.failed,
		Turn:   uint(r.executor.turn.Add(1)),
	}
}

// routeRead chooses a target for a read: a replica that serves it within the
// bounded wait, else the primary.
func (r *request) routeRead() (route.Decision, error) {
	decision := route.Replica(r.watcher.View(), r.need(reading), &r.executor.loads)
	if decision.Target != nil {
		return r.decided(decision), nil
	}
	ctx, stop := context.WithTimeout(r.ctx, r.executor.config.ReplicaTimeout)
	defer stop()
	for hasReplica(r.watcher.View(), r.failed) {
		view, err := r.watcher.Refresh(ctx)
		if err != nil {
			break
		}
		decision = route.Replica(view, r.need(reading), &r.executor.loads)
		if decision.Target != nil {
			return r.decided(decision), nil
		}
	}
	return r.routePrimary(reading)
}

// hasReplica reports whether a wait for a replica can help.
func hasReplica(view *group.View, failed []topology.TargetID) bool {
	for i := range view.Targets {
		target := &view.Targets[i]
		if target.ID != view.Primary && target.Known && target.Reachable && !target.Leaving && !contains(failed, target.ID) {
			return true
		}
	}
	return false
}

func contains(targets []topology.TargetID, target topology.TargetID) bool {
	for _, t := range targets {
		if t == target {
			return true
		}
	}
	return false
}

// routePrimary returns the primary, waiting for one within the bounds.
func (r *request) routePrimary(use use) (route.Decision, error) {
	decision := route.Primary(r.watcher.View(), r.need(use))
	if decision.Target != nil {
		return r.decided(decision), nil
	}
	eventWaiting.Log(r.executor.deps.Logger, "session", r.session.ID,
		"service", string(r.session.Service()), "floor", r.floor.String())
	ctx, stop := context.WithTimeout(r.ctx, r.executor.config.PrimaryTimeout)
	defer stop()
	for {
		view, err := r.watcher.Refresh(ctx)
		if err != nil {
			if ended := r.ended(refusal.StepRoute); ended != nil {
				return decision, ended
			}
			return decision, refusal.New(refusal.NoPrimary, refusal.StepRoute, string(r.session.Service()), err)
		}
		need := r.need(use)
		need.Avoid = nil
		if decision = route.Primary(view, need); decision.Target != nil {
			return r.decided(decision), nil
		}
	}
}

// decided logs a decision.
func (r *request) decided(decision route.Decision) route.Decision {
	logger := r.executor.deps.Logger
	if logger.V(1).Enabled() {
		eventRouted.Log(logger, "session", r.session.ID, "customer", string(r.session.Customer),
			"service", string(r.session.Service()), "target", string(decision.Target.ID),
			"term", uint64(decision.Term), "floor", r.floor.String(), "reason", string(decision.Reason))
	}
	return decision
}

// acquire leases a connection to the target. A connection that turns out dead
// is replaced once for each that the pool may hold.
func (r *request) acquire(ctx context.Context, target topology.TargetID) (Lease, error) {
	for range maxDeadConnections {
		lease, err := r.executor.deps.Pools.Acquire(ctx, r.session.Service(), target, r.session.Customer)
		if err != nil {
			return nil, r.acquireFailure(target, err)
		}
		if err := lease.Conn().Probe(); err == nil {
			return lease, nil
		}
		lease.Release(false)
	}
	return nil, &unreachableError{target, errDeadConnections}
}

// maxDeadConnections bounds the dead connections that one request drops.
const maxDeadConnections = 64

var errDeadConnections = errors.New("only dead connections")

// unreachableError reports a target that can't be reached. Nothing was sent.
type unreachableError struct {
	target topology.TargetID
	err    error
}

// Error describes the failure.
func (e *unreachableError) Error() string {
	return "target " + string(e.target) + " is unreachable: " + e.err.Error()
}

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.err }

func (r *request) acquireFailure(target topology.TargetID, err error) error {
	if ended := r.ended(refusal.StepAcquire); ended != nil {
		return ended
	}
	var busy *pool.Busy
	if errors.As(err, &busy) {
		return refusal.New(refusal.Busy, refusal.StepAcquire, string(target), err)
	}
	return &unreachableError{target, err}
}

// avoid keeps the request away from a target that has failed it.
func (r *request) avoid(target topology.TargetID, err error, decision retry.Decision) {
	eventRetried.Log(r.executor.deps.Logger, "session", r.session.ID,
		"target", string(target), "decision", decision.String(), "reason", err.Error())
	r.watcher.Suspect(target)
	r.failed = append(r.failed, target)
}
