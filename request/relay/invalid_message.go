package relay

import (
	"samphirehitch.example/samphirehitch/process/topology"
)

// messageIDs is the part of a message that names the request that it is about.
type messageIDs struct {
	Request *struct {
		ID      uint64    `cbor:"1,keyasint"`
		Session sessionID `cbor:"2,keyasint"`
	} `cbor:"1,keyasint"`
	Response *struct {
		ID uint64 `cbor:"1,keyasint"`
	} `cbor:"2,keyasint"`
}

// decodeIDs decodes the IDs of a message that is otherwise invalid. It returns none if they
// are invalid too.
func decodeIDs(payload []byte) messageIDs {
	var ids messageIDs
	if err := decodeMode.Unmarshal(payload, &ids); err != nil {
		return messageIDs{} // the error of the whole message is logged
	}
	return ids
}

// handleInvalid ends the wait for the response to an invalid request, and the wait for an invalid
// response, as far as the message says which request it is about.
func (r *Relay) handleInvalid(from topology.InstanceID, payload []byte) {
	ids := decodeIDs(payload)
	switch {
	case ids.Request != nil && ids.Response == nil:
		go r.server.decline(from, ids.Request.ID, ids.Request.Session)
	case ids.Response != nil && ids.Request == nil:
		r.handleResponse(from, ids.Response.ID, nil)
	}
}

// decline declines a request that cannot be decoded, and rolls back the transaction to which it
// belongs: the forwarding instance takes that for ended.
func (s *server) decline(from topology.InstanceID, request uint64, session sessionID) {
	s.abort(remoteSessionID{instance: from, id: session})
	s.relay.send(from, &message{Response: &forwardResponse{ID: request, Declined: true}})
}
