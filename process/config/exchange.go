package config

import (
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// askRound asks this round's sources, and the panel when evidence runs short.
func (s *Spread) askRound(now time.Duration) {
	s.nextAsk = now + s.jitter(askInterval)
	for id, ask := range s.asks {
		if now-ask.at >= askExpiry {
			delete(s.asks, id)
		}
	}
	peers := s.placement.sources(s.random)
	if s.runsShort(now) {
		peers = union(peers, s.placement.panel)
		peers = union(peers, s.placement.sample(s.random, pushFanout))
	}
	for _, peer := range peers {
		s.ask(now, peer)
	}
}

// runsShort reports whether the evidence is missing or will soon expire.
func (s *Spread) runsShort(now time.Duration) bool {
	return !s.replica.loaded || !s.evidence.evident || now-s.evidence.at >= panelAskAge
}

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

func (s *Spread) ask(now time.Duration, peer topology.InstanceID) {
	id := s.random.Uint64()
	s.asks[id] = pendingAsk{to: peer, at: now}
	s.send(peer, Message{Ask: &Ask{ID: id, Loaded: s.replica.loaded, Complete: s.replica.complete}})
}

func (s *Spread) receive(now time.Duration, from topology.InstanceID, message Message) {
	switch {
	case message.Ask != nil:
		s.answer(now, from, *message.Ask)
	case message.Answer != nil:
		s.answered(now, from, *message.Answer)
	case message.Push != nil:
		s.pushed(now, from, *message.Push)
	case message.PageAsk != nil:
		if s.replica.loaded {
			s.send(from, Message{Page: s.replica.page(message.PageAsk.ID, message.PageAsk.From)})
		}
	case message.Page != nil:
		s.pageReceived(now, from, *message.Page)
	}
}

func (s *Spread) answer(now time.Duration, from topology.InstanceID, ask Ask) {
	answer := &Answer{
		ID: ask.ID, Loaded: s.replica.loaded, Content: s.replica.content, Complete: s.replica.complete,
		Evidence: s.evidence.share(now),
	}
	if ask.Loaded && ask.Complete < s.replica.content {
		answer.Delta = s.replica.since(ask.Complete)
	}
	s.send(from, Message{Answer: answer})
}

// answered takes a digest. Its age counts from the request, so that an answer
// which was held up on the way is judged old.
func (s *Spread) answered(now time.Duration, from topology.InstanceID, answer Answer) {
	ask, ok := s.asks[answer.ID]
	if !ok || ask.to != from {
		return
	}
	delete(s.asks, answer.ID)
	s.note(from, ask.at, answer)
	if !answer.Loaded {
		return
	}
	if answer.Delta != nil {
		s.adopt(*answer.Delta, from)
	}
	s.replica.learn(answer.Content, answer.Complete)
	if s.replica.loaded && answer.Content <= s.replica.complete {
		return
	}
	s.startFetch(now, from)
}

// note records what an answer says about freshness.
func (s *Spread) note(from topology.InstanceID, asked time.Duration, answer Answer) {
	if known, ok := s.evidence.heard[from]; ok && known.asked > asked {
		return
	}
	s.evidence.met = true
	s.evidence.heard[from] = heard{asked: asked, content: answer.Content}
	if answer.Evidence == nil || answer.Evidence.AgeMicros >= uint64(FreshLimit/time.Microsecond) {
		return
	}
	at := asked - time.Duration(answer.Evidence.AgeMicros)*time.Microsecond
	s.evidence.add(proof{at: at, revision: answer.Evidence.Revision}, s.replica.complete)
}

// pushed applies a pushed change, or asks for what leads up to it.
func (s *Spread) pushed(now time.Duration, from topology.InstanceID, delta Delta) {
	if s.adopt(delta, from) && delta.Complete <= s.replica.complete {
		return
	}
	if !s.replica.loaded || delta.Complete > s.replica.complete {
		s.ask(now, from)
	}
}

// fetch is a transfer of the whole configuration from a peer, page by page.
type fetch struct {
	peer     topology.InstanceID
	id       uint64
	at       time.Duration
	started  bool
	content  store.Revision
	complete store.Revision
	entries  []store.Entry
}

func (s *Spread) startFetch(now time.Duration, peer topology.InstanceID) {
	if s.fetch != nil {
		return
	}
	s.fetch = &fetch{peer: peer}
	s.askPage(now, "")
}

func (s *Spread) askPage(now time.Duration, from string) {
	s.fetch.id, s.fetch.at = s.random.Uint64(), now
	s.send(s.fetch.peer, Message{PageAsk: &PageAsk{ID: s.fetch.id, From: from}})
}

func (s *Spread) expireFetch(now time.Duration) {
	if s.fetch != nil && now-s.fetch.at >= fetchExpiry {
		s.fetch = nil
	}
}

// pageReceived collects a page. Pages of different contents do not fit together:
// the fetch begins anew with the next digest.
func (s *Spread) pageReceived(now time.Duration, from topology.InstanceID, page Page) {
	f := s.fetch
	if f == nil || f.peer != from || f.id != page.ID {
		return
	}
	if f.started && f.content != page.Content {
		s.fetch = nil
		s.ask(now, from)
		return
	}
	f.started, f.content, f.complete = true, page.Content, page.Complete
	for _, update := range page.Entries {
		f.entries = append(f.entries, store.Entry{Key: update.Key, Value: update.Value, Revision: update.Revision})
	}
	if page.Next != "" {
		s.askPage(now, page.Next)
		return
	}
	s.fetch = nil
	if s.replica.load(f.entries, f.content, f.complete) {
		s.publish()
	}
}

// jitter returns a duration between 3/4 and 5/4 of d.
func (s *Spread) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.random.Int64N(int64(d)/2+1))
}
