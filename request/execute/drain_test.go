package execute

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// drainTimeout is the time that the drains of the tests have.
const drainTimeout = 2 * time.Second

// drainWith starts a drain with a short time once the targets have received the text.
func (h *harness) drainWith(targets *fakeTargets, awaited string) (drained chan error) {
	for !targets.hasReceived(awaited) {
		runtime.Gosched()
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	h.t.Cleanup(cancel)
	drained = make(chan error, 1)
	go func() { drained <- h.server.Drain(ctx) }()
	return drained
}

// remaining receives until the connection is closed.
func (c *wireClient) remaining() (received []string) {
	for {
		message, err := c.receive()
		if err != nil {
			return received
		}
		received = append(received, summarize(message))
	}
}

// A drain whose time ended closed the connections of the statements that still ran, and those
// of transactions that rested, without a response. A commit that may have happened is
// in doubt, and nothing that may have run is called "not run".
func TestEndOfDrainLeavesNoStatementUnanswered(t *testing.T) {
	silent := responseFault{truncateAt: -1, silent: true}
	for name, test := range map[string]struct {
		faults  []responseFault
		queries []string
		// answered are the responses before the drain, awaited is what the targets receive.
		answered []string
		awaited  string
		want     string
	}{
		"read":                   {[]responseFault{silent}, []string{"SELECT 'x'"}, nil, "SELECT 'x'", "[error 57P01]"},
		"write":                  {[]responseFault{noFault, silent}, []string{"INSERT a"}, nil, "INSERT a", "[error 57P01]"},
		"commit of a write":      {[]responseFault{noFault, noFault, noFault, silent}, []string{"INSERT a"}, nil, "COMMIT", "[error 08007 ready I error 57P01]"},
		"resting transaction":    {nil, []string{"BEGIN", "INSERT a"}, []string{"done BEGIN", "ready T", "done INSERT 0 1", "ready T"}, "INSERT a", "[error 57P01]"},
		"statement":              {[]responseFault{noFault, noFault, noFault, silent}, []string{"BEGIN", "INSERT a", "SELECT 'y'"}, []string{"done BEGIN", "ready T", "done INSERT 0 1", "ready T"}, "SELECT 'y'", "[error 57P01]"},
		"commit":                 {[]responseFault{noFault, noFault, noFault, silent}, []string{"BEGIN", "INSERT a", "COMMIT"}, []string{"done BEGIN", "ready T", "done INSERT 0 1", "ready T"}, "COMMIT", "[error 08007 ready I error 57P01]"},
		"own transaction":        {[]responseFault{silent}, []string{"VACUUM x"}, nil, "VACUUM", "[error 08007 ready I error 57P01]"},
		"uncertain, to be rerun": {[]responseFault{noFault, noFault, noFault, {truncateAt: 0}, noFault, silent}, []string{"/* samphirehitch: idempotent */ INSERT a"}, nil, "COMMIT", "[error 08007 ready I error 57P01]"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, targets := newFakeHarness(t, 2)
			client := h.connectRaw(testKey, "")
			targets.mu.Lock()
			targets.mu.outcomesUnknown = true
			targets.mu.Unlock()
			targets.scheduleFaults(test.faults...)
			for _, query := range test.queries {
				client.send(queryMessage(query))
			}
			client.expect(test.answered...)
			drained := h.drainWith(targets, test.awaited)
			if got := fmt.Sprint(client.remaining()); got != test.want {
				t.Errorf("got %s at the end of the drain, want %s", got, test.want)
			}
			if err := <-drained; err != nil {
				t.Errorf("drain: %v", err)
			}
		})
	}
}

// A caller that rests in COPY FROM STDIN got no response at the end of a drain either.
func TestEndOfDrainAnswersACopyThatRests(t *testing.T) {
	h := newHarness(t)
	client := h.connectRaw(testKey, "")
	client.send(queryMessage("COPY kv FROM STDIN"))
	client.expect("CopyInResponse")
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	client.send(&pgproto3.CopyData{Data: []byte("a\t1\n")})
	if err := h.server.Drain(ctx); err != nil {
		t.Errorf("drain: %v", err)
	}
	if got := fmt.Sprint(client.remaining()); got != "[error 57P01]" {
		t.Errorf("got %s, want an error 57P01", got)
	}
	if rows := h.group.Primary().Database().Rows(); len(rows) != 0 {
		t.Errorf("rows %v after a COPY that is not run", rows)
	}
}
