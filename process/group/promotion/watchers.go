package promotion

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// MaxWatchers is the maximum number of instances that watch one group.
	MaxWatchers = 7
	// pointsPerInstance is the number of points that each instance has on the ring.
	pointsPerInstance = 16
	// maxWatcherCandidates is the number of instances next on the ring among which
	// the watchers of a group are selected.
	maxWatcherCandidates = 3 * MaxWatchers
)

// Ring assigns groups to instances by consistent hashing. Instances that know the
// same list of instances compute the same assignment. A ring is immutable.
type Ring struct {
	// points is sorted by hash.
	points []ringPoint
	peers  []Peer
}

// ringPoint is one point of an instance. peer is its index in Ring.peers.
type ringPoint struct {
	hash uint64
	peer int
}

// NewRing returns the ring of a list of instances, in any order.
func NewRing(instances []Peer) *Ring {
	r := &Ring{
		points: make([]ringPoint, 0, pointsPerInstance*len(instances)),
		peers:  slices.Clone(instances),
	}
	for i, peer := range r.peers {
		for index := range pointsPerInstance {
			hash := xxhash.Sum64String(string(peer.ID) + "\x00" + strconv.Itoa(index))
			r.points = append(r.points, ringPoint{hash: hash, peer: i})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(r.peers[a.peer].ID, r.peers[b.peer].ID))
	})
	return r
}

// Watchers returns the instances that watch a service's group, in order of rank.
// It takes the candidates in turns, at most one of each failure domain a turn, so
// that few watchers cover many domains.
func (r *Ring) Watchers(service topology.ServiceID) []Peer {
	var candidates [maxWatcherCandidates]int
	count := r.candidates(service, &candidates)
	watchers := make([]Peer, 0, MaxWatchers)
	selected := 0
	for selected < min(count, MaxWatchers) {
		domains := make([]topology.FailureDomain, 0, MaxWatchers)
		for i, candidate := range candidates[:count] {
			if candidate < 0 || selected == MaxWatchers || slices.Contains(domains, r.peers[candidate].Domain) {
				continue
			}
			domains = append(domains, r.peers[candidate].Domain)
			watchers = append(watchers, r.peers[candidate])
			candidates[i] = -1
			selected++
		}
	}
	return watchers
}

// candidates stores the indexes of the next distinct instances on the ring, from the
// service's hash on, and returns their number.
func (r *Ring) candidates(service topology.ServiceID, candidates *[maxWatcherCandidates]int) int {
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
		if count == min(maxWatcherCandidates, len(r.peers)) {
			break
		}
	}
	return count
}
