package edge

import (
	"context"
	"errors"
	"sync"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// perform runs an action and the ones that follow from its result.
func (d *Daemon) perform(ctx context.Context, service topology.ServiceID, c *failover.Coordinator, action failover.Action, token failover.FencingToken) {
	for action.Kind != failover.NoAction {
		result := d.act(ctx, service, action, token)
		now := d.clock()
		view := d.view(now, service)
		d.leader.mu.Lock()
		action = c.HandleResult(now, view, result)
		d.leader.mu.Unlock()
	}
	d.wakeLead()
}

func (d *Daemon) act(ctx context.Context, service topology.ServiceID, a failover.Action, token failover.FencingToken) failover.Result {
	result := failover.Result{Action: a}
	if !d.holds(token, dutySpan) {
		result.Failed = true
		return result
	}
	switch a.Kind {
	case failover.PublishRecord:
		eventStep.Log(d.log, "step", "publish", "service", service, "primary", a.Record.Primary,
			"fenced", a.Record.Fenced, "sequence", a.Record.Sequence, "term", a.Record.Term, "why", a.Reason)
		result.Failed = !d.publish(ctx, service, a)
	case failover.RequestStatuses:
		result.Statuses = d.askAll(ctx, a.Targets)
	case failover.PromoteTarget:
		eventStep.Log(d.log, "step", "order", "service", service, "target", a.Target.ID, "token", token, "why", a.Reason)
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		order := failover.PromotionOrder{Service: service, Successor: a.Target.ID, Token: token,
			Held: func() bool { return d.holds(token, orderSpan) }}
		if err := d.orders.Promote(orderCtx, order); err != nil {
			eventStepFailed.LogError(d.log, err, "step", "order", "service", service, "target", a.Target.ID)
			result.Failed, result.Rejected = true, errors.Is(err, failover.ErrRejected)
		}
	case failover.DemoteReplaced:
		demoteCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if err := d.prober.Demote(demoteCtx, a.Target, a.Term); err != nil {
			eventStepFailed.LogError(d.log, err, "step", "demote", "service", service, "target", a.Target.ID)
			result.Failed = true
		}
	}
	return result
}

// publish writes a record. A lost answer is settled by the next look at the
// record.
func (d *Daemon) publish(ctx context.Context, service topology.ServiceID, a failover.Action) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := groupKey(service)
	d.mu.Lock()
	duty := d.mirror.Get(keyDuty)
	d.mu.Unlock()
	revision, err := d.store.Transact(callCtx, store.Transaction{
		Expect: []store.Expectation{{Key: key, Revision: a.Revision}, {Key: keyDuty, Revision: duty.Revision}},
		Puts:   []store.Put{{Key: key, Value: a.Record.Encode()}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		d.takeOver(nil, conflict.Current)
	}
	if err != nil {
		eventStepFailed.LogError(d.log, err, "step", "publish", "service", service)
		return false
	}
	d.apply([]store.Change{{Entry: store.Entry{Key: key, Value: a.Record.Encode(), Revision: revision}}})
	return true
}

// askAll asks targets for their status side by side.
func (d *Daemon) askAll(ctx context.Context, targets []directory.Target) map[topology.TargetID]failover.TargetStatus {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := make(map[topology.TargetID]failover.TargetStatus)
	for _, t := range targets {
		group.Go(func() {
			status, err := d.prober.Status(ctx, t)
			if err != nil {
				eventStepFailed.LogError(d.log, err, "step", "status", "target", t.ID)
				return
			}
			eventStep.Log(d.log, "step", "status", "target", t.ID, "role", status.Role.String(), "received", status.Received.String())
			mu.Lock()
			statuses[t.ID] = status
			mu.Unlock()
		})
	}
	group.Wait()
	return statuses
}
