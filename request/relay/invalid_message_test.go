package relay

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

// spoilRequests has an instance receive requests that it cannot decode, but for their IDs.
func (f *fleet) spoilRequests(to topology.InstanceID) {
	f.network.alter = func(receiver topology.InstanceID, data []byte) []byte {
		var m message
		if err := cbor.Unmarshal(data, &m); err != nil || m.Request == nil || receiver != to {
			return data
		}
		type request struct {
			ID       uint64    `cbor:"1,keyasint"`
			Session  sessionID `cbor:"2,keyasint"`
			Database int       `cbor:"6,keyasint"`
		}
		return encodeAny(map[int]request{1: {ID: m.Request.ID, Session: m.Request.Session}})
	}
}

// spoilResponses has the instances receive responses that they cannot decode, but for their IDs.
func (f *fleet) spoilResponses(from topology.InstanceID) {
	f.network.alter = func(receiver topology.InstanceID, data []byte) []byte {
		var m message
		if err := cbor.Unmarshal(data, &m); err != nil || m.Response == nil || receiver == from {
			return data
		}
		return encodeAny(map[int]map[int]any{2: {1: m.Response.ID, 2: "a result"}})
	}
}

// An instance that could not decode a request dropped it, and the caller waited for the timeout.
// A write was then reported as in doubt, although no target had received it.
func TestRequestThatCannotBeDecodedIsDeclined(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	f.spoilRequests(first)
	f.mustRun(f.newSession(), statement.Write, statement.OK)
	if len(f.targets[first].received()) > 0 || len(f.targets[other].received()) != 1 {
		t.Errorf("%s ran %v, %s ran %v", first, f.targets[first].received(), other, f.targets[other].received())
	}
}

// The owner's part of the transaction must not hold its connection until it expires.
func TestTransactionEndsWithRequestThatCannotBeDecoded(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	session := f.openTransaction()
	f.spoilRequests(first)
	f.mustRun(session, statement.Write, statement.Aborted)
	f.awaitNoOperations(first)
	f.mustRun(session, statement.Commit, statement.Aborted)
}

// An instance that could not decode a response waited for the timeout.
func TestResponseThatCannotBeDecodedEndsTheWait(t *testing.T) {
	f := newFleetWith(t, time.Hour, clock.System())
	first, other := f.owners()
	f.spoilResponses(first)
	f.mustRun(f.newSession(), statement.Write, statement.InDoubt)
	if len(f.targets[first].received()) != 1 || len(f.targets[other].received()) > 0 {
		t.Errorf("%s ran %v, %s ran %v", first, f.targets[first].received(), other, f.targets[other].received())
	}
	f.mustRun(f.newSession(), statement.Read, statement.Busy)
}

func encodeAny(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
