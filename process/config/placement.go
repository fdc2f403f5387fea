package config

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Sizes of the placement.
const (
	// watchersPerDomain is the number of instances of each failure domain that
	// watch the store.
	watchersPerDomain = 2
	// childrenPerParent is the fan-out of the digest tree: the maximum number
	// of instances that request digests from the same parent.
	childrenPerParent = 16
	// maxVoters is the maximum number of instances, this one included, whose
	// majority decides whether the store is unavailable.
	maxVoters = 31
	// connectedFleetWatchers is the assumed number of watchers of a connected
	// fleet. When a fleet breaks up into single instances, each of which is
	// then a watcher, each slows its store calls so that all of them together
	// call about as often as that many watchers.
	connectedFleetWatchers = 8
)

// weightedInstance is an instance with its rendezvous-hashing weight.
type weightedInstance struct {
	id     topology.InstanceID
	weight uint64
}

// placement determines which instances watch the store and from which peers
// this instance requests digests. It is immutable and rebuilt when the lists of
// instances change.
type placement struct {
	self topology.InstanceID
	// domainInstances lists the live instances of this instance's failure
	// domain by descending weight; domainRank is the index of this instance in
	// it.
	domainInstances []topology.InstanceID
	domainRank      int
	// watchers lists the watchers of all failure domains by descending weight.
	watchers []topology.InstanceID
	// peers lists the live instances other than this one.
	peers []topology.InstanceID
	// voters lists the known instances, other than this one, whose responses
	// decide whether the store is unavailable. It is nil while no list of the
	// fleet's instances has been read.
	voters []topology.InstanceID
	// knownCount counts the known instances, this one included.
	knownCount int
}

// newPlacement places the watchers by rendezvous hashing, so that all instances
// with the same list of live instances agree on them.
func newPlacement(self platform.Instance, live, known []platform.Instance) *placement {
	p := &placement{self: self.ID}
	domains := make(map[topology.FailureDomain][]weightedInstance)
	for _, instance := range eligibleInstances(self, live) {
		if instance.ID != self.ID {
			p.peers = append(p.peers, instance.ID)
		}
		domains[instance.FailureDomain] = append(domains[instance.FailureDomain], weighInstance("watch", instance))
	}
	var watchers []weightedInstance
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		members := domains[domain]
		sortByWeight(members)
		watchers = append(watchers, members[:min(watchersPerDomain, len(members))]...)
		if domain == self.FailureDomain {
			p.domainInstances = instanceIDs(members)
		}
	}
	sortByWeight(watchers)
	p.watchers = instanceIDs(watchers)
	p.domainRank = slices.Index(p.domainInstances, self.ID)
	p.chooseVoters(self, known)
	return p
}

// eligibleInstances returns this instance and the other live instances that are
// not leaving.
func eligibleInstances(self platform.Instance, live []platform.Instance) []platform.Instance {
	eligible := []platform.Instance{self}
	for _, instance := range live {
		if instance.ID != self.ID && instance.State != platform.InstanceLeaving {
			eligible = append(eligible, instance)
		}
	}
	return eligible
}

// chooseVoters makes all known instances voters in a small fleet. In a larger
// one each instance has its own fixed sample, stratified so that every failure
// domain has the same share of the voters as of the fleet. Thus failure domains
// that are cut off together hold a majority of the voters only if they hold a
// majority of the fleet, apart from rounding.
func (p *placement) chooseVoters(self platform.Instance, known []platform.Instance) {
	if len(known) == 0 {
		return
	}
	domains := make(map[topology.FailureDomain][]weightedInstance)
	for _, instance := range known {
		if instance.ID != self.ID {
			domains[instance.FailureDomain] = append(domains[instance.FailureDomain], weighInstance(string(self.ID), instance))
		}
	}
	var candidates []domainMember
	for _, members := range domains {
		sortByWeight(members)
		for i, member := range members {
			candidates = append(candidates, domainMember{weightedInstance: member, quantile: (float64(i) + 0.5) / float64(len(members))})
		}
	}
	slices.SortFunc(candidates, func(a, b domainMember) int {
		return cmp.Or(cmp.Compare(a.quantile, b.quantile), cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	p.knownCount = len(candidates) + 1
	p.voters = make([]topology.InstanceID, 0, maxVoters-1)
	for _, member := range candidates[:min(maxVoters-1, len(candidates))] {
		p.voters = append(p.voters, member.id)
	}
}

// domainMember is an instance with its position by weight in its failure
// domain, scaled to (0, 1).
type domainMember struct {
	weightedInstance
	quantile float64
}

// weighInstance returns an instance with its weight for a purpose. All
// instances must compute the same weights.
func weighInstance(purpose string, instance platform.Instance) weightedInstance {
	return weightedInstance{id: instance.ID, weight: xxhash.Sum64String(purpose + "\x00" + string(instance.ID))}
}

// sortByWeight sorts by descending weight.
func sortByWeight(members []weightedInstance) {
	slices.SortFunc(members, func(a, b weightedInstance) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
}

func instanceIDs(members []weightedInstance) []topology.InstanceID {
	list := make([]topology.InstanceID, len(members))
	for i, member := range members {
		list[i] = member.id
	}
	return list
}

// watcherRank returns this instance's index among the watchers, and false when
// it is not a watcher.
func (p *placement) watcherRank() (int, bool) {
	rank := slices.Index(p.watchers, p.self)
	return rank, rank >= 0
}

// digestSources returns the peers to request digests from in a round: for a
// watcher, the first watcher and a random one; for another instance, its parent
// in the failure domain's digest tree, whose root is the domain's watchers, and
// a random instance that ranks before it.
func (p *placement) digestSources(random *rand.Rand) []topology.InstanceID {
	var chosen []topology.InstanceID
	add := func(id topology.InstanceID) {
		if id != p.self && !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	if _, isWatcher := p.watcherRank(); isWatcher {
		add(p.watchers[0])
		add(p.watchers[random.IntN(len(p.watchers))])
		return chosen
	}
	add(p.domainInstances[(p.domainRank-watchersPerDomain)/childrenPerParent])
	add(p.domainInstances[random.IntN(p.domainRank)])
	return chosen
}

// randomPeers returns up to n random live peers.
func (p *placement) randomPeers(random *rand.Rand, n int) []topology.InstanceID {
	if len(p.peers) <= n {
		return p.peers
	}
	chosen := make([]topology.InstanceID, 0, n)
	for _, i := range random.Perm(len(p.peers))[:n] {
		chosen = append(chosen, p.peers[i])
	}
	return chosen
}

// storeCallSlowdown is the factor by which an instance stretches the intervals
// of its store calls when it sees only a small part of the known instances. It
// bounds the fleet's calls however many partitions the fleet is split into,
// each of which has watchers of its own.
func (p *placement) storeCallSlowdown() int {
	return max(1, p.knownCount/(connectedFleetWatchers*(len(p.peers)+1)))
}
