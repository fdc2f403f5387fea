package failover

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// resumeAfter is how long after this leader first saw the fence the primary may be used
	// again: a promotion that an earlier leader requested has taken effect by then.
	resumeAfter = 2500 * time.Millisecond
	// resumeInterval is the least time between two such attempts: instances may be unable to
	// reach a primary that the leader reaches.
	resumeInterval = 10 * time.Second
	// resumeGrace is how long after it suspicions from before are ignored, which their
	// instances withdraw when they see the record.
	resumeGrace = time.Second
)

// resumePrimary returns the publication of a record that lifts the fence from a primary which is
// back with its role, its term and its log, while no other target can be promoted. This
// leader must have requested no promotion that may still take effect.
func (c *Coordinator) resumePrimary(now time.Duration, v View, statuses map[topology.TargetID]TargetStatus) Action {
	status, responded := statuses[v.Record.Primary]
	switch {
	case !responded || status.Role != topology.RolePrimary || status.Term != v.Record.Term,
		!status.Received.Reaches(v.Record.TermStart), v.Targets[v.Record.Primary].Draining:
		return Action{}
	case c.promotionOrdered || !v.PromotionsSettled || now < c.fencedAt+resumeAfter:
		return Action{}
	case c.resumed && now < c.resumedAt+resumeInterval:
		return Action{}
	}
	for _, other := range statuses {
		if other.Term > status.Term {
			return Action{}
		}
	}
	c.resumed, c.resumedAt = true, now
	record := v.Record
	record.Fenced, record.Waiting, record.Era = false, "", v.Era
	return Action{Kind: PublishRecord, Record: record, Revision: v.Revision, Reason: "the primary is back and no other target can be promoted"}
}

// ignoresSuspicions reports whether suspicions of the primary may be from before it was back.
func (c *Coordinator) ignoresSuspicions(now time.Duration) bool {
	return c.resumed && now < c.resumedAt+resumeGrace
}
