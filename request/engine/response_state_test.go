package engine

import (
	"testing"

	"samphirehitch.example/samphirehitch/process/statement"
)

// respondOnce has targets respond to the first statement of a kind with a response, and to all others with success. Nothing more may be
// sent on its connection if spent is set.
func (h *harness) respondOnce(kind statement.Kind, response statement.Response, spent bool) {
	responded := false
	h.targets.respond = func(s receivedStatement) (statement.Response, error) {
		if s.Kind != kind || responded {
			return statement.Response{}, nil
		}
		responded = true
		h.targets.spent = map[int]bool{s.conn: spent}
		return response, nil
	}
}

// The copy of a response from before BEGIN was taken for that to BEGIN: the write ran outside of its transaction.
func TestNoStatementFollowsBeginInAnotherState(t *testing.T) {
	for name, response := range map[string]statement.Response{
		"success outside of a transaction": {State: statement.Idle},
		"error in a transaction":           {Code: statement.Busy, State: statement.Open},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.respondOnce(statement.Begin, response, false)
			s := h.session(1, "strict")
			h.mustRun(s, begin, statement.OK)
			h.mustRun(s, writeA, statement.OK)
			if writes := h.targets.received(statement.Write); len(writes) != 1 || writes[0].conn != 2 {
				t.Fatalf("writes %+v, want one on the second connection", writes)
			}
		})
	}
}

// A success outside of a transaction that leaves one open is the response to something else.
func TestResponseInAnotherStateIsNotTrusted(t *testing.T) {
	signed := statement.Response{Signature: "x", State: statement.Open}
	h := newHarness(t)
	h.respondOnce(statement.Write, signed, false)
	h.mustRun(h.session(1, "strict"), writeA, statement.InDoubt)
	h = newHarness(t)
	h.respondOnce(statement.Read, signed, false)
	if response := h.mustRun(h.session(1, "strict"), readA, statement.OK); response.Signature == signed.Signature {
		t.Fatalf("response %+v is that of the first connection", response)
	}
	h = newHarness(t)
	h.respondOnce(statement.Commit, signed, false)
	s := h.session(1, "strict")
	h.mustRun(s, begin, statement.OK)
	h.mustRun(s, writeA, statement.OK)
	h.mustRun(s, commit, statement.InDoubt)
}

// The copy of BUSY was taken for the response to the statement that was sent again behind it.
func TestNoStatementIsSentAgainBehindAnError(t *testing.T) {
	for kind, statements := range map[statement.Kind][]statement.Statement{
		statement.Write: {begin, writeA}, statement.Commit: {begin, writeA, commit},
	} {
		h := newHarness(t)
		h.respondOnce(kind, statement.Response{Code: statement.Busy, State: statement.Open}, true)
		s := h.session(1, "strict")
		last := len(statements) - 1
		for _, st := range statements[:last] {
			h.mustRun(s, st, statement.OK)
		}
		h.mustRun(s, statements[last], statement.Busy)
		if sent := h.targets.received(kind); len(sent) != 1 {
			t.Errorf("%s was sent %d times", kind, len(sent))
		}
	}
}
