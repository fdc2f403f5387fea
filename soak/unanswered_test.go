package soak

import (
	"strings"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// lossCase is an unanswered statement of daemon 0. All times are relative to the SIGTERM
// of that daemon.
type lossCase struct {
	daemon             int
	sent, ended        time.Duration
	received, executed time.Duration
	// fault is the start and the end of an unplanned fault.
	fault *[2]time.Duration
	want  outcome
}

// seconds returns a duration in seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func TestUnansweredStatementsAreClassified(t *testing.T) {
	for name, c := range map[string]lossCase{
		"executed":                            {sent: seconds(5.48), ended: seconds(5.5), received: seconds(5.49), executed: seconds(5.6), want: outcomeExecuted},
		"executed, sent before the SIGTERM":   {sent: seconds(-0.1), ended: seconds(0.1), received: seconds(-0.05), executed: seconds(0.2), want: outcomeExecuted},
		"executed, killed":                    {sent: seconds(5.9), ended: seconds(6), received: seconds(5.95), executed: seconds(6.1), want: outcomeExecuted},
		"executed, last moment that counts":   {sent: seconds(6.9), ended: seconds(7), received: seconds(6.95), executed: seconds(7), want: outcomeExecuted},
		"held":                                {sent: seconds(4), ended: seconds(4.201), want: outcomeHeld},
		"not taken":                           {sent: seconds(4), ended: seconds(4.2), want: outcomeNotTaken},
		"ended before the SIGTERM":            {sent: seconds(-0.2), ended: seconds(-0.01), received: seconds(-0.1), executed: seconds(-0.05), want: outcomeNoTermination},
		"ended over 1 s after the grace":      {sent: seconds(6.9), ended: seconds(7.01), received: seconds(6.95), executed: seconds(7), want: outcomeNoTermination},
		"another daemon":                      {daemon: 1, sent: seconds(5.48), ended: seconds(5.5), received: seconds(5.49), executed: seconds(5.6), want: outcomeNoTermination},
		"timeout of the route":                {sent: seconds(2), ended: seconds(3), received: seconds(2.1), executed: seconds(3.1), want: outcomeRouteTimeout},
		"before the timeout of the route":     {sent: seconds(2), ended: seconds(2.99), received: seconds(2.1), executed: seconds(3.1), want: outcomeExecuted},
		"target at work in the last sixth":    {sent: seconds(3), ended: seconds(3.9), received: seconds(3.1), executed: seconds(5.01), want: outcomeTargetAtWork},
		"target done before the last sixth":   {sent: seconds(3), ended: seconds(3.9), received: seconds(3.1), executed: seconds(5), want: outcomeExecuted},
		"target at work, sent later than 3 s": {sent: seconds(3.01), ended: seconds(3.9), received: seconds(3.1), executed: seconds(5.01), want: outcomeExecuted},
		"fault in the 4 s before":             {sent: seconds(5), ended: seconds(5.1), received: seconds(5), executed: seconds(5), fault: &[2]time.Duration{0, seconds(1)}, want: outcomeFault},
		"fault over 4 s before":               {sent: seconds(5.01), ended: seconds(5.1), received: seconds(5), executed: seconds(5), fault: &[2]time.Duration{0, seconds(1)}, want: outcomeExecuted},
		"fault begins before the end":         {sent: seconds(5), ended: seconds(5.1), received: seconds(5), executed: seconds(5), fault: &[2]time.Duration{seconds(5.1), seconds(9)}, want: outcomeFault},
		"fault begins after the end":          {sent: seconds(5), ended: seconds(5.1), received: seconds(5), executed: seconds(5), fault: &[2]time.Duration{seconds(5.11), seconds(9)}, want: outcomeExecuted},
	} {
		t.Run(name, func(t *testing.T) {
			terminatedAt := time.Now()
			at := terminatedAt.Add
			l := lossRecord{terminations: []termination{{0, terminatedAt}}}
			if c.fault != nil {
				l.faults = []*faultInterval{{at(c.fault[0]), at(c.fault[1])}}
			}
			var executions []platformtest.ExecutedStatement
			if c.executed != 0 {
				executions = []platformtest.ExecutedStatement{{ReceivedAt: at(c.received), At: at(c.executed)}}
			}
			got, _ := l.classify(unansweredStatement{daemon: c.daemon, sentAt: at(c.sent), endedAt: at(c.ended)}, executions)
			if got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

func TestLastTerminationBeforeTheEndCounts(t *testing.T) {
	start := time.Now()
	l := lossRecord{terminations: []termination{{0, start}, {0, start.Add(20 * time.Second)}, {0, start.Add(40 * time.Second)}}}
	u := unansweredStatement{sentAt: start.Add(24 * time.Second), endedAt: start.Add(24500 * time.Millisecond)}
	if got, terminatedAt := l.classify(u, nil); got != outcomeHeld || !terminatedAt.Equal(start.Add(20*time.Second)) {
		t.Errorf("%s, terminated %s after the first SIGTERM", got, terminatedAt.Sub(start))
	}
}

// A target executes a statement whose connection to the daemon ends around a SIGTERM. The
// check of the whole history must report it, and not one that no target executed.
func TestCheckerReportsUnansweredStatements(t *testing.T) {
	g, err := platformtest.StartGroup("s", 1, 3, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	target, response, err := platformtest.DialCaller(g.CurrentPrimary().Address(), "s", "miller", responseTimeout)
	if err != nil || !response.OK() {
		t.Fatalf("connect to the target: %v, response %+v", err, response)
	}
	defer target.Close()
	if _, err := target.Do("executed", platformtest.ReadText("a"), responseTimeout); err != nil {
		t.Fatal(err)
	}
	h := newHistory()
	sentAt := time.Now()
	h.addTermination(3, sentAt.Add(-time.Second))
	for _, id := range []string{"executed", "unread"} {
		h.addStatement(id, "miller", platformtest.ReadText("a"))
		h.addUnanswered(unansweredStatement{id: id, text: platformtest.ReadText("a"), daemon: 3, sentAt: sentAt, endedAt: sentAt.Add(30 * time.Millisecond)})
	}
	violations := h.check([]*platformtest.Group{g})
	if len(violations) != 1 || !strings.HasPrefix(violations[0], `LOST: statement executed "READ a" at daemon 4 got no answer: executed by a target`) {
		t.Errorf("violations %q", violations)
	}
	if summary, want := h.summary([]*platformtest.Group{g}), "2 unanswered (1 executed by a target, 1 not taken)"; !strings.Contains(summary, want) {
		t.Errorf("summary %q lacks %q", summary, want)
	}
}
