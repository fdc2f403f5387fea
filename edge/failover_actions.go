package edge

import (
	"context"
	"errors"
	"sync"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// runFailoverActions runs an action of a service's failover and any further actions
// that the coordinator returns for its result.
func (d *Daemon) runFailoverActions(ctx context.Context, service topology.ServiceID, coordinator *failover.Coordinator, action failover.Action, token failover.FencingToken) {
	for action.Kind != failover.NoAction {
		result := d.runFailoverAction(ctx, service, action, token)
		now := d.clock()
		view := d.failoverView(now, service)
		d.leadership.mu.Lock()
		before := coordinator.Waits()
		action = coordinator.HandleResult(now, view, result)
		after := coordinator.Waits()
		d.leadership.mu.Unlock()
		d.logWait(service, view.Record.Term, before, after)
	}
	d.wakeFailover()
}

// runFailoverAction runs one action. It fails without effect if this instance no longer
// holds the leadership under the token.
func (d *Daemon) runFailoverAction(ctx context.Context, service topology.ServiceID, action failover.Action, token failover.FencingToken) failover.Result {
	result := failover.Result{Action: action}
	if !d.holdsLeadership(token, leadershipDuration) {
		result.Failed = true
		return result
	}
	switch action.Kind {
	case failover.PublishRecord:
		eventFailoverStep.Log(d.log, "step", "publish", "service", service, "primary", action.Record.Primary, "fenced", action.Record.Fenced,
			"sequence", action.Record.FenceSequence, "term", action.Record.Term, "ordered", action.Record.Ordered(), "databases", action.Record.Databases, "lost", action.Record.Lost, "why", action.Reason)
		result.Failed = !d.publishRecord(ctx, service, action, token)
	case failover.RequestStatuses:
		result.Statuses = d.requestStatuses(ctx, service, action)
	case failover.PromoteTarget:
		eventFailoverStep.Log(d.log, "step", "order", "service", service, "target", action.Target.ID, "token", token, "why", action.Reason)
		orderedAt := d.clock()
		promoteCtx, cancel := context.WithTimeout(ctx, promotionCallTimeout)
		defer cancel()
		defer d.leadership.startOrder()()
		request := failover.PromotionRequest{Service: service, Successor: action.Target.ID, Token: token,
			HoldsLeadership: func() bool { return d.holdsLeadership(token, promotionWindow) }}
		if err := d.promoter.Promote(promoteCtx, request); err != nil {
			eventFailoverStepFailed.LogError(d.log, err, "step", "order", "service", service, "target", action.Target.ID)
			result.Failed, result.Rejected = true, errors.Is(err, failover.ErrRejected)
			return result
		}
		eventFailoverStep.Log(d.log, "step", "ordered", "service", service, "target", action.Target.ID, "token", token,
			"ms", (d.clock() - orderedAt).Milliseconds())
	case failover.DemoteReplaced:
		demoteCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if err := d.prober.Demote(demoteCtx, action.Target, action.Term); err != nil {
			eventFailoverStepFailed.LogError(d.log, err, "step", "demote", "service", service, "target", action.Target.ID)
			result.Failed = true
		}
	}
	return result
}

// publishRecord writes a record, provided that the stored record and the leadership under the
// token are unchanged. If the response is lost, the next read of the record shows the outcome.
func (d *Daemon) publishRecord(ctx context.Context, service topology.ServiceID, action failover.Action, token failover.FencingToken) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := recordKey(service)
	revision, err := d.store.Transact(store.WithPurpose(callCtx, purposeFailover), store.Transaction{
		Expect: []store.Expectation{{Key: key, Revision: action.Revision}, {Key: keyLeadership, Revision: store.Revision(token)}},
		Puts:   []store.Put{{Key: key, Value: action.Record.Encode()}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		d.applyConflict(conflict.Current)
	}
	if err != nil {
		eventFailoverStepFailed.LogError(d.log, err, "step", "publish", "service", service)
		return false
	}
	d.applyChanges([]store.Change{{Entry: store.Entry{Key: key, Value: action.Record.Encode(), Revision: revision}}})
	return true
}

// requestStatuses requests the status of the action's targets concurrently. The result lacks
// those that did not respond.
func (d *Daemon) requestStatuses(ctx context.Context, service topology.ServiceID, action failover.Action) map[topology.TargetID]failover.TargetStatus {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := make(map[topology.TargetID]failover.TargetStatus)
	for _, t := range action.Targets {
		group.Go(func() {
			status, err := d.prober.Status(ctx, t)
			if err != nil {
				eventFailoverStepFailed.LogError(d.log, err, "step", "status", "service", service, "target", t.ID, "why", action.Reason)
				return
			}
			eventFailoverStep.Log(d.log, "step", "status", "service", service, "target", t.ID, "role", status.Role.String(),
				"term", status.Term, "received", status.Received.String(), "why", action.Reason)
			mu.Lock()
			statuses[t.ID] = status
			mu.Unlock()
		})
	}
	group.Wait()
	return statuses
}
