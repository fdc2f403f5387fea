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
	// watchersPerDomain is how many instances of a failure domain watch the
	// store.
	watchersPerDomain = 2
	// askersPerParent bounds how many instances ask the same instance for its
	// digest as their first choice.
	askersPerParent = 16
	// panelSize is the most instances, this one included, whose majority decides
	// whether the store is out.
	panelSize = 31
	// pacedFleet is the number of watchers of a connected fleet against which
	// the calls of a small remainder are slowed.
	pacedFleet = 8
)

// ranked is an instance with its rendezvous weight.
type ranked struct {
	id     topology.InstanceID
	weight uint64
}

// placement says who watches the store and who asks whom. It is rebuilt when the
// lists of instances change.
type placement struct {
	self topology.InstanceID
	// domain lists the live instances of this instance's failure domain by
	// weight; own is the place of this instance there.
	domain []topology.InstanceID
	own    int
	// watchers lists the watchers of the fleet by weight.
	watchers []topology.InstanceID
	// others lists the live instances but this one.
	others []topology.InstanceID
	// panel lists the known instances, this one left out, that are asked whether
	// the store is out. It is nil while the fleet's members are not known.
	panel []topology.InstanceID
	known int
}

func newPlacement(self platform.Instance, live, known []platform.Instance) *placement {
	p := &placement{self: self.ID}
	domains := make(map[topology.FailureDomain][]ranked)
	for _, instance := range withSelf(self, live) {
		if instance.ID != self.ID {
			p.others = append(p.others, instance.ID)
		}
		domains[instance.FailureDomain] = append(domains[instance.FailureDomain], rank("watch", instance))
	}
	var watchers []ranked
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		members := domains[domain]
		sortRanked(members)
		watchers = append(watchers, members[:min(watchersPerDomain, len(members))]...)
		if domain == self.FailureDomain {
			p.domain = ids(members)
		}
	}
	sortRanked(watchers)
	p.watchers = ids(watchers)
	p.own = slices.Index(p.domain, self.ID)
	p.choosePanel(self, known)
	return p
}

// withSelf adds this instance when the list lacks it, and leaves out instances
// that are leaving unless none else is there.
func withSelf(self platform.Instance, live []platform.Instance) []platform.Instance {
	kept := []platform.Instance{self}
	for _, instance := range live {
		if instance.ID != self.ID && instance.State != platform.InstanceLeaving {
			kept = append(kept, instance)
		}
	}
	return kept
}

// choosePanel takes all known instances of a small fleet. Of a large one it takes
// a fixed choice, other for each instance, in which each failure domain has the
// share that it has of the fleet: domains that are cut off together hold a majority
// of a panel only when they hold one of the fleet, to within rounding.
func (p *placement) choosePanel(self platform.Instance, known []platform.Instance) {
	if len(known) == 0 {
		return
	}
	domains := make(map[topology.FailureDomain][]ranked)
	for _, instance := range known {
		if instance.ID != self.ID {
			domains[instance.FailureDomain] = append(domains[instance.FailureDomain], rank(string(self.ID), instance))
		}
	}
	var places []place
	for _, members := range domains {
		sortRanked(members)
		for i, member := range members {
			places = append(places, place{ranked: member, share: (float64(i) + 0.5) / float64(len(members))})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	p.known = len(places) + 1
	p.panel = make([]topology.InstanceID, 0, panelSize-1)
	for _, member := range places[:min(panelSize-1, len(places))] {
		p.panel = append(p.panel, member.id)
	}
}

// place is an instance with the share of its failure domain that ranks before
// it.
type place struct {
	ranked
	share float64
}

func rank(purpose string, instance platform.Instance) ranked {
	return ranked{id: instance.ID, weight: xxhash.Sum64String(purpose + "\x00" + string(instance.ID))}
}

func sortRanked(members []ranked) {
	slices.SortFunc(members, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
}

func ids(members []ranked) []topology.InstanceID {
	list := make([]topology.InstanceID, len(members))
	for i, member := range members {
		list[i] = member.id
	}
	return list
}

// watcher returns this instance's place among the fleet's watchers.
func (p *placement) watcher() (int, bool) {
	rank := slices.Index(p.watchers, p.self)
	return rank, rank >= 0
}

// sources returns the peers to ask for their digest in a round. Watchers ask
// the first watcher and a random one. Others ask their parent in the domain's
// tree, whose first two places the watchers hold, and a random instance that
// stands before them.
func (p *placement) sources(random *rand.Rand) []topology.InstanceID {
	var chosen []topology.InstanceID
	add := func(id topology.InstanceID) {
		if id != p.self && !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	if _, watches := p.watcher(); watches {
		add(p.watchers[0])
		add(p.watchers[random.IntN(len(p.watchers))])
		return chosen
	}
	add(p.domain[(p.own-watchersPerDomain)/askersPerParent])
	add(p.domain[random.IntN(p.own)])
	return chosen
}

// sample returns up to n random live peers.
func (p *placement) sample(random *rand.Rand, n int) []topology.InstanceID {
	if len(p.others) <= n {
		return p.others
	}
	chosen := make([]topology.InstanceID, 0, n)
	for _, i := range random.Perm(len(p.others))[:n] {
		chosen = append(chosen, p.others[i])
	}
	return chosen
}

// slowdown is the factor by which an instance that sees few of the known ones
// spaces its store calls, so that the fleet's calls stay bounded however it is
// cut into parts.
func (p *placement) slowdown() int {
	return max(1, p.known/(pacedFleet*(len(p.others)+1)))
}
