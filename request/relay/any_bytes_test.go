package relay

import (
	"slices"
	"testing"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/statement"
)

// anyBytes is not UTF-8 and contains all separators and control characters.
var anyBytes = func() string {
	var b []byte
	for c := range 256 {
		b = append(b, byte(c))
	}
	return "\xed\xa0\x80\r\n" + string(b)
}()

// A message with a text that is not UTF-8 was dropped by its receiver, so that a write that had
// run was reported as in doubt after the timeout.
func TestFieldsWithAnyBytesCrossALinkUnchanged(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	var got []statement.Statement
	f.targets[first].setRespond(func(st statement.Statement, response *statement.Response) {
		got = append(got, st)
		if st.Kind == statement.Read {
			response.Rows, response.Signature = []string{anyBytes, "", "\xff"}, anyBytes
		}
	})
	session := f.newSession()
	session.Run(statement.Statement{Kind: statement.Set, Name: anyBytes, Argument: anyBytes})
	session.Run(statement.Statement{Kind: statement.Prepare, Name: anyBytes, Argument: anyBytes, Writes: true})
	write := session.Run(statement.Statement{Kind: statement.Write, ID: anyBytes, Text: anyBytes})
	read := session.Run(statement.Statement{Kind: statement.Read, ID: anyBytes, Text: anyBytes})
	execute := session.Run(statement.Statement{Kind: statement.Execute, Name: anyBytes, Argument: anyBytes})
	if write.Code != statement.OK || read.Code != statement.OK || execute.Code != statement.OK {
		t.Fatalf("write %s, read %s, execute %s", write.Code, read.Code, execute.Code)
	}
	if !slices.Equal(read.Rows, []string{anyBytes, "", "\xff"}) || read.Signature != anyBytes {
		t.Errorf("received %q with signature %q", read.Rows, read.Signature)
	}
	for _, kind := range []statement.Kind{statement.Set, statement.Prepare, statement.Write, statement.Read, statement.Execute} {
		i := slices.IndexFunc(got, func(st statement.Statement) bool { return st.Kind == kind })
		switch {
		case i < 0:
			t.Errorf("%s did not reach the target", kind)
		case kind == statement.Set && got[i].Name != anyBytes, (kind == statement.Set || kind == statement.Prepare || kind == statement.Execute) && got[i].Argument != anyBytes:
			t.Errorf("%s has name %q and argument %q", kind, got[i].Name, got[i].Argument)
		case (kind == statement.Read || kind == statement.Write) && (got[i].ID != anyBytes || got[i].Text != anyBytes):
			t.Errorf("%s has ID %q and text %q", kind, got[i].ID, got[i].Text)
		}
	}
}

// The names of the database and the key are the caller's too, and an error's detail is the target's.
func TestMessagesKeepAnyBytesInEachField(t *testing.T) {
	req := &forwardRequest{ID: 1, Database: anyBytes, Key: anyBytes, Values: map[string]string{anyBytes: anyBytes, "\xff": "\xfe", "\xfe": "\xff"},
		Prepared: &client.PreparedStatement{Shape: anyBytes}, Statement: statement.Statement{Kind: statement.Execute, Name: anyBytes}}
	m, err := decode(encode(&message{Request: req}))
	if err != nil {
		t.Fatal(err)
	}
	got := m.Request
	if got.Database != anyBytes || got.Key != anyBytes || got.Prepared.Shape != anyBytes || got.Statement.Name != anyBytes ||
		len(got.Values) != 3 || got.Values[anyBytes] != anyBytes || got.Values["\xff"] != "\xfe" || got.Values["\xfe"] != "\xff" {
		t.Errorf("received %+v", got)
	}
	resp := &forwardResponse{ID: 1, Result: statement.Response{Code: statement.ExecutionFailed, Detail: anyBytes, State: statement.Idle}, Placement: placement{Reason: anyBytes}}
	m, err = decode(encode(&message{Response: resp}))
	if err != nil {
		t.Fatal(err)
	}
	if m.Response.Result.Detail != anyBytes || m.Response.Placement.Reason != anyBytes {
		t.Errorf("received %+v", m.Response)
	}
}
