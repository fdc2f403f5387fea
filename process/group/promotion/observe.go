package promotion

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// member is what the coordinator knows of one member.
type member struct {
	Target
	known      bool
	status     topology.Status
	answeredAt time.Duration
	// misses counts the requests in a row that got no answer and missedSince is
	// when the first of them was sent.
	misses      int
	missedSince time.Duration
}

// health is the assessment of a group.
type health struct {
	cause   Cause
	primary *member
	// since is when the trouble began.
	since time.Duration
	// quorum tells whether a majority's answers are fresh.
	quorum bool
	// complete tells whether every member's answer is.
	complete bool
}

func (c *Coordinator) fresh(m *member, now time.Duration) bool {
	return m.known && m.misses == 0 && m.answeredAt >= now-c.config.FreshWindow
}

// silent reports whether the member left requests unanswered for as long.
func (c *Coordinator) silent(m *member, now, after time.Duration) bool {
	return m.misses > 0 && now-m.missedSince >= after
}

// assess judges the group by the members' last answers.
func (c *Coordinator) assess(now time.Duration) health {
	freshCount := 0
	for i := range c.members {
		if c.fresh(&c.members[i], now) {
			freshCount++
		}
	}
	h := health{primary: c.primary()}
	h.quorum = freshCount >= c.majority()
	h.complete = freshCount == len(c.members)
	if !h.quorum {
		return h
	}
	h.cause, h.since = c.diagnose(h.primary, now)
	return h
}

// diagnose finds what is wrong with a group of which a majority answers.
func (c *Coordinator) diagnose(p *member, now time.Duration) (Cause, time.Duration) {
	switch {
	case p == nil:
		return CauseHeadless, now
	case p.misses >= c.config.DetectMisses && c.silent(p, now, c.config.DetectAfter):
		return CauseSilent, p.missedSince
	case !c.fresh(p, now):
		return CauseNone, 0
	case c.stalling && now-c.stalledSince >= c.stallAfter:
		return CauseStalled, c.stalledSince
	case c.split(p, now):
		return CauseSplit, now
	case c.replaceable(p, now):
		return CauseLeaving, now
	default:
		return CauseNone, 0
	}
}

// split reports whether a member that answers is fenced beyond the primary's
// term.
func (c *Coordinator) split(p *member, now time.Duration) bool {
	for i := range c.members {
		m := &c.members[i]
		if c.fresh(m, now) && m.status.Term > p.status.Term {
			return true
		}
	}
	return false
}

// replaceable reports whether the primary is leaving and can be done without: a
// majority without it answers, and one of them stays.
func (c *Coordinator) replaceable(p *member, now time.Duration) bool {
	if !c.leaving(p.status) || now < c.handoverAt {
		return false
	}
	others, staying := 0, 0
	for i := range c.members {
		m := &c.members[i]
		if m == p || !c.fresh(m, now) || m.status.Term != p.status.Term {
			continue
		}
		others++
		if !c.leaving(m.status) {
			staying++
		}
	}
	return others >= c.majority() && staying > 0
}

// primary returns the member that is primary of a term which a majority's last
// answers name as theirs, or nil.
func (c *Coordinator) primary() *member {
	for i := range c.members {
		m := &c.members[i]
		if !m.known || m.status.Role != topology.RolePrimary {
			continue
		}
		count := 0
		for j := range c.members {
			if c.members[j].known && c.members[j].status.Term == m.status.Term {
				count++
			}
		}
		if count >= c.majority() {
			return m
		}
	}
	return nil
}

// observeStall notes whether the primary is ahead of every majority at its term
// while no replica's log grows. Changed tells that the last answer brought a
// replica's log forward.
func (c *Coordinator) observeStall(now time.Duration, changed bool) {
	p := c.primary()
	sameReign := p != nil && p.ID == c.stallPrimary && p.status.Term == c.stallTerm
	if c.stalling && !sameReign {
		c.endStalledReign(now)
	}
	behind := p != nil && !c.replicated(p)
	if !behind || changed || !c.stalling || !sameReign {
		c.stalledSince = now
	}
	c.stalling = behind
	if p != nil {
		c.stallPrimary = p.ID
		c.stallTerm = p.status.Term
	}
	if now-c.stallRaised >= c.config.StallMemory {
		c.stallAfter = c.config.StallAfter
	}
}

// endStalledReign bears the next stall longer when this one, of a primary that
// answers, has led to a promotion by whichever instance.
func (c *Coordinator) endStalledReign(now time.Duration) {
	const growth = 4
	old := c.member(c.stallPrimary)
	if old == nil || !c.fresh(old, now) || now-c.stalledSince < c.stallAfter/2 {
		return
	}
	c.stallAfter = min(c.stallAfter*growth, c.config.StallLimit)
	c.stallRaised = now
}

// replicated reports whether a majority at the primary's term holds its log.
func (c *Coordinator) replicated(p *member) bool {
	holding := 0
	for i := range c.members {
		m := &c.members[i]
		if m.known && m.status.Term == p.status.Term && m.status.Received.Reaches(p.status.Received) {
			holding++
		}
	}
	return holding >= c.majority()
}

// Sight answers an inquiry about a primary of the term or above.
func (c *Coordinator) Sight(now time.Duration, term topology.Term) Sight {
	freshCount := 0
	blind := true
	for i := range c.members {
		m := &c.members[i]
		if c.fresh(m, now) {
			freshCount++
			if m.status.Role == topology.RolePrimary && m.status.Term >= term {
				return SightPrimary
			}
			continue
		}
		blind = blind && c.silent(m, now, c.config.EvidenceAfter)
	}
	if freshCount >= c.majority() && blind {
		return SightNoPrimary
	}
	return SightUnclear
}

// topTerm returns the highest term that any answer carried.
func (c *Coordinator) topTerm() topology.Term {
	top := c.seenTerm
	for i := range c.members {
		if c.members[i].known {
			top = max(top, c.members[i].status.Term)
		}
	}
	return top
}

func (c *Coordinator) majority() int { return topology.Majority(len(c.members)) }

func (c *Coordinator) member(id topology.TargetID) *member {
	i := slices.IndexFunc(c.members, func(m member) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return &c.members[i]
}
