// Package peer carries messages between instances over a mesh of WebSockets,
// one for each pair of instances. Messages are encoded as CBOR. Delivery is not
// guaranteed, and the transport neither acknowledges nor retries; protocols on
// top of it must tolerate lost messages.
package peer

import (
	"samphirehitch.example/samphirehitch/process/topology"
)

// Kind identifies the coordinator to which a message is delivered.
type Kind uint8

// Kinds of messages. The numbers are part of the wire format.
const (
	KindHeartbeat Kind = iota + 1
	KindConfig
	KindLedger
	KindGroup
	KindRelay
)

// Sender sends messages to peers. Send never blocks and may drop the message,
// for instance when the peer is not connected. The payload is encoded as CBOR
// before Send returns.
type Sender interface {
	Send(to topology.InstanceID, kind Kind, payload any)
}

// Receiver processes messages of one kind. The payload is the CBOR item as
// sent. A receiver is called from the goroutine that reads the link, so it must
// return quickly.
type Receiver func(from topology.InstanceID, payload []byte)
