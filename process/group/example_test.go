package group_test

import (
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// A commit is confirmed once responses that were requested after it show that a
// majority holds it. Here the third member does not respond.
func ExampleRounds() {
	members := map[topology.TargetID]*topology.Status{
		"a": {Target: "a", Role: topology.RolePrimary, Term: 7, Received: topology.Point{Term: 7, Position: 120}},
		"b": {Target: "b", Role: topology.RoleReplica, Term: 7, Received: topology.Point{Term: 7, Position: 100}},
	}
	rounds := group.NewRounds("orders", group.DefaultRoundsConfig())
	var out group.Output
	rounds.SetTargets(0, []group.TargetConfig{
		{Target: platform.Target{ID: "a", Control: "10.0.0.1:8001"}},
		{Target: platform.Target{ID: "b", Control: "10.0.0.2:8001"}},
		{Target: platform.Target{ID: "c", Control: "10.0.0.3:8001"}},
	}, &out)

	const waiter group.WaiterID = 1
	rounds.AddWaiter(0, waiter, group.Condition{
		Kind:   group.ConditionCommit,
		Commit: group.Commit{Target: "a", Term: 7},
	}, &out)
	now := time.Duration(0)
	for confirmed := false; !confirmed && now < time.Second; now += 10 * time.Millisecond {
		if now == 30*time.Millisecond {
			fmt.Println("b receives the commit")
			members["b"].Received.Position = 120
		}
		requests := append([]group.StatusRequest(nil), out.StatusRequests...)
		out.Reset()
		for _, request := range requests {
			if status, alive := members[request.Target.ID]; alive {
				rounds.HandleStatus(now, request.Sequence, *status, &out)
				continue
			}
			rounds.HandleStatusFailure(now, request.Sequence, &out)
		}
		for _, result := range out.Results {
			confirmed = true
			fmt.Println("confirmed:", !result.Replaced, "up to", result.Point)
		}
		rounds.Tick(now, &out)
	}
	// Output:
	// b receives the commit
	// confirmed: true up to 7/120
}
