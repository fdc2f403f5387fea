package promotion

import (
	"cmp"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// startFencing requests every member to promise a term above all known terms.
func (c *Coordinator) startFencing(now time.Duration, out *[]Action) {
	c.gap.Claim = now - c.claimStartedAt
	c.gap.Claimed = c.holdsClaim
	if c.gap.Cause == CauseLeaving {
		c.nextHandoverAt = now + c.config.MinHandoverInterval
	}
	c.enterPhase(PhaseFencing, now, c.config.FenceTimeout)
	c.newTerm = c.maxTerm() + 1
	c.fenceResponses = make(map[topology.TargetID]fenceResponse, len(c.members))
	for i := range c.members {
		*out = append(*out, Action{
			Kind: ActionFence, PhaseID: c.phaseID, Target: c.members[i].Target.Target,
			Term: c.newTerm, Cause: c.gap.Cause,
		})
	}
}

// HandleFence processes the result of a fence request to a member. A fence without
// a response does not count as a promise, and it is never retried at the same term:
// the member might refuse the retry because it accepted the first request or because
// it promised the term to another instance, and the refusal would not tell which.
func (c *Coordinator) HandleFence(now time.Duration, phaseID uint64, id topology.TargetID, status topology.Status, outcome ControlOutcome, out *[]Action) {
	if outcome == ControlRefused {
		c.maxRefusedTerm = max(c.maxRefusedTerm, status.Term)
	}
	if phaseID != c.phaseID || c.phase != PhaseFencing {
		return
	}
	if outcome == ControlSucceeded && status.Term != c.newTerm {
		outcome = ControlRefused
	}
	c.fenceResponses[id] = fenceResponse{outcome: outcome, status: status}
	c.tickFencing(now, out)
}

// tickFencing promotes a candidate once a majority is fenced. While the best
// candidate is the suspect or is leaving, it waits for further members, for at most
// FenceGracePeriod. Without a majority it aborts the promotion.
func (c *Coordinator) tickFencing(now time.Duration, out *[]Action) {
	fenced := c.fencedStatuses()
	allCompleted := len(c.fenceResponses) == len(c.members)
	expired := now >= c.phaseDeadline
	if len(fenced) < c.majoritySize() {
		if allCompleted || expired {
			c.returnToWatching(now, c.config.RetryBackoff, out)
		}
		return
	}
	best := c.selectCandidate(fenced)
	preferred := best.Target != c.suspect && !c.isLeaving(best)
	if preferred || allCompleted || now >= c.phaseStartedAt+c.config.FenceGracePeriod {
		c.promoteCandidate(now, best.Target, out)
	}
}

// fencedStatuses returns the status of each member that promised the new term.
func (c *Coordinator) fencedStatuses() []topology.Status {
	var fenced []topology.Status
	for _, f := range c.fenceResponses {
		if f.outcome == ControlSucceeded {
			fenced = append(fenced, f.status)
		}
	}
	return fenced
}

// selectCandidate selects the member to promote among the fenced members, which are
// at least a majority of the group. A member is eligible if its log reaches at least
// as far as the logs of a fenced majority: every acknowledged write is in one of
// those logs. Among the eligible members it prefers one that is not the suspect,
// then one that is not leaving, then the longest log. It reorders fenced.
func (c *Coordinator) selectCandidate(fenced []topology.Status) topology.Status {
	slices.SortFunc(fenced, func(a, b topology.Status) int { return a.Received.Compare(b.Received) })
	// The logs of a fenced majority reach no further than the threshold.
	threshold := fenced[c.majoritySize()-1].Received
	eligible := slices.DeleteFunc(fenced, func(s topology.Status) bool { return !s.Received.Reaches(threshold) })
	return slices.MaxFunc(eligible, func(a, b topology.Status) int {
		return cmp.Or(
			compareBool(a.Target != c.suspect, b.Target != c.suspect),
			compareBool(!c.isLeaving(a), !c.isLeaving(b)),
			a.Received.Compare(b.Received),
			cmp.Compare(b.Target, a.Target),
		)
	})
}

// isLeaving reports whether the member is leaving, by its own status or by its
// service's record.
func (c *Coordinator) isLeaving(status topology.Status) bool {
	m := c.member(status.Target)
	return status.Leaving || m != nil && m.Leaving
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// promoteCandidate ends the fencing phase and requests the member's promotion.
func (c *Coordinator) promoteCandidate(now time.Duration, id topology.TargetID, out *[]Action) {
	c.gap.Fence = now - c.phaseStartedAt
	c.enterPhase(PhasePromoting, now, c.config.PromoteTimeout)
	c.candidate = id
	c.nextRequest = 0
	c.requestCandidate(ActionPromote, out)
}

// requestCandidate sends a request to the candidate.
func (c *Coordinator) requestCandidate(kind ActionKind, out *[]Action) {
	m := c.member(c.candidate)
	if m == nil {
		return
	}
	*out = append(*out, Action{
		Kind: kind, PhaseID: c.phaseID, Target: m.Target.Target, Term: c.newTerm, Cause: c.gap.Cause,
	})
}

// HandlePromotion processes the result of the promotion request. Unless the
// response shows that the candidate is primary, its status is requested to find out.
func (c *Coordinator) HandlePromotion(now time.Duration, phaseID uint64, status topology.Status, outcome ControlOutcome, out *[]Action) {
	if phaseID != c.phaseID || c.phase != PhasePromoting {
		return
	}
	if outcome == ControlSucceeded && c.isPromoted(status) {
		c.completePromotion(now, out)
		return
	}
	c.requestCandidate(ActionCheckPromotion, out)
}

// HandlePromotionCheck processes the candidate's status after a promotion request
// whose result is not known. It promotes no other member at the same term, since the
// candidate may already be primary: while the candidate is at that term, the
// promotion is requested again, and at another term it is aborted.
func (c *Coordinator) HandlePromotionCheck(now time.Duration, phaseID uint64, status topology.Status, outcome ControlOutcome, out *[]Action) {
	if phaseID != c.phaseID || c.phase != PhasePromoting {
		return
	}
	switch {
	case outcome != ControlSucceeded:
		c.scheduleRequest(ActionCheckPromotion, now)
	case c.isPromoted(status):
		c.completePromotion(now, out)
	case status.Term == c.newTerm:
		c.scheduleRequest(ActionPromote, now)
	default:
		c.returnToWatching(now, c.config.RetryBackoff, out)
	}
}

func (c *Coordinator) isPromoted(status topology.Status) bool {
	return status.Role == topology.RolePrimary && status.Term == c.newTerm
}

// completePromotion notifies the peers and waits until the new primary is visible.
func (c *Coordinator) completePromotion(now time.Duration, out *[]Action) {
	c.gap.Promote = now - c.phaseStartedAt
	c.gap.Term = c.newTerm
	c.gap.Primary = c.candidate
	c.enterPhase(PhaseResuming, now, c.config.ResumeTimeout)
	*out = append(*out, Action{Kind: ActionNotifyPeers, Term: c.newTerm})
}

// scheduleRequest schedules a request to the candidate after tickInterval.
func (c *Coordinator) scheduleRequest(kind ActionKind, now time.Duration) {
	c.nextRequest = kind
	c.nextRequestAt = now + tickInterval
}

// tickPromoting sends the scheduled request to the candidate, or aborts the
// promotion after PromoteTimeout.
func (c *Coordinator) tickPromoting(now time.Duration, out *[]Action) {
	if now >= c.phaseDeadline {
		c.returnToWatching(now, c.config.RetryBackoff, out)
		return
	}
	if c.nextRequest != 0 && now >= c.nextRequestAt {
		kind := c.nextRequest
		c.nextRequest = 0
		c.requestCandidate(kind, out)
	}
}
