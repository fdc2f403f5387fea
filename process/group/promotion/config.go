// Package promotion decides when a database group needs another primary, which
// member becomes it, and in which order the members are fenced and promoted. It
// holds the coordinator and the claim; it starts no request and reads no clock.
//
// Safety rests on the members alone: a term is promoted by whoever fenced a
// majority at it, each member promises a term once, and the new primary's log
// reaches that of a fenced majority. The claim in the store and the opinions of
// other instances only prevent needless and competing promotions.
package promotion

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Config holds the intervals of a coordinator.
type Config struct {
	Self   topology.InstanceID
	Domain topology.FailureDomain
	// DetectAfter is how long a primary leaves requests unanswered before this
	// instance suspects it; DetectMisses is the least number of them.
	DetectAfter  time.Duration
	DetectMisses int
	// EvidenceAfter is how long it leaves requests unanswered before this
	// instance supports another's suspicion.
	EvidenceAfter time.Duration
	// FreshWindow is how long an answer counts, from when it was requested.
	FreshWindow time.Duration
	// StallAfter is how long a primary may be ahead of every majority while no
	// replica's log grows. It grows with each promotion for that cause, up to
	// StallLimit, and falls back StallMemory after the last: replicas that are
	// slow to receive are not mended by another primary.
	StallAfter  time.Duration
	StallLimit  time.Duration
	StallMemory time.Duration
	// HeadlessAfter is how long a majority may name no primary before this
	// instance takes up a promotion that another seems to have left.
	HeadlessAfter time.Duration
	// SplitAfter is how long a member may stay fenced beyond the primary's
	// term, where it takes no log from it.
	SplitAfter time.Duration
	// LeavingAfter is how long a primary may be leaving before another takes
	// over, and LeavingInterval the least interval of such attempts.
	LeavingAfter    time.Duration
	LeavingInterval time.Duration
	// InquiryInterval is the interval of inquiries while suspecting, and
	// EvidenceWindow how long an opinion counts, from when it was asked for.
	InquiryInterval time.Duration
	EvidenceWindow  time.Duration
	// AloneAfter is how long an instance suspects before it acts although no
	// other failure domain supports it, as long as none sees a primary.
	AloneAfter time.Duration
	// ClaimTimeout bounds one attempt at the claim; ClaimRetry is the interval
	// of attempts while another holds it and ClaimPatience how long they go on.
	ClaimTimeout  time.Duration
	ClaimRetry    time.Duration
	ClaimPatience time.Duration
	// RankDelay, for each instance that ranks higher, and up to Jitter pass
	// before a promotion without a claim.
	RankDelay time.Duration
	Jitter    time.Duration
	// FenceTimeout and PromoteTimeout bound the steps. FenceGrace is how long a
	// fenced majority waits for a better candidate.
	FenceTimeout   time.Duration
	FenceGrace     time.Duration
	PromoteTimeout time.Duration
	// Backoff, and up to as much again, passes after a failed attempt.
	Backoff time.Duration
	// ResumeTimeout bounds the wait for the new primary to be seen.
	ResumeTimeout time.Duration
}

// DefaultConfig returns intervals for status requests every 150 ms that time out
// after 200 ms.
func DefaultConfig(self topology.InstanceID, domain topology.FailureDomain) Config {
	return Config{
		Self:            self,
		Domain:          domain,
		DetectAfter:     450 * time.Millisecond,
		DetectMisses:    2,
		EvidenceAfter:   250 * time.Millisecond,
		FreshWindow:     400 * time.Millisecond,
		StallAfter:      time.Second,
		StallLimit:      10 * time.Second,
		StallMemory:     5 * time.Minute,
		HeadlessAfter:   300 * time.Millisecond,
		SplitAfter:      2 * time.Second,
		LeavingAfter:    300 * time.Millisecond,
		LeavingInterval: 5 * time.Second,
		InquiryInterval: 50 * time.Millisecond,
		EvidenceWindow:  300 * time.Millisecond,
		AloneAfter:      5 * time.Second,
		ClaimTimeout:    400 * time.Millisecond,
		ClaimRetry:      200 * time.Millisecond,
		ClaimPatience:   time.Second,
		RankDelay:       120 * time.Millisecond,
		Jitter:          80 * time.Millisecond,
		FenceTimeout:    300 * time.Millisecond,
		FenceGrace:      100 * time.Millisecond,
		PromoteTimeout:  800 * time.Millisecond,
		Backoff:         150 * time.Millisecond,
		ResumeTimeout:   2 * time.Second,
	}
}

