// Package route chooses the target that serves a request. A decision is a pure function
// of a group's view and the request's requirements. It takes well under a microsecond
// and allocates nothing.
package route

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Weights of a request in flight in the choice among replicas. A replica in another
// failure domain is chosen once every replica in the instance's own domain has about one
// and a half times as many requests in flight.
const (
	weightOwnDomain   = 2
	weightOtherDomain = 3
)

// Loads reports the load that this instance puts on targets.
type Loads interface {
	// InFlight returns the number of requests in flight on a target.
	InFlight(target topology.TargetID) int
}

// Requirements holds a request's requirements on its target.
type Requirements struct {
	// Floor is the point that the target must have replayed.
	Floor topology.Point
	// MaxAge bounds the age of the data, for requests that have such a bound.
	MaxAge    time.Duration
	HasMaxAge bool
	// Now is the current time on the clock of the view's frontiers.
	Now time.Duration
	// OwnDomain is the failure domain of the instance.
	OwnDomain topology.FailureDomain
	// Excluded holds the targets on which this request has failed.
	Excluded []topology.TargetID
	// Rotation rotates the choice among targets with equal scores.
	Rotation uint
}

// Reason is the reason for a decision.
type Reason string

// Reasons.
const (
	ReasonReplica   Reason = "replica has replayed the floor"
	ReasonPrimary   Reason = "primary"
	ReasonLagging   Reason = "no replica has replayed the floor"
	ReasonNoPrimary Reason = "no primary at the floor's term"
)

// Decision is a choice of a target. Target is nil when no target can serve the request.
type Decision struct {
	Target *group.TargetView
	// Term is the view's term. It matters only for the primary.
	Term   topology.Term
	Reason Reason
}

// ChooseReplica chooses the replica for a read: among those that have replayed the
// floor, the one with the fewest requests in flight, weighted in favor of the instance's
// failure domain.
func ChooseReplica(view *group.View, required *Requirements, loads Loads) Decision {
	best := Decision{Reason: ReasonLagging}
	bestScore := 0
	floor, known := requiredPoint(view, required)
	if !known {
		return best
	}
	count := uint(len(view.Targets))
	for i := range count {
		target := &view.Targets[(i+required.Rotation)%count]
		if !eligible(view, target, required, floor) {
			continue
		}
		score := weight(target, required) * (loads.InFlight(target.ID) + 1)
		if best.Target == nil || score < bestScore {
			best = Decision{Target: target, Term: view.Term, Reason: ReasonReplica}
			bestScore = score
		}
	}
	return best
}

func weight(target *group.TargetView, required *Requirements) int {
	if target.FailureDomain == required.OwnDomain {
		return weightOwnDomain
	}
	return weightOtherDomain
}

// eligible reports whether a target may serve a read as a replica. A target that reports
// itself as the primary without being it is excluded: it may hold writes that are never
// acknowledged.
func eligible(view *group.View, target *group.TargetView, required *Requirements, floor topology.Point) bool {
	switch {
	case target.ID == view.Primary, target.Leaving, !target.Known, !target.Reachable:
		return false
	case target.Status.Role != topology.RoleReplica, target.Status.Leaving:
		return false
	case !target.Status.Replayed.Reaches(floor), !hasReplayedLatestTerm(view, target):
		return false
	default:
		return !slices.Contains(required.Excluded, target.ID)
	}
}

// hasReplayedLatestTerm reports whether the target has replayed an entry of the latest
// term that the target or the group's majority has promised. One that has not may hold
// entries that the log of that term lacks: a replaced primary keeps its own last writes,
// which were reported to callers as not run.
func hasReplayedLatestTerm(view *group.View, target *group.TargetView) bool {
	return target.Status.Replayed.Term >= max(view.Term, target.Status.Term)
}

// requiredPoint returns the point that a target must have replayed: the later of the
// floor and the oldest frontier within the maximum age. Data that includes a frontier is
// no older than the frontier. It returns false when no frontier is recent enough.
func requiredPoint(view *group.View, required *Requirements) (topology.Point, bool) {
	if !required.HasMaxAge {
		return required.Floor, true
	}
	oldest := required.Now - required.MaxAge
	first, end := 0, len(view.Frontiers)
	for first < end {
		mid := (first + end) / 2
		if view.Frontiers[mid].Time < oldest {
			first = mid + 1
		} else {
			end = mid
		}
	}
	if first == len(view.Frontiers) {
		return topology.Point{}, false
	}
	return topology.MaxPoint(required.Floor, view.Frontiers[first].Point), true
}

// ChoosePrimary chooses the primary, for a write or for a read that no replica can
// serve. The primary of a term has every acknowledged write of that term and of earlier
// ones, so its term must reach the floor's. Writes have no maximum age.
func ChoosePrimary(view *group.View, required *Requirements) Decision {
	noPrimary := Decision{Reason: ReasonNoPrimary}
	floor, known := requiredPoint(view, required)
	if !known || view.Primary == "" || view.Term < floor.Term {
		return noPrimary
	}
	target := view.Target(view.Primary)
	if target == nil || target.Leaving || target.Status.Leaving {
		return noPrimary
	}
	if slices.Contains(required.Excluded, target.ID) {
		return noPrimary
	}
	return Decision{Target: target, Term: view.Term, Reason: ReasonPrimary}
}
