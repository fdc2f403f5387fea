package failover

import (
	"maps"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// maxNames bounds the names in a record: each new address adds one.
const maxNames = 64

// recordDatabases returns a record with the number of databases and their names, which rise with
// those that are listed. One that is listed is not lost.
func (v View) recordDatabases(r Record) Record {
	if v.SynchronousReplicas == 0 {
		return r
	}
	listed := listedDatabases(v.Targets)
	if names := mergeNames(r.Names, listed); len(names) <= maxNames {
		r.Names = names
	}
	r.Lost = withoutNames(r.Lost, listed)
	r.Databases = max(r.Databases, len(listed)+len(r.Lost))
	return r
}

// publishDatabases returns the publication of the number of databases and their names if they
// have changed, and of those that are declared lost, so that later leaders know them too. Entries
// also expire while a successor is searched.
func publishDatabases(v View) Action {
	record := v.acceptLoss(v.recordDatabases(v.Record))
	if record.Equal(v.Record) {
		return Action{}
	}
	return Action{Kind: PublishRecord, Record: record, Revision: v.Revision, Reason: "the listed or the lost databases have changed"}
}

// listedDatabases returns the databases that are listed, sorted.
func listedDatabases(targets map[topology.TargetID]directory.Target) []string {
	databases := make(map[string]bool)
	for id, t := range targets {
		databases[database(id, t)] = true
	}
	return slices.Sorted(maps.Keys(databases))
}

// mergeNames returns the names that either list holds, sorted.
func mergeNames(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// withoutNames returns the names that the second list does not hold, nil if there are none.
func withoutNames(names, without []string) []string {
	var kept []string
	for _, name := range names {
		if !slices.Contains(without, name) {
			kept = append(kept, name)
		}
	}
	return kept
}

// Wait is a wait for databases without which a successor may lack acknowledged commits.
type Wait struct {
	// Missing is the number of databases that have to respond besides those that do, zero if
	// there is no such wait.
	Missing int
	// Databases are those of which some have to respond, sorted. It may lack databases that only
	// earlier versions have seen.
	Databases []string
}

// Equal reports whether two waits are for the same databases.
func (w Wait) Equal(other Wait) bool {
	return w.Missing == other.Missing && slices.Equal(w.Databases, other.Databases)
}

// noteWait notes for which databases the service waits, from waitNotice on and at the interval of
// the notices to callers.
func (c *Coordinator) noteWait(now time.Duration, v View, found bool, statuses map[topology.TargetID]TargetStatus) {
	switch {
	case found:
		c.wait, c.nextWaitAt = Wait{}, 0
	case now >= max(c.phaseStart+waitNotice, c.nextWaitAt):
		c.wait, c.nextWaitAt = c.awaited(now, v, statuses), now+waitNoticeInterval
	}
}

// awaited returns for which databases the service waits, after no successor was found.
func (c *Coordinator) awaited(now time.Duration, v View, statuses map[topology.TargetID]TargetStatus) Wait {
	_, candidate, found := c.bestCandidate(now, v, statuses)
	if v.SynchronousReplicas == 0 || found {
		return Wait{}
	}
	reached := reachedDatabases(v, candidate, statuses)
	known := v.recordDatabases(v.Record)
	return Wait{Missing: max(0, v.neededDatabases()-len(reached)), Databases: withoutNames(withoutNames(known.Names, known.Lost), reached)}
}

// Waits returns for which databases the failover under way waits.
func (c *Coordinator) Waits() Wait {
	if c.phase != phaseChoosing {
		return Wait{}
	}
	return c.wait
}
