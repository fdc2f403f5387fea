package failover

import (
	"cmp"
	"maps"
	"slices"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// groupSize returns the number of databases that may hold the log of the service: the most
// that were listed at the same time, since one that is silent is soon not listed any more. Lost
// databases that still count go with those that are listed. A database that drains and its
// replacement have the same address and one log.
func (v View) groupSize() int {
	return max(v.recordDatabases(v.Record).Databases, v.SynchronousReplicas+1)
}

// neededDatabases returns the number of databases whose logs a candidate's log has to reach: all that
// are left if more databases are lost than a commit may lose.
func (v View) neededDatabases() int {
	return min(v.groupSize()-v.SynchronousReplicas, v.remainingDatabases())
}

// database identifies a database across its replacement at the same address.
func database(id topology.TargetID, t directory.Target) string { return cmp.Or(t.Address, string(id)) }

// holdsAcknowledged reports whether a candidate's log, which belongs to the history, is known
// to hold every commit that the service has acknowledged.
//
// Of n databases with k synchronous replicas, k+1 hold an acknowledged commit: the primary
// that made it and k replicas. No promotion removes it from them, as long as each promoted log
// holds it. Any k+1 and any n-k of n databases have one in common. So the candidate's log holds
// the commit if it reaches the logs of n-k databases, of which it is one: the one in common
// holds the commit, in a log that the candidate's log reaches. With fewer responses, k+1 others
// may hold a commit that the candidate lacks. Of a log that the service has left, the part
// before the branch counts; it holds nothing of the history after it. A log of which that part
// is not known counts as no response, like that of a database that has lost its log.
//
// The candidate's log holds every acknowledged commit as well if it reaches that of the
// record's primary, which has them all.
func holdsAcknowledged(v View, candidate TargetStatus, statuses map[topology.TargetID]TargetStatus) bool {
	if v.SynchronousReplicas == 0 {
		return true
	}
	primary, responded := statuses[v.Record.Primary]
	if responded && primary.Role == topology.RolePrimary && primary.Term == v.Record.Term &&
		v.Record.shareOf(primary.Received).complete && candidate.reaches(v.Record, primary) {
		return true
	}
	return len(reachedDatabases(v, candidate, statuses)) >= v.neededDatabases()
}

// reaches reports whether the log reaches the part of another one that belongs to the history.
func (s TargetStatus) reaches(r Record, other TargetStatus) bool {
	part := r.shareOf(other.Received)
	return part.known && part.end <= s.Received.Position
}

// reachedDatabases returns the databases whose logs a candidate's log reaches, sorted.
func reachedDatabases(v View, candidate TargetStatus, statuses map[topology.TargetID]TargetStatus) []string {
	reached := make(map[string]bool)
	for id, status := range statuses {
		if candidate.reaches(v.Record, status) {
			reached[database(id, v.Targets[id])] = true
		}
	}
	return slices.Sorted(maps.Keys(reached))
}
