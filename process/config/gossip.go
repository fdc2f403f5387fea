package config

import (
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// startDigestRound requests digests from this round's sources and, when the
// evidence will soon expire, also from all voters and a few random peers.
func (c *Coordinator) startDigestRound(now time.Duration) {
	c.nextDigestRound = now + c.jitter(digestInterval)
	for id, request := range c.pendingRequests {
		if now-request.sentAt >= digestTimeout {
			delete(c.pendingRequests, id)
		}
	}
	peers := c.placement.digestSources(c.random)
	if c.evidenceExpiresSoon(now) {
		peers = union(peers, c.placement.voters)
		peers = union(peers, c.placement.randomPeers(c.random, pushFanout))
	}
	for _, peer := range peers {
		c.requestDigest(now, peer)
	}
}

// evidenceExpiresSoon reports whether there is no configuration or no evidence, or
// the evidence will soon expire.
func (c *Coordinator) evidenceExpiresSoon(now time.Duration) bool {
	return !c.replica.loaded || !c.evidence.exists || now-c.evidence.provenAt >= voterRequestAge
}

// union returns the instances of both lists without duplicates, in order.
func union(a, b []topology.InstanceID) []topology.InstanceID {
	seen := make(map[topology.InstanceID]bool, len(a)+len(b))
	var all []topology.InstanceID
	for _, list := range [][]topology.InstanceID{a, b} {
		for _, id := range list {
			if !seen[id] {
				seen[id] = true
				all = append(all, id)
			}
		}
	}
	return all
}

func (c *Coordinator) requestDigest(now time.Duration, peer topology.InstanceID) {
	id := c.random.Uint64()
	c.pendingRequests[id] = pendingRequest{peer: peer, sentAt: now}
	c.send(peer, Message{DigestRequest: &DigestRequest{ID: id, Loaded: c.replica.loaded, CompleteRevision: c.replica.completeRevision}})
}

// handleMessage dispatches a message from a peer to the handler of its type.
func (c *Coordinator) handleMessage(now time.Duration, from topology.InstanceID, message Message) {
	switch {
	case message.DigestRequest != nil:
		c.sendDigest(now, from, *message.DigestRequest)
	case message.Digest != nil:
		c.handleDigest(now, from, *message.Digest)
	case message.Push != nil:
		c.handlePush(now, from, *message.Push)
	case message.PageRequest != nil:
		if c.replica.loaded {
			c.send(from, Message{Page: c.replica.page(message.PageRequest.ID, message.PageRequest.From)})
		}
	case message.Page != nil:
		c.handlePage(now, from, *message.Page)
	}
}

// sendDigest responds to a digest request. The response carries the changes
// that the requester lacks when the log reaches back far enough.
func (c *Coordinator) sendDigest(now time.Duration, from topology.InstanceID, request DigestRequest) {
	digest := &Digest{
		ID: request.ID, Loaded: c.replica.loaded, ContentRevision: c.replica.contentRevision, CompleteRevision: c.replica.completeRevision,
		Evidence: c.evidence.forPeer(now),
	}
	if request.Loaded && request.CompleteRevision < c.replica.contentRevision {
		digest.Delta = c.replica.deltaSince(request.CompleteRevision)
	}
	c.send(from, Message{Digest: digest})
}

// handleDigest processes the response to a digest request. The digest's age
// counts from the time of the request, so that a response delayed on the way
// does not appear fresh. When the digest's sender knows changes that are still
// missing here, a transfer of the whole configuration begins.
func (c *Coordinator) handleDigest(now time.Duration, from topology.InstanceID, digest Digest) {
	request, ok := c.pendingRequests[digest.ID]
	if !ok || request.peer != from {
		return
	}
	delete(c.pendingRequests, digest.ID)
	c.recordDigest(from, request.sentAt, digest)
	if !digest.Loaded {
		return
	}
	if digest.Delta != nil {
		c.applyDelta(*digest.Delta, from)
	}
	c.replica.extendComplete(digest.ContentRevision, digest.CompleteRevision)
	if c.replica.loaded && digest.ContentRevision <= c.replica.completeRevision {
		return
	}
	c.startTransfer(now, from)
}

// recordDigest records what a digest says about freshness. A digest of an older
// request than the recorded one is ignored.
func (c *Coordinator) recordDigest(from topology.InstanceID, requestedAt time.Duration, digest Digest) {
	if known, ok := c.evidence.digests[from]; ok && known.requestedAt > requestedAt {
		return
	}
	c.evidence.hasPeers = true
	c.evidence.digests[from] = peerDigest{requestedAt: requestedAt, contentRevision: digest.ContentRevision}
	if digest.Evidence == nil || digest.Evidence.AgeMicros >= uint64(MaxEvidenceAge/time.Microsecond) {
		return
	}
	at := requestedAt - time.Duration(digest.Evidence.AgeMicros)*time.Microsecond
	c.evidence.addBound(revisionBound{at: at, revision: digest.Evidence.Revision}, c.replica.completeRevision)
}

// handlePush applies a pushed delta. If the delta does not connect to this
// replica's content, it requests a digest from the sender, whose response brings
// the missing changes.
func (c *Coordinator) handlePush(now time.Duration, from topology.InstanceID, delta Delta) {
	if c.applyDelta(delta, from) && delta.CompleteRevision <= c.replica.completeRevision {
		return
	}
	if !c.replica.loaded || delta.CompleteRevision > c.replica.completeRevision {
		c.requestDigest(now, from)
	}
}

// snapshotTransfer is the transfer of the whole configuration from one peer,
// page by page.
type snapshotTransfer struct {
	peer        topology.InstanceID
	requestID   uint64
	requestedAt time.Duration
	// started is set once the first page has arrived. Every page must have its
	// contentRevision.
	started          bool
	contentRevision  store.Revision
	completeRevision store.Revision
	entries          []store.Entry
}

// startTransfer begins a transfer unless one is in progress.
func (c *Coordinator) startTransfer(now time.Duration, peer topology.InstanceID) {
	if c.transfer != nil {
		return
	}
	c.transfer = &snapshotTransfer{peer: peer}
	c.requestPage(now, "")
}

func (c *Coordinator) requestPage(now time.Duration, from string) {
	c.transfer.requestID, c.transfer.requestedAt = c.random.Uint64(), now
	c.send(c.transfer.peer, Message{PageRequest: &PageRequest{ID: c.transfer.requestID, From: from}})
}

// expireTransfer aborts a transfer whose page request has timed out.
func (c *Coordinator) expireTransfer(now time.Duration) {
	if c.transfer != nil && now-c.transfer.requestedAt >= pageTimeout {
		c.transfer = nil
	}
}

// handlePage collects a page and loads the configuration after the last one. If
// the peer's content has changed between two pages, the transfer is aborted and
// a new digest is requested, which starts another.
func (c *Coordinator) handlePage(now time.Duration, from topology.InstanceID, page Page) {
	transfer := c.transfer
	if transfer == nil || transfer.peer != from || transfer.requestID != page.ID {
		return
	}
	if transfer.started && transfer.contentRevision != page.ContentRevision {
		c.transfer = nil
		c.requestDigest(now, from)
		return
	}
	transfer.started, transfer.contentRevision, transfer.completeRevision = true, page.ContentRevision, page.CompleteRevision
	for _, update := range page.Entries {
		transfer.entries = append(transfer.entries, store.Entry{Key: update.Key, Value: update.Value, Revision: update.Revision})
	}
	if page.Next != "" {
		c.requestPage(now, page.Next)
		return
	}
	c.transfer = nil
	if c.replica.loadSnapshot(transfer.entries, transfer.contentRevision, transfer.completeRevision) {
		c.publish()
	}
}

// jitter returns a duration between 3/4 and 5/4 of d.
func (c *Coordinator) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(c.random.Int64N(int64(d)/2+1))
}
