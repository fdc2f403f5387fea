package group

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// waiter is one open wait.
type waiter struct {
	id   WaiterID
	need Need
	// joined is the sequence after which requests count.
	joined   uint64
	joinedAt time.Duration
	// hold is the evidence that the wait collects; for a NeedOutcome it is set
	// once a primary has reported.
	hold       hold
	resolution resolution
}

// waitPerPoll spaces the requests for a lagging member: each waits this fraction
// of the time that the waiter has waited.
const waitPerPoll = 8

// hold asks for a majority at a primary's term whose logs reach a point.
type hold struct {
	Commit
	// point is fixed by the first answer of the primary that was requested
	// after the commit, so that later writes do not move it.
	point   topology.Point
	pointed bool
}

// verdict is the state of a hold.
type verdict uint8

const (
	verdictOpen verdict = iota
	verdictHeld
	verdictReplaced
)

// serve appends the waiter's result and returns true once its need is met.
func (r *Rounds) serve(w *waiter, now time.Duration, out *Output) bool {
	result := Result{Waiter: w.id}
	switch w.need.Kind {
	case NeedView:
		if !r.viewed(w) {
			return false
		}
	case NeedFloor:
		point, ok := r.floor(w)
		if !ok {
			return false
		}
		result.Point = point
	case NeedCommit:
		w.hold.Commit = w.need.Commit
		verdict := r.judgeHold(w, now)
		if verdict == verdictOpen {
			return false
		}
		result.Point = w.hold.point
		result.Replaced = verdict == verdictReplaced
	case NeedOutcome:
		if !r.resolve(w, now, out) {
			return false
		}
		result.Point = w.hold.point
		result.Outcome = w.resolution.outcome
	}
	out.Results = append(out.Results, result)
	return true
}

// viewed reports whether the answers since the waiter joined make a view: those
// of a majority with the primary, or an answer or a failure of every member.
func (r *Rounds) viewed(w *waiter) bool {
	answered, settled := 0, 0
	for i := range r.members {
		m := &r.members[i]
		if m.answered > w.joined {
			answered++
		}
		if max(m.answered, m.failed) > w.joined {
			settled++
		}
	}
	if len(r.members) > 0 && settled == len(r.members) {
		return true
	}
	primary := r.primary()
	return answered >= r.majority() && primary != nil && primary.answered > w.joined
}

// floor returns the lowest point that covers every write acknowledged before the
// waiter joined. Such a write is held by a majority, so every other majority
// that answered later has a member that holds it: the highest point of any
// majority covers it, and floor takes the majority whose highest is lowest.
func (r *Rounds) floor(w *waiter) (topology.Point, bool) {
	r.points = r.points[:0]
	for i := range r.members {
		if m := &r.members[i]; m.answered > w.joined {
			r.points = append(r.points, m.status.Received)
		}
	}
	return majorityPoint(r.points, r.majority())
}

// majorityPoint returns the lowest point that a majority of the members does not
// exceed. It reorders points.
func majorityPoint(points []topology.Point, majority int) (topology.Point, bool) {
	if len(points) < majority {
		return topology.Point{}, false
	}
	slices.SortFunc(points, topology.Point.Compare)
	return points[majority-1], true
}

// judgeHold weighs the answers requested after the waiter joined. The hold is
// met when the primary itself and a majority with it are at the primary's term
// and hold the log up to the point, by answers requested within the evidence
// window: had a promotion fenced a majority before the oldest of these requests,
// one of the answers would carry its term.
func (r *Rounds) judgeHold(w *waiter, now time.Duration) verdict {
	h := &w.hold
	primary := r.member(h.Target)
	if primary == nil {
		return verdictReplaced
	}
	if primary.answered > w.joined {
		status := &primary.status
		replaced := status.Term > h.Term || status.Term == h.Term && status.Role != topology.RolePrimary
		if replaced {
			return verdictReplaced
		}
		if !h.pointed && status.Term == h.Term && status.Received.Term == h.Term {
			h.point = status.Received
			h.pointed = true
		}
	}
	holding, beyond := 0, 0
	for i := range r.members {
		m := &r.members[i]
		if m.answered <= w.joined {
			continue
		}
		if m.status.Term > h.Term {
			beyond++
		}
		if r.holds(w, m, now) {
			holding++
		}
	}
	if beyond >= r.majority() {
		return verdictReplaced
	}
	if holding >= r.majority() && r.holds(w, primary, now) {
		return verdictHeld
	}
	return verdictOpen
}

// holds reports whether the member's last answer is evidence for the hold.
func (r *Rounds) holds(w *waiter, m *member, now time.Duration) bool {
	h := &w.hold
	return h.pointed &&
		m.answered > w.joined &&
		m.answeredAt >= now-r.config.EvidenceWindow &&
		m.status.Term == h.Term &&
		m.status.Received.Reaches(h.point)
}

// wants returns when the waiter wants the member to be asked, or never.
func (r *Rounds) wants(w *waiter, m *member, now time.Duration) time.Duration {
	if m.asked <= w.joined {
		return now
	}
	if m.answered <= w.joined {
		return m.askedAt + r.config.RetryGap
	}
	switch w.need.Kind {
	case NeedCommit:
		return r.holdWants(w, m, now)
	case NeedOutcome:
		if w.resolution.phase == resolutionHolding {
			return r.holdWants(w, m, now)
		}
		return m.askedAt + resolutionPollInterval
	default:
		return never
	}
}

func (r *Rounds) holdWants(w *waiter, m *member, now time.Duration) time.Duration {
	if m.status.Term > w.hold.Term {
		return m.askedAt + r.config.RetryGap
	}
	if r.holds(w, m, now) {
		return m.answeredAt + r.config.EvidenceWindow/2
	}
	if !w.hold.pointed && m.ID != w.hold.Target {
		return m.answeredAt + r.config.EvidenceWindow/2
	}
	return m.askedAt + (m.askedAt-w.joinedAt)/waitPerPoll
}
