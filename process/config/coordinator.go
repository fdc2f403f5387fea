package config

import (
	"math/rand/v2"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Intervals and timeouts of the exchange with peers.
const (
	// TickInterval is the interval at which the driver delivers Tick events.
	TickInterval = 100 * time.Millisecond
	// digestInterval is the mean interval between rounds of digest requests.
	digestInterval = 500 * time.Millisecond
	// voterRequestAge is the age of the evidence at which digests are requested
	// from all voters.
	voterRequestAge = 2 * time.Second
	// digestTimeout is the age at which a digest request without a response is
	// dropped.
	digestTimeout = 2 * time.Second
	// pageTimeout is how long a transfer waits for a page.
	pageTimeout = time.Second
	// pushFanout is the number of random peers to which an instance pushes a
	// new change.
	pushFanout = 6
)

// Coordinator is the state machine of one instance: it decides whether to watch
// the store, from which peers to request digests, what to push to them, and
// whether the configuration is fresh. It is not safe for concurrent use. The
// times passed in are monotonic and must not go backwards.
type Coordinator struct {
	self     platform.Instance
	random   *rand.Rand
	replica  replica
	evidence evidence
	// members holds the lists that placement was built from.
	members   MembersChanged
	placement *placement
	store     storeCalls

	// nextDigestRound is the time of the next round of digest requests.
	nextDigestRound time.Duration
	// pendingRequests holds the digest requests without a response by ID.
	pendingRequests map[uint64]pendingRequest
	// transfer is the transfer in progress, or nil.
	transfer  *snapshotTransfer
	freshness *FreshnessState
	// reportedFreshness is the freshness in the last FreshnessChanged.
	reportedFreshness Freshness
	// actions is the result of the current Handle call; the slice is reused.
	actions []Action
}

// pendingRequest is a digest request without a response so far.
type pendingRequest struct {
	peer   topology.InstanceID
	sentAt time.Duration
}

// NewCoordinator returns the coordinator of an instance that has no
// configuration and knows no other instance.
func NewCoordinator(self platform.Instance, random *rand.Rand) *Coordinator {
	c := &Coordinator{
		self:            self,
		random:          random,
		placement:       newPlacement(self, nil, nil),
		pendingRequests: make(map[uint64]pendingRequest),
		freshness:       &FreshnessState{},
	}
	c.evidence.digests = make(map[topology.InstanceID]peerDigest)
	c.store.heartbeatRevisions = make(map[string]store.Revision)
	return c
}

// FreshnessState returns the state from which the freshness can be computed at
// any time until the next event.
func (c *Coordinator) FreshnessState() *FreshnessState { return c.freshness }

// Handle processes an event and returns the actions to carry out, in order. The
// slice is valid until the next call.
func (c *Coordinator) Handle(now time.Duration, event Event) []Action {
	c.actions = c.actions[:0]
	switch event := event.(type) {
	case Tick:
		c.handleTick(now)
	case MembersChanged:
		c.handleMembers(event)
	case ListDone:
		c.handleListDone(now, event)
	case WatchDone:
		c.handleWatchDone(now, event)
	case SwapDone:
		c.handleSwapDone(now, event)
	case MessageReceived:
		c.handleMessage(now, event.From, event.Message)
	}
	c.evidence.acceptReached(c.replica.completeRevision)
	c.updateFreshness(now)
	return c.actions
}

// emit appends an action to the result of the current Handle call.
func (c *Coordinator) emit(action Action) { c.actions = append(c.actions, action) }

func (c *Coordinator) send(to topology.InstanceID, message Message) {
	c.emit(Send{To: to, Message: message})
}

func (c *Coordinator) handleTick(now time.Duration) {
	c.startStoreCalls(now)
	c.expireTransfer(now)
	if now >= c.nextDigestRound {
		c.startDigestRound(now)
	}
}

// handleMembers rebuilds the placement when the lists of instances have
// changed. An instance without a configuration then starts a digest round at
// the next tick.
func (c *Coordinator) handleMembers(event MembersChanged) {
	if c.store.membersKnown && slices.Equal(c.members.Live, event.Live) && slices.Equal(c.members.Known, event.Known) {
		return
	}
	c.members = MembersChanged{Live: slices.Clone(event.Live), Known: slices.Clone(event.Known)}
	previousRank, wasWatcher := c.placement.watcherRank()
	c.placement = newPlacement(c.self, event.Live, event.Known)
	rank, isWatcher := c.placement.watcherRank()
	if wasWatcher != isWatcher || previousRank != rank || !c.store.membersKnown {
		c.store.membersKnown = true
		c.emit(PlacementChanged{
			Watching: isWatcher, Rank: rank, Watchers: len(c.placement.watchers),
			Live: len(c.placement.peers) + 1, Known: c.placement.knownCount,
		})
	}
	if !c.replica.loaded {
		c.nextDigestRound = 0
	}
	c.pruneDigests()
}

// pruneDigests removes the digests of instances that are neither live nor
// voters.
func (c *Coordinator) pruneDigests() {
	members := make(map[topology.InstanceID]bool)
	for _, list := range [][]topology.InstanceID{c.placement.peers, c.placement.voters} {
		for _, id := range list {
			members[id] = true
		}
	}
	for id := range c.evidence.digests {
		if !members[id] {
			delete(c.evidence.digests, id)
		}
	}
}

// updateFreshness recomputes the freshness state and reports a change of the
// freshness.
func (c *Coordinator) updateFreshness(now time.Duration) {
	c.freshness = c.evidence.evaluate(now, &c.replica, c.placement.voters)
	freshness := c.freshness.At(now)
	if freshness == c.reportedFreshness {
		return
	}
	c.reportedFreshness = freshness
	c.emit(FreshnessChanged{Freshness: freshness, Age: c.freshness.EvidenceAge(now), Revision: c.replica.contentRevision})
}

// publish emits the replica's content for subscribers.
func (c *Coordinator) publish() { c.emit(Publish{State: c.replica.state()}) }

// applyDelta applies a delta and pushes the changes that were new to some
// peers. It reports whether the delta connects to the replica's content.
func (c *Coordinator) applyDelta(delta Delta, source topology.InstanceID) bool {
	before := c.replica.contentRevision
	applied, ok := c.replica.apply(delta)
	if !ok || len(applied) == 0 {
		return ok
	}
	c.publish()
	c.pushDelta(before, applied, source)
	return true
}

// pushDelta sends the changes after a revision to some random peers, except the
// source they came from. When the values are too large for a message it sends a
// delta without changes, which does not connect at receivers that lack them and
// so makes them request a digest.
func (c *Coordinator) pushDelta(after store.Revision, applied []Update, source topology.InstanceID) {
	delta := &Delta{After: after, CompleteRevision: c.replica.completeRevision, Updates: applied}
	bytes := 0
	for _, update := range applied {
		bytes += len(update.Value)
	}
	if bytes > maxMessageBytes {
		delta = &Delta{After: c.replica.completeRevision, CompleteRevision: c.replica.completeRevision}
	}
	for _, peer := range c.placement.randomPeers(c.random, pushFanout) {
		if peer != source {
			c.send(peer, Message{Push: delta})
		}
	}
}
