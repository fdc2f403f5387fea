// Package directory holds what the targets say of themselves.
package directory

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Target is a target's own description.
type Target struct {
	ID            topology.TargetID
	Service       topology.ServiceID
	Address       string
	FailureDomain topology.FailureDomain
	// Slots is how many statements the target runs at once.
	Slots int
	// Draining targets stop soon and get no new work.
	Draining bool
	// WarmUp is how much longer the target is slow after its start.
	WarmUp time.Duration
	// Role is how the target sees itself.
	Role topology.Role
	// Born tells incarnations of a target under one id apart.
	Born int64
}
