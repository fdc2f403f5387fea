package relay

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
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

// decode decodes a message of a peer.
func decode(payload []byte) (*message, error) {
	m := &message{}
	if err := decodeMode.Unmarshal(payload, m); err != nil {
		return nil, eris.Wrap(err, "decode message")
	}
	return m, nil
}
