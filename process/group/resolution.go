package group

import (
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// resolutionPollInterval is the interval at which a primary is asked again for a
// transaction that is not settled, and the members for a primary.
const resolutionPollInterval = 20 * time.Millisecond

// resolutionPhase is what a resolution waits for.
type resolutionPhase uint8

const (
	// resolutionSeeking waits for a primary at the commit's term or above.
	resolutionSeeking resolutionPhase = iota
	// resolutionQuerying waits for the primary's report.
	resolutionQuerying
	// resolutionHolding waits until a majority holds the log that the report
	// is about.
	resolutionHolding
	// resolutionSettled has its outcome.
	resolutionSettled
)

// resolution finds the final outcome of a transaction whose commit was sent to
// a primary and got no confirmed answer.
//
// On a primary of a later term, the older term is closed: a majority promised
// the later one, so the older primary cannot gather an acknowledgement, and the
// transaction exists from then on just if the new primary's log holds it. The
// report is final once a majority holds an entry of the later term: every
// primary chosen after that descends from this log. Until then a member that
// holds the older primary's unreplicated entries could still be chosen and
// bring the transaction back, or one without them take it away.
//
// On the same primary at the same term, committed is final once a majority
// holds it, and aborted at once, for the transaction ran nowhere else. Absent
// and in progress are not final: the COMMIT may still be on its way.
type resolution struct {
	phase   resolutionPhase
	outcome platform.TransactionOutcome
	queryAt time.Duration
}

// resolve advances the resolution and returns true once it is settled.
func (r *Rounds) resolve(w *waiter, now time.Duration, out *Output) bool {
	s := &w.resolution
	if s.phase == resolutionHolding {
		switch r.judgeHold(w, now) {
		case verdictHeld:
			s.phase = resolutionSettled
		case verdictReplaced:
			r.seek(w, now)
		case verdictOpen:
		}
	}
	if s.phase == resolutionSeeking && now >= s.queryAt {
		if primary := r.resolver(w); primary != nil {
			s.phase = resolutionQuerying
			out.Queries = append(out.Queries, Query{Waiter: w.id, Target: primary.Target, Transaction: w.need.Transaction})
		}
	}
	return s.phase == resolutionSettled
}

// resolver returns the primary that can be asked, if it answered after the
// waiter joined.
func (r *Rounds) resolver(w *waiter) *member {
	primary := r.primary()
	if primary == nil || primary.answered <= w.joined || primary.status.Term < w.need.Commit.Term {
		return nil
	}
	return primary
}

// seek goes back to looking for a primary; only later answers count.
func (r *Rounds) seek(w *waiter, now time.Duration) {
	r.sequence++
	w.joined = r.sequence
	w.hold = hold{}
	w.resolution = resolution{queryAt: now + resolutionPollInterval}
}

// Reported takes the answer to a waiter's query.
func (r *Rounds) Reported(now time.Duration, id WaiterID, report platform.TransactionReport, out *Output) {
	w := r.querying(id)
	if w == nil {
		return
	}
	switch judgeReport(w.need.Commit, report) {
	case reportFinal:
		w.resolution.phase = resolutionSettled
		w.resolution.outcome = platform.OutcomeAborted
	case reportHold:
		r.sequence++
		w.joined = r.sequence
		w.resolution.phase = resolutionHolding
		w.resolution.outcome = outcomeOf(w.need.Commit, report)
		w.hold = hold{
			Commit:  Commit{Target: report.Status.Target, Term: report.Status.Term},
			point:   report.Status.Received,
			pointed: true,
		}
	case reportPending:
		r.seek(w, now)
	}
	r.Tick(now, out)
}

// QueryFailed says that a waiter's query got no answer.
func (r *Rounds) QueryFailed(now time.Duration, id WaiterID, out *Output) {
	if w := r.querying(id); w != nil {
		r.seek(w, now)
		r.Tick(now, out)
	}
}

func (r *Rounds) querying(id WaiterID) *waiter {
	for _, w := range r.waiters {
		if w.id == id && w.resolution.phase == resolutionQuerying {
			return w
		}
	}
	return nil
}

// reportVerdict is what a report allows.
type reportVerdict uint8

const (
	reportPending reportVerdict = iota
	reportHold
	reportFinal
)

// judgeReport weighs a report on the transaction of a commit.
func judgeReport(commit Commit, report platform.TransactionReport) reportVerdict {
	status := report.Status
	if status.Target == commit.Target && report.Outcome == platform.OutcomeAborted && status.Term == commit.Term {
		return reportFinal
	}
	if status.Role != topology.RolePrimary || status.Term < commit.Term || status.Received.Term != status.Term {
		return reportPending
	}
	if status.Term == commit.Term {
		if status.Target == commit.Target && report.Outcome == platform.OutcomeCommitted {
			return reportHold
		}
		return reportPending
	}
	if outcomeOf(commit, report) == platform.OutcomeUnknown {
		return reportPending
	}
	return reportHold
}

// outcomeOf returns the report's outcome for the commit's own transaction: an
// entry recorded in a later term belongs to another transaction that was given
// the same identifier.
func outcomeOf(commit Commit, report platform.TransactionReport) platform.TransactionOutcome {
	reused := report.Recorded.Term > commit.Term
	switch report.Outcome {
	case platform.OutcomeCommitted, platform.OutcomeAborted:
		if reused {
			return platform.OutcomeAbsent
		}
		return report.Outcome
	case platform.OutcomeAbsent:
		return platform.OutcomeAbsent
	default:
		return platform.OutcomeUnknown
	}
}

// queryDue returns when the waiter may send its next query, or never.
func (w *waiter) queryDue(now time.Duration) time.Duration {
	s := &w.resolution
	if w.need.Kind != NeedOutcome || s.phase != resolutionSeeking || s.queryAt <= now {
		return never
	}
	return s.queryAt
}
