package config

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Limits of freshness.
const (
	// FreshLimit is the age up to which evidence of the store's state counts.
	FreshLimit = 4 * time.Second
	// AnswerLimit is how long, counted from the request, a peer's answer counts
	// towards the verdict that the store is out.
	AnswerLimit = 1500 * time.Millisecond
	// maxPending bounds the evidence kept for revisions not yet reached.
	maxPending = 32
)

// Freshness is a verdict on the configuration at some moment.
type Freshness uint8

// Verdicts.
const (
	// FreshnessStale means that keyed routes fail closed.
	FreshnessStale Freshness = iota + 1
	// FreshnessFresh means that evidence younger than FreshLimit is at hand.
	FreshnessFresh
	// FreshnessOutage means that a majority answers and nobody reaches the store.
	FreshnessOutage
)

// String names the verdict.
func (f Freshness) String() string {
	switch f {
	case FreshnessStale:
		return "stale"
	case FreshnessFresh:
		return "fresh"
	case FreshnessOutage:
		return "store-outage"
	default:
		return "unknown"
	}
}

// Verdict holds what is needed to judge freshness at any later moment. It is
// immutable; times are on this instance's monotonic clock.
type Verdict struct {
	loaded bool
	// evident is false while there has been no evidence.
	evident bool
	// evidenceAt is a moment at which the configuration held was the latest.
	evidenceAt time.Duration
	// In [outageFrom, outageUntil) the answers at hand say that the store is out.
	outageFrom, outageUntil time.Duration
}

// Judge returns the verdict for a moment.
func (v *Verdict) Judge(now time.Duration) Freshness {
	switch {
	case !v.loaded:
		return FreshnessStale
	case v.evident && now-v.evidenceAt < FreshLimit:
		return FreshnessFresh
	case now >= v.outageFrom && now < v.outageUntil:
		return FreshnessOutage
	default:
		return FreshnessStale
	}
}

// noAge stands for the age of evidence that does not exist.
const noAge = -time.Second

// Age returns the age of the evidence at a moment, or a negative duration when
// there is none.
func (v *Verdict) Age(now time.Duration) time.Duration {
	if !v.evident {
		return noAge
	}
	return now - v.evidenceAt
}

// proof says that at the moment At the store had reached Revision and no more.
type proof struct {
	at       time.Duration
	revision store.Revision
}

// heard is the latest answer of a peer.
type heard struct {
	// asked is when this instance sent the request.
	asked   time.Duration
	content store.Revision
}

// evidence collects proofs and answers.
type evidence struct {
	evident bool
	// at is the moment of the freshest proof whose revision the replica has
	// reached.
	at       time.Duration
	revision store.Revision
	// pending holds proofs of revisions that the replica has not reached.
	pending []proof
	heard   map[topology.InstanceID]heard
	// met is set once any peer has answered.
	met bool
}

// add takes a proof into account.
func (e *evidence) add(p proof, complete store.Revision) {
	if p.revision <= complete {
		e.accept(p)
		return
	}
	for i := range e.pending {
		if e.pending[i].revision == p.revision {
			e.pending[i].at = max(e.pending[i].at, p.at)
			return
		}
	}
	if len(e.pending) == maxPending {
		e.pending = slices.Delete(e.pending, 0, 1)
	}
	e.pending = append(e.pending, p)
}

func (e *evidence) accept(p proof) {
	if !e.evident || p.at > e.at {
		e.evident, e.at, e.revision = true, p.at, p.revision
	}
}

// advance accepts the pending proofs that the replica has reached.
func (e *evidence) advance(complete store.Revision) {
	e.pending = slices.DeleteFunc(e.pending, func(p proof) bool {
		if p.revision > complete {
			return false
		}
		e.accept(p)
		return true
	})
}

// contact returns the latest moment at which the store is known to have
// answered, also with a revision not yet reached.
func (e *evidence) contact() (time.Duration, bool) {
	at, ok := e.at, e.evident
	for _, p := range e.pending {
		if !ok || p.at > at {
			at, ok = p.at, true
		}
	}
	return at, ok
}

// oldestPending returns the moment of the oldest proof not yet reached.
func (e *evidence) oldestPending() (time.Duration, bool) {
	if len(e.pending) == 0 {
		return 0, false
	}
	oldest := e.pending[0].at
	for _, p := range e.pending[1:] {
		oldest = min(oldest, p.at)
	}
	return oldest, true
}

// share returns the evidence as told to a peer.
func (e *evidence) share(now time.Duration) *Evidence {
	if !e.evident || now-e.at >= FreshLimit {
		return nil
	}
	return &Evidence{Revision: e.revision, AgeMicros: ageMicros(now - e.at)}
}

// verdict judges the answers of the panel. The store is out when a majority of
// the panel, this instance included, answered requests younger than AnswerLimit,
// none of the instances heard knows a change that this one lacks, and the evidence
// is expired: this instance's own, which is no older than that of those heard,
// since their evidence holds for it once it lacks none of their changes.
func (e *evidence) verdict(now time.Duration, replica *replica, panel []topology.InstanceID) *Verdict {
	v := &Verdict{loaded: replica.loaded, evident: e.evident, evidenceAt: e.at}
	if panel == nil {
		return v
	}
	if e.evident {
		v.outageFrom = e.at + FreshLimit
	}
	for _, answer := range e.heard {
		if now-answer.asked >= AnswerLimit {
			continue
		}
		if answer.content > replica.complete {
			return v
		}
	}
	v.outageUntil = e.quorumUntil(now, panel)
	return v
}

// quorumUntil returns the moment up to which answers of a majority count, or
// zero. An instance that has met peers is no fleet of one, even when the list of
// instances says so: the list lags.
func (e *evidence) quorumUntil(now time.Duration, panel []topology.InstanceID) time.Duration {
	needed := topology.Majority(len(panel)+1) - 1
	if needed == 0 {
		if e.met {
			return 0
		}
		return now + AnswerLimit
	}
	var asked []time.Duration
	for _, id := range panel {
		if answer, ok := e.heard[id]; ok {
			asked = append(asked, answer.asked)
		}
	}
	if len(asked) < needed {
		return 0
	}
	slices.Sort(asked)
	return asked[len(asked)-needed] + AnswerLimit
}
