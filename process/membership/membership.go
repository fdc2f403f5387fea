// Package membership keeps track of the fleet's instances and assigns the
// numbered slots that package ledger divides rates and connections by.
//
// Slots are records in the platform's store, changed by compare-and-swap only. A
// holder renews its record and has the right to the slot for RightTerm, by its
// own clock, from when it sent its last successful swap. Another instance takes
// the slot only with a swap that expects a revision which it has seen unchanged
// for Quarantine, longer than RightTerm, while the platform's list omitted the
// holder. Either the holder renewed in between, and the swap fails, or its right
// has ended, however long it was paused. Stale reads can't harm: the swap fails.
// While the store is down nobody can take a slot.
//
// The package does not say what a slot is good for.
package membership

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Config describes an instance and the times of the protocol.
type Config struct {
	// Self is this instance as the platform's list shows it.
	Self platform.Instance
	// FirstID is higher than for every earlier process of the instance, such as
	// the wall-clock time at start in nanoseconds.
	FirstID uint64
	// Slots is the number of slots, the same on all instances.
	Slots int
	// RightTerm is how long a holder may use a slot after its last renewal. It
	// bounds the outage of the store that slots survive.
	RightTerm time.Duration
	// Quarantine is how long a slot's record must be unchanged before another
	// instance takes it. It exceeds RightTerm by more than clocks drift.
	Quarantine time.Duration
	// RenewEvery is the time between renewals.
	RenewEvery time.Duration
	// ListLag is how long the platform's list may take to show a new instance.
	ListLag time.Duration
	// ReadEvery and ListEvery are the times between reads of the slots and of
	// the platform's list.
	ReadEvery time.Duration
	ListEvery time.Duration
	// HeartbeatEvery is the time between heartbeats to a peer; one that was
	// silent for SilentAfter is not believed alive.
	HeartbeatEvery time.Duration
	SilentAfter    time.Duration
}

// DefaultConfig returns the times for a fleet of some ten instances.
func DefaultConfig(self platform.Instance, firstID uint64, slots int) Config {
	return Config{
		Self:           self,
		FirstID:        firstID,
		Slots:          slots,
		RightTerm:      10 * time.Minute,
		Quarantine:     11 * time.Minute,
		RenewEvery:     2 * time.Minute,
		ListLag:        30 * time.Second,
		ReadEvery:      5 * time.Second,
		ListEvery:      5 * time.Second,
		HeartbeatEvery: 500 * time.Millisecond,
		SilentAfter:    3 * time.Second,
	}
}

// Record is the value of a slot's key.
type Record struct {
	// Instance holds the slot; empty after a release.
	Instance topology.InstanceID `json:"instance"`
	// Address is where the holder listens for peers. A process that listens
	// there knows that an earlier process on the same address is gone.
	Address string `json:"address"`
	// FirstID is that of the holder's process.
	FirstID uint64 `json:"first_id"`
	// Epoch grows with every change of holder or process.
	Epoch uint64 `json:"epoch"`
	// Renewal grows with every renewal in an epoch.
	Renewal uint64 `json:"renewal"`
}

// HeldSlot names a slot that the sender of a heartbeat holds.
type HeldSlot struct {
	Index int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Heartbeat tells a peer that the sender runs.
type Heartbeat struct {
	FirstID uint64     `cbor:"1,keyasint"`
	Leaving bool       `cbor:"2,keyasint,omitempty"`
	Held    []HeldSlot `cbor:"3,keyasint,omitempty"`
}

// Right is the right to one slot.
type Right struct {
	Index int
	Epoch uint64
	// Until is the monotonic time at which the right ends unless it is renewed.
	// Whoever relies on it compares it with the clock at the moment of use.
	Until time.Duration
}

// Member is an instance that is believed alive.
type Member struct {
	platform.Instance
	// FirstID is that of the instance's process, zero when not known.
	FirstID uint64
}

// View is what an instance knows of the fleet. It is immutable.
type View struct {
	// Live lists the instances believed alive, this one included.
	Live []Member
	// Holders names the holder of each slot, empty when none is known.
	Holders []topology.InstanceID
	// Rights lists the slots that this instance holds.
	Rights []Right
	// Gone lists instances that the platform's list has omitted for Quarantine.
	Gone []topology.InstanceID
}
