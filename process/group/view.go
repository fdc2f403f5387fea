// Package group coordinates the database groups: status rounds, read floors, the
// acknowledgement of commits and the promotion of a primary. It does not speak
// to targets itself; package platform does.
package group

import (
	"context"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// TargetView is the last answer of one member of a group.
type TargetView struct {
	platform.Target
	// Status is the last status answer; meaningful when Known.
	Status topology.Status
	Known  bool
	// Answered is the monotonic time at which the request of the last answer
	// was sent. The status is at least as fresh as this.
	Answered time.Duration
	// Reachable is false after the member failed to answer the latest round.
	Reachable bool
	// Leaving is set when the record or the member says that it is leaving.
	Leaving bool
}

// View is what this instance knows about a group. A view is immutable.
type View struct {
	Service topology.ServiceID
	// Primary is the member that a majority's answers name as primary of Term,
	// or empty.
	Primary topology.TargetID
	Term    topology.Term
	Targets []TargetView
	// Frontiers holds recent majority positions, oldest first. Each bounds the
	// age of a replica that has replayed it.
	Frontiers []Frontier
}

// Frontier says that at Time (monotonic) no acknowledged write lay beyond Point.
type Frontier struct {
	Time  time.Duration
	Point topology.Point
}

// Target returns the view of a member, or nil.
func (v *View) Target(id topology.TargetID) *TargetView {
	for i := range v.Targets {
		if v.Targets[i].ID == id {
			return &v.Targets[i]
		}
	}
	return nil
}

// AgeBound returns an upper bound for the age, at now, of the data that reads on
// the member see. The second result is false when no bound is known.
func (v *View) AgeBound(id topology.TargetID, now time.Duration) (time.Duration, bool) {
	target := v.Target(id)
	if target == nil || !target.Known {
		return 0, false
	}
	for i := len(v.Frontiers) - 1; i >= 0; i-- {
		if target.Status.Replayed.Reaches(v.Frontiers[i].Point) {
			return now - v.Frontiers[i].Time, true
		}
	}
	return 0, false
}

// Commit names a commit that a target reported: the target and the term in
// which it was seen as primary before the commit was sent.
type Commit struct {
	Target topology.TargetID
	Term   topology.Term
}

// Watcher is the view of one group that requests use. Implementations are safe
// for concurrent use.
type Watcher interface {
	// View returns the latest view without waiting.
	View() *View
	// Refresh waits for a status round that began after the call and returns
	// the view that it made.
	Refresh(ctx context.Context) (*View, error)
	// ReadFloor returns a point that covers every write acknowledged before the
	// call, from a status round that began after the call. Calls share rounds.
	ReadFloor(ctx context.Context) (topology.Point, error)
	// ConfirmCommit waits until a majority, by answers requested after the
	// call, is at the commit's term and holds the log up to the commit. It
	// returns a point that covers the commit. It returns ErrReplaced once the
	// target is known not to be primary of that term any more and ErrNoEvidence
	// when the context ends first; in both cases the outcome is unknown.
	ConfirmCommit(ctx context.Context, commit Commit) (topology.Point, error)
	// ResolveTransaction asks the primary of a term above the commit's for the
	// outcome of a transaction, waiting for a promotion as long as ctx allows.
	// OutcomeCommitted means that the write is durable and can be acknowledged;
	// OutcomeAbsent and OutcomeAborted mean that it did not and will not run.
	ResolveTransaction(ctx context.Context, commit Commit, transaction uint64) (platform.TransactionOutcome, topology.Point, error)
	// Suspect reports that a request met a failure on the member.
	Suspect(target topology.TargetID)
}
