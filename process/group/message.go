package group

import (
	"github.com/fxamacker/cbor/v2"

	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/topology"
)

// message is what the drivers of one group tell each other. One of the pointers
// is set.
type message struct {
	Service topology.ServiceID             `cbor:"1,keyasint"`
	Inquiry *promotion.ObservationRequest  `cbor:"2,keyasint,omitempty"`
	Opinion *promotion.ObservationResponse `cbor:"3,keyasint,omitempty"`
	Notice  *promotionNotice               `cbor:"4,keyasint,omitempty"`
}

// promotionNotice says that a primary of Term was promoted. It is a hint to ask
// the members.
type promotionNotice struct {
	Term topology.Term `cbor:"1,keyasint"`
}

// decodeMessage reads a peer's message.
func decodeMessage(payload []byte) (message, error) {
	var m message
	err := cbor.Unmarshal(payload, &m)
	return m, err
}

func (d *Driver) broadcast(m message) {
	m.Service = d.config.Service
	for _, p := range d.mu.promotion.Peers() {
		d.Sender.Send(p.ID, peer.KindGroup, m)
	}
}
