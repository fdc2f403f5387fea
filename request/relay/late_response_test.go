package relay

import (
	"maps"
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
)

// An owner is suspended while it runs a statement, and the forwarding instance is
// killed and restarted under the same name. The late response must not be
// accepted as the response to a request of the new process.
func TestResponseToAnEarlierProcessIsIgnored(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	block := make(chan struct{})
	f.targets[first].block = block
	earlier := f.newSession()
	go func() { earlier.Run(statement.Statement{Kind: statement.Write, ID: "1", Text: "t"}) }()
	for len(f.targets[first].received()) == 0 {
		time.Sleep(time.Millisecond) // until the statement has reached its target
	}
	staleIDs := f.network.relays["e"].pendingIDs()
	f.start("e")
	e := f.network.relays["e"]
	responses := make(chan statement.Response, 1)
	go func() { responses <- f.newSession().Run(statement.Statement{Kind: statement.Read, ID: "2", Text: "t"}) }()
	for len(f.targets[first].received()) == 1 {
		time.Sleep(time.Millisecond) // until the second statement has reached its target
	}
	for _, id := range staleIDs {
		e.Receive(first, encode(&message{Response: &forwardResponse{ID: id, Result: statement.Response{Signature: "of another caller", State: statement.Idle}}}))
	}
	select {
	case response := <-responses:
		t.Fatalf("the response has signature %q", response.Signature)
	default:
	}
	close(block)
	if response := <-responses; response.Signature != "x" {
		t.Fatalf("the response has signature %q", response.Signature)
	}
}

// An owner is killed in the middle of a transaction and starts again under its name, before the
// forwarding instance has noticed. The new process must not run the rest of the transaction, and
// the caller must not be told that it was committed.
func TestNextProcessOfAnOwnerRunsNoTransactionOfTheEarlierOne(t *testing.T) {
	for _, kind := range []statement.Kind{statement.Write, statement.Commit} {
		f := newFleet(t)
		first, _ := f.owners()
		session := f.newSession()
		f.mustRun(session, statement.Begin, statement.OK)
		f.mustRun(session, statement.Write, statement.OK)
		f.targets[first] = &recordingTarget{}
		f.start(first)
		f.mustRun(session, kind, statement.Aborted)
		if received := f.targets[first].received(); len(received) > 0 {
			t.Errorf("%s: the new process ran %v", kind, received)
		}
	}
}

// A response counts only if it comes from the instance to which the request was sent.
func TestResponseOfAnotherInstanceIsIgnored(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	e := f.network.relays["e"]
	responses, release := f.startBlockedRead(first)
	for _, id := range e.pendingIDs() {
		e.Receive(other, encode(&message{Response: &forwardResponse{ID: id, Result: statement.Response{Signature: "of another owner", State: statement.Idle}}}))
	}
	release()
	if response := <-responses; response.Signature != "x" {
		t.Fatalf("the response has signature %q", response.Signature)
	}
}

// A configuration response may be to a request of an earlier process, whose clock may
// have been that of another machine. Its age must then count as unknown.
func TestConfigurationForAnEarlierProcessIsUnconfirmed(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	e := f.network.relays["e"]
	e.Receive(first, encode(&message{ConfigurationResponse: &configurationResponse{Revision: 9, RequestSentAt: e.Clock() + time.Hour}}))
	if len(f.configurationsConfirmedAt) != 1 || f.configurationsConfirmedAt[0] >= 0 {
		t.Fatalf("confirmed at %v", f.configurationsConfirmedAt)
	}
}

// pendingIDs returns the IDs of the requests that wait for a response.
func (r *Relay) pendingIDs() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.pending))
}

func encode(m *message) []byte { return encodeAny(m) }
