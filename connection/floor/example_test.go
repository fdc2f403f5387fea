package floor_test

import (
	"errors"
	"fmt"

	"samphirehitch.example/samphirehitch/connection/floor"
	"samphirehitch.example/samphirehitch/process/topology"
)

// A write raises the floor of its session. The session's next read may only use a
// replica that has replayed the log up to the floor.
func ExampleFloor() {
	session := floor.New()
	session.Raise("orders", topology.Point{Term: 3, Position: 120})

	replicas := []topology.Status{
		{Target: "orders-b", Replayed: topology.Point{Term: 3, Position: 90}},
		{Target: "orders-c", Replayed: topology.Point{Term: 3, Position: 150}},
	}
	for _, replica := range replicas {
		fmt.Println(replica.Target, replica.Replayed.Reaches(session.Point("orders")))
	}
	// Output:
	// orders-b false
	// orders-c true
}

// A token transfers a session's floor to another instance. It never lowers a floor,
// and a malformed token has no effect.
func ExampleFloor_ApplyToken() {
	local, remote := floor.New(), floor.New()
	local.Raise("orders", topology.Point{Term: 3, Position: 120})
	remote.Raise("orders", topology.Point{Term: 2, Position: 900})

	token := local.Token()
	fmt.Println(remote.ApplyToken(token), remote.Point("orders"))
	remote.Raise("orders", topology.Point{Term: 3, Position: 200})
	fmt.Println(remote.ApplyToken(token), remote.Point("orders"))

	var tokenError *floor.TokenError
	fmt.Println(errors.As(remote.ApplyToken("?"), &tokenError), remote.Point("orders"))
	// Output:
	// <nil> 3/120
	// <nil> 3/200
	// true 3/200
}
