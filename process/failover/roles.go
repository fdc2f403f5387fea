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
// record, or the record's primary follows one. The fence names such a target as ordered, the one of
// the latest term if there are several: it may be silent once a successor is chosen.
func (c *Coordinator) compareRoles(now time.Duration, v View, statuses map[topology.TargetID]TargetStatus) Action {
	if v.Record.Fenced {
		return Action{}
	}
	var leader topology.TargetID
	led := v.Record.Term
	for id, status := range statuses {
		if id != v.Record.Primary && status.Role == topology.RolePrimary && status.Term > led {
			leader, led = id, status.Term
		}
	}
	if leader != "" {
		c.orders.own = Order{} // the promotion is not known to be this leader's
		fence := c.fencePrimary(now, v, "another target leads a later term")
		fence.Record.Order = mergeOrders(fence.Record.Order, &Order{Successor: leader, Incarnation: v.Targets[leader].Incarnation, Received: statuses[leader].Received})
		return fence
	}
	if primary := statuses[v.Record.Primary]; primary.Role == topology.RoleReplica && primary.Term > v.Record.Term {
		return c.fencePrimary(now, v, "the primary follows a later term")
	}
	return Action{}
}
