// Package topology defines the identifiers, log points and member states that
// every other package shares. It holds no behaviour beyond comparison.
package topology

import (
	"cmp"
	"fmt"
)

// InstanceID names one entry instance, as its settings do.
type InstanceID string

// FailureDomain names a set of machines that can fail together.
type FailureDomain string

// CustomerID names the party on whose behalf requests run.
type CustomerID string

// KeyID names a credential that a customer shows.
type KeyID string

// ServiceID names a database service: one replication group of targets.
type ServiceID string

// TargetID names one database server, a member of a service's group.
type TargetID string

// Term numbers the reign of one primary of a group. Terms only grow.
type Term uint64

// Position is an offset in a group's write-ahead log, in bytes or entries as
// the platform counts them.
type Position uint64

// Point is a place in a group's log: the term of the last entry and its
// position. Points are ordered by term first. A member whose log reaches a
// point holds every acknowledged write up to that point.
type Point struct {
	Term     Term     `json:"term" cbor:"1,keyasint"`
	Position Position `json:"position" cbor:"2,keyasint"`
}

// Compare returns -1, 0 or +1 as p is before, at or after q.
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

// Role is the part that a target plays in its group.
type Role uint8

// Roles of a target.
const (
	RoleReplica Role = iota + 1
	RolePrimary
)

// String names the role.
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

// Status is what a target says of itself.
type Status struct {
	Target TargetID `json:"target"`
	Role   Role     `json:"role"`
	// Term is the highest term the target has promised to, by a fence, a
	// promotion or a stream from a primary. It refuses writes and streams of
	// lower terms.
	Term Term `json:"term"`
	// Received is the end of the log that the target holds.
	Received Point `json:"received"`
	// Replayed is the end of the log that reads on the target can see.
	Replayed Point `json:"replayed"`
	// Leaving reports that the target is being drained.
	Leaving bool `json:"leaving"`
}

// Majority returns the smallest count that is more than half of members.
func Majority(members int) int { return members/2 + 1 }
