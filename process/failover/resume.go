package failover

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// resumePrimary returns the publication of a record that lifts the fence from a primary which is
// back with its role, its term and its log, and which there is no more reason to replace, when no
// other target can be promoted. No promotion of another target may have been requested since
// the fence: it may have taken effect at one that does not respond. The term goes on, since
// nobody else has led.
func (c *Coordinator) resumePrimary(now time.Duration, v View, statuses map[topology.TargetID]TargetStatus) Action {
	status, responded := statuses[v.Record.Primary]
	switch {
	case !responded || status.Role != topology.RolePrimary || status.Term != v.Record.Term || !status.Received.Reaches(v.Record.TermStart):
		return Action{}
	case now < c.phaseStart+waitNotice || c.replacementReason(now, v) != "":
		return Action{}
	case c.orders.mayHaveReplaced(v.Record):
		return Action{}
	}
	for _, other := range statuses {
		if other.Term > status.Term {
			return Action{}
		}
	}
	record := v.Record
	record.Fenced, record.Waiting, record.Order = false, "", c.orders.outstanding(now, v, v.Record.Primary)
	return Action{Kind: PublishRecord, Record: v.recordDatabases(record), Revision: v.Revision, Reason: "the primary is back and no other target can be promoted"}
}
