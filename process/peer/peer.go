// Package peer carries messages between the daemons: one WebSocket for each
// pair, CBOR inside. Messages may be lost; none is answered by the transport.
package peer

import (
	"samphirehitch.example/samphirehitch/process/topology"
)

// Kind numbers the coordinator that a message belongs to.
type Kind uint8

// Kinds of messages.
const (
	KindHeartbeat Kind = iota + 1
	KindConfig
	KindLedger
	KindGroup
	KindRelay
)

// Sender hands messages to peers. Send never blocks and may drop the message,
// for instance when the peer is not connected. The payload is encoded as CBOR
// before Send returns.
type Sender interface {
	Send(to topology.InstanceID, kind Kind, payload any)
}

// Receiver takes messages of one kind. Payload is the CBOR item as sent. It
// returns quickly and is called from one goroutine for each peer.
type Receiver func(from topology.InstanceID, payload []byte)
