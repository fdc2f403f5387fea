package floor_test

import (
	"errors"
	"fmt"

	"samphirehitch.example/samphirehitch/connection/floor"
	"samphirehitch.example/samphirehitch/process/topology"
)

// A session's write raises its floor. Its next read goes to a replica that has
// replayed the floor.
func ExampleFloor() {
	session := floor.New()
	session.Raise("orders", topology.Point{Term: 3, Position: 120})

	replicas := []topology.Status{
		{Target: "orders-b", Replayed: topology.Point{Term: 3, Position: 90}},
		{Target: "orders-c", Replayed: topology.Point{Term: 3, Position: 150}},
	}
	for _, replica := range replicas {
		fmt.Println(replica.Target, replica.Replayed.Reaches(session.At("orders")))
	}
	// Output:
	// orders-b false
	// orders-c true
}

// A token takes a session's floor to another process. A token never lowers a
// floor, and a malformed one changes nothing.
func ExampleFloor_Present() {
	here, there := floor.New(), floor.New()
	here.Raise("orders", topology.Point{Term: 3, Position: 120})
	there.Raise("orders", topology.Point{Term: 2, Position: 900})

	old := here.Token()
	fmt.Println(there.Present(old), there.At("orders"))
	there.Raise("orders", topology.Point{Term: 3, Position: 200})
	fmt.Println(there.Present(old), there.At("orders"))

	var refused *floor.TokenError
	fmt.Println(errors.As(there.Present("?"), &refused), there.At("orders"))
	// Output:
	// <nil> 3/120
	// <nil> 3/200
	// true 3/200
}
