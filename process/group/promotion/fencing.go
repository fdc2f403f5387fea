package promotion

import (
	"cmp"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// fence asks every member to promise a term above all that were seen.
func (c *Coordinator) fence(now time.Duration, out *[]Action) {
	c.gap.Claim = now - c.claimSince
	c.gap.Claimed = c.claimed
	if c.gap.Cause == CauseLeaving {
		c.handoverAt = now + c.config.LeavingInterval
	}
	c.enter(PhaseFencing, now, c.config.FenceTimeout)
	c.term = c.topTerm() + 1
	c.fences = make(map[topology.TargetID]fence, len(c.members))
	for i := range c.members {
		*out = append(*out, Action{
			Kind: ActionFence, Attempt: c.attempt, Target: c.members[i].Target.Target,
			Term: c.term, Cause: c.gap.Cause,
		})
	}
}

// Fenced takes a member's answer to a fence. A fence without an answer counts as
// not given: it is never repeated at its term, for a refusal could not be told
// from the echo of the first.
func (c *Coordinator) Fenced(now time.Duration, attempt uint64, id topology.TargetID, status topology.Status, outcome Outcome, out *[]Action) {
	if outcome == OutcomeRefused {
		c.seenTerm = max(c.seenTerm, status.Term)
	}
	if attempt != c.attempt || c.phase != PhaseFencing {
		return
	}
	if outcome == OutcomeDone && status.Term != c.term {
		outcome = OutcomeRefused
	}
	c.fences[id] = fence{outcome: outcome, status: status}
	c.fencing(now, out)
}

// fencing promotes a candidate once a majority is fenced, or gives up.
func (c *Coordinator) fencing(now time.Duration, out *[]Action) {
	granted := c.granted()
	settled := len(c.fences) == len(c.members)
	expired := now >= c.deadline
	if len(granted) < c.majority() {
		if settled || expired {
			c.retreat(now, c.config.Backoff, out)
		}
		return
	}
	best := c.choose(granted)
	preferred := best.Target != c.suspect && !c.leaving(best)
	if preferred || settled || now >= c.phaseSince+c.config.FenceGrace {
		c.promote(now, best.Target, out)
	}
}

func (c *Coordinator) granted() []topology.Status {
	var granted []topology.Status
	for _, f := range c.fences {
		if f.outcome == OutcomeDone {
			granted = append(granted, f.status)
		}
	}
	return granted
}

// choose picks the member to promote among a fenced majority. A member is
// eligible when a majority of the group is fenced with logs that do not reach
// beyond its own: every acknowledged write is on one of them. Among the eligible,
// one that works and stays comes first, then the longest log.
func (c *Coordinator) choose(granted []topology.Status) topology.Status {
	slices.SortFunc(granted, func(a, b topology.Status) int { return a.Received.Compare(b.Received) })
	// A majority of the members reaches no further than this.
	threshold := granted[c.majority()-1].Received
	eligible := slices.DeleteFunc(granted, func(s topology.Status) bool { return !s.Received.Reaches(threshold) })
	return slices.MaxFunc(eligible, func(a, b topology.Status) int {
		return cmp.Or(
			compareBool(a.Target != c.suspect, b.Target != c.suspect),
			compareBool(!c.leaving(a), !c.leaving(b)),
			a.Received.Compare(b.Received),
			cmp.Compare(b.Target, a.Target),
		)
	})
}

func (c *Coordinator) leaving(status topology.Status) bool {
	m := c.member(status.Target)
	return status.Leaving || m != nil && m.Leaving
}

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

func (c *Coordinator) promote(now time.Duration, id topology.TargetID, out *[]Action) {
	c.gap.Fence = now - c.phaseSince
	c.enter(PhasePromoting, now, c.config.PromoteTimeout)
	c.chosen = id
	c.nextOrder = 0
	c.order(ActionPromote, out)
}

// order sends a request to the chosen member.
func (c *Coordinator) order(kind ActionKind, out *[]Action) {
	m := c.member(c.chosen)
	if m == nil {
		return
	}
	*out = append(*out, Action{
		Kind: kind, Attempt: c.attempt, Target: m.Target.Target, Term: c.term, Cause: c.gap.Cause,
	})
}

// Promoted takes the chosen member's answer to a promotion. Without a clear one
// the member's status decides.
func (c *Coordinator) Promoted(now time.Duration, attempt uint64, status topology.Status, outcome Outcome, out *[]Action) {
	if attempt != c.attempt || c.phase != PhasePromoting {
		return
	}
	if outcome == OutcomeDone && c.isPromoted(status) {
		c.promoted(now, out)
		return
	}
	c.order(ActionSettle, out)
}

// Settled takes the chosen member's status after a promotion without an answer.
// No other member is ever promoted at the term.
func (c *Coordinator) Settled(now time.Duration, attempt uint64, status topology.Status, outcome Outcome, out *[]Action) {
	if attempt != c.attempt || c.phase != PhasePromoting {
		return
	}
	switch {
	case outcome != OutcomeDone:
		c.orderLater(ActionSettle, now)
	case c.isPromoted(status):
		c.promoted(now, out)
	case status.Term == c.term:
		c.orderLater(ActionPromote, now)
	default:
		c.retreat(now, c.config.Backoff, out)
	}
}

func (c *Coordinator) isPromoted(status topology.Status) bool {
	return status.Role == topology.RolePrimary && status.Term == c.term
}

func (c *Coordinator) promoted(now time.Duration, out *[]Action) {
	c.gap.Promote = now - c.phaseSince
	c.gap.Term = c.term
	c.gap.Primary = c.chosen
	c.enter(PhaseResuming, now, c.config.ResumeTimeout)
	*out = append(*out, Action{Kind: ActionAnnounce, Term: c.term})
}

// orderLater repeats a request to the chosen member after a short pause.
func (c *Coordinator) orderLater(kind ActionKind, now time.Duration) {
	c.nextOrder = kind
	c.nextOrderAt = now + checkInterval
}

func (c *Coordinator) promoting(now time.Duration, out *[]Action) {
	if now >= c.deadline {
		c.retreat(now, c.config.Backoff, out)
		return
	}
	if c.nextOrder != 0 && now >= c.nextOrderAt {
		kind := c.nextOrder
		c.nextOrder = 0
		c.order(kind, out)
	}
}
