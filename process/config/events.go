package config

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Event is an input of Spread.
type Event interface{ isEvent() }

// Tick lets time pass. Ticks come every TickInterval or so.
type Tick struct{}

// MembersChanged replaces the lists of instances.
type MembersChanged struct {
	// Live lists the instances believed alive.
	Live []platform.Instance
	// Known lists every instance of the platform's list, reachable or not.
	Known []platform.Instance
}

// Listed is the outcome of StartList.
type Listed struct {
	Listing store.Listing
	Err     error
}

// Watched is the outcome of StartWatch.
type Watched struct {
	Changes  []store.Change
	Complete store.Revision
	Err      error
}

// Swapped is the outcome of StartSwap.
type Swapped struct {
	Revision store.Revision
	Err      error
	// Conflict reports that the key was at another revision, Current.
	Conflict bool
	Current  store.Revision
}

// Received is a message from a peer.
type Received struct {
	From    topology.InstanceID
	Message Message
}

func (Tick) isEvent()           {}
func (MembersChanged) isEvent() {}
func (Listed) isEvent()         {}
func (Watched) isEvent()        {}
func (Swapped) isEvent()        {}
func (Received) isEvent()       {}

// Action is an output of Spread.
type Action interface{ isAction() }

// Send hands a message to a peer.
type Send struct {
	To      topology.InstanceID
	Message Message
}

// StartList asks the store for everything below Prefix.
type StartList struct{}

// StartWatch waits for changes below Prefix after a revision.
type StartWatch struct{ After store.Revision }

// StopWatch abandons the watch. No Watched follows for it.
type StopWatch struct{}

// StartSwap writes a heartbeat.
type StartSwap struct{ Swap store.Swap }

// Publish puts a state into force.
type Publish struct{ State State }

// PlacementChanged reports that this instance begins or ends to watch the store.
type PlacementChanged struct {
	Watching bool
	// Rank is this instance's place among the watchers, from zero.
	Rank     int
	Watchers int
	Live     int
	Known    int
}

// FreshnessChanged reports a change of the freshness verdict.
type FreshnessChanged struct {
	Freshness Freshness
	Age       time.Duration
	Revision  store.Revision
}

// StoreReverted reports that the store handed out a revision that is not above
// what it had shown before, as after a restore from a backup.
type StoreReverted struct{ Known, Returned store.Revision }

func (Send) isAction()             {}
func (StartList) isAction()        {}
func (StartWatch) isAction()       {}
func (StopWatch) isAction()        {}
func (StartSwap) isAction()        {}
func (Publish) isAction()          {}
func (PlacementChanged) isAction() {}
func (FreshnessChanged) isAction() {}
func (StoreReverted) isAction()    {}
