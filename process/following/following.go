// Package following decides which peer an instance learns the state of the store from. In a
// large fleet most instances only forward requests. If each of them read the store, its
// load would grow with the fleet; instead, each follows one of the instances that watch
// the store anyway. Answers carry the age of the peer's last confirmation by the store, so
// a peer that is cut off from the store is recognized and replaced.
package following

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// Interval is the interval between requests to a peer that answers.
	Interval = time.Second
	// minInterval separates requests that are expedited.
	minInterval = 150 * time.Millisecond
	// answerTimeout is how long an answer is awaited: the opening of a link, a round trip,
	// and the delay of a busy processor.
	answerTimeout = 600 * time.Millisecond
	// maxAge is the greatest age of a confirmation that counts as current. It allows for a
	// peer's interval between confirmations and for one that was lost.
	maxAge = 3 * time.Second
	// avoidTime is how long a peer is not asked after it did not answer or was outdated.
	avoidTime = 3 * time.Second
	// StaleAfter is how long an instance relies on its last current answer before it reads
	// the store itself.
	StaleAfter = 4 * time.Second
	// lacksOwnAfter is the same for an instance that lacks its own registration. Two peers
	// can be asked in it.
	lacksOwnAfter = 300 * time.Millisecond
	// MaxWaitLackingOwn is the longest time between two calls of Next by such an instance.
	MaxWaitLackingOwn = 100 * time.Millisecond
)

// Candidate is an instance that can be followed.
type Candidate struct {
	ID topology.InstanceID
	// Local says that it is in the same failure domain.
	Local bool
}

// Follower tracks the requests of one instance to the peer that it follows. It performs no
// I/O and is not safe for concurrent use.
type Follower struct {
	self topology.InstanceID
	// candidates are in order of preference.
	candidates []topology.InstanceID
	// avoidUntil is when a candidate that failed may be asked again.
	avoidUntil map[topology.InstanceID]time.Duration
	// asked is the peer that was last asked, at askedAt; pending says that its answer has
	// not arrived.
	asked   topology.InstanceID
	askedAt time.Duration
	pending bool
	// lacksOwn says that the instance does not know its own registration, which is in the
	// store. Then it does not know which services it owns either, while other instances
	// already forward to it.
	lacksOwn      bool
	lacksOwnSince time.Duration
	// triedStore says that the instance has tried to read the store while lacksOwn.
	triedStore bool
	// expedited says that the next request is due as soon as minInterval allows.
	expedited bool
	// currentAt is when the last current answer arrived, or when the instance last read the
	// store itself.
	currentAt time.Duration
}

// New returns a follower that has no candidates yet and was current at now.
func New(self topology.InstanceID, now time.Duration) *Follower {
	return &Follower{self: self, avoidUntil: make(map[topology.InstanceID]time.Duration), currentAt: now, askedAt: now - Interval}
}

// SetCandidates replaces the candidates. Those of the same failure domain are preferred;
// among them, rendezvous hashing spreads the followers.
func (f *Follower) SetCandidates(candidates []Candidate) {
	sorted := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.ID == f.self })
	weight := func(c Candidate) uint64 { return xxhash.Sum64String(string(f.self) + "/" + string(c.ID)) }
	slices.SortFunc(sorted, func(a, b Candidate) int {
		if a.Local != b.Local {
			if a.Local {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	f.candidates = f.candidates[:0]
	for _, c := range sorted {
		f.candidates = append(f.candidates, c.ID)
	}
}

// Next returns the peer to ask now, or none and the time until Next is to be called again.
func (f *Follower) Next(now time.Duration) (peer topology.InstanceID, wait time.Duration) {
	if f.pending {
		if left := f.askedAt + answerTimeout - now; left > 0 {
			return "", left
		}
		f.pending = false
		f.avoidUntil[f.asked] = now + avoidTime
		f.expedited = true
	}
	interval := Interval
	if f.expedited {
		interval = minInterval
	}
	if left := f.askedAt + interval - now; left > 0 {
		return "", left
	}
	peer = f.choose(now)
	if peer == "" {
		f.expedited = false
		return "", Interval
	}
	f.asked, f.askedAt, f.pending, f.expedited = peer, now, true, false
	return peer, answerTimeout
}

// choose returns the most preferred candidate that is not avoided, or the one that is
// avoided for the shortest time.
func (f *Follower) choose(now time.Duration) topology.InstanceID {
	var best topology.InstanceID
	for _, id := range f.candidates {
		if f.avoidUntil[id] <= now {
			return id
		}
		if best == "" || f.avoidUntil[id] < f.avoidUntil[best] {
			best = id
		}
	}
	return best
}

// Follows reports whether a peer was the last one asked.
func (f *Follower) Follows(peer topology.InstanceID) bool { return f.asked == peer }

// Expedite makes the next request due soon, because the known state may be outdated.
func (f *Follower) Expedite() { f.expedited = true }

// Answered records the answer of a peer whose last confirmation by the store has the given
// age, negative if it has none.
func (f *Follower) Answered(now time.Duration, from topology.InstanceID, age time.Duration) {
	if !f.pending || from != f.asked {
		return
	}
	f.pending = false
	if age < 0 || age > maxAge {
		f.avoidUntil[from] = now + avoidTime
		f.expedited = true
		return
	}
	f.currentAt = now
}

// SetLacksOwn sets whether the instance may own services but lacks its own registration,
// which is in the store. Requests are then expedited, and the instance reads the store soon,
// once, if no peer answers: a fleet in which all have just started has no instance that
// watches it.
func (f *Follower) SetLacksOwn(now time.Duration, lacksOwn bool) {
	if lacksOwn && !f.lacksOwn {
		f.lacksOwnSince = now
	}
	f.lacksOwn = lacksOwn
	f.expedited = f.expedited || lacksOwn
	f.triedStore = f.triedStore && lacksOwn
}

// ReadStore records that the instance has read the store itself.
func (f *Follower) ReadStore(now time.Duration) { f.currentAt, f.triedStore = now, f.lacksOwn }

// ReadFailed records that the instance could not read the store itself. It is stale again
// after an Interval, in which its peers may answer.
func (f *Follower) ReadFailed(now time.Duration) {
	f.currentAt, f.triedStore = now-StaleAfter+Interval, f.lacksOwn
}

// Stale reports whether the instance has to read the store itself.
func (f *Follower) Stale(now time.Duration) bool {
	if f.lacksOwn && !f.triedStore && now-max(f.currentAt, f.lacksOwnSince) >= lacksOwnAfter {
		return true
	}
	return now-f.currentAt >= StaleAfter
}
