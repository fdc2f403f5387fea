package config

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Event is an input of the Coordinator.
type Event interface{ isEvent() }

// Tick makes the coordinator do what has become due. It is delivered about
// every TickInterval.
type Tick struct{}

// MembersChanged replaces the lists of instances.
type MembersChanged struct {
	// Live lists the instances believed alive.
	Live []platform.Instance
	// Known lists every instance of the platform's list as last read, reachable
	// or not.
	Known []platform.Instance
}

// ListDone is the outcome of StartList.
type ListDone struct {
	Listing store.Listing
	Err     error
}

// WatchDone is the outcome of StartWatch.
type WatchDone struct {
	Changes []store.Change
	// CompleteRevision is the revision up to which Changes holds every change.
	CompleteRevision store.Revision
	Err              error
}

// SwapDone is the outcome of StartSwap.
type SwapDone struct {
	Revision store.Revision
	Err      error
	// Conflict is set when the key was not at the expected revision but at
	// CurrentRevision.
	Conflict        bool
	CurrentRevision store.Revision
}

// MessageReceived is a message from a peer.
type MessageReceived struct {
	From    topology.InstanceID
	Message Message
}

func (Tick) isEvent()            {}
func (MembersChanged) isEvent()  {}
func (ListDone) isEvent()        {}
func (WatchDone) isEvent()       {}
func (SwapDone) isEvent()        {}
func (MessageReceived) isEvent() {}

// Action is an output of the Coordinator, to be carried out by the driver.
type Action interface{ isAction() }

// Send sends a message to a peer.
type Send struct {
	To      topology.InstanceID
	Message Message
}

// StartList lists everything below Prefix in the store.
type StartList struct{}

// StartWatch waits for changes below Prefix after a revision.
type StartWatch struct{ After store.Revision }

// StopWatch cancels the current watch. No WatchDone follows for it.
type StopWatch struct{}

// StartSwap writes a heartbeat by compare-and-swap.
type StartSwap struct{ Swap store.Swap }

// Publish passes a new state to the subscribers.
type Publish struct{ State State }

// PlacementChanged reports that this instance has become or ceased to be a
// watcher, or has another rank.
type PlacementChanged struct {
	Watching bool
	// Rank is this instance's index among the watchers, from zero, or -1.
	Rank int
	// Watchers, Live and Known are the sizes of the lists.
	Watchers int
	Live     int
	Known    int
}

// FreshnessChanged reports a change of the freshness.
type FreshnessChanged struct {
	Freshness Freshness
	Age       time.Duration
	Revision  store.Revision
}

// StoreReverted reports that the store was restored from an older copy: it is in a
// later era, or a heartbeat write returned a revision that is not above one seen
// before.
type StoreReverted struct {
	Known, Returned store.Revision
	// Held are the keys whose known state stays in force although the restored store
	// has an earlier one, until they are written again.
	Held []string
}

func (Send) isAction()             {}
func (StartList) isAction()        {}
func (StartWatch) isAction()       {}
func (StopWatch) isAction()        {}
func (StartSwap) isAction()        {}
func (Publish) isAction()          {}
func (PlacementChanged) isAction() {}
func (FreshnessChanged) isAction() {}
func (StoreReverted) isAction()    {}
