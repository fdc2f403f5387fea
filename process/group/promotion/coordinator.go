// Package promotion decides when a database group needs another primary, which
// member becomes primary, and in which order members are fenced and promoted. It
// sends no request and reads no clock: a driver passes it the responses and the
// time, and executes the actions that it returns.
//
// Safety rests on the members alone: only an instance that fenced a majority at a
// term promotes a member at that term, each member promises a term at most once,
// and the new primary's log reaches at least as far as the logs of a fenced
// majority. The claim, which is a leased key in the store, and the observations of
// other instances only prevent needless and competing promotions.
package promotion

import (
	"math/rand/v2"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Coordinator detects that one group needs another primary and runs the promotion
// through its phases. Methods that take the time expect monotonic time; methods
// that can cause actions append them to out. A Coordinator is not safe for
// concurrent use.
type Coordinator struct {
	config  Config
	random  *rand.Rand
	members []member
	// peers are the other watchers of the group. rank is this instance's index among
	// all watchers; index 0 is the highest rank. While watching is false, this
	// instance is not a watcher and starts no promotion.
	peers    []Peer
	rank     int
	watching bool

	// stalled is set while the log of lastPrimary, the last known primary, is ahead
	// of every majority at its term. No replica's log has grown since stalledSince.
	// A stall that lasts for stallTimeout causes a promotion. stallTimeout was last
	// raised at stallTimeoutRaisedAt.
	stalled              bool
	stalledSince         time.Duration
	lastPrimary          topology.TargetID
	lastPrimaryTerm      topology.Term
	stallTimeout         time.Duration
	stallTimeoutRaisedAt time.Duration
	// maxRefusedTerm is the highest term that a member named when it refused a
	// fence.
	maxRefusedTerm topology.Term

	phase Phase
	// phaseID grows each time a phase is entered. Results of requests that were
	// sent in an earlier phase are dropped.
	phaseID       uint64
	phaseDeadline time.Duration
	// No promotion starts before backoffUntil, and no promotion to replace a
	// leaving primary before nextHandoverAt.
	backoffUntil   time.Duration
	nextHandoverAt time.Duration

	cause      Cause
	causeSince time.Duration
	// suspect is the primary to replace. It is empty when there is no primary and
	// for CauseSplit, where the same member may be promoted again.
	suspect   topology.TargetID
	suspicion suspicion
	// baseTerm is the highest term that was known when the promotion began.
	baseTerm topology.Term
	// claimStartedAt is when the first attempt at the claim began. After
	// claimWaitDeadline the coordinator no longer waits for another holder. Once
	// withoutClaim is set, the promotion goes on without the claim.
	claimStartedAt    time.Duration
	claimWaitDeadline time.Duration
	holdsClaim        bool
	withoutClaim      bool

	// newTerm is the term at which this promotion fences the members and promotes
	// the candidate.
	newTerm        topology.Term
	fenceResponses map[topology.TargetID]fenceResponse
	candidate      topology.TargetID
	// nextRequest, when not zero, is a request to the candidate that is due at
	// nextRequestAt.
	nextRequest   ActionKind
	nextRequestAt time.Duration

	gap            FailoverGap
	phaseStartedAt time.Duration
}

// fenceResponse is a member's response to a fence request.
type fenceResponse struct {
	outcome ControlOutcome
	status  topology.Status
}

// New returns a coordinator without members and watchers. Random supplies jitter.
func New(config Config, random *rand.Rand) *Coordinator {
	return &Coordinator{config: config, random: random, stallTimeout: config.StallTimeout}
}

// SetTargets replaces the members. A member that keeps its ID and control address
// keeps its state.
func (c *Coordinator) SetTargets(targets []Target) {
	members := make([]member, 0, len(targets))
	for _, target := range targets {
		m := member{Target: target}
		if old := c.member(target.ID); old != nil && old.Control == target.Control {
			m = *old
			m.Target = target
		}
		members = append(members, m)
	}
	c.members = members
}

// SetWatchers sets the instances that watch the group, in order of rank. The
// coordinator starts promotions only while this instance is one of them.
func (c *Coordinator) SetWatchers(watchers []Peer) {
	c.rank = slices.IndexFunc(watchers, func(p Peer) bool { return p.ID == c.config.Self })
	c.watching = c.rank >= 0
	c.peers = slices.DeleteFunc(slices.Clone(watchers), func(p Peer) bool { return p.ID == c.config.Self })
}

// Peers returns the other watchers. The returned slice is never modified.
func (c *Coordinator) Peers() []Peer { return c.peers }

// Phase returns the current phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// HandleStatus processes a member's response to a status request sent at sentAt.
func (c *Coordinator) HandleStatus(now, sentAt time.Duration, id topology.TargetID, status topology.Status, out *[]Action) {
	m := c.member(id)
	if m == nil {
		return
	}
	replicaAdvanced := m.hasStatus && status.Role == topology.RoleReplica && status.Received != m.status.Received
	m.hasStatus = true
	m.status = status
	m.statusRequestedAt = sentAt
	m.misses = 0
	c.updateStall(now, replicaAdvanced)
	c.Tick(now, out)
}

// HandleStatusFailure records that a status request sent at sentAt got no response.
func (c *Coordinator) HandleStatusFailure(now, sentAt time.Duration, id topology.TargetID, out *[]Action) {
	m := c.member(id)
	if m == nil {
		return
	}
	if m.misses == 0 {
		m.firstMissSentAt = sentAt
	}
	m.misses++
	c.Tick(now, out)
}

// Tick evaluates the group's health and advances the current phase.
func (c *Coordinator) Tick(now time.Duration, out *[]Action) {
	if !c.watching || len(c.members) == 0 {
		return
	}
	h := c.assessHealth(now)
	switch c.phase {
	case PhaseWatching:
		c.tickWatching(now, h, out)
	case PhaseSuspecting:
		c.tickSuspecting(now, h, out)
	case PhaseClaiming:
		if now >= c.phaseDeadline {
			c.deferToHigherRanks(now)
		}
	case PhaseDeferring:
		c.tickDeferring(now, h, out)
	case PhaseFencing:
		c.tickFencing(now, out)
	case PhasePromoting:
		c.tickPromoting(now, out)
	case PhaseResuming:
		c.tickResuming(now, h, out)
	}
}

// tickInterval is the interval of Tick while the group is not healthy. It is also
// the interval of repeated requests to a candidate.
const tickInterval = 20 * time.Millisecond

// Deadline returns the time at which Tick has to be called next. It returns false
// while the group is healthy: then the calls made for status responses are enough.
func (c *Coordinator) Deadline(now time.Duration) (time.Duration, bool) {
	if !c.watching || len(c.members) == 0 {
		return 0, false
	}
	if c.phase != PhaseWatching || c.cause != CauseNone || c.stalled {
		return now + tickInterval, true
	}
	for i := range c.members {
		if m := &c.members[i]; m.misses > 0 && now-m.firstMissSentAt < c.config.DetectionTimeout+tickInterval {
			return now + tickInterval, true
		}
	}
	return 0, false
}

// tickWatching tracks how long a cause has lasted and reacts once it has lasted for
// its confirmation delay. If the primary does not respond, or if there is none but
// not every member responds, the peers' observations are requested first; for any
// other cause the promotion begins immediately.
func (c *Coordinator) tickWatching(now time.Duration, h health, out *[]Action) {
	if h.cause != c.cause {
		c.cause = h.cause
		c.causeSince = h.since
	}
	if h.cause == CauseNone || now < c.backoffUntil || now-c.causeSince < c.confirmationDelay(h.cause) {
		return
	}
	c.suspect = ""
	if h.primary != nil && h.cause != CauseSplit {
		c.suspect = h.primary.ID
	}
	c.gap = FailoverGap{Cause: h.cause}
	c.holdsClaim = false
	c.withoutClaim = false
	if h.cause == CauseSilent || h.cause == CauseHeadless && !h.allFresh {
		c.enterPhase(PhaseSuspecting, now, 0)
		c.suspicion.startedAt = now
		c.suspicion.observations = make(map[topology.InstanceID]peerObservation)
		c.requestObservations(now, out)
		return
	}
	c.beginPromotion(now, out)
}

// beginPromotion starts the promotion with an attempt at the claim.
func (c *Coordinator) beginPromotion(now time.Duration, out *[]Action) {
	c.gap.Detect = now - c.causeSince
	c.baseTerm = c.maxTerm()
	c.claimStartedAt = now
	c.claimWaitDeadline = now + c.config.MaxClaimWait
	c.requestClaim(now, out)
}

// confirmationDelay returns how long a cause must last before the coordinator
// reacts to it. The detection of silent and stalled primaries has its own timeouts.
func (c *Coordinator) confirmationDelay(cause Cause) time.Duration {
	switch cause {
	case CauseHeadless:
		return c.config.HeadlessTimeout
	case CauseSplit:
		return c.config.SplitTimeout
	case CauseLeaving:
		return c.config.HandoverDelay
	default:
		return 0
	}
}

// tickSuspecting requests observations from the peers until the group has
// recovered or enough failure domains support the suspicion.
func (c *Coordinator) tickSuspecting(now time.Duration, h health, out *[]Action) {
	if c.needsNoPromotion(h) {
		c.returnToWatching(now, 0, out)
		return
	}
	if c.isSupported(now) {
		c.beginPromotion(now, out)
		return
	}
	if now >= c.suspicion.requestedAt+c.config.ObservationInterval {
		c.requestObservations(now, out)
	}
}

// needsNoPromotion reports whether this instance has no reason to promote: the group
// has a usable primary, or this instance cannot reach a majority.
func (c *Coordinator) needsNoPromotion(h health) bool { return h.cause == CauseNone }

func (c *Coordinator) requestClaim(now time.Duration, out *[]Action) {
	c.enterPhase(PhaseClaiming, now, c.config.ClaimTimeout+tickInterval)
	*out = append(*out, Action{Kind: ActionClaim, PhaseID: c.phaseID, Term: c.maxTerm() + 1, Cause: c.gap.Cause})
}

// HandleClaim processes the outcome of an attempt at the claim. A claim that is
// granted too late is released.
func (c *Coordinator) HandleClaim(now time.Duration, phaseID uint64, outcome ClaimOutcome, out *[]Action) {
	if phaseID != c.phaseID || c.phase != PhaseClaiming {
		if outcome == ClaimGranted {
			*out = append(*out, Action{Kind: ActionReleaseClaim})
		}
		return
	}
	switch outcome {
	case ClaimGranted:
		c.holdsClaim = true
		if c.needsNoPromotion(c.assessHealth(now)) {
			c.returnToWatching(now, 0, out)
			return
		}
		c.startFencing(now, out)
	case ClaimHeldByOther:
		c.deferToHolder(now)
	default:
		c.deferToHigherRanks(now)
	}
}

// deferToHolder lets the holder of the claim go on and schedules another attempt.
// After claimWaitDeadline the promotion goes on without the claim.
func (c *Coordinator) deferToHolder(now time.Duration) {
	if now >= c.claimWaitDeadline {
		c.deferToHigherRanks(now)
		return
	}
	c.enterPhase(PhaseDeferring, now, c.config.ClaimRetryInterval)
}

// deferToHigherRanks gives watchers of higher rank time to promote before this
// instance does so without a claim.
func (c *Coordinator) deferToHigherRanks(now time.Duration) {
	delay := time.Duration(c.rank)*c.config.RankDelay + c.randomJitter(c.config.MaxRankJitter)
	c.enterPhase(PhaseDeferring, now, delay)
	c.withoutClaim = true
}

func (c *Coordinator) tickDeferring(now time.Duration, h health, out *[]Action) {
	switch {
	case c.needsNoPromotion(h):
		c.returnToWatching(now, 0, out)
	case c.maxTerm() > c.baseTerm:
		// Another instance has fenced a member in the meantime.
		c.returnToWatching(now, c.config.RetryBackoff, out)
	case now < c.phaseDeadline:
	case c.withoutClaim:
		c.startFencing(now, out)
	default:
		c.requestClaim(now, out)
	}
}

// tickResuming waits until a majority reports the new primary, or for
// ResumeTimeout, and then reports the gap.
func (c *Coordinator) tickResuming(now time.Duration, h health, out *[]Action) {
	primaryReported := h.majorityFresh && h.primary != nil && h.primary.status.Term >= c.newTerm
	if !primaryReported && now < c.phaseDeadline {
		return
	}
	c.gap.Resume = now - c.phaseStartedAt
	*out = append(*out, Action{Kind: ActionReportGap, Gap: c.gap, Term: c.newTerm, Cause: c.gap.Cause})
	c.returnToWatching(now, 0, out)
}

// returnToWatching ends the promotion, whether finished or aborted, and releases the
// claim. No other promotion starts before the backoff, plus jitter, has passed.
func (c *Coordinator) returnToWatching(now, backoff time.Duration, out *[]Action) {
	if c.holdsClaim {
		*out = append(*out, Action{Kind: ActionReleaseClaim})
		c.holdsClaim = false
	}
	c.enterPhase(PhaseWatching, now, 0)
	if backoff > 0 {
		c.backoffUntil = now + backoff + c.randomJitter(backoff)
	}
}

// enterPhase starts a phase whose deadline is limit from now.
func (c *Coordinator) enterPhase(phase Phase, now, limit time.Duration) {
	c.phase = phase
	c.phaseStartedAt = now
	c.phaseDeadline = now + limit
	c.phaseID++
}

// randomJitter returns a random duration below limit.
func (c *Coordinator) randomJitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(limit)))
}
