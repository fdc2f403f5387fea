package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// MaxFrameBytes is the largest frame that a link accepts. It leaves room for a
// full set of configuration records.
const MaxFrameBytes = 16 << 20

// frameHeaderBytes bounds the bytes of a frame without its payload.
const frameHeaderBytes = 16

// ErrTooLarge reports a message that its receiver would not accept.
var ErrTooLarge = eris.New("message exceeds the limits of a link")

// hello is the first frame on a link, sent by both sides.
type hello struct {
	Instance      topology.InstanceID    `cbor:"1,keyasint"`
	FailureDomain topology.FailureDomain `cbor:"2,keyasint"`
	// Address is where the sender accepts links, host:port.
	Address string `cbor:"3,keyasint"`
	// KnownInstances is the platform's list as the sender last read it, left
	// out when it is long.
	KnownInstances []platform.Instance `cbor:"4,keyasint,omitempty"`
}

// frame is the format of every later frame.
type frame struct {
	Kind    Kind            `cbor:"1,keyasint"`
	Payload cbor.RawMessage `cbor:"2,keyasint"`
}

// EncodePayload encodes a payload for Sender.Send, which accepts it as it is. It returns
// ErrTooLarge if the frame would be too large, or a list in it too long.
func EncodePayload(payload any) (cbor.RawMessage, error) {
	encoded, err := cbor.Marshal(payload)
	if err != nil {
		return nil, eris.Wrap(err, "encode payload")
	}
	if len(encoded) > MaxFrameBytes-frameHeaderBytes {
		return nil, eris.Wrapf(ErrTooLarge, "payload of %d bytes", len(encoded))
	}
	if err := cbor.Wellformed(encoded); err != nil {
		return nil, eris.Wrap(ErrTooLarge, err.Error())
	}
	return encoded, nil
}

// encodeFrame encodes a frame with the given payload.
func encodeFrame(kind Kind, payload any) ([]byte, error) {
	encodedPayload, err := EncodePayload(payload)
	if err != nil {
		return nil, eris.Wrapf(err, "frame of kind %d", kind)
	}
	data, err := cbor.Marshal(frame{Kind: kind, Payload: encodedPayload})
	return data, eris.Wrapf(err, "encode frame of kind %d", kind)
}

// decodeFrame decodes a frame received from a peer.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return frame{}, eris.Wrap(err, "decode frame")
	}
	return f, nil
}

// decodeHello decodes the first frame of a link and checks that it names an
// instance.
func decodeHello(data []byte) (hello, error) {
	var h hello
	if err := cbor.Unmarshal(data, &h); err != nil {
		return hello{}, eris.Wrap(err, "decode hello")
	}
	if h.Instance == "" {
		return hello{}, eris.New("hello has no instance ID")
	}
	return h, nil
}
