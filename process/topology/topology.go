// Package topology defines the identifiers, log points and target states that
// the other packages share. It contains no logic beyond comparing log points and
// computing a majority.
package topology

import (
	"cmp"
	"fmt"
)

// InstanceID identifies one instance of the proxy. It is configured in the
// instance's settings.
type InstanceID string

// FailureDomain identifies a set of machines that can fail together.
type FailureDomain string

// CustomerID identifies the customer on whose behalf a request runs.
type CustomerID string

// KeyID identifies an access key with which a customer authenticates.
type KeyID string

// ServiceID identifies a database service, which is one replication group of
// targets.
type ServiceID string

// TargetID identifies one database server, a member of a service's group.
type TargetID string

// Term numbers the periods in which a group has a particular primary. Each
// promotion starts a higher term.
type Term uint64

// Position is an offset in a group's write-ahead log. Its unit (bytes or
// entries) is defined by the platform.
type Position uint64

// Point identifies an entry in a group's log by its term and position. Points
// are ordered by term, then by position. A member whose log reaches a point
// holds every acknowledged write up to that point.
type Point struct {
	Term     Term     `json:"term" cbor:"1,keyasint"`
	Position Position `json:"position" cbor:"2,keyasint"`
}

// Compare returns -1, 0 or +1 when p is before, equal to or after q.
func (p Point) Compare(q Point) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Position, q.Position)
}

// Reaches reports whether p is at or after q.
func (p Point) Reaches(q Point) bool { return p.Compare(q) >= 0 }

// String formats the point as term/position.
func (p Point) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Position) }

// MaxPoint returns the later of two points.
func MaxPoint(p, q Point) Point {
	if p.Reaches(q) {
		return p
	}
	return q
}

// Role is the replication role of a target in its group.
type Role uint8

// Replication roles.
const (
	RoleReplica Role = iota + 1
	RolePrimary
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case RoleReplica:
		return "replica"
	case RolePrimary:
		return "primary"
	default:
		return "unknown"
	}
}

// Status is the state that a target reports about itself.
type Status struct {
	Target TargetID `json:"target"`
	Role   Role     `json:"role"`
	// Term is the highest term that the target has accepted through a fence, a
	// promotion or the replication stream of a primary. It refuses writes and
	// replication streams of lower terms.
	Term Term `json:"term"`
	// Received is the end of the log that the target has stored.
	Received Point `json:"received"`
	// Replayed is the end of the log that is visible to reads on the target.
	Replayed Point `json:"replayed"`
	// Leaving is set while the target is being drained.
	Leaving bool `json:"leaving"`
}

// Majority returns the smallest number that is more than half of members.
func Majority(members int) int { return members/2 + 1 }
