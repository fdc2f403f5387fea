package group

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// waiter is one open wait for a condition.
type waiter struct {
	id        WaiterID
	condition Condition
	// Only responses to requests with a sequence above joinedSequence count.
	joinedSequence uint64
	joinedAt       time.Duration
	// replication is used for ConditionCommit and, once a primary has reported the
	// transaction, for ConditionOutcome. resolution is used for ConditionOutcome.
	replication replicationCheck
	resolution  resolution
}

// lagPollDivisor sets the interval of requests to a replica that lags behind the
// waiter's point: the time that the waiter has already waited, divided by it.
const lagPollDivisor = 8

// replicationCheck checks that a majority of the group is at the term of a primary
// and holds its log up to a point.
type replicationCheck struct {
	Commit
	// point is set from the first response of the primary that was requested after
	// the commit. It is not moved afterwards, so that later writes do not delay the
	// confirmation.
	point      topology.Point
	pointKnown bool
}

// replicationState is the state of a replicationCheck.
type replicationState uint8

const (
	// replicationPending: neither of the other states is known yet.
	replicationPending replicationState = iota
	// replicationConfirmed: a majority holds the log up to the point.
	replicationConfirmed
	// replicationPrimaryReplaced: the target is no longer primary of the term.
	replicationPrimaryReplaced
)

// completeWaiter reports whether the waiter's condition is met or can no longer be
// met, and if so appends the waiter's result.
func (r *Rounds) completeWaiter(w *waiter, now time.Duration, out *Output) bool {
	result := WaitResult{Waiter: w.id}
	switch w.condition.Kind {
	case ConditionView:
		if !r.isViewComplete(w) {
			return false
		}
	case ConditionFloor:
		point, ok := r.readFloor(w)
		if !ok {
			return false
		}
		result.Point = point
	case ConditionCommit:
		w.replication.Commit = w.condition.Commit
		state := r.checkReplication(w, now)
		if state == replicationPending {
			return false
		}
		result.Point = w.replication.point
		result.Replaced = state == replicationPrimaryReplaced
	case ConditionOutcome:
		if !r.advanceResolution(w, now, out) {
			return false
		}
		result.Point = w.replication.point
		result.Outcome = w.resolution.outcome
	}
	out.Results = append(out.Results, result)
	return true
}

// isViewComplete reports whether the requests sent since the waiter joined allow a
// view: a majority that includes the primary has responded, or every member has
// responded or failed to.
func (r *Rounds) isViewComplete(w *waiter) bool {
	responded, completed := 0, 0
	for i := range r.members {
		m := &r.members[i]
		if m.statusSequence > w.joinedSequence {
			responded++
		}
		if max(m.statusSequence, m.failedSequence) > w.joinedSequence {
			completed++
		}
	}
	if len(r.members) > 0 && completed == len(r.members) {
		return true
	}
	primary := r.primary()
	return responded >= r.majoritySize() && primary != nil && primary.statusSequence > w.joinedSequence
}

// readFloor returns the lowest known point that covers every write acknowledged
// before the waiter joined. A majority holds each such write, so every majority that
// responds later includes a member that holds it. The highest point of any majority
// therefore covers all of them; readFloor uses the majority whose highest point is
// the lowest.
func (r *Rounds) readFloor(w *waiter) (topology.Point, bool) {
	r.scratchPoints = r.scratchPoints[:0]
	for i := range r.members {
		if m := &r.members[i]; m.statusSequence > w.joinedSequence {
			r.scratchPoints = append(r.scratchPoints, m.status.Received)
		}
	}
	return majorityPoint(r.scratchPoints, r.majoritySize())
}

// majorityPoint returns the lowest point that is not exceeded by the points of a
// majority of the members, or false if there are fewer points than a majority. It
// reorders points.
func majorityPoint(points []topology.Point, majority int) (topology.Point, bool) {
	if len(points) < majority {
		return topology.Point{}, false
	}
	slices.SortFunc(points, topology.Point.Compare)
	return points[majority-1], true
}

// checkReplication evaluates the responses to requests sent after the waiter joined.
// Replication is confirmed once a majority that includes the primary is at the
// primary's term and holds the log up to the point, all by responses requested within
// the last MaxConfirmationAge. If a promotion had fenced a majority before the oldest
// of these requests, at least one of the responses would carry the promotion's term.
// So the primary cannot have been replaced for longer than MaxConfirmationAge.
func (r *Rounds) checkReplication(w *waiter, now time.Duration) replicationState {
	check := &w.replication
	primary := r.member(check.Target)
	if primary == nil {
		return replicationPrimaryReplaced
	}
	if primary.statusSequence > w.joinedSequence {
		status := &primary.status
		replaced := status.Term > check.Term || status.Term == check.Term && status.Role != topology.RolePrimary
		if replaced {
			return replicationPrimaryReplaced
		}
		if !check.pointKnown && status.Term == check.Term && status.Received.Term == check.Term {
			check.point = status.Received
			check.pointKnown = true
		}
	}
	holding, atHigherTerm := 0, 0
	for i := range r.members {
		m := &r.members[i]
		if m.statusSequence <= w.joinedSequence {
			continue
		}
		if m.status.Term > check.Term {
			atHigherTerm++
		}
		if r.confirmsReplication(w, m, now) {
			holding++
		}
	}
	if atHigherTerm >= r.majoritySize() {
		return replicationPrimaryReplaced
	}
	if holding >= r.majoritySize() && r.confirmsReplication(w, primary, now) {
		return replicationConfirmed
	}
	return replicationPending
}

// confirmsReplication reports whether the member's last response counts toward the
// waiter's replication check.
func (r *Rounds) confirmsReplication(w *waiter, m *member, now time.Duration) bool {
	check := &w.replication
	return check.pointKnown &&
		m.statusSequence > w.joinedSequence &&
		m.statusRequestedAt >= now-r.config.MaxConfirmationAge &&
		m.status.Term == check.Term &&
		m.status.Received.Reaches(check.point)
}

// waiterRequestAt returns when the waiter needs the next request to the member, or
// never.
func (r *Rounds) waiterRequestAt(w *waiter, m *member, now time.Duration) time.Duration {
	if m.requestSequence <= w.joinedSequence {
		return now
	}
	if m.statusSequence <= w.joinedSequence {
		return m.requestedAt + r.config.RetryInterval
	}
	switch w.condition.Kind {
	case ConditionCommit:
		return r.replicationRequestAt(w, m, now)
	case ConditionOutcome:
		if w.resolution.phase == resolutionReplicating {
			return r.replicationRequestAt(w, m, now)
		}
		return m.requestedAt + resolutionPollInterval
	default:
		return never
	}
}

// replicationRequestAt returns when the waiter's replication check needs the next
// request to the member. Responses that still count, and those of replicas while the
// point is not known, are renewed before they are too old. A member that does not
// hold the point yet is requested at intervals that grow with the waiting time.
func (r *Rounds) replicationRequestAt(w *waiter, m *member, now time.Duration) time.Duration {
	if m.status.Term > w.replication.Term {
		return m.requestedAt + r.config.RetryInterval
	}
	if r.confirmsReplication(w, m, now) {
		return m.statusRequestedAt + r.config.MaxConfirmationAge/2
	}
	if !w.replication.pointKnown && m.ID != w.replication.Target {
		return m.statusRequestedAt + r.config.MaxConfirmationAge/2
	}
	return m.requestedAt + (m.requestedAt-w.joinedAt)/lagPollDivisor
}
