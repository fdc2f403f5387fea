package relay

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphirehitch.example/samphirehitch/process/statement"
)

// A home is paused while it runs a statement. The instance that asked is killed and
// starts again under its name: the late answer belongs to none of its callers.
func TestAnswerToAnEarlierProcessIsNotTaken(t *testing.T) {
	f := newFleet(t)
	first, _ := f.homes()
	hold := make(chan struct{})
	f.targets[first].hold = hold
	earlier := f.converse()
	go func() { earlier.Run(statement.Statement{Kind: statement.Write, ID: "1", Text: "t"}) }()
	for len(f.targets[first].texts()) == 0 {
		time.Sleep(time.Millisecond) // until the statement has reached its target
	}
	stale := f.network.relays["e"].outstanding()
	f.start("e")
	e := f.network.relays["e"]
	answered := make(chan statement.Answer, 1)
	go func() { answered <- f.converse().Run(statement.Statement{Kind: statement.Read, ID: "2", Text: "t"}) }()
	for len(f.targets[first].texts()) == 1 {
		time.Sleep(time.Millisecond) // until the second statement has reached its target
	}
	for _, number := range stale {
		e.Receive(first, encoded(&message{Reply: &reply{ID: number, Answer: statement.Answer{Signature: "of another caller"}}}))
	}
	select {
	case answer := <-answered:
		t.Fatalf("answered with %q", answer.Signature)
	default:
	}
	close(hold)
	if answer := <-answered; answer.Signature != "x" {
		t.Fatalf("answered with %q", answer.Signature)
	}
}

// Only the instance that was asked can answer.
func TestAnswerOfAnotherInstanceIsNotTaken(t *testing.T) {
	f := newFleet(t)
	first, other := f.homes()
	hold := make(chan struct{})
	f.targets[first].hold = hold
	e := f.network.relays["e"]
	answered := make(chan statement.Answer, 1)
	go func() { answered <- f.converse().Run(statement.Statement{Kind: statement.Read, ID: "1", Text: "t"}) }()
	for len(f.targets[first].texts()) == 0 {
		time.Sleep(time.Millisecond) // until the statement has reached its target
	}
	for _, number := range e.outstanding() {
		e.Receive(other, encoded(&message{Reply: &reply{ID: number, Answer: statement.Answer{Signature: "of another home"}}}))
	}
	close(hold)
	if answer := <-answered; answer.Signature != "x" {
		t.Fatalf("answered with %q", answer.Signature)
	}
}

// A word on the configuration that answers a question of an earlier process, whose clock
// may have been another machine's, says nothing of its age.
func TestConfigurationToldToAnEarlierProcessHasNoAge(t *testing.T) {
	f := newFleet(t)
	first, _ := f.homes()
	e := f.network.relays["e"]
	e.Receive(first, encoded(&message{Told: &told{Revision: 9, At: e.Clock() + time.Hour}}))
	if len(f.toldAt) != 1 || f.toldAt[0] >= 0 {
		t.Fatalf("confirmed at %v", f.toldAt)
	}
}

// outstanding returns the numbers of the requests that wait for a reply.
func (r *Relay) outstanding() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.pending))
}

func encoded(m *message) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}
