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

// executePromotion starts the actions of the promotion coordinator. It never blocks.
// The caller holds d.mu.
func (d *Driver) executePromotion(actions []promotion.Action) {
	d.logPhaseChange()
	for _, action := range actions {
		switch action.Kind {
		case promotion.ActionRequestObservations:
			d.broadcast(message{ObservationRequest: &action.ObservationRequest})
		case promotion.ActionNotifyPeers:
			d.broadcast(message{PromotionNotice: &promotionNotice{Term: action.Term}})
		case promotion.ActionClaim:
			d.requests.Go(func() { d.requestClaim(action) })
		case promotion.ActionReleaseClaim:
			d.releaseClaim()
		case promotion.ActionFence:
			eventFencing.Log(d.Log, "target", action.Target.ID, "term", action.Term, "cause", action.Cause.String())
			d.requests.Go(func() { d.fenceTarget(action) })
		case promotion.ActionPromote:
			eventPromoting.Log(d.Log, "target", action.Target.ID, "term", action.Term, "cause", action.Cause.String())
			d.requests.Go(func() { d.promoteTarget(action) })
		case promotion.ActionCheckPromotion:
			d.requests.Go(func() { d.checkPromotion(action) })
		case promotion.ActionReportGap:
			d.reportGap(action.Gap)
		}
	}
}

// logPhaseChange logs the promotion's phase if it has changed. The caller holds d.mu.
func (d *Driver) logPhaseChange() {
	phase := d.mu.promotion.Phase()
	if phase == d.mu.phase {
		return
	}
	eventPhaseEntered.Log(d.Log, "phase", phase.String(), "previous", d.mu.phase.String())
	d.mu.phase = phase
}

// reportGap logs a finished promotion and passes it to OnPromotion. The caller holds
// d.mu.
func (d *Driver) reportGap(gap promotion.FailoverGap) {
	eventPromoted.Log(d.Log, "primary", gap.Primary, "term", gap.Term, "cause", gap.Cause.String(), "claimed", gap.Claimed,
		"detect", gap.Detect, "claim", gap.Claim, "fence", gap.Fence, "promote", gap.Promote, "resume", gap.Resume)
	if d.OnPromotion != nil {
		d.OnPromotion(d.config.Service, gap)
	}
}

// requestClaim makes one attempt at the claim. It stores the claim's lease, if the
// claim was granted, and releases any other lease.
func (d *Driver) requestClaim(action promotion.Action) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.Promotion.ClaimTimeout)
	defer cancel()
	outcome, lease, err := d.claimant.Claim(ctx, action.Term)
	if err != nil {
		eventClaimNotGranted.Log(d.Log, "term", action.Term, "error", err.Error())
	}
	d.step(func(now time.Duration, _ *Output) {
		d.releaseClaim()
		d.mu.claimLease = lease
		if outcome != promotion.ClaimGranted {
			d.releaseClaim()
		}
		d.mu.promotion.HandleClaim(now, action.PhaseID, outcome, &d.mu.actions)
	})
}

// releaseClaim revokes the lease of the claim in the background. The caller holds
// d.mu.
func (d *Driver) releaseClaim() {
	lease := d.mu.claimLease
	if lease == 0 {
		return
	}
	d.mu.claimLease = 0
	d.requests.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, d.config.Promotion.ClaimTimeout)
		defer cancel()
		// If the revocation fails, the lease expires after its TTL.
		_ = d.claimant.Release(ctx, lease)
	})
}

// fenceTarget fences a member and passes the result to the coordinator.
func (d *Driver) fenceTarget(action promotion.Action) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	status, err := d.Groups.Fence(ctx, action.Target, action.Term)
	err = verifyResponder(err, "fence", action.Target, status)
	d.logControlFailure("fence", action, err)
	d.step(func(now time.Duration, out *Output) {
		d.mu.promotion.HandleFence(now, action.PhaseID, action.Target.ID, status, controlOutcome(err), &d.mu.actions)
		d.mu.rounds.Poll(now, out)
	})
}

// promoteTarget promotes a member and passes the result to the coordinator.
func (d *Driver) promoteTarget(action promotion.Action) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	status, err := d.Groups.Promote(ctx, action.Target, action.Term)
	err = verifyResponder(err, "promote", action.Target, status)
	d.logControlFailure("promote", action, err)
	d.step(func(now time.Duration, out *Output) {
		d.mu.promotion.HandlePromotion(now, action.PhaseID, status, controlOutcome(err), &d.mu.actions)
		d.mu.rounds.Poll(now, out)
	})
}

// checkPromotion requests the status of a member whose promotion has an unknown
// result.
func (d *Driver) checkPromotion(action promotion.Action) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	status, err := d.Groups.Status(ctx, action.Target)
	err = verifyResponder(err, "status", action.Target, status)
	d.step(func(now time.Duration, _ *Output) {
		d.mu.promotion.HandlePromotionCheck(now, action.PhaseID, status, controlOutcome(err), &d.mu.actions)
	})
}

func (d *Driver) logControlFailure(operation string, action promotion.Action, err error) {
	if err != nil {
		eventControlFailed.Log(d.Log, "step", operation, "target", action.Target.ID, "term", action.Term, "error", err.Error())
	}
}

// controlOutcome classifies the error of a control request.
func controlOutcome(err error) promotion.ControlOutcome {
	switch {
	case err == nil:
		return promotion.ControlSucceeded
	case errors.Is(err, platform.ErrTermRefused):
		return promotion.ControlRefused
	default:
		return promotion.ControlIndeterminate
	}
}

// handleMessage processes a peer's message about this group.
func (d *Driver) handleMessage(from topology.InstanceID, m message) {
	d.step(func(now time.Duration, out *Output) {
		switch {
		case m.ObservationRequest != nil:
			observation := d.mu.promotion.ObservePrimary(now, m.ObservationRequest.Term)
			response := &promotion.ObservationResponse{Number: m.ObservationRequest.Number, Observation: observation}
			d.Sender.Send(from, peer.KindGroup, message{Service: d.config.Service, ObservationResponse: response})
			d.mu.rounds.Poll(now, out)
		case m.ObservationResponse != nil:
			d.mu.promotion.HandleObservation(now, from, *m.ObservationResponse, &d.mu.actions)
		case m.PromotionNotice != nil:
			d.mu.rounds.Poll(now, out)
		}
	})
}
