package failover

import (
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// firstRecord returns the publication of a service's first record. It names the
// primary of the highest term, since a replaced primary may keep that role for a
// while. A primary that is listed and does not respond may have the highest one, so it is
// waited for until it is no longer listed.
func (c *Coordinator) firstRecord(v View, r Result) Action {
	var first Record
	for _, asked := range r.Action.Targets {
		target, listed := v.Targets[asked.ID]
		if _, responded := r.Statuses[asked.ID]; !responded && listed && target.Role == topology.RolePrimary && !target.Draining {
			return Action{}
		}
	}
	for id, status := range r.Statuses {
		if status.Role == topology.RolePrimary && status.Term > first.Term {
			first = Record{Primary: id, Term: status.Term, TermStart: status.Received, Terms: []TermBegin{beginOf(status.Term, status.Received)}, Era: v.Era}
		}
	}
	if first.Primary == "" {
		return Action{}
	}
	return Action{Kind: PublishRecord, Record: v.recordDatabases(first), Reason: "first record"}
}

// publishSuccessor returns the publication of the record that names the successor
// and lifts the fence.
func (c *Coordinator) publishSuccessor(now time.Duration, v View, status TargetStatus) Action {
	c.replaced = v.Record.Primary
	successor := v.Record
	successor.Order = c.orders.outstanding(now, v.Record, c.successor)
	successor.Primary, successor.Fenced, successor.Waiting, successor.Era = c.successor, false, "", v.Era
	successor.Terms = v.Record.extendHistory(status.Term, status.Received)
	successor.Term, successor.TermStart = status.Term, status.Received
	return Action{Kind: PublishRecord, Record: v.recordDatabases(successor), Revision: v.Revision, Reason: "the successor is primary"}
}

// requestStatuses requests the status of all candidates, and of the old primary,
// which may still be alive: its log tells whether a replica has caught up.
func (c *Coordinator) requestStatuses(now time.Duration, v View) Action {
	var targets []directory.Target
	for id, t := range v.Targets {
		// A draining target is no candidate, but may hold acknowledged commits.
		if id == v.Record.Primary || v.SynchronousReplicas > 0 || (!t.Draining && !c.isRejected(now, id)) {
			targets = append(targets, t)
		}
	}
	if len(targets) == 0 {
		c.nextActionAt = now + retryInterval
		return Action{}
	}
	return Action{Kind: RequestStatuses, Targets: targets, Reason: "choosing a successor"}
}

// promotedPrimary returns the target that is already primary in the record's term or a later
// one, of the highest term if there are several: either promotions took effect whose responses
// were lost, or the primary came back with its log under another ID.
func (c *Coordinator) promotedPrimary(now time.Duration, v View, statuses map[topology.TargetID]TargetStatus) (id topology.TargetID, primary TargetStatus) {
	for candidate, status := range statuses {
		if c.mayReplace(now, v, candidate) && status.Role == topology.RolePrimary && status.Term >= max(v.Record.Term, primary.Term+1) {
			id, primary = candidate, status
		}
	}
	return id, primary
}

// mayReplace reports whether a target may become the service's primary instead of the present one.
func (c *Coordinator) mayReplace(now time.Duration, v View, id topology.TargetID) bool {
	return !v.Targets[id].Draining && id != v.Record.Primary && !c.isRejected(now, id)
}

// isCandidate reports whether a target may be promoted. A target whose log the service has left
// may not until it has followed the present primary, also if no other responds: its promotion
// would bring back commits that reads have not shown since, and remove those made instead.
func (c *Coordinator) isCandidate(now time.Duration, v View, id topology.TargetID, status TargetStatus) bool {
	return c.mayReplace(now, v, id) && v.Record.shareOf(status.Received).complete
}

// bestCandidate returns the candidate with the longest log. Where replicas acknowledge commits,
// the log has to hold all acknowledged ones; see holdsAcknowledged. If there is no candidate, the
// service waits.
func (c *Coordinator) bestCandidate(now time.Duration, v View, statuses map[topology.TargetID]TargetStatus) (topology.TargetID, TargetStatus, bool) {
	var id topology.TargetID
	var bestStatus TargetStatus
	for candidate, status := range statuses {
		if !c.isCandidate(now, v, candidate, status) {
			continue
		}
		comparison := status.Received.Compare(bestStatus.Received)
		if id == "" || comparison > 0 || (comparison == 0 && candidate < id) {
			id, bestStatus = candidate, status
		}
	}
	return id, bestStatus, id != "" && holdsAcknowledged(v, bestStatus, statuses)
}

// Reasons for which a service waits although databases respond.
const (
	waitingForHistory         = "the databases that respond hold a log that the service has left"
	waitingForAcknowledgement = "the databases that respond may lack acknowledged commits"
	waitingForResponse        = "none of the databases that could be promoted responds"
	waitingForOrder           = "the promotion of a database that does not respond may still take effect"
)

// waitReason returns why none of the databases that respond can be promoted, empty if none
// responds but the old primary and those that are draining.
func waitReason(v View, statuses map[topology.TargetID]TargetStatus) string {
	reason := ""
	for id, status := range statuses {
		switch {
		case id == v.Record.Primary || v.Targets[id].Draining:
		case v.Record.shareOf(status.Received).complete:
			return waitingForAcknowledgement
		default:
			reason = waitingForHistory
		}
	}
	return reason
}

// publishWait returns the publication of the reason for which the service waits, so that
// callers are refused at once and told so. While it is unknown, the last one stays, except that an
// order which has settled is none any more.
func (c *Coordinator) publishWait(now time.Duration, v View, statuses map[topology.TargetID]TargetStatus) Action {
	waiting := v.Record
	waiting.Waiting = waitReason(v, statuses)
	if !c.orders.settled(now, v.Record) {
		waiting.Waiting = waitingForOrder
	}
	if waiting.Waiting == "" && v.Record.Waiting == waitingForOrder {
		waiting.Waiting = waitingForResponse
	}
	if waiting.Waiting == "" || waiting.Waiting == v.Record.Waiting {
		return Action{}
	}
	if now < max(c.phaseStart+waitNotice, c.nextNoticeAt) {
		return Action{}
	}
	c.nextNoticeAt = now + waitNoticeInterval
	return Action{Kind: PublishRecord, Record: waiting, Revision: v.Revision, Reason: waiting.Waiting}
}
