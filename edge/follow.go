package edge

import (
	"context"
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/following"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

var eventFollowing = event.Define(2109, event.Info, "this instance learns the store's state from another peer")

// followPeers learns registrations and configurations from other instances as long as this
// instance forwards all requests. It returns when the instance has to read the store
// itself: its role has changed, or no peer has answered for some time.
func (d *Daemon) followPeers(ctx context.Context) {
	for ctx.Err() == nil && d.forwardsOnly() {
		now := d.clock()
		d.mu.Lock()
		peer, wait := d.follower.Next(now)
		stale, since := d.follower.Stale(now), d.followedUntil
		d.mu.Unlock()
		if peer != "" {
			d.logIfChanged(eventFollowing, "followed", "peer", peer)
			d.relay.Follow(peer, since)
		}
		if stale {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-d.roleWake:
		case <-d.followWake:
		case <-d.ownerWake:
			d.mu.Lock()
			d.follower.Expedite()
			d.mu.Unlock()
		}
		timer.Stop()
	}
}

// isFollowed reports whether this instance follows a peer.
func (d *Daemon) isFollowed(peer topology.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.follower.Follows(peer)
}

// observeFollowed applies the answer of the followed peer.
func (d *Daemon) observeFollowed(from topology.InstanceID, changes []store.Change, until store.Revision, confirmationAge time.Duration) {
	d.applyChanges(changes)
	d.mu.Lock()
	d.followedUntil = max(d.followedUntil, until)
	d.follower.Answered(d.clock(), from, confirmationAge)
	d.mu.Unlock()
	notify(d.followWake)
}

// registrationChanges returns the changes of registrations after a revision, for a
// follower, and the revision until which they are complete: zero when this instance does
// not watch the whole store.
func (d *Daemon) registrationChanges(since store.Revision) (changes []store.Change, until store.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.declaredServices) == 0 {
		return nil, 0
	}
	changes, complete := d.mirror.ChangesSince(prefixInstances, since, d.mirroredUntil)
	if !complete {
		return nil, 0
	}
	return changes, d.mirroredUntil
}

// setFollowCandidates has one of the owners of services followed.
func (d *Daemon) setFollowCandidates(owners []topology.InstanceID, registered map[topology.InstanceID]registration) {
	candidates := make([]following.Candidate, 0, len(owners))
	for _, id := range owners {
		candidates = append(candidates, following.Candidate{ID: id, Local: registered[id].FailureDomain == d.settings.FailureDomain})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follower.SetCandidates(candidates)
}
