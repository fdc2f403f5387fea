package promotion_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// members emulates the control interface of a group. A member that is missing from
// the map does not respond.
type members map[topology.TargetID]*topology.Status

// fence makes a member promise a term.
func (m members) fence(id topology.TargetID, term topology.Term) (topology.Status, promotion.ControlOutcome) {
	status, alive := m[id]
	switch {
	case !alive:
		return topology.Status{}, promotion.ControlIndeterminate
	case status.Term >= term:
		return *status, promotion.ControlRefused
	}
	status.Term, status.Role = term, topology.RoleReplica
	return *status, promotion.ControlSucceeded
}

// promote makes a member primary. The other members of its term replicate its log.
func (m members) promote(id topology.TargetID, term topology.Term) (topology.Status, promotion.ControlOutcome) {
	status, alive := m[id]
	switch {
	case !alive:
		return topology.Status{}, promotion.ControlIndeterminate
	case status.Term != term || status.Role == topology.RolePrimary:
		return *status, promotion.ControlRefused
	}
	status.Role = topology.RolePrimary
	for _, member := range m {
		if member.Term == term {
			member.Received = status.Received
		}
	}
	return *status, promotion.ControlSucceeded
}

// newCoordinator returns an instance's coordinator for a group of three members.
func newCoordinator(self topology.InstanceID, domain topology.FailureDomain) *promotion.Coordinator {
	c := promotion.New(promotion.DefaultConfig(self, domain), rand.New(rand.NewPCG(1, 1)))
	c.SetTargets([]promotion.Target{
		{Target: platform.Target{ID: "a", Control: "10.0.0.1:8001"}},
		{Target: platform.Target{ID: "b", Control: "10.0.0.2:8001"}},
		{Target: platform.Target{ID: "c", Control: "10.0.0.3:8001"}},
	})
	return c
}

// observe requests the status of every member. Requests to a stopped member time
// out.
func observe(c *promotion.Coordinator, now time.Duration, group members, out *[]promotion.Action) {
	const timeout = 100 * time.Millisecond
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		if status, alive := group[id]; alive {
			c.HandleStatus(now, now, id, *status, out)
			continue
		}
		c.HandleStatusFailure(now, now-timeout, id, out)
	}
}

// The primary stops. An instance in another failure domain observes no primary
// either, a majority of the members is fenced, and the member with the longest log
// is promoted.
func ExampleCoordinator() {
	group := members{
		"a": {Target: "a", Role: topology.RolePrimary, Term: 1, Received: topology.Point{Term: 1, Position: 120}},
		"b": {Target: "b", Role: topology.RoleReplica, Term: 1, Received: topology.Point{Term: 1, Position: 100}},
		"c": {Target: "c", Role: topology.RoleReplica, Term: 1, Received: topology.Point{Term: 1, Position: 120}},
	}
	const peer = topology.InstanceID("two")
	coordinator, peerCoordinator := newCoordinator("one", "north"), newCoordinator(peer, "south")
	coordinator.SetWatchers([]promotion.Peer{{ID: "one", Domain: "north"}, {ID: peer, Domain: "south"}})

	for now := time.Duration(0); now < 3*time.Second; now += 50 * time.Millisecond {
		if now == time.Second {
			delete(group, "a")
		}
		var actions, peerActions []promotion.Action
		observe(peerCoordinator, now, group, &peerActions)
		observe(coordinator, now, group, &actions)
		for len(actions) > 0 {
			action := actions[0]
			actions = actions[1:]
			switch action.Kind {
			case promotion.ActionRequestObservations:
				response := promotion.ObservationResponse{
					Number:      action.ObservationRequest.Number,
					Observation: peerCoordinator.ObservePrimary(now, action.ObservationRequest.Term),
				}
				coordinator.HandleObservation(now, peer, response, &actions)
			case promotion.ActionClaim:
				fmt.Println("claim, since the primary is", action.Cause)
				coordinator.HandleClaim(now, action.PhaseID, promotion.ClaimGranted, &actions)
			case promotion.ActionFence:
				status, outcome := group.fence(action.Target.ID, action.Term)
				coordinator.HandleFence(now, action.PhaseID, action.Target.ID, status, outcome, &actions)
			case promotion.ActionPromote:
				fmt.Println("promote", action.Target.ID, "at term", action.Term)
				status, outcome := group.promote(action.Target.ID, action.Term)
				coordinator.HandlePromotion(now, action.PhaseID, status, outcome, &actions)
			case promotion.ActionCheckPromotion:
				coordinator.HandlePromotionCheck(now, action.PhaseID, *group[action.Target.ID], promotion.ControlSucceeded, &actions)
			case promotion.ActionReportGap:
				fmt.Println("primary:", action.Gap.Primary, "claimed:", action.Gap.Claimed)
			case promotion.ActionReleaseClaim:
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