// Target is one member of the group.
type Target struct {
	platform.Target
	// Leaving is set when the record says that the member is leaving.
	Leaving bool
}

// Peer is an instance that watches the group.
type Peer struct {
	ID     topology.InstanceID
	Domain topology.FailureDomain
}

// Phase is the step that a coordinator is in.
type Phase uint8

// Phases of a coordinator, in the order of a promotion.
const (
	PhaseWatching Phase = iota
	PhaseSuspecting
	PhaseClaiming
	PhaseDeferring
	PhaseFencing
	PhasePromoting
	PhaseResuming
)

// String names the phase.
func (p Phase) String() string {
	names := [...]string{"watching", "suspecting", "claiming", "deferring", "fencing", "promoting", "resuming"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Cause is what is wrong with a group.
type Cause uint8

// Causes of a promotion.
const (
	// CauseNone: the group has a primary, or too few members answer to tell.
	CauseNone Cause = iota
	// CauseSilent: the primary does not answer.
	CauseSilent
	// CauseHeadless: a majority answers and names no primary.
	CauseHeadless
	// CauseStalled: the primary's log does not reach a majority.
	CauseStalled
	// CauseSplit: a member is fenced beyond the primary's term.
	CauseSplit
	// CauseLeaving: the primary is being drained and others can take over.
	CauseLeaving
)

// String names the cause.
func (c Cause) String() string {
	names := [...]string{"none", "silent", "headless", "stalled", "split", "leaving"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Gap is the time without a primary, part by part.
type Gap struct {
	Cause   Cause
	Term    topology.Term
	Primary topology.TargetID
	// Claimed tells whether the store granted the claim.
	Claimed bool
	// Detect runs from the first unanswered request, or the first sign of
	// another cause, until the promotion is decided on.
	Detect  time.Duration
	Claim   time.Duration
	Fence   time.Duration
	Promote time.Duration
	// Resume runs until a majority's answers name the new primary.
	Resume time.Duration
}

// Total returns the sum of the parts.
func (g Gap) Total() time.Duration { return g.Detect + g.Claim + g.Fence + g.Promote + g.Resume }

// ActionKind is what a coordinator asks its driver to do.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionInquire sends Inquiry to every peer.
	ActionInquire ActionKind = iota + 1
	// ActionClaim attempts the claim for Term; ActionRelease gives it up.
	ActionClaim
	ActionRelease
	// ActionFence fences Target at Term, ActionPromote promotes it, and
	// ActionSettle asks for its status after a promotion without an answer.
	ActionFence
	ActionPromote
	ActionSettle
	// ActionAnnounce tells every peer that a primary of Term was promoted.
	ActionAnnounce
	// ActionReport hands out Gap after a promotion.
	ActionReport
)

// Action is one thing to do. Results name the Attempt.
type Action struct {
	Kind    ActionKind
	Attempt uint64
	Target  platform.Target
	Term    topology.Term
	Cause   Cause
	Inquiry Inquiry
	Gap     Gap
}

// Inquiry asks a peer whether it sees a primary of Term or above.
type Inquiry struct {
	Number uint64        `cbor:"1,keyasint"`
	Term   topology.Term `cbor:"2,keyasint"`
}

// Sight is what an instance sees of a group's primary.
type Sight uint8

// Sights.
const (
	// SightUnclear: the instance has no majority or too few missed answers.
	SightUnclear Sight = iota
	// SightPrimary: a primary answers.
	SightPrimary
	// SightNoPrimary: a majority answers and no primary does.
	SightNoPrimary
)

// Opinion answers an Inquiry.
type Opinion struct {
	Number uint64 `cbor:"1,keyasint"`
	Sight  Sight  `cbor:"2,keyasint"`
}

// Outcome is how a control request ended.
type Outcome uint8

// Outcomes of control requests.
const (
	// OutcomeDone: the member answered and did what was asked.
	OutcomeDone Outcome = iota + 1
	// OutcomeRefused: the member refused the term.
	OutcomeRefused
	// OutcomeLost: no answer came; the request may have taken effect.
	OutcomeLost
)

// ClaimOutcome is how an attempt at the claim ended.
type ClaimOutcome uint8

// Outcomes of a claim.
const (
	ClaimGranted ClaimOutcome = iota + 1
	ClaimHeld
	ClaimUnavailable
)
