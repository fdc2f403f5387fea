package group

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// resolutionPollInterval is the interval of queries for a transaction whose outcome is
// not final, and of the status requests that look for a primary to query.
const resolutionPollInterval = 20 * time.Millisecond

// resolutionPhase is the step that a resolution waits for.
type resolutionPhase uint8

const (
	// resolutionAwaitingPrimary waits for a primary of the commit's term or above.
	resolutionAwaitingPrimary resolutionPhase = iota
	// resolutionQuerying waits for the primary's report.
	resolutionQuerying
	// resolutionReplicating waits until a majority holds the log on which the report
	// is based.
	resolutionReplicating
	// resolutionDone: the outcome is final.
	resolutionDone
)

// resolution determines the final outcome of an in-doubt transaction: its COMMIT was
// sent to a primary, and the commit could not be confirmed. The current primary is
// queried for the transaction. Whether its report is final depends on its term.
//
// A primary of a later term than the commit's: a majority has promised the later
// term, so the earlier primary can no longer get a commit confirmed, and from then on
// the transaction exists exactly if the new primary's log holds it. The report is
// final once a majority holds an entry of the later term, because the log of every
// primary promoted afterwards then continues this log. Before that, a member that
// holds unreplicated entries of the earlier primary could be promoted and bring the
// transaction back, or a member without them could be promoted and remove it.
//
// The commit's own target at the commit's term: "committed" is final once a majority
// holds the log, and "aborted" is final immediately, because the transaction ran on no
// other member. "Absent" and "in progress" are not final, because the COMMIT may still
// be on its way to the target.
//
// The commit's own target at a later term: "absent" and "in progress" are not final
// either. The commit's term was observed before the transaction began and may be too
// low, so the transaction may belong to the later term. For another member, "absent"
// is safe: if the target had become primary of a term above the reporting member's
// before the transaction began, a majority would have promised that term and would no
// longer follow the reporting member.
type resolution struct {
	phase       resolutionPhase
	outcome     platform.TransactionOutcome
	nextQueryAt time.Duration
}

// advanceResolution advances the waiter's resolution and reports whether its outcome
// is final.
func (r *Rounds) advanceResolution(w *waiter, now time.Duration, out *Output) bool {
	state := &w.resolution
	if state.phase == resolutionReplicating {
		switch r.checkReplication(w, now) {
		case replicationConfirmed:
			state.phase = resolutionDone
		case replicationPrimaryReplaced:
			r.restartResolution(w, now)
		case replicationPending:
		}
	}
	if state.phase == resolutionAwaitingPrimary && now >= state.nextQueryAt {
		if primary := r.queryablePrimary(w); primary != nil {
			state.phase = resolutionQuerying
			out.TransactionQueries = append(out.TransactionQueries, TransactionQuery{Waiter: w.id, Target: primary.Target, Transaction: w.condition.Transaction})
		}
	}
	return state.phase == resolutionDone
}

// queryablePrimary returns the primary if it can be queried for the waiter: it has
// responded after the waiter joined, and its term is not below the commit's.
func (r *Rounds) queryablePrimary(w *waiter) *member {
	primary := r.primary()
	if primary == nil || primary.statusSequence <= w.joinedSequence || primary.status.Term < w.condition.Commit.Term {
		return nil
	}
	return primary
}

// restartResolution makes the resolution wait for a primary again. Only responses to
// later requests count from now on.
func (r *Rounds) restartResolution(w *waiter, now time.Duration) {
	r.sequence++
	w.joinedSequence = r.sequence
	w.replication = replicationCheck{}
	w.resolution = resolution{nextQueryAt: now + resolutionPollInterval}
}

// HandleReport processes the response to a waiter's transaction query.
func (r *Rounds) HandleReport(now time.Duration, id WaiterID, report platform.TransactionReport, out *Output) {
	w := r.waiterWithQuery(id)
	if w == nil {
		return
	}
	r.recordPrimary(report.Status)
	outcome, needsReplication := r.classifyReport(w.condition.Commit, report)
	switch {
	case outcome == platform.OutcomeUnknown:
		r.restartResolution(w, now)
	case !needsReplication:
		w.resolution.phase = resolutionDone
		w.resolution.outcome = outcome
	default:
		r.sequence++
		w.joinedSequence = r.sequence
		w.resolution.phase = resolutionReplicating
		w.resolution.outcome = outcome
		w.replication = replicationCheck{
			Commit:     Commit{Target: report.Status.Target, Term: report.Status.Term},
			point:      report.Status.Received,
			pointKnown: true,
		}
	}
	r.Tick(now, out)
}

