package group

import (
	"github.com/fxamacker/cbor/v2"

	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/topology"
)

// message is a message between the drivers of one group on different instances.
// Exactly one of the pointers is set.
type message struct {
	Service             topology.ServiceID             `cbor:"1,keyasint"`
	ObservationRequest  *promotion.ObservationRequest  `cbor:"2,keyasint,omitempty"`
	ObservationResponse *promotion.ObservationResponse `cbor:"3,keyasint,omitempty"`
	PromotionNotice     *promotionNotice               `cbor:"4,keyasint,omitempty"`
}

// promotionNotice notifies a peer that a primary of Term was promoted, so that the
// peer polls the members immediately.
type promotionNotice struct {
	Term topology.Term `cbor:"1,keyasint"`
}

// decodeMessage decodes a peer's message.
func decodeMessage(payload []byte) (message, error) {
	var m message
	err := cbor.Unmarshal(payload, &m)
	return m, err
}

// broadcast sends a message to the other watchers of the group. The caller holds
// d.mu.
func (d *Driver) broadcast(m message) {
	m.Service = d.config.Service
	for _, p := range d.mu.promotion.Peers() {
		d.Sender.Send(p.ID, peer.KindGroup, m)
	}
}
