package soak

import (
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

func TestRefusalsAreExcused(t *testing.T) {
	aborted := platformtest.Response{Code: "ABORTED", Detail: "the instance is shutting down"}
	ended := platformtest.Response{Code: "ABORTED", Detail: "home has ended the transaction"}
	unknown := platformtest.Response{Code: "AUTHFAIL", Detail: "unknown key"}
	withdrawn := platformtest.Response{Code: "ABORTED", Detail: "the key was withdrawn"}
	full := platformtest.Response{Code: "BUSY", Detail: "no connection became free in time"}
	rate := platformtest.Response{Code: "BUSY", Detail: "customer's rate is used up"}
	// The times are relative to the SIGTERM of daemon 0. The key of lodger is withdrawn 1 s after it.
	for name, c := range map[string]struct {
		refusal refusal
		at      time.Duration
		want    bool
	}{
		"transaction in the second half":              {refusal: refusal{response: aborted, inTransaction: true}, at: seconds(3), want: true},
		"transaction in the first half":               {refusal: refusal{response: aborted, inTransaction: true}, at: seconds(2.99)},
		"transaction after the grace period":          {refusal: refusal{response: aborted, inTransaction: true}, at: seconds(6.01)},
		"transaction at another daemon":               {refusal: refusal{response: aborted, inTransaction: true, daemon: 1}, at: seconds(3)},
		"single statement":                            {refusal: refusal{response: aborted}, at: seconds(4)},
		"forwarded transaction in the second half":    {refusal: refusal{response: ended, inTransaction: true, daemon: 1}, at: seconds(3), want: true},
		"forwarded transaction in the first half":     {refusal: refusal{response: ended, inTransaction: true, daemon: 1}, at: seconds(2.99)},
		"withdrawn key":                               {refusal: refusal{response: unknown, customer: "lodger"}, at: seconds(1.01), want: true},
		"transaction of a withdrawn key":              {refusal: refusal{response: withdrawn, customer: "lodger", inTransaction: true}, at: seconds(1.01), want: true},
		"key before its withdrawal":                   {refusal: refusal{response: unknown, customer: "lodger"}, at: seconds(0.99)},
		"key of another customer":                     {refusal: refusal{response: unknown, customer: "miller"}, at: seconds(1.01)},
		"withdrawn key refused for lack of something": {refusal: refusal{response: full, customer: "lodger"}, at: seconds(1.01)},
		"connections, which callers cannot exhaust":   {refusal: refusal{response: full}, at: seconds(1)},
		"rate, which callers cannot exhaust":          {refusal: refusal{response: rate}, at: seconds(1)},
	} {
		t.Run(name, func(t *testing.T) {
			terminatedAt := time.Now()
			l := lossRecord{terminations: []termination{{0, terminatedAt}}}
			c.refusal.at = terminatedAt.Add(c.at)
			run := plannedRun{keyWithdrawnFrom: terminatedAt.Add(seconds(1))}
			if got := l.excuses(c.refusal, run); got != c.want {
				t.Errorf("excused %v, want %v", got, c.want)
			}
		})
	}
}

// Each cost of a planned stop is a violation, except what was sent before callers were served and
// a statement that the daemon has not taken.
func TestCheckerReportsCostsOfPlannedStops(t *testing.T) {
	h := newHistory()
	servedFrom := time.Now()
	at := servedFrom.Add
	busy := platformtest.Response{Code: "BUSY", Detail: "no home of the service can be reached"}
	for _, sent := range []time.Duration{-time.Second, time.Second, 2 * time.Second} {
		h.addRefusal(refusal{response: busy, sentAt: at(sent), at: at(sent)})
	}
	h.addTermination(0, servedFrom)
	h.addUnanswered(unansweredStatement{id: "not taken", sentAt: at(seconds(1)), endedAt: at(seconds(1.1))})
	h.addUnanswered(unansweredStatement{id: "held", sentAt: at(seconds(1)), endedAt: at(seconds(1.3))})
	h.addUnanswered(unansweredStatement{id: "elsewhere", daemon: 1, sentAt: at(seconds(1)), endedAt: at(seconds(1.1))})
	h.addTransactionCut()
	want := []string{"PLANNED: 2 refused: BUSY no home of the service can be reached", "PLANNED: 1 transactions cut between statements",
		"PLANNED: 1 without an answer: held without an answer", "PLANNED: 1 without an answer: no termination"}
	if got := h.checkPlannedStops(nil, plannedRun{daemons: 4, servedFrom: servedFrom}); !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
	// A stall of the machine is no planned stop. It reaches 1.1 s further.
	h.stalls = []faultInterval{{at(seconds(-2)), at(seconds(1))}}
	if got := h.checkPlannedStops(nil, plannedRun{daemons: 4, servedFrom: servedFrom}); len(got) != 0 {
		t.Errorf("after a stall up to 1 s: %q", got)
	}
	h.stalls[0].end = at(seconds(-0.11))
	if got, want := h.checkPlannedStops(nil, plannedRun{daemons: 4, servedFrom: servedFrom}), []string{want[0], want[2], want[3]}; !slices.Equal(got, want) {
		t.Errorf("after a stall before: %q, want %q", got, want)
	}
	h.stalls = nil
	// Nor is one of over half of the daemons at once.
	stops := []*faultInterval{{start: at(0)}, {start: at(0)}, {start: at(0), end: at(seconds(1))}}
	for count, want := range map[int][]string{2: want, 3: want[:1]} {
		h.stops = stops[:count]
		if got := h.checkPlannedStops(nil, plannedRun{daemons: 4, servedFrom: servedFrom}); len(got) != len(want) {
			t.Errorf("%d of 4 daemons stop: %q", count, got)
		}
	}
	h.stops = nil
	// Callers that may exhaust a limit are refused for that; nothing may be cut all the same.
	if got := h.checkPlannedStops(nil, plannedRun{daemons: 4, servedFrom: servedFrom, spendsLimits: true}); !slices.Equal(got, want[1:]) {
		t.Errorf("%q, want %q", got, want[1:])
	}
}
