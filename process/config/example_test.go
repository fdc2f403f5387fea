package config_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// changeHistory is a fake store: one change for each revision.
type changeHistory []store.Change

func (h *changeHistory) write(key, value string) store.Revision {
	revision := store.Revision(len(*h) + 1)
	*h = append(*h, store.Change{Entry: store.Entry{Key: key, Value: []byte(value), Revision: revision}})
	return revision
}

// fleetDriver runs two coordinators, of which only the first reaches the store.
type fleetDriver struct {
	store        changeHistory
	ids          []topology.InstanceID
	coordinators map[topology.InstanceID]*config.Coordinator
	// watches holds the revisions after which the instances' watches wait for
	// changes.
	watches map[topology.InstanceID]store.Revision
	// partitioned is set while the instances cannot reach each other.
	partitioned bool
}

// handle delivers an event to an instance and carries out its actions.
func (f *fleetDriver) handle(now time.Duration, id topology.InstanceID, event config.Event) {
	storeReachable := id == f.ids[0]
	for _, action := range slices.Clone(f.coordinators[id].Handle(now, event)) {
		switch action := action.(type) {
		case config.StartList:
			outcome := config.ListDone{Err: store.ErrUnavailable}
			if storeReachable {
				outcome = config.ListDone{Listing: store.Listing{Revision: store.Revision(len(f.store))}}
			}
			f.handle(now, id, outcome)
		case config.StartWatch:
			if storeReachable {
				f.watches[id] = action.After
				continue
			}
			f.handle(now, id, config.WatchDone{Err: store.ErrUnavailable})
		case config.StopWatch:
			delete(f.watches, id)
		case config.StartSwap:
			outcome := config.SwapDone{Err: store.ErrUnavailable}
			if storeReachable {
				outcome = config.SwapDone{Revision: f.store.write(action.Swap.Key, string(action.Swap.Value))}
			}
			f.handle(now, id, outcome)
		case config.Send:
			if !f.partitioned {
				f.handle(now, action.To, config.MessageReceived{From: id, Message: action.Message})
			}
		case config.Publish:
			for _, entry := range action.State.Entries {
				fmt.Printf("%s has %s = %s\n", id, entry.Key, entry.Value)
			}
		case config.FreshnessChanged:
			fmt.Println(id, "is", action.Freshness)
		}
	}
}

// run ticks the instances and responds to their watches from one time until
// another.
func (f *fleetDriver) run(from, until time.Duration) {
	for now := from; now < until; now += config.TickInterval {
		for _, id := range f.ids {
			f.handle(now, id, config.Tick{})
			after, waiting := f.watches[id]
			if complete := store.Revision(len(f.store)); waiting && after < complete {
				delete(f.watches, id)
				f.handle(now, id, config.WatchDone{Changes: f.store[after:], CompleteRevision: complete})
			}
		}
	}
}

// One instance watches the store. The other cannot reach it and gets changes
// and evidence of their recency from its peer, until the link between them is
// cut. Before there is any evidence, a majority without it counts as an outage
// of the store.
func ExampleCoordinator() {
	instances := []platform.Instance{
		{ID: "one", FailureDomain: "north", State: platform.InstanceLive},
		{ID: "two", FailureDomain: "south", State: platform.InstanceLive},
	}
	f := &fleetDriver{
		coordinators: make(map[topology.InstanceID]*config.Coordinator),
		watches:      make(map[topology.InstanceID]store.Revision),
	}
	for i, instance := range instances {
		f.ids = append(f.ids, instance.ID)
		f.coordinators[instance.ID] = config.NewCoordinator(instance, rand.New(rand.NewPCG(1, uint64(i))))
	}
	for _, id := range f.ids {
		f.handle(0, id, config.MembersChanged{Live: instances, Known: instances})
	}

	f.run(0, 5*time.Second)
	fmt.Println("-- a change")
	f.store.write(config.Prefix+"limit/c1", "10")
	f.run(5*time.Second, 10*time.Second)
	fmt.Println("-- the link is cut")
	f.partitioned = true
	f.run(10*time.Second, 20*time.Second)
	// Output:
	// one is stale
	// two is stale
	// one is store-outage
	// two is store-outage
	// one is fresh
	// two is fresh
	// -- a change
	// one has config/limit/c1 = 10
	// two has config/limit/c1 = 10
	// -- the link is cut
	// two is stale
}