// HandleReportFailure records that a waiter's transaction query got no valid response.
func (r *Rounds) HandleReportFailure(now time.Duration, id WaiterID, out *Output) {
	if w := r.waiterWithQuery(id); w != nil {
		r.restartResolution(w, now)
		r.Tick(now, out)
	}
}

// waiterWithQuery returns the waiter if its query is in flight, or nil.
func (r *Rounds) waiterWithQuery(id WaiterID) *waiter {
	for _, w := range r.waiters {
		if w.id == id && w.resolution.phase == resolutionQuerying {
			return w
		}
	}
	return nil
}

// classifyReport returns the outcome that a report gives for the commit's
// transaction, and whether the outcome is final only once a majority holds the
// reporting member's log. OutcomeUnknown means that the report decides nothing.
func (r *Rounds) classifyReport(commit Commit, report platform.TransactionReport) (outcome platform.TransactionOutcome, needsReplication bool) {
	status := report.Status
	fromCommitTarget := status.Target == commit.Target
	if fromCommitTarget && status.Term == commit.Term && report.Outcome == platform.OutcomeAborted {
		return platform.OutcomeAborted, false
	}
	if status.Role != topology.RolePrimary || status.Received.Term != status.Term {
		return platform.OutcomeUnknown, false
	}
	switch {
	case status.Term < commit.Term, status.Term == commit.Term && !fromCommitTarget:
		return platform.OutcomeUnknown, false
	case report.Outcome == platform.OutcomeCommitted:
		return r.classifyCommitted(commit, report), true
	case report.Outcome == platform.OutcomeAborted:
		return platform.OutcomeAborted, true
	case report.Outcome == platform.OutcomeAbsent && !fromCommitTarget:
		return platform.OutcomeAbsent, true
	default:
		return platform.OutcomeUnknown, false
	}
}

// classifyCommitted returns the outcome of the commit's transaction for a report that
// a transaction with its ID has committed. The report may be about another transaction
// that got the same ID: in an earlier term, from a primary whose entries the log of
// the commit's target lacked, or in a later term, from another primary. If the commit
// was recorded in a later term of the commit's own target, it may be either
// transaction, since the commit's term was observed before the transaction began. A
// platform that does not report where the commit was recorded is trusted never to
// reuse an ID.
func (r *Rounds) classifyCommitted(commit Commit, report platform.TransactionReport) platform.TransactionOutcome {
	recorded := report.CommitPoint.Term
	switch {
	case report.CommitPoint == topology.Point{}, recorded == commit.Term:
		return platform.OutcomeCommitted
	case recorded < commit.Term:
		return platform.OutcomeAbsent
	}
	if primary, known := r.termPrimaries[recorded]; known && primary != commit.Target {
		return platform.OutcomeAbsent
	}
	return platform.OutcomeUnknown
}

// termPrimaryWindow is how many terms back the primaries of terms are kept.
const termPrimaryWindow = 32

// recordPrimary records which member is primary of a term and removes old terms.
func (r *Rounds) recordPrimary(status topology.Status) {
	if status.Role != topology.RolePrimary {
		return
	}
	r.termPrimaries[status.Term] = status.Target
	for term := range r.termPrimaries {
		if term+termPrimaryWindow < status.Term {
			delete(r.termPrimaries, term)
		}
	}
}

// nextQueryAt returns when the waiter's next query is due if that is in the future,
// or never.
func (w *waiter) nextQueryAt(now time.Duration) time.Duration {
	state := &w.resolution
	if w.condition.Kind != ConditionOutcome || state.phase != resolutionAwaitingPrimary || state.nextQueryAt <= now {
		return never
	}
	return state.nextQueryAt
}
