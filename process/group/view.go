// Package group coordinates the database groups: it polls the members' status,
// determines read floors, confirms commits, resolves in-doubt transactions and
// promotes primaries. Requests to targets go through package platform.
package group

import (
	"context"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// TargetView is the last known state of one member of a group.
type TargetView struct {
	platform.Target
	// Status is the member's last status response; it is valid if Known is set.
	Status topology.Status
	Known  bool
	// StatusRequestedAt is the monotonic time at which Status was requested. The
	// status is not older than this.
	StatusRequestedAt time.Duration
	// Reachable is set if the member responded to its latest completed request.
	Reachable bool
	// SilentSince is the monotonic time since which a member that is not reachable has not
	// responded. It is not before the last response was requested, and leaves out a time without
	// requests or a suspension of this process, before the first request that failed.
	SilentSince time.Duration
	// Leaving is set when the service's record or the member itself reports that the
	// member is leaving.
	Leaving bool
}

// View is what this instance knows of a group. A view is immutable.
type View struct {
	Service topology.ServiceID
	// Primary is the primary of Term, a term that a majority's last responses carry.
	// It is empty when no primary is known.
	Primary topology.TargetID
	Term    topology.Term
	Targets []TargetView
	// Frontiers holds recent majority points, oldest first. Each bounds the age of
	// the data on a member that has replayed its log up to the point.
	Frontiers []Frontier
}

// Frontier is an upper bound on the acknowledged writes: at the monotonic time Time,
// no acknowledged write was beyond Point.
type Frontier struct {
	Time  time.Duration
	Point topology.Point
}

// Target returns the state of a member, or nil if the group has no such member.
func (v *View) Target(id topology.TargetID) *TargetView {
	for i := range v.Targets {
		if v.Targets[i].ID == id {
			return &v.Targets[i]
		}
	}
	return nil
}

// AgeBound returns an upper bound on the age, at now, of the data that reads on the
// member return. The second result is false when no bound is known.
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

// Commit identifies where a commit was sent: the target, and the term of which it
// was known to be primary before the transaction began.
type Commit struct {
	Target topology.TargetID
	Term   topology.Term
}

// Watcher gives requests access to the state of one group. Implementations are safe
// for concurrent use.
type Watcher interface {
	// View returns the latest view without waiting.
	View() *View
	// Refresh waits for a status round that begins after the call and returns the
	// resulting view.
	Refresh(ctx context.Context) (*View, error)
	// ReadFloor returns a point that covers every write acknowledged before the
	// call, from a status round that begins after the call. Concurrent calls share
	// rounds.
	ReadFloor(ctx context.Context) (topology.Point, error)
	// ConfirmCommit waits until responses requested after the call show that a
	// majority is at the commit's term and holds the log up to the commit. It
	// returns a point that covers the commit. It returns ErrPrimaryReplaced once the
	// target is known to be no longer primary of that term, and ErrNoQuorum when
	// the context is done first; in both cases the outcome is unknown.
	ConfirmCommit(ctx context.Context, commit Commit) (topology.Point, error)
	// ResolveTransaction determines the outcome of a transaction whose commit could
	// not be confirmed. It queries the primary, which has to be of the commit's term
	// or above, and waits for a promotion as long as ctx allows. OutcomeCommitted
	// means that the transaction is durable and can be acknowledged; OutcomeAbsent
	// and OutcomeAborted mean that it has not taken effect and never will.
	ResolveTransaction(ctx context.Context, commit Commit, transaction uint64) (platform.TransactionOutcome, topology.Point, error)
	// ReportFailure reports that a request failed on the member.
	ReportFailure(target topology.TargetID)
}
