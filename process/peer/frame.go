package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// MaxFrameBytes is the largest frame that a link accepts, in bytes. It leaves
// room for a whole set of configuration records.
const MaxFrameBytes = 16 << 20

// hello is the first frame on a link, sent by both sides.
type hello struct {
	Instance      topology.InstanceID    `cbor:"1,keyasint"`
	FailureDomain topology.FailureDomain `cbor:"2,keyasint"`
	Address       string                 `cbor:"3,keyasint"`
	Known         []platform.Instance    `cbor:"4,keyasint,omitempty"`
}

// frame is every later frame.
type frame struct {
	Kind    Kind            `cbor:"1,keyasint"`
	Payload cbor.RawMessage `cbor:"2,keyasint"`
}

// encodeFrame returns the CBOR of a frame around the payload.
func encodeFrame(kind Kind, payload any) ([]byte, error) {
	item, err := cbor.Marshal(payload)
	if err != nil {
		return nil, eris.Wrapf(err, "encode payload of kind %d", kind)
	}
	data, err := cbor.Marshal(frame{Kind: kind, Payload: item})
	return data, eris.Wrapf(err, "encode frame of kind %d", kind)
}

// decodeFrame reads a frame that a peer sent.
func decodeFrame(data []byte) (frame, error) {
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return frame{}, eris.Wrap(err, "decode frame")
	}
	return f, nil
}

// decodeHello reads the first frame of a link and checks that it names the peer.
func decodeHello(data []byte) (hello, error) {
	var h hello
	if err := cbor.Unmarshal(data, &h); err != nil {
		return hello{}, eris.Wrap(err, "decode hello")
	}
	if h.Instance == "" {
		return hello{}, eris.New("hello names no instance")
	}
	return h, nil
}
