package group

import (
	"context"
	"errors"
	"time"

	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// startPromotion executes the actions of the promotion coordinator. The lock is
// held; nothing in it blocks.
func (d *Driver) startPromotion(actions []promotion.Action) {
	d.logPhase()
	for _, action := range actions {
		switch action.Kind {
		case promotion.ActionRequestObservations:
			d.broadcast(message{Inquiry: &action.ObservationRequest})
		case promotion.ActionNotifyPeers:
			d.broadcast(message{Notice: &promotionNotice{Term: action.Term}})
		case promotion.ActionClaim:
			d.calls.Go(func() { d.claim(action) })
		case promotion.ActionReleaseClaim:
			d.release()
		case promotion.ActionFence:
			eventFence.Log(d.Log, "target", action.Target.ID, "term", action.Term, "cause", action.Cause.String())
			d.calls.Go(func() { d.fence(action) })
		case promotion.ActionPromote:
			eventPromote.Log(d.Log, "target", action.Target.ID, "term", action.Term, "cause", action.Cause.String())
			d.calls.Go(func() { d.promote(action) })
		case promotion.ActionCheckPromotion:
			d.calls.Go(func() { d.settle(action) })
		case promotion.ActionReportGap:
			d.report(action.Gap)
		}
	}
}

func (d *Driver) logPhase() {
	phase := d.mu.promotion.Phase()
	if phase == d.mu.phase {
		return
	}
	eventPhase.Log(d.Log, "phase", phase.String(), "previous", d.mu.phase.String())
	d.mu.phase = phase
}

func (d *Driver) report(gap promotion.Gap) {
	eventPromoted.Log(d.Log, "primary", gap.Primary, "term", gap.Term, "cause", gap.Cause.String(), "claimed", gap.Claimed,
		"detect", gap.Detect, "claim", gap.Claim, "fence", gap.Fence, "promote", gap.Promote, "resume", gap.Resume)
	if d.OnGap != nil {
		d.OnGap(d.config.Service, gap)
	}
}

func (d *Driver) claim(action promotion.Action) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.Promotion.ClaimTimeout)
	defer cancel()
	outcome, lease, err := d.claimant.Claim(ctx, action.Term)
	if err != nil {
		eventClaimNotGranted.Log(d.Log, "term", action.Term, "error", err.Error())
	}
	d.step(func(now time.Duration, _ *Output) {
		d.release()
		d.mu.lease = lease
		if outcome != promotion.ClaimGranted {
			d.release()
		}
		d.mu.promotion.HandleClaim(now, action.PhaseID, outcome, &d.mu.actions)
	})
}

// release revokes the lease of the claim. The lock is held.
func (d *Driver) release() {
	lease := d.mu.lease
	if lease == 0 {
		return
	}
	d.mu.lease = 0
	d.calls.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, d.config.Promotion.ClaimTimeout)
		defer cancel()
		// A lease that is not revoked expires.
		_ = d.claimant.Release(ctx, lease)
	})
}

func (d *Driver) fence(action promotion.Action) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	status, err := d.Groups.Fence(ctx, action.Target, action.Term)
	err = identify(err, "fence", action.Target, status)
	d.logOrder("fence", action, err)
	d.step(func(now time.Duration, out *Output) {
		d.mu.promotion.HandleFence(now, action.PhaseID, action.Target.ID, status, orderOutcome(err), &d.mu.actions)
		d.mu.rounds.Poll(now, out)
	})
}

func (d *Driver) promote(action promotion.Action) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	status, err := d.Groups.Promote(ctx, action.Target, action.Term)
	err = identify(err, "promote", action.Target, status)
	d.logOrder("promote", action, err)
	d.step(func(now time.Duration, out *Output) {
		d.mu.promotion.HandlePromotion(now, action.PhaseID, status, orderOutcome(err), &d.mu.actions)
		d.mu.rounds.Poll(now, out)
	})
}

func (d *Driver) settle(action promotion.Action) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	status, err := d.Groups.Status(ctx, action.Target)
	err = identify(err, "status", action.Target, status)
	d.step(func(now time.Duration, _ *Output) {
		d.mu.promotion.HandlePromotionCheck(now, action.PhaseID, status, orderOutcome(err), &d.mu.actions)
	})
}

func (d *Driver) logOrder(step string, action promotion.Action, err error) {
	if err != nil {
		eventOrderFailed.Log(d.Log, "step", step, "target", action.Target.ID, "term", action.Term, "error", err.Error())
	}
}

func orderOutcome(err error) promotion.ControlOutcome {
	switch {
	case err == nil:
		return promotion.ControlSucceeded
	case errors.Is(err, platform.ErrTermRefused):
		return promotion.ControlRefused
	default:
		return promotion.ControlIndeterminate
	}
}

// receive takes a peer's message about this group.
func (d *Driver) receive(from topology.InstanceID, m message) {
	d.step(func(now time.Duration, out *Output) {
		switch {
		case m.Inquiry != nil:
			sight := d.mu.promotion.ObservePrimary(now, m.Inquiry.Term)
			opinion := &promotion.ObservationResponse{Number: m.Inquiry.Number, Observation: sight}
			d.Sender.Send(from, peer.KindGroup, message{Service: d.config.Service, Opinion: opinion})
			d.mu.rounds.Poll(now, out)
		case m.Opinion != nil:
			d.mu.promotion.HandleObservation(now, from, *m.Opinion, &d.mu.actions)
		case m.Notice != nil:
			d.mu.rounds.Poll(now, out)
		}
	})
}
