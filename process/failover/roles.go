package failover

import (
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// roleCheckInterval is the least time between two checks of targets whose listed roles differ
// from the record. Each occupies a slot of the target.
const roleCheckInterval = 500 * time.Millisecond

// checkRoles returns the status request to targets whose listed roles differ from the record: a
// promotion that was not ordered by this leader, or took effect later than expected, leaves the
// record behind, and its primary goes on until it reaches the new one. The primary that
// this leader has replaced keeps its role for a while, and counts once it was listed as replica.
func (c *Coordinator) checkRoles(now time.Duration, v View) Action {
	if now < c.nextRoleCheckAt {
		return Action{}
	}
	var targets []directory.Target
	for id, t := range v.Targets {
		expected := topology.RoleReplica
		if id == v.Record.Primary {
			expected = topology.RolePrimary
		}
		switch {
		case id != c.replaced && t.Role != expected:
			targets = append(targets, t)
		case id == c.replaced && t.Role == topology.RoleReplica:
			c.replaced = ""
		}
	}
	if len(targets) == 0 {
		return Action{}
	}
	c.nextRoleCheckAt = now + roleCheckInterval
	return Action{Kind: RequestStatuses, Targets: targets, Reason: "listed roles differ from the record"}
}

// compareRoles returns the publication of a fence if a target leads a later term than the
// record, or the record's primary follows one. The fence names such a target as ordered: it may be
// silent once a successor is chosen.
func (c *Coordinator) compareRoles(now time.Duration, v View, statuses map[topology.TargetID]TargetStatus) Action {
	for id, status := range statuses {
		switch {
		case v.Record.Fenced || status.Term <= v.Record.Term:
		case id != v.Record.Primary && status.Role == topology.RolePrimary:
			c.orders.own = Order{} // the promotion is not known to be this leader's
			fence := c.fencePrimary(now, v, "another target leads a later term")
			fence.Record.Order = mergeOrders(fence.Record.Order, &Order{Successor: id, Incarnation: v.Targets[id].Incarnation, Received: status.Received})
			return fence
		case id == v.Record.Primary && status.Role == topology.RoleReplica:
			return c.fencePrimary(now, v, "the primary follows a later term")
		}
	}
	return Action{}
}
