package failover

import (
	"math"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Timeouts, intervals and thresholds of a failover.
const (
	// catchUpTimeout bounds the wait for a replica to receive all of the log of a
	// primary that is still alive. Replicas normally lag by tens of milliseconds;
	// waiting for one that lags further would cost more availability than it is
	// worth.
	catchUpTimeout = 1500 * time.Millisecond
	// probeInterval is the interval between status requests during a failover. Each
	// request occupies a slot of the target.
	probeInterval = 60 * time.Millisecond
	// promotionTimeout is how long a promoted target may take to become primary
	// before another successor is chosen. A promotion takes 300 to 600 ms.
	promotionTimeout = 4 * time.Second
	// retryInterval is the wait after a failed action.
	retryInterval = 150 * time.Millisecond
	// waitNotice is how long no successor must have been found before callers are told that
	// the service waits. It exceeds the time for which requests wait for a primary.
	waitNotice = 500 * time.Millisecond
	// waitNoticeInterval is the least time between two notices: which databases respond may
	// change with each round.
	waitNoticeInterval = 2 * time.Second
	// minSuspectShare is the share of instances that must suspect a primary before it
	// is replaced, unless all owners of its service, or as many other instances,
	// suspect it. Below this share, the failure is more likely to lie with the
	// instances.
	minSuspectShare = 0.3
	// missingEntryTimeout is how long a primary's directory entry may be missing before
	// the primary counts as removed: entries that expired during an outage of the
	// store are registered again within two seconds.
	missingEntryTimeout = 2500 * time.Millisecond
)

// Reasons for which a fenced primary counts as out of use, given with the first status request
// after the fence.
const (
	reasonFenceAcknowledged = "choosing a successor, all users have acknowledged the fence"
	reasonAuthorityExpired  = "choosing a successor, all authority over the fenced primary has expired"
)

// phase is a state of a failover. The phases follow one another in the order of
// the constants; a successor that is rejected, no longer listed or too slow leads
// back to phaseChoosing.
type phase uint8

const (
	// phaseSteady: no failover is under way.
	phaseSteady phase = iota
	// phaseFenced: the record is fenced; the coordinator waits until no instance can
	// use the primary any more.
	phaseFenced
	// phaseChoosing: the candidates' statuses are requested to select a successor.
	phaseChoosing
	// phasePromoting: the promotion of the successor is requested.
	phasePromoting
	// phaseConfirming: the promotion was accepted; the successor's status is polled
	// until it is primary and its record can be published.
	phaseConfirming
)

// Coordinator decides the steps of one service's failover. It performs no I/O:
// Step returns the next action, its caller runs it and passes the outcome to
// HandleResult. A coordinator is not safe for concurrent use.
type Coordinator struct {
	phase phase
	// actionRunning is set from an action's return until its result is handled.
	actionRunning bool
	// nextActionAt is when the next action may start.
	nextActionAt time.Duration
	// phaseStart is when the phase began.
	phaseStart time.Duration
	// entryMissingSince is when the primary's directory entry was first missing, while
	// entryMissing is set.
	entryMissingSince time.Duration
	entryMissing      bool
	// nextNoticeAt is when callers may be told again why the service waits.
	nextNoticeAt time.Duration
	// wait is the wait for databases that was last noted, and nextWaitAt when it may be noted again.
	wait       Wait
	nextWaitAt time.Duration
	// remainder is what is known of the databases that are left while others are lost.
	remainder remainder
	// successor is the target selected to become primary, and choice what that rests on.
	successor topology.TargetID
	choice    choice
	// orders are the requests for the promotion that the record names.
	orders orders
	// nextRoleCheckAt is when the roles of the targets may be checked again.
	nextRoleCheckAt time.Duration
	// rejectedAt is when the platform last rejected each target as successor.
	rejectedAt map[topology.TargetID]time.Duration
	// promotionOrdered is set from the first request for a promotion until the successor's
	// record is published.
	promotionOrdered bool
	// verifications is the number of status requests without a primary that fits the record
	// that is being verified.
	verifications int
	// replaced is the previous primary. It is to be demoted with demoteTerm, which is
	// zero when no demotion is pending.
	replaced   topology.TargetID
	demoteTerm topology.Term
}

func (c *Coordinator) enterPhase(now time.Duration, p phase) {
	c.phase, c.phaseStart, c.nextActionAt = p, now, now
	c.promotionOrdered = c.promotionOrdered && p != phaseSteady
}

// Busy reports whether a failover is under way.
func (c *Coordinator) Busy() bool { return c.phase != phaseSteady || c.actionRunning }

// PromotionOrdered reports whether the failover under way has requested a promotion, which
// may still take effect.
func (c *Coordinator) PromotionOrdered() bool { return c.promotionOrdered }

// Step returns the next action, or one of kind NoAction when there is nothing to
// do or an action is still running.
func (c *Coordinator) Step(now time.Duration, v View) Action {
	c.orders.begin(now)
	if c.actionRunning || now < c.nextActionAt {
		return Action{}
	}
	action := c.nextAction(now, v)
	c.actionRunning = action.Kind != NoAction
	c.promotionOrdered = c.promotionOrdered || action.Kind == PromoteTarget
	return action
}

// nextAction advances the phase as far as the view allows and returns the action
// that is due.
func (c *Coordinator) nextAction(now time.Duration, v View) Action {
	if v.Revision == 0 && len(v.Known) == 0 {
		return c.bootstrap(v)
	}
	if !v.verified() {
		return c.verify(v)
	}
	if v.Record.Fenced && c.phase == phaseSteady {
		c.enterPhase(now, phaseFenced)
	}
	if !v.Record.Fenced && c.phase != phaseSteady {
		c.enterPhase(now, phaseSteady)
		if c.successor != "" && v.Record.Primary == c.successor {
			c.demoteTerm = v.Record.Term // its record was published, but the response was lost
		}
	}
	switch c.phase {
	case phaseFenced:
		reason := reasonFenceAcknowledged
		switch {
		case v.FenceAcknowledged:
		case v.AuthorityExpiresAt == 0 || now < v.AuthorityExpiresAt:
			return Action{}
		default:
			reason = reasonAuthorityExpired
		}
		c.enterPhase(now, phaseChoosing)
		action := c.requestStatuses(now, v)
		action.Reason = reason
		return action
	case phaseChoosing:
		return c.requestStatuses(now, v)
	case phasePromoting:
		target, known := v.Targets[c.successor]
		switch {
		case !known || target.Incarnation != c.choice.incarnation:
			c.enterPhase(now, phaseChoosing)
			return c.requestStatuses(now, v)
		case now-c.choice.checkedAt > maxChoiceAge:
			return Action{Kind: RequestStatuses, Targets: []directory.Target{target}, Reason: "checking the successor again"}
		case v.Record.Order.names(target) && c.orders.confirmed(v.Record):
		case v.Record.Order.names(target):
			return reopenOrder(v)
		case !c.orders.settled(now, v): // of an earlier leader, not known when the successor was chosen
			c.enterPhase(now, phaseChoosing)
			return c.requestStatuses(now, v)
		default:
			return c.publishOrder(v, target)
		}
		return Action{Kind: PromoteTarget, Target: target, Reason: "replica with the longest log"}
	case phaseConfirming:
		target, known := v.Targets[c.successor]
		if !known || now-c.phaseStart > promotionTimeout {
			c.enterPhase(now, phaseChoosing)
			return c.requestStatuses(now, v)
		}
		return Action{Kind: RequestStatuses, Targets: []directory.Target{target}, Reason: "waiting for the promotion"}
	default:
		return c.checkPrimary(now, v)
	}
}

// bootstrap returns the status request that precedes the first record of a service,
// once a target is listed as primary. The store may have been restored to a time before
// the service's records.
func (c *Coordinator) bootstrap(v View) Action {
	if !v.PromotionsSettled {
		return Action{}
	}
	var primaries []directory.Target
	for _, t := range v.Targets {
		if t.Role == topology.RolePrimary && !t.Draining {
			primaries = append(primaries, t)
		}
	}
	if len(primaries) == 0 {
		return Action{}
	}
	return Action{Kind: RequestStatuses, Targets: primaries, Reason: "first record"}
}

// checkPrimary returns the action of the steady phase: the demotion of a replaced
// primary, or the publication of a fence when the primary is to be replaced.
func (c *Coordinator) checkPrimary(now time.Duration, v View) Action {
	if c.demoteTerm != 0 {
		old, known := v.Targets[c.replaced]
		term := c.demoteTerm
		c.demoteTerm = 0
		if known && c.replaced != v.Record.Primary && old.Role == topology.RolePrimary {
			return Action{Kind: DemoteReplaced, Target: old, Term: term, Reason: "replaced by a primary of a higher term"}
		}
	}
	reason := c.replacementReason(now, v)
	if reason == "" || !hasCandidate(v) {
		if check := c.checkRoles(now, v); check.Kind != NoAction {
			return check
		}
		if published := publishDatabases(v); published.Kind != NoAction {
			return published
		}
		return c.checkRemainder(now, v)
	}
	return c.fencePrimary(now, v, reason)
}

// fencePrimary returns the publication of a fence of the record's primary.
func (c *Coordinator) fencePrimary(now time.Duration, v View, reason string) Action {
	record := v.Record
	if c.orders.settledInUse(now, v) {
		record.Order = nil
	}
	return publishFence(v, record, reason)
}

// publishFence returns the publication of a record that fences the primary. The sequence exceeds the
// record's revision, and so the sequences of an earlier record that was deleted.
func publishFence(v View, record Record, reason string) Action {
	record.Fenced, record.FenceSequence, record.Era = true, max(record.NextFenceSequence(v.Era), uint64(v.Revision)+1), v.Era
	record.Waiting = ""
	return Action{Kind: PublishRecord, Record: v.recordDatabases(record), Revision: v.Revision, Reason: reason}
}

// replacementReason returns why the primary is to be replaced, empty when it is
// not.
func (c *Coordinator) replacementReason(now time.Duration, v View) string {
	primary, listed := v.Targets[v.Record.Primary]
	if !listed {
		if !c.entryMissing {
			c.entryMissing, c.entryMissingSince = true, now
		}
		switch {
		case otherPrimaryListed(v):
			return "another target is listed as primary"
		case now-c.entryMissingSince >= missingEntryTimeout || v.SuspectCount >= suspectQuorum(v):
			return "the primary is no longer listed"
		default:
			return ""
		}
	}
	c.entryMissing = false
	switch {
	case primary.Draining:
		return "the primary is draining"
	case v.SuspectCount >= suspectQuorum(v):
		return "instances cannot reach the primary"
	default:
		return ""
	}
}

// otherPrimaryListed reports whether a target other than the record's primary is
// listed as primary: a primary may come back under another ID.
func otherPrimaryListed(v View) bool {
	for id, t := range v.Targets {
		if id != v.Record.Primary && t.Role == topology.RolePrimary && !t.Draining {
			return true
		}
	}
	return false
}

// suspectQuorum returns how many instances must suspect the primary before it is
// replaced.
func suspectQuorum(v View) int {
	needed := int(math.Ceil(float64(v.InstanceCount) * minSuspectShare))
	if v.OwnerCount > 0 {
		needed = min(needed, v.OwnerCount)
	}
	return max(1, needed)
}

// hasCandidate reports whether a target is listed that could replace the primary.
func hasCandidate(v View) bool {
	for id, t := range v.Targets {
		if id != v.Record.Primary && !t.Draining {
			return true
		}
	}
	return false
}

// rejectionTimeout is how long a rejected successor is excluded.
const rejectionTimeout = time.Second

func (c *Coordinator) isRejected(now time.Duration, id topology.TargetID) bool {
	since, rejected := c.rejectedAt[id]
	return rejected && now-since < rejectionTimeout
}

// HandleResult processes the result of the action that Step or the previous
// HandleResult returned. It may return a further action, which is to be run
// immediately.
func (c *Coordinator) HandleResult(now time.Duration, v View, r Result) Action {
	c.actionRunning = false
	switch r.Action.Kind {
	case PublishRecord:
		c.orders.observeRecord(r)
		if r.Failed {
			c.nextActionAt = now + retryInterval
			return Action{}
		}
		if !r.Action.Record.Fenced {
			c.demoteTerm = r.Action.Record.Term
			c.enterPhase(now, phaseSteady)
		}
	case RequestStatuses:
		return c.handleStatuses(now, v, r)
	case PromoteTarget:
		c.handlePromotion(now, r)
	}
	return Action{}
}

// handlePromotion evaluates the response to a promotion request.
func (c *Coordinator) handlePromotion(now time.Duration, r Result) {
	c.orders.observe(now, r)
	switch {
	case r.Rejected:
		if c.rejectedAt == nil {
			c.rejectedAt = make(map[topology.TargetID]time.Duration)
		}
		c.rejectedAt[r.Action.Target.ID] = now
		c.enterPhase(now, phaseChoosing)
	case r.Failed:
		c.nextActionAt = now + retryInterval
	default:
		c.enterPhase(now, phaseConfirming)
	}
}

// handleStatuses evaluates the targets' statuses according to the phase. It may
// return an action to run immediately.
func (c *Coordinator) handleStatuses(now time.Duration, v View, r Result) Action {
	c.nextActionAt = now + probeInterval
	if v.Revision == 0 && len(v.Known) == 0 {
		return c.startFollowUp(c.firstRecord(v, r))
	}
	if !v.verified() {
		return c.startFollowUp(c.verifiedRecord(v, r.Statuses))
	}
	if c.phase == phaseConfirming {
		status, responded := r.Statuses[c.successor]
		if !responded || !c.isPromoted(now, v, status) {
			return Action{}
		}
		return c.startFollowUp(c.publishSuccessor(now, v, status))
	}
	if c.phase == phasePromoting {
		return c.checkChoice(now, v, r.Statuses)
	}
	if c.phase == phaseSteady {
		if fence := c.compareRoles(now, v, r.Statuses); fence.Kind != NoAction {
			return c.startFollowUp(fence)
		}
		return c.startFollowUp(c.releaseLost(v, r.Statuses))
	}
	if c.phase != phaseChoosing {
		return Action{}
	}
	successor, status, found := c.chooseSuccessor(now, v, r.Statuses)
	c.noteWait(now, v, found, r.Statuses)
	if !found {
		if resumption := c.resumePrimary(now, v, r.Statuses); resumption.Kind != NoAction {
			return c.startFollowUp(resumption)
		}
		if c.orders.rejected(v.Record) {
			return c.startFollowUp(withdrawOrder(v))
		}
		if published := publishDatabases(v); published.Kind != NoAction {
			return c.startFollowUp(published)
		}
		return c.startFollowUp(c.publishWait(now, v, r.Statuses))
	}
	if c.isLatestPrimary(v, successor, r.Statuses) {
		c.successor = successor
		return c.startFollowUp(c.publishSuccessor(now, v, status))
	}
	if old, alive := r.Statuses[v.Record.Primary]; alive && c.orders.settled(now, v) && now-c.phaseStart < catchUpTimeout &&
		successor != v.Record.Primary && !status.Received.Reaches(old.Received) {
		return Action{}
	}
	c.successor = successor
	c.choice = choice{incarnation: v.Targets[successor].Incarnation, received: status.Received, checkedAt: now}
	if status.Role == topology.RolePrimary {
		c.choice.ledTerm = status.Term
	}
	c.enterPhase(now, phasePromoting)
	return Action{}
}

// startFollowUp marks an action that HandleResult returns as running.
func (c *Coordinator) startFollowUp(a Action) Action {
	c.actionRunning = a.Kind != NoAction
	return a
}
