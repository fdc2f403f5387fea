package promotion

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// member is the coordinator's state for one member of the group.
type member struct {
	Target
	// status is the member's last response; it is valid if hasStatus is set. The
	// request for it was sent at statusRequestedAt.
	hasStatus         bool
	status            topology.Status
	statusRequestedAt time.Duration
	// misses counts the latest requests in a row that got no response. The first
	// of them was sent at firstMissSentAt.
	misses          int
	firstMissSentAt time.Duration
}

// health is the coordinator's assessment of the group.
type health struct {
	cause   Cause
	primary *member
	// since is when the cause began.
	since time.Duration
	// majorityFresh is set when the status of a majority is fresh.
	majorityFresh bool
	// allFresh is set when the status of every member is fresh.
	allFresh bool
}

// isFresh reports whether the member's status is not older than MaxStatusAge and no
// later request has failed.
func (c *Coordinator) isFresh(m *member, now time.Duration) bool {
	return m.hasStatus && m.misses == 0 && m.statusRequestedAt >= now-c.config.MaxStatusAge
}

// isSilentFor reports whether the member has not responded to its requests for at
// least the duration.
func (c *Coordinator) isSilentFor(m *member, now, duration time.Duration) bool {
	return m.misses > 0 && now-m.firstMissSentAt >= duration
}

// assessHealth evaluates the members' last responses. Without fresh responses from
// a majority it finds no cause, so that an instance that is cut off from the group
// starts no promotion.
func (c *Coordinator) assessHealth(now time.Duration) health {
	freshCount := 0
	for i := range c.members {
		if c.isFresh(&c.members[i], now) {
			freshCount++
		}
	}
	h := health{primary: c.primary()}
	h.majorityFresh = freshCount >= c.majoritySize()
	h.allFresh = freshCount == len(c.members)
	if !h.majorityFresh {
		return h
	}
	h.cause, h.since = c.diagnose(h.primary, now)
	return h
}

// diagnose returns the cause for a promotion, if any, in a group whose majority
// responds, and since when it has existed.
func (c *Coordinator) diagnose(primary *member, now time.Duration) (Cause, time.Duration) {
	switch {
	case primary == nil:
		return CauseHeadless, now
	case primary.misses >= c.config.MinMissedResponses && c.isSilentFor(primary, now, c.config.DetectionTimeout):
		return CauseSilent, primary.firstMissSentAt
	case !c.isFresh(primary, now):
		return CauseNone, 0
	case c.stalled && now-c.stalledSince >= c.stallTimeout:
		return CauseStalled, c.stalledSince
	case c.isSplit(primary, now):
		return CauseSplit, now
	case c.canHandOver(primary, now):
		return CauseLeaving, now
	default:
		return CauseNone, 0
	}
}

// isSplit reports whether a member with a fresh status is fenced at a term above
// the primary's.
func (c *Coordinator) isSplit(primary *member, now time.Duration) bool {
	for i := range c.members {
		m := &c.members[i]
		if c.isFresh(m, now) && m.status.Term > primary.status.Term {
			return true
		}
	}
	return false
}

// canHandOver reports whether the primary is leaving and can be replaced: a
// majority of the group responds at its term without counting the primary itself,
// and at least one of these members is not leaving.
func (c *Coordinator) canHandOver(primary *member, now time.Duration) bool {
	if !c.isLeaving(primary.status) || now < c.nextHandoverAt {
		return false
	}
	remaining, staying := 0, 0
	for i := range c.members {
		m := &c.members[i]
		if m == primary || !c.isFresh(m, now) || m.status.Term != primary.status.Term {
			continue
		}
		remaining++
		if !c.isLeaving(m.status) {
			staying++
		}
	}
	return remaining >= c.majoritySize() && staying > 0
}

// primary returns the member that is primary of a term which a majority's last
// responses carry, or nil.
func (c *Coordinator) primary() *member {
	for i := range c.members {
		m := &c.members[i]
		if !m.hasStatus || m.status.Role != topology.RolePrimary {
			continue
		}
		count := 0
		for j := range c.members {
			if c.members[j].hasStatus && c.members[j].status.Term == m.status.Term {
				count++
			}
		}
		if count >= c.majoritySize() {
			return m
		}
	}
	return nil
}

// updateStall records whether the primary's log is ahead of every majority at its
// term, and since when no replica's log has grown. replicaAdvanced is set when
// the response just processed shows a replica's log at another point than before.
func (c *Coordinator) updateStall(now time.Duration, replicaAdvanced bool) {
	primary := c.primary()
	sameTerm := primary != nil && primary.ID == c.lastPrimary && primary.status.Term == c.lastPrimaryTerm
	if c.stalled && !sameTerm {
		c.raiseStallTimeout(now)
	}
	unreplicated := primary != nil && !c.isReplicated(primary)
	if !unreplicated || replicaAdvanced || !c.stalled || !sameTerm {
		c.stalledSince = now
	}
	c.stalled = unreplicated
	if primary != nil {
		c.lastPrimary = primary.ID
		c.lastPrimaryTerm = primary.status.Term
	}
	if now-c.stallTimeoutRaisedAt >= c.config.StallTimeoutResetAfter {
		c.stallTimeout = c.config.StallTimeout
	}
}

// raiseStallTimeout raises the timeout for the next stall if this one is likely to
// have caused the promotion, by any instance, that ended it: the replaced primary
// still responds and the stall lasted at least half the timeout.
func (c *Coordinator) raiseStallTimeout(now time.Duration) {
	const growthFactor = 4
	stalledPrimary := c.member(c.lastPrimary)
	if stalledPrimary == nil || !c.isFresh(stalledPrimary, now) || now-c.stalledSince < c.stallTimeout/2 {
		return
	}
	c.stallTimeout = min(c.stallTimeout*growthFactor, c.config.MaxStallTimeout)
	c.stallTimeoutRaisedAt = now
}

// isReplicated reports whether a majority at the primary's term, the primary
// included, holds the primary's whole log.
func (c *Coordinator) isReplicated(primary *member) bool {
	holding := 0
	for i := range c.members {
		m := &c.members[i]
		if m.hasStatus && m.status.Term == primary.status.Term && m.status.Received.Reaches(primary.status.Received) {
			holding++
		}
	}
	return holding >= c.majoritySize()
}

// ObservePrimary returns what this instance observes of a primary of the term or
// above, in response to a peer's ObservationRequest.
func (c *Coordinator) ObservePrimary(now time.Duration, term topology.Term) Observation {
	freshCount := 0
	othersSilent := true
	for i := range c.members {
		m := &c.members[i]
		if c.isFresh(m, now) {
			freshCount++
			if m.status.Role == topology.RolePrimary && m.status.Term >= term {
				return ObservationPrimaryResponds
			}
			continue
		}
		othersSilent = othersSilent && c.isSilentFor(m, now, c.config.SupportTimeout)
	}
	if freshCount >= c.majoritySize() && othersSilent {
		return ObservationNoPrimary
	}
	return ObservationInconclusive
}

// maxTerm returns the highest term in the members' last responses and in refused
// fences.
func (c *Coordinator) maxTerm() topology.Term {
	highest := c.maxRefusedTerm
	for i := range c.members {
		if c.members[i].hasStatus {
			highest = max(highest, c.members[i].status.Term)
		}
	}
	return highest
}

func (c *Coordinator) majoritySize() int { return topology.Majority(len(c.members)) }

func (c *Coordinator) member(id topology.TargetID) *member {
	i := slices.IndexFunc(c.members, func(m member) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return &c.members[i]
}
