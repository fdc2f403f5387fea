package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// Bounds of the check for unanswered statements, from the platform's documentation.
const (
	// killMargin is how long after the end of the grace period a termination counts.
	killMargin = time.Second
	// lossSlack is how long a statement may stay unanswered that no target has executed:
	// the daemon may not have read it.
	lossSlack = 200 * time.Millisecond
	// lastUnfinishedSend is how long after the termination a statement may be sent whose
	// target is still at work in the last sixth of the grace period.
	lastUnfinishedSend = 3 * time.Second
	lastSixth          = platformtest.TerminationGrace * 5 / 6
	// contactTime is how long before a statement an unplanned fault excuses its loss.
	contactTime = 4 * time.Second
)

// unansweredStatement is a statement that got no complete answer: its connection ended, or
// the caller stopped waiting.
type unansweredStatement struct {
	id, text string
	// daemon is the number of the daemon that the caller was connected to.
	daemon          int
	sentAt, endedAt time.Time
	// transactionBegunAt is zero outside a transaction.
	transactionBegunAt time.Time
}

// termination is a SIGTERM of a daemon.
type termination struct {
	daemon int
	at     time.Time
}

// faultInterval is the time of an unplanned fault. Its end is zero until it has ended.
type faultInterval struct{ start, end time.Time }

// overlaps reports whether the fault was active between two times.
func (f *faultInterval) overlaps(start, end time.Time) bool {
	return !f.start.After(end) && (f.end.IsZero() || !f.end.Before(start))
}

// lossRecord holds the part of a history that concerns unanswered statements. It is
// guarded by the history's mutex.
type lossRecord struct {
	unanswered   []unansweredStatement
	terminations []termination
	// faults holds the unplanned faults.
	faults []*faultInterval
	// stops are the times from the SIGTERM of a daemon in a series until the balancer may find it
	// ready again.
	stops []*faultInterval
	// stutters are the times in which a target sends responses twice and, for the last of them to
	// have an effect, the timeout of a route.
	stutters []*faultInterval
	// stalls are the times in which a thread of a process waited for a processor.
	stalls []faultInterval
	// refusals are the error responses.
	refusals []refusal
	// transactionCuts are the times at which the connection of a transaction was found to have
	// ended between statements.
	transactionCuts []time.Time
}

func (h *history) addUnanswered(u unansweredStatement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unanswered = append(h.unanswered, u)
}

func (h *history) addTermination(daemon int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.terminations = append(h.terminations, termination{daemon, at})
}

// addFault records that an unplanned fault begins now, and returns the function that
// records its end.
func (h *history) addFault() (end func()) { return h.beginInterval(&h.faults, 0) }

// addStop records that a daemon of a series is stopped now, and returns the function that
// records its next start.
func (h *history) addStop() (end func()) { return h.beginInterval(&h.stops, probeInterval) }

// addStutter records that a target sends responses twice from now on, and returns the function that
// records the end.
func (h *history) addStutter() (end func()) {
	return h.beginInterval(&h.stutters, platformtest.RouteTimeout)
}

// beginInterval adds an interval that begins now, and returns the function that has it end after a
// delay.
func (h *history) beginInterval(intervals *[]*faultInterval, delay time.Duration) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	interval := &faultInterval{start: time.Now()}
	*intervals = append(*intervals, interval)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		interval.end = time.Now().Add(delay)
	}
}

// addTransactionCut records a transaction whose connection ended between statements.
func (h *history) addTransactionCut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.transactionCuts = append(h.transactionCuts, time.Now())
}

// outcome says why an unanswered statement is a violation, or why it is none.
type outcome string

const (
	outcomeExecuted outcome = "executed by a target"
	outcomeHeld     outcome = "held without an answer"
	// The outcomes below are no violations.
	outcomeNoTermination outcome = "no termination"
	outcomeNotTaken      outcome = "not taken"
	outcomeRouteTimeout  outcome = "timeout of the route"
	outcomeTargetAtWork  outcome = "target at work in the last sixth"
	outcomeFault         outcome = "unplanned fault"
)

func (o outcome) violation() bool { return o == outcomeExecuted || o == outcomeHeld }

