package edge

import (
	"context"
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/following"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/relay"
)

var eventFollowing = event.Define(2109, event.Info, "this instance learns the store's state from another peer")

// followPeers learns registrations and configurations from other instances as long as this
// instance forwards all requests. It returns when the instance has to read the store
// itself: its role has changed, or no peer has answered for some time.
func (d *Daemon) followPeers(ctx context.Context) {
	for ctx.Err() == nil && d.forwardsOnly() {
		peer, since, stale, wait := d.nextFollowed()
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

// nextFollowed returns the peer to ask now, if any, and the revision since which it is asked
// for changes; whether this instance has to read the store itself, and else the time until the
// next call.
func (d *Daemon) nextFollowed() (peer topology.InstanceID, since store.Revision, stale bool, wait time.Duration) {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	key := instanceKey(d.settings.Instance)
	lacksOwn := !d.forwardsAlways && d.mirror.Get(key).Revision < d.ownRevisions[key]
	d.follower.SetLacksOwn(now, lacksOwn)
	peer, wait = d.follower.Next(now)
	if lacksOwn {
		wait = min(wait, following.MaxWaitLackingOwn)
	}
	return peer, d.followedUntil, d.follower.Stale(now), wait
}

// isFollowed reports whether this instance follows a peer.
func (d *Daemon) isFollowed(peer topology.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.follower.Follows(peer)
}

// observeFollowed applies the answer of the followed peer. An answer from before a restore
// of the store that this instance knows of counts as outdated.
func (d *Daemon) observeFollowed(from topology.InstanceID, answer relay.RegistrationChanges, confirmationAge time.Duration) {
	if answer.Complete {
		d.replaceRegistrations(answer)
	} else {
		d.applyChanges(answer.Changes)
	}
	d.mu.Lock()
	if answer.Until.Era() < d.followedUntil.Era() {
		confirmationAge = -1
	}
	restored := d.era.known && answer.Until.Era() > d.era.number
	d.followedUntil = max(d.followedUntil, answer.Until)
	d.follower.Answered(d.clock(), from, confirmationAge)
	d.mu.Unlock()
	if restored {
		d.renewalRequested.Store(true) // the store's response shows the new era
		notify(d.usageWake)
	}
	notify(d.followWake)
}

// replaceRegistrations applies a complete listing of the registrations from a peer.
func (d *Daemon) replaceRegistrations(answer relay.RegistrationChanges) {
	listing := store.Listing{Revision: answer.Until}
	for _, change := range answer.Changes {
		listing.Entries = append(listing.Entries, change.Entry)
	}
	d.replaceMirrored(prefixInstances, listing)
}

// registrationChanges returns the changes of registrations after a revision, for a
// follower: none if this instance does not watch the whole store, or knows less of it than
// the follower.
func (d *Daemon) registrationChanges(since store.Revision) relay.RegistrationChanges {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.declaredServices) == 0 || since.Era() > d.mirroredUntil.Era() {
		return relay.RegistrationChanges{}
	}
	answer := relay.RegistrationChanges{Until: d.mirroredUntil, Complete: since.Era() < d.mirroredUntil.Era()}
	if answer.Complete {
		d.mirror.ForEach(prefixInstances, func(entry store.Entry) {
			answer.Changes = append(answer.Changes, store.Change{Entry: entry})
		})
		return answer
	}
	changes, known := d.mirror.ChangesSince(prefixInstances, since, d.mirroredUntil)
	if !known {
		return relay.RegistrationChanges{}
	}
	answer.Changes = changes
	return answer
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
