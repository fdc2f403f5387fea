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
// The commit's own target, at the same term, settles committed once a majority
// holds it, and aborted at once, for the transaction ran nowhere else. Absent
// and in progress are not final there: the COMMIT may still be on its way. The
// same goes for its own later reigns, for the commit's term was seen before the
// transaction began and may be too low. On another member, absent cannot come
// from too low a term: had the target become primary of a term above the
// reporting member's before the transaction began, a majority would have
// promised that term and not support the reporting member's any more.
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
	r.observeReign(report.Status)
	outcome, held := r.judgeReport(w.need.Commit, report)
	switch {
	case outcome == platform.OutcomeUnknown:
		r.seek(w, now)
	case !held:
		w.resolution.phase = resolutionSettled
		w.resolution.outcome = outcome
	default:
		r.sequence++
		w.joined = r.sequence
		w.resolution.phase = resolutionHolding
		w.resolution.outcome = outcome
		w.hold = hold{
			Commit:  Commit{Target: report.Status.Target, Term: report.Status.Term},
			point:   report.Status.Received,
			pointed: true,
		}
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

// judgeReport returns the outcome that a report shows for the commit's own
// transaction and whether a majority has to hold the reporting log first.
// OutcomeUnknown means that nothing is settled yet.
func (r *Rounds) judgeReport(commit Commit, report platform.TransactionReport) (outcome platform.TransactionOutcome, hold bool) {
	status := report.Status
	own := status.Target == commit.Target
	if own && status.Term == commit.Term && report.Outcome == platform.OutcomeAborted {
		return platform.OutcomeAborted, false
	}
	if status.Role != topology.RolePrimary || status.Received.Term != status.Term {
		return platform.OutcomeUnknown, false
	}
	switch {
	case status.Term < commit.Term, status.Term == commit.Term && !own:
		return platform.OutcomeUnknown, false
	case report.Outcome == platform.OutcomeCommitted:
		return r.committed(commit, report), true
	case report.Outcome == platform.OutcomeAborted:
		return platform.OutcomeAborted, true
	case report.Outcome == platform.OutcomeAbsent && !own:
		return platform.OutcomeAbsent, true
	default:
		return platform.OutcomeUnknown, false
	}
}

// committed tells the commit's own transaction from one that was given the same
// identifier in another term: by a predecessor whose log the target's did not
// hold, or by a successor. In a later reign of the commit's own target it may be
// either, since the commit's term was seen before the transaction began. A
// platform that does not say where the outcome was recorded is trusted not to
// give an identifier twice.
func (r *Rounds) committed(commit Commit, report platform.TransactionReport) platform.TransactionOutcome {
	recorded := report.Commit.Term
	switch {
	case report.Commit == topology.Point{}, recorded == commit.Term:
		return platform.OutcomeCommitted
	case recorded < commit.Term:
		return platform.OutcomeAbsent
	}
	if primary, known := r.reigns[recorded]; known && primary != commit.Target {
		return platform.OutcomeAbsent
	}
	return platform.OutcomeUnknown
}

// maxReigns bounds the terms whose primary is remembered.
const maxReigns = 32

// observeReign remembers which member was primary of a term.
func (r *Rounds) observeReign(status topology.Status) {
	if status.Role != topology.RolePrimary {
		return
	}
	r.reigns[status.Term] = status.Target
	for term := range r.reigns {
		if term+maxReigns < status.Term {
			delete(r.reigns, term)
		}
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
