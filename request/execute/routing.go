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

// findGroup looks up the group of the session's service and starts with the
// session's own floor.
func (r *request) findGroup() error {
	watcher, ok := r.executor.deps.Groups.Watcher(r.session.Service())
	if !ok {
		return refusal.New(refusal.UnknownService, refusal.StepRoute, string(r.session.Service()), nil)
	}
	r.watcher = watcher
	r.floor = r.session.Floor.Point(r.session.Service())
	return nil
}

// raiseArrivalFloor raises the request's floor to cover every write that was
// acknowledged before the request arrived, for sessions that need this for
// read-your-writes consistency.
func (r *request) raiseArrivalFloor() error {
	if !r.session.NeedsArrivalFloor() {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.executor.config.FloorTimeout)
	defer cancel()
	point, err := r.watcher.ReadFloor(ctx)
	if err != nil {
		if ctxErr := r.contextErr(refusal.StepFloor); ctxErr != nil {
			return ctxErr
		}
		return refusal.New(refusal.NoFloor, refusal.StepFloor, string(r.session.Service()), err)
	}
	r.floor = topology.MaxPoint(r.floor, point)
	return nil
}

// accessMode says whether a request is routed as a read or as a write.
type accessMode uint8

const (
	// readAccess accepts data as old as the session's maximum age, if it has one.
	readAccess accessMode = iota
	// writeAccess ignores the maximum age.
	writeAccess
)

// routeRequirements returns what the request requires of its target.
func (r *request) routeRequirements(mode accessMode) *route.Requirements {
	return &route.Requirements{
		Floor:     r.floor,
		MaxAge:    r.session.MaxAge,
		HasMaxAge: r.session.HasMaxAge && mode == readAccess,
		Now:       r.executor.deps.Clock(),
		OwnDomain: r.executor.config.OwnDomain,
		Excluded:  r.failedTargets,
		Rotation:  uint(r.executor.routeCounter.Add(1)),
	}
}

// routeRead chooses a target for a read: a replica that has replayed the floor
// or does so within ReplicaTimeout, else the primary.
func (r *request) routeRead() (route.Decision, error) {
	decision := route.ChooseReplica(r.watcher.View(), r.routeRequirements(readAccess), &r.executor.inFlight)
	if decision.Target != nil {
		return r.logDecision(decision), nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.executor.config.ReplicaTimeout)
	defer cancel()
	for hasUsableReplica(r.watcher.View(), r.failedTargets) {
		view, err := r.watcher.Refresh(ctx)
		if err != nil {
			break
		}
		decision = route.ChooseReplica(view, r.routeRequirements(readAccess), &r.executor.inFlight)
		if decision.Target != nil {
			return r.logDecision(decision), nil
		}
	}
	return r.routePrimary(readAccess)
}

// hasUsableReplica reports whether there is a replica that may serve the read
// once it has replayed the floor.
func hasUsableReplica(view *group.View, failed []topology.TargetID) bool {
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

// routePrimary chooses the primary. When there is none, or it has failed the
// request, it waits for up to PrimaryTimeout for a status round that shows one,
// which may be the same target.
func (r *request) routePrimary(mode accessMode) (route.Decision, error) {
	decision := route.ChoosePrimary(r.watcher.View(), r.routeRequirements(mode))
	if decision.Target != nil {
		return r.logDecision(decision), nil
	}
	eventWaitingForPrimary.Log(r.executor.deps.Logger, "session", r.session.ID,
		"service", string(r.session.Service()), "floor", r.floor.String())
	ctx, cancel := context.WithTimeout(r.ctx, r.executor.config.PrimaryTimeout)
	defer cancel()
	for {
		view, err := r.watcher.Refresh(ctx)
		if err != nil {
			if ctxErr := r.contextErr(refusal.StepRoute); ctxErr != nil {
				return decision, ctxErr
			}
			return decision, refusal.New(refusal.NoPrimary, refusal.StepRoute, string(r.session.Service()), err)
		}
		required := r.routeRequirements(mode)
		required.Excluded = nil
		if decision = route.ChoosePrimary(view, required); decision.Target != nil {
			return r.logDecision(decision), nil
		}
	}
}

// logDecision logs a routing decision and returns it.
func (r *request) logDecision(decision route.Decision) route.Decision {
	logger := r.executor.deps.Logger
	if logger.V(1).Enabled() {
		eventRouted.Log(logger, "session", r.session.ID, "customer", string(r.session.Customer),
			"service", string(r.session.Service()), "target", string(decision.Target.ID),
			"term", uint64(decision.Term), "floor", r.floor.String(), "reason", string(decision.Reason))
	}
	return decision
}

// acquire leases a connection to the target. Pooled connections that turn out
// dead are dropped, and another one is acquired.
func (r *request) acquire(ctx context.Context, target topology.TargetID) (Lease, error) {
	for range maxDeadConnections {
		lease, err := r.executor.deps.Pools.Acquire(ctx, r.session.Service(), target, r.session.Customer)
		if err != nil {
			return nil, r.classifyAcquireError(target, err)
		}
		if err := lease.Conn().CheckReusable(); err == nil {
			return lease, nil
		}
		lease.Release(false)
	}
	return nil, &unreachableError{target, errDeadConnections}
}

// maxDeadConnections bounds the dead connections that one request drops. It
// covers all connections that a pool may hold to a target.
const maxDeadConnections = 64

var errDeadConnections = errors.New("pool returned only dead connections")

// unreachableError reports that no connection to the target could be acquired.
// Nothing was sent to the target.
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

// classifyAcquireError returns the error for a failed acquisition: the one for
// a canceled request, a refusal when the target's connections are all in use,
// else an *unreachableError.
func (r *request) classifyAcquireError(target topology.TargetID, err error) error {
	if ctxErr := r.contextErr(refusal.StepAcquire); ctxErr != nil {
		return ctxErr
	}
	var busy *pool.BusyError
	if errors.As(err, &busy) {
		return refusal.New(refusal.Busy, refusal.StepAcquire, string(target), err)
	}
	return &unreachableError{target, err}
}

// avoidTarget reports the target that failed the request to the group as
// suspect, and excludes it from the next attempt.
func (r *request) avoidTarget(target topology.TargetID, err error, decision retry.Decision) {
	eventRetried.Log(r.executor.deps.Logger, "session", r.session.ID,
		"target", string(target), "decision", decision.String(), "reason", err.Error())
	r.watcher.ReportFailure(target)
	r.failedTargets = append(r.failedTargets, target)
}
