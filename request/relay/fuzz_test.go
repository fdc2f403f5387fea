package relay

import (
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
