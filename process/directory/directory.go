// Package directory defines the entries with which targets register themselves in the
// platform's directory.
package directory

import (
	"cmp"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Target is the directory entry of a target. Address is host:port.
type Target struct {
	ID            topology.TargetID
	Service       topology.ServiceID
	Address       string
	FailureDomain topology.FailureDomain
	// Slots is the number of statements that the target runs concurrently.
	Slots int
	// Draining is set when the target will stop soon and must not receive new
	// requests.
	Draining bool
	// WarmUpRemaining is how much longer the target is slow after its start.
	WarmUpRemaining time.Duration
	// Role is the role that the target claims to have.
	Role topology.Role
	// Incarnation identifies one run of the target. It changes when the target is
	// restarted or replaced under the same ID.
	Incarnation int64
	// Report rises with each entry of one run of the target.
	Report int64
}

// Before reports whether the entry was written before another one of the same target.
func (t Target) Before(other Target) bool {
	return cmp.Or(cmp.Compare(t.Incarnation, other.Incarnation), cmp.Compare(t.Report, other.Report)) < 0
}
