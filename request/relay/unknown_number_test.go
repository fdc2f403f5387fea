package relay

import (
	"testing"

	"samphirehitch.example/samphirehitch/process/statement"
)

// A code of no name in a response of a faulty owner ended the forwarding process when the outcome
// was logged.
func TestResponseWithUnknownCodeDoesNotPanic(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	e := f.network.relays["e"]
	responses, release := f.startBlockedRead(first)
	for _, id := range e.pendingIDs() {
		e.Receive(first, encode(&message{Response: &forwardResponse{ID: id, Result: statement.Response{Code: 200, Signature: "of a faulty owner", State: statement.Idle}}}))
	}
	release()
	if response := <-responses; response.Code != statement.OK || response.Signature != "x" {
		t.Fatalf("the response is %+v", response)
	}
}

func TestMessageWithUnknownNumberIsRejected(t *testing.T) {
	request := func(kind statement.Kind, begin beginMode) *message {
		return &message{Request: &forwardRequest{ID: 1, Begin: begin, Statement: statement.Statement{Kind: kind}}}
	}
	response := func(code statement.Code, state statement.TransactionState) *message {
		return &message{Response: &forwardResponse{ID: 1, Result: statement.Response{Code: code, State: state}}}
	}
	for name, c := range map[string]struct {
		message *message
		valid   bool
	}{
		"last kind":             {request(statement.Demote, beginReadOnly), true},
		"unknown kind":          {request(statement.Demote+1, beginNone), false},
		"largest kind":          {request(255, beginNone), false},
		"unknown begin":         {request(statement.Read, beginReadOnly+1), false},
		"last code":             {response(statement.Unrecognized, statement.Idle), true},
		"unknown code":          {response(statement.Unrecognized+1, statement.Idle), false},
		"failed":                {response(statement.Aborted, statement.Failed), true},
		"no state":              {response(statement.OK, 0), false},
		"unknown state":         {response(statement.OK, statement.Failed+1), false},
		"declined, no state":    {&message{Response: &forwardResponse{ID: 1, Declined: true}}, true},
		"no primary, no state":  {&message{Response: &forwardResponse{ID: 1, NoPrimary: true}}, true},
		"declined, wrong code":  {&message{Response: &forwardResponse{ID: 1, Declined: true, Result: statement.Response{Code: 99}}}, false},
		"declined, wrong state": {&message{Response: &forwardResponse{ID: 1, Declined: true, Result: statement.Response{State: 9}}}, false},
	} {
		if _, err := decode(encode(c.message)); (err == nil) != c.valid {
			t.Errorf("%s: %v", name, err)
		}
	}
}
