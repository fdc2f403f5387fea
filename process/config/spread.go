package config

import (
	"math/rand/v2"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Intervals of the exchange with peers.
const (
	// TickInterval is the interval between ticks.
	TickInterval = 100 * time.Millisecond
	// askInterval is the mean interval between rounds of digests.
	askInterval = 500 * time.Millisecond
	// panelAskAge is the age of the evidence from which on the whole panel is
	// asked.
	panelAskAge = 2 * time.Second
	// askExpiry is when an unanswered request is forgotten.
	askExpiry = 2 * time.Second
	// fetchExpiry is when a fetch of pages without an answer is given up.
	fetchExpiry = time.Second
	// pushFanout is how many peers an instance tells of a new change.
	pushFanout = 6
)

// Spread decides who watches the store, what is asked of whom and whether the
// configuration is fresh. It is not safe for concurrent use; the time passed in
// is monotonic and does not run back.
type Spread struct {
	self      platform.Instance
	random    *rand.Rand
	replica   replica
	evidence  evidence
	members   MembersChanged
	placement *placement
	watch     watch

	nextAsk time.Duration
	asks    map[uint64]pendingAsk
	fetch   *fetch
	verdict *Verdict
	// told is the freshness reported last.
	told    Freshness
	actions []Action
}

// pendingAsk is a request whose answer has not come.
type pendingAsk struct {
	to topology.InstanceID
	at time.Duration
}

// NewSpread returns the coordinator of an instance that knows nothing yet.
func NewSpread(self platform.Instance, random *rand.Rand) *Spread {
	s := &Spread{
		self:      self,
		random:    random,
		placement: newPlacement(self, nil, nil),
		asks:      make(map[uint64]pendingAsk),
		verdict:   &Verdict{},
	}
	s.evidence.heard = make(map[topology.InstanceID]heard)
	s.watch.heartbeats = make(map[string]store.Revision)
	return s
}

// Verdict returns what is needed to judge freshness until the next event.
func (s *Spread) Verdict() *Verdict { return s.verdict }

// Handle takes an event and returns what to do. The slice is valid until the
// next call.
func (s *Spread) Handle(now time.Duration, event Event) []Action {
	s.actions = s.actions[:0]
	switch event := event.(type) {
	case Tick:
		s.tick(now)
	case MembersChanged:
		s.changeMembers(event)
	case Listed:
		s.listed(now, event)
	case Watched:
		s.watched(now, event)
	case Swapped:
		s.swapped(now, event)
	case Received:
		s.receive(now, event.From, event.Message)
	}
	s.evidence.advance(s.replica.complete)
	s.judge(now)
	return s.actions
}

func (s *Spread) act(action Action) { s.actions = append(s.actions, action) }

func (s *Spread) send(to topology.InstanceID, message Message) {
	s.act(Send{To: to, Message: message})
}

func (s *Spread) tick(now time.Duration) {
	s.tickStore(now)
	s.expireFetch(now)
	if now >= s.nextAsk {
		s.askRound(now)
	}
}

func (s *Spread) changeMembers(event MembersChanged) {
	if s.watch.placed && slices.Equal(s.members.Live, event.Live) && slices.Equal(s.members.Known, event.Known) {
		return
	}
	s.members = MembersChanged{Live: slices.Clone(event.Live), Known: slices.Clone(event.Known)}
	before, watched := s.placement.watcher()
	s.placement = newPlacement(s.self, event.Live, event.Known)
	after, watches := s.placement.watcher()
	if watched != watches || before != after || !s.watch.placed {
		s.watch.placed = true
		s.act(PlacementChanged{
			Watching: watches, Rank: after, Watchers: len(s.placement.watchers),
			Live: len(s.placement.others) + 1, Known: s.placement.known,
		})
	}
	if !s.replica.loaded {
		s.nextAsk = 0
	}
	s.forgetStrangers()
}

// forgetStrangers drops answers of instances that are neither live nor known.
func (s *Spread) forgetStrangers() {
	members := make(map[topology.InstanceID]bool)
	for _, list := range [][]topology.InstanceID{s.placement.others, s.placement.panel} {
		for _, id := range list {
			members[id] = true
		}
	}
	for id := range s.evidence.heard {
		if !members[id] {
			delete(s.evidence.heard, id)
		}
	}
}

// judge renews the verdict and reports a change of it.
func (s *Spread) judge(now time.Duration) {
	s.verdict = s.evidence.verdict(now, &s.replica, s.placement.panel)
	freshness := s.verdict.Judge(now)
	if freshness == s.told {
		return
	}
	s.told = freshness
	s.act(FreshnessChanged{Freshness: freshness, Age: s.verdict.Age(now), Revision: s.replica.content})
}

// publish hands the content to subscribers.
func (s *Spread) publish() { s.act(Publish{State: s.replica.state()}) }

// adopt applies a delta and passes what was new on to some peers.
func (s *Spread) adopt(delta Delta, source topology.InstanceID) bool {
	before := s.replica.content
	applied, ok := s.replica.apply(delta)
	if !ok || len(applied) == 0 {
		return ok
	}
	s.publish()
	s.push(before, applied, source)
	return true
}

// push tells some peers of the changes that follow a revision. Large changes are only announced, by a delta
// that connects to nothing, and then asked for.
func (s *Spread) push(after store.Revision, applied []Update, source topology.InstanceID) {
	delta := &Delta{After: after, Complete: s.replica.complete, Updates: applied}
	bytes := 0
	for _, update := range applied {
		bytes += len(update.Value)
	}
	if bytes > messageMaxBytes {
		delta = &Delta{After: s.replica.complete, Complete: s.replica.complete}
	}
	for _, peer := range s.placement.sample(s.random, pushFanout) {
		if peer != source {
			s.send(peer, Message{Push: delta})
		}
	}
}
