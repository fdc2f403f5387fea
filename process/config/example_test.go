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

// history stands in for the store: one change for each revision.
type history []store.Change

func (h *history) write(key, value string) store.Revision {
	revision := store.Revision(len(*h) + 1)
	*h = append(*h, store.Change{Entry: store.Entry{Key: key, Value: []byte(value), Revision: revision}})
	return revision
}

// embedder drives two coordinators, of which only the first reaches the store.
type embedder struct {
	store   history
	ids     []topology.InstanceID
	spreads map[topology.InstanceID]*config.Spread
	// watches holds the revisions after which the instances wait for changes.
	watches map[topology.InstanceID]store.Revision
	// parted is set while the instances do not reach each other.
	parted bool
}

// handle hands an event to an instance and does what it answers.
func (e *embedder) handle(now time.Duration, id topology.InstanceID, event config.Event) {
	reaches := id == e.ids[0]
	for _, action := range slices.Clone(e.spreads[id].Handle(now, event)) {
		switch action := action.(type) {
		case config.StartList:
			outcome := config.Listed{Err: store.ErrUnavailable}
			if reaches {
				outcome = config.Listed{Listing: store.Listing{Revision: store.Revision(len(e.store))}}
			}
			e.handle(now, id, outcome)
		case config.StartWatch:
			if reaches {
				e.watches[id] = action.After
				continue
			}
			e.handle(now, id, config.Watched{Err: store.ErrUnavailable})
		case config.StopWatch:
			delete(e.watches, id)
		case config.StartSwap:
			outcome := config.Swapped{Err: store.ErrUnavailable}
			if reaches {
				outcome = config.Swapped{Revision: e.store.write(action.Swap.Key, string(action.Swap.Value))}
			}
			e.handle(now, id, outcome)
		case config.Send:
			if !e.parted {
				e.handle(now, action.To, config.Received{From: id, Message: action.Message})
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

// run ticks the instances and answers the watches until a time.
func (e *embedder) run(from, until time.Duration) {
	for now := from; now < until; now += config.TickInterval {
		for _, id := range e.ids {
			e.handle(now, id, config.Tick{})
			after, waits := e.watches[id]
			if complete := store.Revision(len(e.store)); waits && after < complete {
				delete(e.watches, id)
				e.handle(now, id, config.Watched{Changes: e.store[after:], Complete: complete})
			}
		}
	}
}

// One instance watches the store. The other, cut off from it, gets a change and
// the evidence that it is recent from its peer, and knows when that ends. Before
// the first evidence a majority without any counts as an outage of the store.
func ExampleSpread() {
	instances := []platform.Instance{
		{ID: "one", FailureDomain: "north", State: platform.InstanceLive},
		{ID: "two", FailureDomain: "south", State: platform.InstanceLive},
	}
	e := &embedder{
		spreads: make(map[topology.InstanceID]*config.Spread),
		watches: make(map[topology.InstanceID]store.Revision),
	}
	for i, instance := range instances {
		e.ids = append(e.ids, instance.ID)
		e.spreads[instance.ID] = config.NewSpread(instance, rand.New(rand.NewPCG(1, uint64(i))))
	}
	for _, id := range e.ids {
		e.handle(0, id, config.MembersChanged{Live: instances, Known: instances})
	}

	e.run(0, 5*time.Second)
	fmt.Println("-- a change")
	e.store.write(config.Prefix+"limit/c1", "10")
	e.run(5*time.Second, 10*time.Second)
	fmt.Println("-- the link is cut")
	e.parted = true
	e.run(10*time.Second, 20*time.Second)
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
