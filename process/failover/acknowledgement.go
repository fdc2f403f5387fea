package failover

import (
	"cmp"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// groupSize returns the number of databases that may hold the log of the service: the most
// that were listed at the same time, since one that is silent is soon not listed any more. A
// database that drains and its replacement have the same address and one log.
func (v View) groupSize() int {
	return max(v.Record.Databases, listedDatabases(v.Targets), v.SynchronousReplicas+1)
}

// databasesToRecord returns the Databases of the service's next record.
func (v View) databasesToRecord() int {
	if v.SynchronousReplicas == 0 {
		return v.Record.Databases
	}
	return max(v.Record.Databases, listedDatabases(v.Targets))
}

// listedDatabases returns the number of databases that are listed.
func listedDatabases(targets map[topology.TargetID]directory.Target) int {
	databases := make(map[string]bool)
	for id, t := range targets {
		databases[database(id, t)] = true
	}
	return len(databases)
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
	reached := make(map[string]bool)
	for id, status := range statuses {
		part := v.Record.shareOf(status.Received)
		if !part.known || part.end > candidate.Received.Position {
			continue
		}
		if id == v.Record.Primary && status.Role == topology.RolePrimary && status.Term == v.Record.Term && part.complete {
			return true
		}
		reached[database(id, v.Targets[id])] = true
	}
	return len(reached) >= v.groupSize()-v.SynchronousReplicas
}
