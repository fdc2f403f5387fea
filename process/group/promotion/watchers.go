package promotion

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

// MaxWatchers is the most instances that watch one group.
const MaxWatchers = 7

// Watchers picks the instances that watch a service's group, in order of rank,
// by rendezvous hashing. The first of each failure domain come before the
// second of any, so that few watchers cover many domains. Instances with the
// same list agree.
func Watchers(service topology.ServiceID, instances []Peer) []Peer {
	type ranked struct {
		Peer
		score uint64
		turn  int
	}
	all := make([]ranked, 0, len(instances))
	for _, instance := range instances {
		all = append(all, ranked{Peer: instance, score: xxhash.Sum64String(string(service) + "\x00" + string(instance.ID))})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	turns := make(map[topology.FailureDomain]int)
	for i := range all {
		all[i].turn = turns[all[i].Domain]
		turns[all[i].Domain]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.turn, b.turn) })
	watchers := make([]Peer, 0, MaxWatchers)
	for _, r := range all[:min(len(all), MaxWatchers)] {
		watchers = append(watchers, r.Peer)
	}
	return watchers
}
