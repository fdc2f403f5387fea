// Package route decides which target serves a request. The decisions are pure
// functions of a group's view, take well under a microsecond and allocate
// nothing.
package route

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Weights of a request in flight, as seen in the choice among replicas. A
// replica in another failure domain is chosen once the own one has half as many
// more requests in flight.
const (
	weightOwnDomain   = 2
	weightOtherDomain = 3
)

// Loads counts the requests that this instance has in flight on a target.
type Loads interface {
	InFlight(target topology.TargetID) int
}

// Need is what a request asks of its target.
type Need struct {
	// Floor is the point that the target has to have replayed.
	Floor topology.Point
	// MaxAge bounds the age of the data; meaningful when Aged.
	MaxAge time.Duration
	Aged   bool
	// Now is the time on the clock of the view.
	Now time.Duration
	// Own is the failure domain of the instance.
	Own topology.FailureDomain
	// Avoid are targets that have failed this request.
	Avoid []topology.TargetID
	// Turn rotates the choice among equal targets.
	Turn uint
}

// Reason says how a decision came about.
type Reason string

// Reasons.
const (
	ReasonReplica   Reason = "replica has replayed the floor"
	ReasonPrimary   Reason = "primary"
	ReasonLagging   Reason = "no replica has replayed the floor"
	ReasonNoPrimary Reason = "no primary at the floor's term"
)

// Decision is the outcome. Target is nil when nobody can serve the request.
type Decision struct {
	Target *group.TargetView
	// Term is the view's term, meaningful for the primary.
	Term   topology.Term
	Reason Reason
}

// Replica chooses the replica for a read: the one with the least requests in
// flight among those that have replayed the floor, with a preference for the
// own failure domain.
func Replica(view *group.View, need *Need, loads Loads) Decision {
	best := Decision{Reason: ReasonLagging}
	bestScore := 0
	floor, known := floorOf(view, need)
	if !known {
		return best
	}
	count := uint(len(view.Targets))
	for i := range count {
		target := &view.Targets[(i+need.Turn)%count]
		if !serves(view, target, need, floor) {
			continue
		}
		score := weight(target, need) * (loads.InFlight(target.ID) + 1)
		if best.Target == nil || score < bestScore {
			best = Decision{Target: target, Term: view.Term, Reason: ReasonReplica}
			bestScore = score
		}
	}
	return best
}

func weight(target *group.TargetView, need *Need) int {
	if target.FailureDomain == need.Own {
		return weightOwnDomain
	}
	return weightOtherDomain
}

// serves reports whether a target may serve a read as a replica. A target that
// takes itself for the primary without being it may hold writes that nobody
// acknowledges.
func serves(view *group.View, target *group.TargetView, need *Need, floor topology.Point) bool {
	switch {
	case target.ID == view.Primary, target.Leaving, !target.Known, !target.Reachable:
		return false
	case target.Status.Role != topology.RoleReplica, target.Status.Leaving:
		return false
	case !target.Status.Replayed.Reaches(floor), !onLatestLog(view, target):
		return false
	default:
		return !slices.Contains(need.Avoid, target.ID)
	}
}

// onLatestLog reports whether the target has replayed an entry of the latest term
// that it or the group's majority has promised. One that has not may hold entries
// which the log of that term lacks: a replaced primary keeps its own last writes,
// of which callers were told that they did not run.
func onLatestLog(view *group.View, target *group.TargetView) bool {
	return target.Status.Replayed.Term >= max(view.Term, target.Status.Term)
}

// floorOf joins the floor with the oldest frontier within the stated age: data
// that reaches it is no older. The second result is false when no frontier is
// recent enough.
func floorOf(view *group.View, need *Need) (topology.Point, bool) {
	if !need.Aged {
		return need.Floor, true
	}
	oldest := need.Now - need.MaxAge
	low, high := 0, len(view.Frontiers)
	for low < high {
		middle := (low + high) / 2
		if view.Frontiers[middle].Time < oldest {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == len(view.Frontiers) {
		return topology.Point{}, false
	}
	return topology.MaxPoint(need.Floor, view.Frontiers[low].Point), true
}

// Primary returns the primary for a write or a read that no replica serves. The
// primary of a term holds every acknowledged write of that term and of those
// before, so its term has to reach the floor's. Writes state no age.
func Primary(view *group.View, need *Need) Decision {
	none := Decision{Reason: ReasonNoPrimary}
	floor, known := floorOf(view, need)
	if !known || view.Primary == "" || view.Term < floor.Term {
		return none
	}
	target := view.Target(view.Primary)
	if target == nil || target.Leaving || target.Status.Leaving {
		return none
	}
	if slices.Contains(need.Avoid, target.ID) {
		return none
	}
	return Decision{Target: target, Term: view.Term, Reason: ReasonPrimary}
}
