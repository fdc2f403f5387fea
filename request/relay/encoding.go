package relay

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/topology"
)

// decodeMode decodes messages. Their strings are the bytes that callers and targets sent, which
// need not be UTF-8. CBOR delimits a string by its length, so that no byte of it has a meaning.
var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err) // only invalid options cause an error
	}
	return mode
}

// decode decodes a message of a peer and checks that its numbers have a meaning.
func decode(payload []byte) (*message, error) {
	m := &message{}
	if err := decodeMode.Unmarshal(payload, m); err != nil {
		return nil, eris.Wrap(err, "decode message")
	}
	if err := m.validate(); err != nil {
		return nil, eris.Wrap(err, "decode message")
	}
	return m, nil
}

// send sends a message, or logs why it cannot be encoded.
func (r *Relay) send(to topology.InstanceID, m *message) {
	if err := r.trySend(to, m); err != nil {
		eventNotSent.LogError(r.Log, err, "peer", to)
	}
}

// trySend sends a message, or returns peer.ErrTooLarge.
func (r *Relay) trySend(to topology.InstanceID, m *message) error {
	payload, err := peer.EncodePayload(m)
	if err != nil {
		return err
	}
	r.Link.Send(to, peer.KindRelay, payload)
	return nil
}

func (m *message) validate() error {
	switch {
	case m.Request != nil:
		return m.Request.validate()
	case m.Response != nil:
		return m.Response.validate()
	}
	return nil
}

func (r *forwardRequest) validate() error {
	switch {
	case !r.Statement.Kind.Exists():
		return eris.Errorf("request %d: unknown kind %d", r.ID, uint8(r.Statement.Kind))
	case r.Begin > beginReadOnly:
		return eris.Errorf("request %d: unknown mode of begin %d", r.ID, r.Begin)
	}
	return nil
}

func (r *forwardResponse) validate() error {
	refused := r.Declined || r.NoPrimary
	switch {
	case !r.Result.Code.Exists():
		return eris.Errorf("response %d: unknown code %d", r.ID, uint8(r.Result.Code))
	case !r.Result.State.Exists() && !(refused && r.Result.State == 0):
		return eris.Errorf("response %d: unknown state %d", r.ID, r.Result.State)
	}
	return nil
}
