package promotion

import (
	"math/rand/v2"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Coordinator decides on promotions of one group. Every method takes the
// monotonic time and appends actions. It is not safe for concurrent use.
type Coordinator struct {
	config  Config
	random  *rand.Rand
	members []member
	// peers are the other instances that watch the group; rank is how many of
	// them come before this one. Watching is false while this instance is not
	// among the watchers.
	peers    []Peer
	rank     int
	watching bool

	// stalling tells that stallPrimary, of stallTerm, has been ahead of every
	// majority since stalledSince. It is borne for stallAfter, which grew last
	// at stallRaised.
	stalling     bool
	stalledSince time.Duration
	stallPrimary topology.TargetID
	stallTerm    topology.Term
	stallAfter   time.Duration
	stallRaised  time.Duration
	// seenTerm is the highest term in a refusal.
	seenTerm topology.Term

	phase Phase
	// attempt numbers the requests of a phase; results of earlier ones are
	// dropped.
	attempt  uint64
	deadline time.Duration
	// backoff is the time before which no promotion starts, and handoverAt the
	// same for those of a leaving primary.
	backoff    time.Duration
	handoverAt time.Duration

	cause      Cause
	causeSince time.Duration
	suspect    topology.TargetID
	evidence   evidence
	// base is the highest term seen when the promotion was decided on.
	base topology.Term
	// claimSince is when the first attempt at the claim began, and heldUntil
	// ends the patience with another holder.
	claimSince time.Duration
	heldUntil  time.Duration
	claimed    bool
	storeless  bool

	term   topology.Term
	fences map[topology.TargetID]fence
	chosen topology.TargetID
	// nextOrder, when not zero, is a request to the chosen member that is due
	// at nextOrderAt.
	nextOrder   ActionKind
	nextOrderAt time.Duration

	gap        Gap
	phaseSince time.Duration
}

// fence is a member's answer to a fence.
type fence struct {
	outcome Outcome
	status  topology.Status
}

// New returns a coordinator without members and peers.
func New(config Config, random *rand.Rand) *Coordinator {
	return &Coordinator{config: config, random: random, stallAfter: config.StallAfter}
}

// SetTargets replaces the members; those that stay keep their state.
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

// SetWatchers sets the instances that watch the group, in order of rank. Without
// this instance among them, the coordinator starts no promotion.
func (c *Coordinator) SetWatchers(watchers []Peer) {
	c.rank = slices.IndexFunc(watchers, func(p Peer) bool { return p.ID == c.config.Self })
	c.watching = c.rank >= 0
	c.peers = slices.DeleteFunc(slices.Clone(watchers), func(p Peer) bool { return p.ID == c.config.Self })
}

// Peers returns the other watchers. The slice is not changed later.
func (c *Coordinator) Peers() []Peer { return c.peers }

// Phase returns the step that the coordinator is in.
func (c *Coordinator) Phase() Phase { return c.phase }

// Answered takes a member's answer to a status request sent at sent.
func (c *Coordinator) Answered(now, sent time.Duration, id topology.TargetID, status topology.Status, out *[]Action) {
	m := c.member(id)
	if m == nil {
		return
	}
	changed := m.known && status.Role == topology.RoleReplica && status.Received != m.status.Received
	m.known = true
	m.status = status
	m.answeredAt = sent
	m.misses = 0
	c.observeStall(now, changed)
	c.Tick(now, out)
}

// Missed says that a status request sent at sent got no answer.
func (c *Coordinator) Missed(now, sent time.Duration, id topology.TargetID, out *[]Action) {
	m := c.member(id)
	if m == nil {
		return
	}
	if m.misses == 0 {
		m.missedSince = sent
	}
	m.misses++
	c.Tick(now, out)
}

// Tick advances the coordinator.
func (c *Coordinator) Tick(now time.Duration, out *[]Action) {
	if !c.watching || len(c.members) == 0 {
		return
	}
	h := c.assess(now)
	switch c.phase {
	case PhaseWatching:
		c.watch(now, h, out)
	case PhaseSuspecting:
		c.suspecting(now, h, out)
	case PhaseClaiming:
		if now >= c.deadline {
			c.deferStoreless(now)
		}
	case PhaseDeferring:
		c.deferring(now, h, out)
	case PhaseFencing:
		c.fencing(now, out)
	case PhasePromoting:
		c.promoting(now, out)
	case PhaseResuming:
		c.resuming(now, h, out)
	}
}

// checkInterval is how often the coordinator is called while something is wrong.
const checkInterval = 20 * time.Millisecond

// Deadline returns when Tick is to be called next, and false while nothing is
// wrong: then the answers suffice.
func (c *Coordinator) Deadline(now time.Duration) (time.Duration, bool) {
	if !c.watching || len(c.members) == 0 {
		return 0, false
	}
	if c.phase != PhaseWatching || c.cause != CauseNone || c.stalling {
		return now + checkInterval, true
	}
	for i := range c.members {
		if m := &c.members[i]; m.misses > 0 && now-m.missedSince < c.config.DetectAfter+checkInterval {
			return now + checkInterval, true
		}
	}
	return 0, false
}

// watch notes a cause and starts a promotion once it has lasted long enough.
func (c *Coordinator) watch(now time.Duration, h health, out *[]Action) {
	if h.cause != c.cause {
		c.cause = h.cause
		c.causeSince = h.since
	}
	if h.cause == CauseNone || now < c.backoff || now-c.causeSince < c.patience(h.cause) {
		return
	}
	c.suspect = ""
	if h.primary != nil && h.cause != CauseSplit {
		c.suspect = h.primary.ID
	}
	c.gap = Gap{Cause: h.cause}
	c.claimed = false
	c.storeless = false
	if h.cause == CauseSilent || h.cause == CauseHeadless && !h.complete {
		c.enter(PhaseSuspecting, now, 0)
		c.evidence.began = now
		c.evidence.opinions = make(map[topology.InstanceID]opinion)
		c.inquire(now, out)
		return
	}
	c.decide(now, out)
}

// decide begins the promotion proper.
func (c *Coordinator) decide(now time.Duration, out *[]Action) {
	c.gap.Detect = now - c.causeSince
	c.base = c.topTerm()
	c.claimSince = now
	c.heldUntil = now + c.config.ClaimPatience
	c.claim(now, out)
}

// patience returns how long a cause lasts before it calls for a promotion.
func (c *Coordinator) patience(cause Cause) time.Duration {
	switch cause {
	case CauseHeadless:
		return c.config.HeadlessAfter
	case CauseSplit:
		return c.config.SplitAfter
	case CauseLeaving:
		return c.config.LeavingAfter
	default:
		return 0
	}
}

// suspecting gathers evidence from other failure domains.
func (c *Coordinator) suspecting(now time.Duration, h health, out *[]Action) {
	if c.cleared(h) {
		c.retreat(now, 0, out)
		return
	}
	if c.supported(now) {
		c.decide(now, out)
		return
	}
	if now >= c.evidence.askedAt+c.config.InquiryInterval {
		c.inquire(now, out)
	}
}

// cleared reports whether the group needs no promotion by this instance: it has
// a primary, or this instance is cut off from the majority.
func (c *Coordinator) cleared(h health) bool { return h.cause == CauseNone }

func (c *Coordinator) claim(now time.Duration, out *[]Action) {
	c.enter(PhaseClaiming, now, c.config.ClaimTimeout+checkInterval)
	*out = append(*out, Action{Kind: ActionClaim, Attempt: c.attempt, Term: c.topTerm() + 1, Cause: c.gap.Cause})
}

// Claimed takes the outcome of an attempt at the claim.
func (c *Coordinator) Claimed(now time.Duration, attempt uint64, outcome ClaimOutcome, out *[]Action) {
	if attempt != c.attempt || c.phase != PhaseClaiming {
		if outcome == ClaimGranted {
			*out = append(*out, Action{Kind: ActionRelease})
		}
		return
	}
	switch outcome {
	case ClaimGranted:
		c.claimed = true
		if c.cleared(c.assess(now)) {
			c.retreat(now, 0, out)
			return
		}
		c.fence(now, out)
	case ClaimHeld:
		c.deferHeld(now)
	default:
		c.deferStoreless(now)
	}
}

// deferHeld waits for the holder of the claim and retries meanwhile.
func (c *Coordinator) deferHeld(now time.Duration) {
	if now >= c.heldUntil {
		c.deferStoreless(now)
		return
	}
	c.enter(PhaseDeferring, now, c.config.ClaimRetry)
}

// deferStoreless waits for instances of higher rank before a promotion without
// a claim.
func (c *Coordinator) deferStoreless(now time.Duration) {
	delay := time.Duration(c.rank)*c.config.RankDelay + c.jitter(c.config.Jitter)
	c.enter(PhaseDeferring, now, delay)
	c.storeless = true
}

func (c *Coordinator) deferring(now time.Duration, h health, out *[]Action) {
	switch {
	case c.cleared(h):
		c.retreat(now, 0, out)
	case c.topTerm() > c.base:
		// Another instance has fenced a member meanwhile.
		c.retreat(now, c.config.Backoff, out)
	case now < c.deadline:
	case c.storeless:
		c.fence(now, out)
	default:
		c.claim(now, out)
	}
}

// resuming waits until the new primary is seen.
func (c *Coordinator) resuming(now time.Duration, h health, out *[]Action) {
	seen := h.quorum && h.primary != nil && h.primary.status.Term >= c.term
	if !seen && now < c.deadline {
		return
	}
	c.gap.Resume = now - c.phaseSince
	*out = append(*out, Action{Kind: ActionReport, Gap: c.gap, Term: c.term, Cause: c.gap.Cause})
	c.retreat(now, 0, out)
}

// retreat gives the attempt up, or ends it, and watches again.
func (c *Coordinator) retreat(now, backoff time.Duration, out *[]Action) {
	if c.claimed {
		*out = append(*out, Action{Kind: ActionRelease})
		c.claimed = false
	}
	c.enter(PhaseWatching, now, 0)
	if backoff > 0 {
		c.backoff = now + backoff + c.jitter(backoff)
	}
}

// enter starts a phase that lasts at most limit.
func (c *Coordinator) enter(phase Phase, now, limit time.Duration) {
	c.phase = phase
	c.phaseSince = now
	c.deadline = now + limit
	c.attempt++
}

func (c *Coordinator) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(limit)))
}
