package soak

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// refusal is an error response to a statement or a login of a caller.
type refusal struct {
	response platformtest.Response
	customer string
	// daemon is the number of the daemon that sent it.
	daemon        int
	sentAt, at    time.Time
	inTransaction bool
}

// portPattern matches the port of a loopback address, positionPattern the log position of a quoted
// READY, in the detail of an error.
var (
	portPattern     = regexp.MustCompile(`\b:\d{4,5}\b`)
	positionPattern = regexp.MustCompile(` \d+\.\d+"`)
)

// reason returns the code and the detail, without what differs between equal refusals.
func (r refusal) reason() string {
	detail := positionPattern.ReplaceAllString(r.response.Detail, ` POSITION"`)
	return r.response.Code + " " + portPattern.ReplaceAllString(detail, ":PORT")
}

func (h *history) addRefusal(r refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, r)
}

// transactionEndTime is how long after the SIGTERM of the instance that runs it a transaction may
// last by the platform's documentation: the first half of the grace period.
const transactionEndTime = platformtest.TerminationGrace / 2

// plannedRun is what a check of planned stops needs to know of its run.
type plannedRun struct {
	// servedFrom is when all callers were served, and keyWithdrawnFrom when the withdrawal of a
	// key began.
	servedFrom, keyWithdrawnFrom time.Time
	// daemons is the number of daemons.
	daemons int
	// spendsLimits is set if callers may exhaust the connections of a target. Refusals then have no
	// bound.
	spendsLimits bool
}

// checkPlannedStops checks that planned stops cost callers nothing: no statement or login is
// refused for lack of anything but a limit that is spent, and nothing is cut off. The bound is
// zero. Excused is what is no cost by the platform's documentation: the end of a withdrawn key, of
// transactions that last for longer than transactionEndTime after a SIGTERM, and of connections
// whose statement the daemon has not taken; and what happens while over half of the daemons stop
// or a target stutters, or after a stall of the machine.
func (h *history) checkPlannedStops(groups []*platformtest.Group, run plannedRun) []string {
	executions := executionsByID(groups)
	h.mu.Lock()
	defer h.mu.Unlock()
	costs := make(map[string]int)
	for _, r := range h.refusals {
		if r.sentAt.After(run.servedFrom) && !run.spendsLimits && !h.disturbs(r.sentAt, r.at, run) && !h.excuses(r, run) {
			costs["refused: "+r.reason()]++
		}
	}
	for _, u := range h.unanswered {
		if o, _ := h.classify(u, executions[u.id]); u.sentAt.After(run.servedFrom) && !h.disturbs(u.sentAt, u.endedAt, run) && o != outcomeNotTaken {
			costs["without an answer: "+string(o)]++
		}
	}
	for _, at := range h.transactionCuts {
		if !h.disturbs(at, at, run) {
			costs["transactions cut between statements"]++
		}
	}
	var violations []string
	for _, cost := range slices.Sorted(maps.Keys(costs)) {
		violations = append(violations, fmt.Sprintf("PLANNED: %d %s", costs[cost], cost))
	}
	return violations
}

// disturbs reports whether, between two times, over half of the daemons were stopping or away,
// when the platform's balancer uses them all, a target stuttered, or the machine stalled.
func (l *lossRecord) disturbs(start, end time.Time, run plannedRun) bool {
	stopping := 0
	for _, s := range l.stops {
		if s.overlaps(start, end) {
			stopping++
		}
	}
	stuttered := slices.ContainsFunc(l.stutters, func(s *faultInterval) bool { return s.overlaps(start, end) })
	return stuttered || 2*stopping > run.daemons || l.stalledBetween(start, end)
}

// excuses reports whether a refusal is no cost of a planned stop.
func (l *lossRecord) excuses(r refusal, run plannedRun) bool {
	withdrawn := r.customer == customers[withdrawnCustomerIndex].Name && !run.keyWithdrawnFrom.IsZero() && r.at.After(run.keyWithdrawnFrom)
	switch detail := r.response.Detail; {
	case withdrawn && (detail == "unknown key" || detail == "the key was withdrawn"):
		return true
	case r.inTransaction && detail == "the instance is shutting down":
		return l.endsTransactions(r.at, func(daemon int) bool { return daemon == r.daemon })
	case r.inTransaction && detail == "home has ended the transaction":
		return l.endsTransactions(r.at, func(int) bool { return true })
	}
	return false
}

// endsTransactions reports whether one of some daemons is in the part of its shutdown in which it
// may end transactions.
func (l *lossRecord) endsTransactions(at time.Time, of func(daemon int) bool) bool {
	return slices.ContainsFunc(l.terminations, func(t termination) bool {
		elapsed := at.Sub(t.at)
		return of(t.daemon) && elapsed >= transactionEndTime && elapsed <= platformtest.TerminationGrace
	})
}