// checkUnanswered checks that no statement is left unanswered around the termination of
// the daemon that took it, from the SIGTERM until killMargin after the grace period, if a
// target executed it or the daemon held it for longer than lossSlack.
func (c *checker) checkUnanswered(groups []*platformtest.Group) {
	executions := executionsByID(groups)
	for _, u := range c.unanswered {
		o, terminatedAt := c.classify(u, executions[u.id])
		if !o.violation() {
			continue
		}
		begun := ""
		if !u.transactionBegunAt.IsZero() {
			begun = fmt.Sprintf(", in a transaction begun at %+.3f s", u.transactionBegunAt.Sub(terminatedAt).Seconds())
		}
		c.addViolation("LOST: statement %s %q at daemon %d got no answer: %s; sent %+.3f s after the SIGTERM, cut %.3f s later%s",
			u.id, u.text, u.daemon+1, o, u.sentAt.Sub(terminatedAt).Seconds(), u.endedAt.Sub(u.sentAt).Seconds(), begun)
	}
}

// executionsByID returns the executions of each statement.
func executionsByID(groups []*platformtest.Group) map[string][]platformtest.ExecutedStatement {
	executions := make(map[string][]platformtest.ExecutedStatement)
	for _, g := range groups {
		for _, e := range g.ExecutedStatements() {
			executions[e.ID] = append(executions[e.ID], e)
		}
	}
	return executions
}

// classify returns the outcome of an unanswered statement, and when the daemon that took
// it was last sent SIGTERM before, which is zero if no such termination counts.
func (l *lossRecord) classify(u unansweredStatement, executions []platformtest.ExecutedStatement) (outcome, time.Time) {
	var terminatedAt time.Time
	for _, t := range l.terminations {
		if t.daemon == u.daemon && !t.at.After(u.endedAt) && t.at.After(terminatedAt) {
			terminatedAt = t.at
		}
	}
	held := u.endedAt.Sub(u.sentAt)
	switch {
	case terminatedAt.IsZero() || u.endedAt.Sub(terminatedAt) > platformtest.TerminationGrace+killMargin:
		return outcomeNoTermination, time.Time{}
	case len(executions) == 0 && held <= lossSlack:
		return outcomeNotTaken, terminatedAt
	case held >= platformtest.RouteTimeout:
		return outcomeRouteTimeout, terminatedAt
	case u.sentAt.Sub(terminatedAt) <= lastUnfinishedSend && atWorkInLastSixth(executions, terminatedAt):
		return outcomeTargetAtWork, terminatedAt
	case l.faultBetween(u.sentAt.Add(-contactTime), u.endedAt):
		return outcomeFault, terminatedAt
	case len(executions) > 0:
		return outcomeExecuted, terminatedAt
	}
	return outcomeHeld, terminatedAt
}

// atWorkInLastSixth reports whether a target was executing a statement in the last sixth
// of the grace period.
func atWorkInLastSixth(executions []platformtest.ExecutedStatement, terminatedAt time.Time) bool {
	start, end := terminatedAt.Add(lastSixth), terminatedAt.Add(platformtest.TerminationGrace)
	return slices.ContainsFunc(executions, func(e platformtest.ExecutedStatement) bool {
		return e.At.After(start) && e.ReceivedAt.Before(end)
	})
}

// faultBetween reports whether an unplanned fault was active between two times.
func (l *lossRecord) faultBetween(start, end time.Time) bool {
	return slices.ContainsFunc(l.faults, func(f *faultInterval) bool { return f.overlaps(start, end) })
}

// summary returns a line with the numbers of unanswered statements by their outcome and of
// error responses by their code and detail, the most frequent first.
func (h *history) summary(groups []*platformtest.Group) string {
	executions := executionsByID(groups)
	h.mu.Lock()
	defer h.mu.Unlock()
	outcomes := make(map[string]int)
	for _, u := range h.unanswered {
		o, _ := h.classify(u, executions[u.id])
		outcomes[string(o)]++
	}
	refusals := make(map[string]int)
	for _, r := range h.refusals {
		refusals[r.reason()]++
	}
	return fmt.Sprintf("%d statements, %d unanswered (%s), %d transactions cut between statements, %d stalls of the machine; refusals: %s",
		len(h.statements), len(h.unanswered), formatCounts(outcomes), len(h.transactionCuts), len(h.stalls), formatCounts(refusals))
}

// formatCounts returns the entries of a map in descending order of their counts.
func formatCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var entries []string
	for _, name := range names {
		entries = append(entries, fmt.Sprintf("%d %s", counts[name], name))
	}
	return cmp.Or(strings.Join(entries, ", "), "none")
}
