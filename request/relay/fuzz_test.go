package relay

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// peerMessages returns valid messages of all kinds, and some that no correct peer sends.
func peerMessages() []message {
	request := func(change func(*forwardRequest)) message {
		r := &forwardRequest{ID: 1, Database: "d", Key: "secret", Statement: statement.Statement{ID: "x", Kind: statement.Read, Argument: "1"}}
		change(r)
		return message{Request: r}
	}
	messages := []message{
		{Response: &forwardResponse{ID: 1}}, {Abort: &sessionID{Number: 1}}, {Ping: 1}, {Pong: 1}, {Demand: share.Demands{"k": 1}},
		{ConfigurationRequest: &configurationRequest{}}, {ConfigurationResponse: &configurationResponse{Revision: 9}},
		{LoanRequest: &loanRequest{ID: 1, Customer: "k"}}, {LoanResponse: &loanResponse{ID: 1}},
		{FollowRequest: &followRequest{Since: 1}}, {FollowResponse: &followResponse{Until: 9}},
		{Response: &forwardResponse{ID: 1, Declined: true}}, {Response: &forwardResponse{ID: 1, Result: statement.Response{Code: 200, State: 200}}},
		request(func(r *forwardRequest) { r.Begin = beginReadWrite }),
		request(func(r *forwardRequest) { r.InTransaction = true }),
		request(func(r *forwardRequest) { r.Begin = 200 }),
		request(func(r *forwardRequest) { r.ConfigVersion = 1 << 63 }),
		request(func(r *forwardRequest) { r.Database = "unknown" }),
	}
	for kind := statement.Kind(0); kind < 30; kind++ {
		messages = append(messages,
			request(func(r *forwardRequest) { r.Statement.Kind = kind }),
			request(func(r *forwardRequest) { r.Statement.Kind, r.Begin = kind, beginReadWrite }),
			request(func(r *forwardRequest) { r.Statement.Kind, r.Prepared = kind, &client.PreparedStatement{} }))
	}
	return messages
}

// ignoreFollowing has all instances answer followers and ignore the answers.
func (f *fleet) ignoreFollowing() {
	for _, r := range f.network.relays {
		r.Registrations = func(store.Revision) RegistrationChanges { return RegistrationChanges{Until: 1} }
		r.OnFollowed = func(topology.InstanceID, RegistrationChanges, time.Duration) {}
	}
}

// receive has an owner handle a message as far as it goes, statements included.
func (f *fleet) receive(payload []byte) {
	owner := f.network.relays["h1"]
	var m message
	if cbor.Unmarshal(payload, &m) == nil && m.Request != nil {
		owner.server.handle("e", m.Request)
		return
	}
	owner.Receive("e", payload)
}

// A message of a faulty peer must not end the process.
func TestUnexpectedPeerMessagesDoNotPanic(t *testing.T) {
	f := newFleet(t)
	f.ignoreFollowing()
	for _, m := range peerMessages() {
		payload, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		f.receive(payload)
	}
}

func FuzzPeerMessage(f *testing.F) {
	for _, m := range peerMessages() {
		payload, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		fl := newFleet(t)
		fl.ignoreFollowing()
		fl.receive(payload)
	})
}

// FuzzRequestFields checks that a request and its response cross a link as they are, whatever
// bytes their fields hold.
func FuzzRequestFields(f *testing.F) {
	f.Add("d", "k", "n", "v", "id", "READ 1", "row", "sig")
	f.Add("\xff", "\x00", "\r\n", " ", "", anyBytes, "ROW a\nCOMPLETE 1.f", "\xed\xa0\x80")
	f.Fuzz(func(t *testing.T, database, key, name, value, id, text, row, signature string) {
		req := &forwardRequest{ID: 1, Database: database, Key: key, Values: map[string]string{name: value}, Prepared: &client.PreparedStatement{Shape: value},
			Statement: statement.Statement{ID: id, Kind: statement.Read, Text: text, Name: name, Argument: value}}
		resp := &forwardResponse{ID: 1, Result: statement.Response{Rows: []string{row, text}, Signature: signature, Detail: value, State: statement.Idle}}
		for _, sent := range []*message{{Request: req}, {Response: resp}} {
			received, err := decode(encode(sent))
			if err != nil || !reflect.DeepEqual(received, sent) {
				t.Fatalf("sent %+v, received %+v: %v", sent, received, err)
			}
		}
	})
}

// FuzzDecodeMessage checks that a message that is accepted has one form: encoded again, it is
// accepted with the same meaning.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range peerMessages() {
		f.Add(encode(&m))
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		decodeIDs(payload)
		m, err := decode(payload)
		if err != nil {
			return
		}
		again, err := decode(encode(m))
		if err != nil || !bytes.Equal(encodeSorted(t, again), encodeSorted(t, m)) {
			t.Fatalf("%+v, then %+v: %v", m, again, err)
		}
	})
}

func encodeSorted(t *testing.T, m *message) []byte {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	data, err := mode.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
