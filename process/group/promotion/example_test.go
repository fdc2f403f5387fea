package promotion_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// members stands in for the control interface of a group.
type members map[topology.TargetID]*topology.Status

// fence makes a member promise a term.
func (m members) fence(id topology.TargetID, term topology.Term) (topology.Status, promotion.Outcome) {
	status, up := m[id]
	switch {
	case !up:
		return topology.Status{}, promotion.OutcomeLost
	case status.Term >= term:
		return *status, promotion.OutcomeRefused
	}
	status.Term, status.Role = term, topology.RoleReplica
	return *status, promotion.OutcomeDone
}

// promote makes a member primary; the others of its term follow its log.
func (m members) promote(id topology.TargetID, term topology.Term) (topology.Status, promotion.Outcome) {
	status, up := m[id]
	switch {
	case !up:
		return topology.Status{}, promotion.OutcomeLost
	case status.Term != term || status.Role == topology.RolePrimary:
		return *status, promotion.OutcomeRefused
	}
	status.Role = topology.RolePrimary
	for _, member := range m {
		if member.Term == term {
			member.Received = status.Received
		}
	}
	return *status, promotion.OutcomeDone
}

// newCoordinator returns the coordinator of an instance for a group of three.
func newCoordinator(self topology.InstanceID, domain topology.FailureDomain) *promotion.Coordinator {
	c := promotion.New(promotion.DefaultConfig(self, domain), rand.New(rand.NewPCG(1, 1)))
	c.SetTargets([]promotion.Target{
		{Target: platform.Target{ID: "a", Control: "10.0.0.1:8001"}},
		{Target: platform.Target{ID: "b", Control: "10.0.0.2:8001"}},
		{Target: platform.Target{ID: "c", Control: "10.0.0.3:8001"}},
	})
	return c
}

// observe asks every member for its status. Requests to one that is gone time
// out.
func observe(c *promotion.Coordinator, now time.Duration, group members, out *[]promotion.Action) {
	const timeout = 100 * time.Millisecond
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		if status, up := group[id]; up {
			c.Answered(now, now, id, *status, out)
			continue
		}
		c.Missed(now, now-timeout, id, out)
	}
}

// The primary stops. A peer of another failure domain misses it too, a majority
// is fenced, and the member with the longest log is promoted.
func ExampleCoordinator() {
	group := members{
		"a": {Target: "a", Role: topology.RolePrimary, Term: 1, Received: topology.Point{Term: 1, Position: 120}},
		"b": {Target: "b", Role: topology.RoleReplica, Term: 1, Received: topology.Point{Term: 1, Position: 100}},
		"c": {Target: "c", Role: topology.RoleReplica, Term: 1, Received: topology.Point{Term: 1, Position: 120}},
	}
	const peer = topology.InstanceID("two")
	here, there := newCoordinator("one", "north"), newCoordinator(peer, "south")
	here.SetWatchers([]promotion.Peer{{ID: "one", Domain: "north"}, {ID: peer, Domain: "south"}})

	for now := time.Duration(0); now < 3*time.Second; now += 50 * time.Millisecond {
		if now == time.Second {
			delete(group, "a")
		}
		var todo, ignored []promotion.Action
		observe(there, now, group, &ignored)
		observe(here, now, group, &todo)
		for len(todo) > 0 {
			action := todo[0]
			todo = todo[1:]
			switch action.Kind {
			case promotion.ActionInquire:
				opinion := promotion.Opinion{Number: action.Inquiry.Number, Sight: there.Sight(now, action.Inquiry.Term)}
				here.Heard(now, peer, opinion, &todo)
			case promotion.ActionClaim:
				fmt.Println("claim, since the primary is", action.Cause)
				here.Claimed(now, action.Attempt, promotion.ClaimGranted, &todo)
			case promotion.ActionFence:
				status, outcome := group.fence(action.Target.ID, action.Term)
				here.Fenced(now, action.Attempt, action.Target.ID, status, outcome, &todo)
			case promotion.ActionPromote:
				fmt.Println("promote", action.Target.ID, "at term", action.Term)
				status, outcome := group.promote(action.Target.ID, action.Term)
				here.Promoted(now, action.Attempt, status, outcome, &todo)
			case promotion.ActionSettle:
				here.Settled(now, action.Attempt, *group[action.Target.ID], promotion.OutcomeDone, &todo)
			case promotion.ActionReport:
				fmt.Println("primary:", action.Gap.Primary, "claimed:", action.Gap.Claimed)
			case promotion.ActionRelease:
				fmt.Println("release the claim")
			}
		}
	}
	// Output:
	// claim, since the primary is silent
	// promote c at term 2
	// primary: c claimed: true
	// release the claim
}
