package relay

import (
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Follow requests from a peer what it knows of the store's state: the changes of
// registrations after a revision, and the version of the configuration. The answer, if
// any, is passed to OnFollowed and OnConfigurationConfirmed.
func (r *Relay) Follow(peer topology.InstanceID, since store.Revision) {
	r.awaitLink(peer)
	now := r.Clock()
	r.mu.Lock()
	r.followed, r.followedAt = peer, now
	r.mu.Unlock()
	r.send(peer, &message{FollowRequest: &followRequest{Since: since, SentAt: now}})
}

// awaitLink has a link to a peer opened and waits until it is, up to linkWaitTimeout.
func (r *Relay) awaitLink(peer topology.InstanceID) {
	for deadline := r.Clock() + linkWaitTimeout; !r.Link.Reachable(peer) && r.Clock() < deadline; {
		r.Link.RequestLink(peer)
		time.Sleep(linkPollInterval)
	}
}

func (r *Relay) handleFollowRequest(to topology.InstanceID, req *followRequest) {
	known := r.Registrations(req.Since)
	resp := &followResponse{RequestSentAt: req.SentAt, Changes: known.Changes, Until: known.Until, Complete: known.Complete}
	resp.ConfirmedVersion, resp.ConfirmationAge = r.confirmedConfiguration()
	r.send(to, &message{FollowResponse: resp})
}

// handleFollowResponse passes on the answer of the followed peer. The age of its
// confirmation counts from the time of the request. An answer to another request, perhaps
// of an earlier process, is ignored, since its times are unknown.
func (r *Relay) handleFollowResponse(from topology.InstanceID, resp *followResponse) {
	r.mu.Lock()
	expected := from == r.followed && resp.RequestSentAt == r.followedAt
	r.mu.Unlock()
	if !expected {
		return
	}
	age := time.Duration(-1)
	if resp.ConfirmedVersion != 0 && resp.Until != 0 {
		confirmedAt := resp.RequestSentAt - resp.ConfirmationAge
		age = r.Clock() - confirmedAt
		r.OnConfigurationConfirmed(from, resp.ConfirmedVersion, confirmedAt)
	}
	r.OnFollowed(from, RegistrationChanges{Changes: resp.Changes, Until: resp.Until, Complete: resp.Complete}, age)
}
