package failover

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// maxChoiceAge is the age of the successor's status beyond which it is requested again before
// the promotion is ordered: the platform may accept no order for a while, and the process of
// the leader may be suspended.
const maxChoiceAge = 500 * time.Millisecond

// choice is what the choice of a successor rests on. A database may start again under its ID
// and know nothing of its log, so the choice does not outlast that.
type choice struct {
	// incarnation is the successor's when it was chosen, and received the end of its log.
	incarnation int64
	received    topology.Point
	// ledTerm is the term that the successor led when it was chosen, zero if it was a replica.
	ledTerm topology.Term
	// checkedAt is when the successor was last chosen or checked.
	checkedAt time.Duration
}

// checkChoice evaluates the successor's status before its promotion is ordered again. A
// successor that holds less than it was chosen for leads to another choice. One that does not
// respond is ordered again: the platform rejects it if it does not run, and an earlier order
// may take effect yet.
func (c *Coordinator) checkChoice(now time.Duration, v View, statuses map[topology.TargetID]TargetStatus) Action {
	status, responded := statuses[c.successor]
	switch {
	case responded && c.isPromoted(now, v, status):
		return c.startFollowUp(c.publishSuccessor(now, v, status))
	case responded && !status.Received.Reaches(c.choice.received):
		c.enterPhase(now, phaseChoosing)
	default:
		c.choice.checkedAt, c.nextActionAt = now, now
	}
	return Action{}
}

// isPromoted reports whether the successor's status shows that its promotion has taken effect, or
// that it was the present primary before.
func (c *Coordinator) isPromoted(now time.Duration, v View, status TargetStatus) bool {
	return status.Role == topology.RolePrimary && status.Term >= v.Record.Term &&
		(status.Term > c.choice.ledTerm || c.orders.changedNothing(now))
}
