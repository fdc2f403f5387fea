package config

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Limits of the freshness evaluation.
const (
	// MaxEvidenceAge is the age at which evidence expires.
	MaxEvidenceAge = 4 * time.Second
	// MaxResponseAge is how long a peer's response, counted from the request,
	// counts toward the majority that detects an outage of the store.
	MaxResponseAge = 1500 * time.Millisecond
	// maxPendingBounds limits the revision bounds kept for revisions that the
	// replica has not reached.
	maxPendingBounds = 32
)

// Freshness classifies the configuration of this instance at some time.
type Freshness uint8

// Values of Freshness.
const (
	// FreshnessStale means that there is no recent evidence and no proven
	// outage of the store; keyed routes fail closed.
	FreshnessStale Freshness = iota + 1
	// FreshnessFresh means that there is evidence younger than MaxEvidenceAge.
	FreshnessFresh
	// FreshnessOutage means that the store is unavailable: a majority of the
	// voters responds and none of them knows a newer configuration. Keyed
	// routes are served.
	FreshnessOutage
)

// String returns the name used in logs and status reports.
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

// FreshnessState holds what is needed to compute the freshness at any later
// time. It is immutable; times are on this instance's monotonic clock.
type FreshnessState struct {
	// loaded is set when the instance has a configuration.
	loaded bool
	// evidenceAt is the latest time at which this instance's configuration is
	// known to have been the store's latest; valid when hasEvidence.
	hasEvidence bool
	evidenceAt  time.Duration
	// The recorded responses show an outage of the store during [outageFrom,
	// outageUntil).
	outageFrom, outageUntil time.Duration
}

// At returns the freshness at a given time.
func (s *FreshnessState) At(now time.Duration) Freshness {
	switch {
	case !s.loaded:
		return FreshnessStale
	case s.hasEvidence && now-s.evidenceAt < MaxEvidenceAge:
		return FreshnessFresh
	case now >= s.outageFrom && now < s.outageUntil:
		return FreshnessOutage
	default:
		return FreshnessStale
	}
}

// noEvidenceAge is reported as the age while there is no evidence.
const noEvidenceAge = -time.Second

// EvidenceAge returns the age of the evidence at a given time, or a negative
// duration when there is none.
func (s *FreshnessState) EvidenceAge(now time.Duration) time.Duration {
	if !s.hasEvidence {
		return noEvidenceAge
	}
	return now - s.evidenceAt
}

// revisionBound states that the store's revision was not above revision at the
// time at. A replica that is complete up to revision therefore held the latest
// configuration at that time.
type revisionBound struct {
	at       time.Duration
	revision store.Revision
}

// peerDigest is what the latest digest of a peer says about freshness.
type peerDigest struct {
	// requestedAt is when this instance sent the request.
	requestedAt     time.Duration
	contentRevision store.Revision
}

// evidence collects revision bounds and peers' digests.
type evidence struct {
	// provenAt is the time of the latest revision bound that the replica has
	// reached, and revision its revision; valid when exists.
	exists   bool
	provenAt time.Duration
	revision store.Revision
	// pending holds the bounds whose revisions the replica has not reached.
	pending []revisionBound
	// digests holds the latest digest of each peer.
	digests map[topology.InstanceID]peerDigest
	// hasPeers is set once any peer has responded.
	hasPeers bool
}

// addBound adds a revision bound, as accepted or pending. Of several pending
// bounds with one revision the latest is kept; when there are too many the
// oldest entry is dropped.
func (e *evidence) addBound(bound revisionBound, completeRevision store.Revision) {
	if bound.revision <= completeRevision {
		e.acceptBound(bound)
		return
	}
	for i := range e.pending {
		if e.pending[i].revision == bound.revision {
			e.pending[i].at = max(e.pending[i].at, bound.at)
			return
		}
	}
	if len(e.pending) == maxPendingBounds {
		e.pending = slices.Delete(e.pending, 0, 1)
	}
	e.pending = append(e.pending, bound)
}

// acceptBound makes a bound the current evidence if it is the latest.
func (e *evidence) acceptBound(bound revisionBound) {
	if !e.exists || bound.at > e.provenAt {
		e.exists, e.provenAt, e.revision = true, bound.at, bound.revision
	}
}

// acceptReached accepts the pending bounds that the replica has reached.
func (e *evidence) acceptReached(completeRevision store.Revision) {
	e.pending = slices.DeleteFunc(e.pending, func(bound revisionBound) bool {
		if bound.revision > completeRevision {
			return false
		}
		e.acceptBound(bound)
		return true
	})
}

// lastStoreContact returns the latest time at which the store is known to have
// responded, pending bounds included.
func (e *evidence) lastStoreContact() (time.Duration, bool) {
	at, ok := e.provenAt, e.exists
	for _, bound := range e.pending {
		if !ok || bound.at > at {
			at, ok = bound.at, true
		}
	}
	return at, ok
}

// oldestPending returns the time of the oldest pending bound.
func (e *evidence) oldestPending() (time.Duration, bool) {
	if len(e.pending) == 0 {
		return 0, false
	}
	oldest := e.pending[0].at
	for _, bound := range e.pending[1:] {
		oldest = min(oldest, bound.at)
	}
	return oldest, true
}

// forPeer returns the evidence to send to a peer, or nil when it has expired.
func (e *evidence) forPeer(now time.Duration) *Evidence {
	if !e.exists || now-e.provenAt >= MaxEvidenceAge {
		return nil
	}
	return &Evidence{Revision: e.revision, AgeMicros: ceilMicros(now - e.provenAt)}
}

// evaluate computes the freshness state from the recorded digests.
//
// The store counts as unavailable when (1) a majority of the voters, this
// instance included, responded to requests younger than MaxResponseAge, (2) no
// digest that recent, of any peer, has a change that this replica lacks, and
// (3) this instance's evidence has expired. The evidence of those peers has
// then expired too: a replica that lacks none of their changes accepts their
// evidence as its own.
func (e *evidence) evaluate(now time.Duration, replica *replica, voters []topology.InstanceID) *FreshnessState {
	s := &FreshnessState{loaded: replica.loaded, hasEvidence: e.exists, evidenceAt: e.provenAt}
	if voters == nil {
		return s
	}
	if e.exists {
		s.outageFrom = e.provenAt + MaxEvidenceAge
	}
	for _, digest := range e.digests {
		if now-digest.requestedAt >= MaxResponseAge {
			continue
		}
		if digest.contentRevision > replica.completeRevision {
			return s
		}
	}
	s.outageUntil = e.quorumValidUntil(now, voters)
	return s
}

// quorumValidUntil returns the time until which a majority's responses count,
// or zero when there is no majority. An instance that has ever had a response
// from a peer does not count as a fleet of one, even if the list of instances
// says so, since the list lags.
func (e *evidence) quorumValidUntil(now time.Duration, voters []topology.InstanceID) time.Duration {
	neededResponses := topology.Majority(len(voters)+1) - 1
	if neededResponses == 0 {
		if e.hasPeers {
			return 0
		}
		return now + MaxResponseAge
	}
	var requestTimes []time.Duration
	for _, id := range voters {
		if digest, ok := e.digests[id]; ok {
			requestTimes = append(requestTimes, digest.requestedAt)
		}
	}
	if len(requestTimes) < neededResponses {
		return 0
	}
	slices.Sort(requestTimes)
	return requestTimes[len(requestTimes)-neededResponses] + MaxResponseAge
}
