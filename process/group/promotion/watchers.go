package promotion

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// MaxWatchers is the most instances that watch one group.
	MaxWatchers = 7
	// ringPoints is how often each instance stands on the ring.
	ringPoints = 16
	// maxCandidates bounds the instances among which watchers are picked.
	maxCandidates = 3 * MaxWatchers
)

// Ring assigns groups to instances by consistent hashing. Instances with the
// same list agree on it. A ring is immutable.
type Ring struct {
	points []ringPoint
	peers  []Peer
}

type ringPoint struct {
	hash uint64
	peer int
}

// NewRing returns the ring of a list of instances, in any order.
func NewRing(instances []Peer) *Ring {
	r := &Ring{
		points: make([]ringPoint, 0, ringPoints*len(instances)),
		peers:  slices.Clone(instances),
	}
	for i, peer := range r.peers {
		for turn := range ringPoints {
			hash := xxhash.Sum64String(string(peer.ID) + "\x00" + strconv.Itoa(turn))
			r.points = append(r.points, ringPoint{hash: hash, peer: i})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(r.peers[a.peer].ID, r.peers[b.peer].ID))
	})
	return r
}

// Watchers returns the instances that watch a service's group, in order of rank.
// Among the next instances on the ring, the first of each failure domain come
// before the second of any, so that few watchers cover many domains.
func (r *Ring) Watchers(service topology.ServiceID) []Peer {
	var candidates [maxCandidates]int
	count := r.candidates(service, &candidates)
	watchers := make([]Peer, 0, MaxWatchers)
	taken := 0
	for taken < min(count, MaxWatchers) {
		domains := make([]topology.FailureDomain, 0, MaxWatchers)
		for i, candidate := range candidates[:count] {
			if candidate < 0 || taken == MaxWatchers || slices.Contains(domains, r.peers[candidate].Domain) {
				continue
			}
			domains = append(domains, r.peers[candidate].Domain)
			watchers = append(watchers, r.peers[candidate])
			candidates[i] = -1
			taken++
		}
	}
	return watchers
}

// candidates fills in the next distinct instances on the ring.
func (r *Ring) candidates(service topology.ServiceID, candidates *[maxCandidates]int) int {
	hash := xxhash.Sum64String(string(service))
	start, _ := slices.BinarySearchFunc(r.points, hash, func(p ringPoint, hash uint64) int { return cmp.Compare(p.hash, hash) })
	count := 0
	for i := range r.points {
		peer := r.points[(start+i)%len(r.points)].peer
		if slices.Contains(candidates[:count], peer) {
			continue
		}
		candidates[count] = peer
		count++
		if count == min(maxCandidates, len(r.peers)) {
			break
		}
	}
	return count
}
