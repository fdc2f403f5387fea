package promotion

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Phase is the step of a promotion that a coordinator is in.
type Phase uint8

// Phases of a coordinator, in the order of a promotion.
const (
	// PhaseWatching: no promotion is in progress.
	PhaseWatching Phase = iota
	// PhaseSuspecting collects the peers' observations of the primary.
	PhaseSuspecting
	// PhaseClaiming waits for the result of an attempt at the claim.
	PhaseClaiming
	// PhaseDeferring gives the holder of the claim or, when the promotion goes on
	// without a claim, the watchers of higher rank time to promote.
	PhaseDeferring
	// PhaseFencing waits until a majority has promised the new term.
	PhaseFencing
	// PhasePromoting waits until the candidate is primary.
	PhasePromoting
	// PhaseResuming waits until a majority reports the new primary.
	PhaseResuming
)

// String returns the phase's name in the log.
func (p Phase) String() string {
	names := [...]string{"watching", "suspecting", "claiming", "deferring", "fencing", "promoting", "resuming"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Cause is why a group needs another primary.
type Cause uint8

// Causes of a promotion.
const (
	// CauseNone: the group has a usable primary, or too few members respond to
	// tell.
	CauseNone Cause = iota
	// CauseSilent: the primary does not respond.
	CauseSilent
	// CauseHeadless: a majority responds and names no primary.
	CauseHeadless
	// CauseStalled: the primary's log does not reach a majority.
	CauseStalled
	// CauseSplit: a member is fenced at a term above the primary's.
	CauseSplit
	// CauseLeaving: the primary is being drained and another member can replace it.
	CauseLeaving
)

// String returns the cause's name in the log and in metrics.
func (c Cause) String() string {
	names := [...]string{"none", "silent", "headless", "stalled", "split", "leaving"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// FailoverGap describes the time without a primary around one promotion, phase by
// phase.
type FailoverGap struct {
	Cause   Cause
	Term    topology.Term
	Primary topology.TargetID
	// Claimed is set when the store granted the claim.
	Claimed bool
	// Detect runs from the first request without a response, or the first sign of
	// another cause, until the promotion begins.
	Detect  time.Duration
	Claim   time.Duration
	Fence   time.Duration
	Promote time.Duration
	// Resume runs until a majority reports the new primary.
	Resume time.Duration
}

// Total returns the sum of the phases.
func (g FailoverGap) Total() time.Duration {
	return g.Detect + g.Claim + g.Fence + g.Promote + g.Resume
}
