package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// respondFromAnother has another instance respond to each message of e before its receiver gets
// it, which is then lost.
func (f *fleet) respondFromAnother(other topology.InstanceID, response func(request *message) *message) {
	f.network.alter = func(receiver topology.InstanceID, data []byte) []byte {
		var m message
		if err := cbor.Unmarshal(data, &m); err != nil || receiver == "e" {
			return data
		}
		f.network.relays["e"].Receive(other, encode(response(&m)))
		return encode(&message{Pong: 1})
	}
}

// A loan counted as granted when an instance that was not asked for one said so.
func TestLoanOfAnotherInstanceIsIgnored(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	f.respondFromAnother(other, func(request *message) *message {
		return &message{LoanResponse: &loanResponse{ID: request.LoanRequest.ID, Granted: true}}
	})
	if f.network.relays["e"].BorrowToken([]topology.InstanceID{first}, "k") {
		t.Error("the loan of another instance was taken")
	}
}

// The age of a confirmation counts from the request, which only its receiver can have read.
func TestConfigurationOfAnotherInstanceIsUnconfirmed(t *testing.T) {
	f := newFleetWith(t, longTimeout, func() time.Duration { return time.Minute })
	first, other := f.owners()
	f.respondFromAnother(other, func(request *message) *message {
		return &message{ConfigurationResponse: &configurationResponse{Revision: 9, RequestSentAt: request.ConfigurationRequest.SentAt}}
	})
	f.network.relays["e"].RequestConfiguration(first)
	if len(f.configurationsConfirmedAt) != 1 || f.configurationsConfirmedAt[0] >= 0 {
		t.Errorf("confirmed at %v", f.configurationsConfirmedAt)
	}
}

// A response that arrives twice, at once or while a later request is outstanding, answers only its own.
func TestResponseThatComesTwiceAnswersOneRequest(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	run := 0
	f.targets[first].setRespond(func(_ statement.Statement, response *statement.Response) {
		run++
		response.Signature = fmt.Sprint(run)
	})
	var earlier [][]byte
	f.network.alter = func(receiver topology.InstanceID, data []byte) []byte {
		for _, response := range earlier {
			f.network.relays["e"].Receive(first, response)
		}
		if receiver == "e" {
			earlier = append(earlier, data)
			f.network.relays["e"].Receive(first, data)
		}
		return data
	}
	session := f.newSession()
	for i := range 5 {
		if response := session.Run(statement.Statement{Kind: statement.Read, ID: fmt.Sprint(i), Text: "t"}); response.Signature != fmt.Sprint(i+1) {
			t.Errorf("read %d got signature %q", i, response.Signature)
		}
	}
}
