// Package membership tracks which instances of the fleet are alive and assigns
// numbered slots to them. Package ledger divides customers' rates and
// connections among the slots; this package does not know what a slot is used
// for.
//
// A slot is a record in the platform's store that is changed only by
// compare-and-swap. Its holder has a lease: it renews the record and may use
// the slot for SlotLeaseTTL by its own clock, counted from the time at which it
// sent its last successful swap. Another instance acquires a held slot only
// after the platform's list has omitted the holder and the record's revision
// has stayed the same for Quarantine, which is longer than SlotLeaseTTL. Its
// swap expects that revision. Thus either the holder has renewed in between and
// the swap fails, or the holder's lease has expired, however long the holder
// was paused. Stale reads are harmless since a swap based on one fails. While
// the store is unavailable, no slot changes hands.
package membership

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Config describes an instance and the protocol's durations.
type Config struct {
	// Self is this instance as the platform's list shows it.
	Self platform.Instance
	// Incarnation identifies this process. It must be higher than that of every
	// earlier process of the instance, such as the wall-clock time at startup
	// in nanoseconds.
	Incarnation uint64
	// Slots is the number of slots. It must be the same on all instances.
	Slots int
	// SlotLeaseTTL is the duration of a slot's lease, counted from the sending
	// of the last renewal. It bounds the outage of the store that a lease
	// survives.
	SlotLeaseTTL time.Duration
	// Quarantine is how long a slot's record must have been unchanged before
	// another instance acquires the slot. It must exceed SlotLeaseTTL by more
	// than clocks drift apart in that time.
	Quarantine time.Duration
	// RenewInterval is the interval between renewals of a lease.
	RenewInterval time.Duration
	// ListLag is the maximum time that the platform's list takes to show a new
	// instance.
	ListLag time.Duration
	// ReadInterval and ListInterval are the intervals between reads of the
	// slots and of the platform's list.
	ReadInterval time.Duration
	ListInterval time.Duration
	// HeartbeatInterval is the interval between heartbeats to a peer. A peer
	// without a heartbeat for SilenceTimeout is no longer believed alive.
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration
}

// DefaultConfig returns durations suited to a fleet of about ten instances.
func DefaultConfig(self platform.Instance, incarnation uint64, slots int) Config {
	return Config{
		Self:              self,
		Incarnation:       incarnation,
		Slots:             slots,
		SlotLeaseTTL:      10 * time.Minute,
		Quarantine:        11 * time.Minute,
		RenewInterval:     2 * time.Minute,
		ListLag:           30 * time.Second,
		ReadInterval:      5 * time.Second,
		ListInterval:      5 * time.Second,
		HeartbeatInterval: 500 * time.Millisecond,
		SilenceTimeout:    3 * time.Second,
	}
}

// Record is the value of a slot's key in the store.
type Record struct {
	// Instance is the holder, or empty after a release.
	Instance topology.InstanceID `json:"instance"`
	// Address is where the holder listens for peers. A later process that
	// listens on the same address knows that the holder's process no longer
	// runs.
	Address string `json:"address"`
	// Incarnation is the Config.Incarnation of the holder's process.
	Incarnation uint64 `json:"first_id"`
	// Epoch grows with every acquisition of the slot.
	Epoch uint64 `json:"epoch"`
	// Renewal counts the renewals within an epoch, and the release that ends
	// it.
	Renewal uint64 `json:"renewal"`
}

// HeldSlot names a slot held by the sender of a heartbeat.
type HeldSlot struct {
	Index int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Heartbeat shows a peer that the sender runs and which slots it holds.
type Heartbeat struct {
	// Incarnation is the Config.Incarnation of the sender.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Leaving is set once the sender has begun to drain.
	Leaving   bool       `cbor:"2,keyasint,omitempty"`
	HeldSlots []HeldSlot `cbor:"3,keyasint,omitempty"`
}

// SlotLease is a lease on one slot.
type SlotLease struct {
	Index int
	Epoch uint64
	// ExpiresAt is the monotonic time at which the lease expires unless it is
	// renewed. Compare it with the clock at the time of each use.
	ExpiresAt time.Duration
}

// Member is an instance that is believed alive.
type Member struct {
	platform.Instance
	// Incarnation identifies the instance's process; zero when not known.
	Incarnation uint64
}

// View is what an instance knows of the fleet. It is immutable.
type View struct {
	// Live lists the instances believed alive, this one included, sorted
	// by ID.
	Live []Member
	// Peers lists the other instances that may run: those listed, connected or
	// heard of, sorted by ID.
	Peers []topology.InstanceID
	// Holders names the holder of each slot, empty when none is known.
	Holders []topology.InstanceID
	// SlotLeases lists the leases of this instance.
	SlotLeases []SlotLease
	// Removed lists the instances that the platform's list has omitted for
	// Quarantine.
	Removed []topology.InstanceID
}
