// Package home assigns each service to a few instances, its homes, which hold
// nearly all connections to its targets. The others hand their callers' work to
// a home, so that a target's connections serve many customers' work without
// being opened anew and its slots are seen by few. Every instance computes the
// same assignment from the same registrations; a difference costs only
// efficiency, since any instance can run any work itself.
package home

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

// PerService is how many homes a service has: one alone would leave the service
// without a prepared home when it fails.
const PerService = 2

// Backups is how many more instances may hold connections to a service's targets,
// one each, for when its homes do not answer. In a large fleet one is enough: the
// others reach the next homes after the lapse of the lost ones, and each backup
// follows the store as closely as a home does.
const (
	smallFleet        = 12
	smallFleetBackups = 4
	largeFleetBackups = 1
)

// Instance is an instance that can be a home.
type Instance struct {
	ID topology.InstanceID
	// Processor is its share of a core; those with less than half of the best
	// are homes only when there are too few others.
	Processor float64
}

// Assignment holds the homes of every service.
type Assignment struct {
	homes   map[topology.ServiceID][]topology.InstanceID
	backups map[topology.ServiceID][]topology.InstanceID
}

// Assign computes the assignment: highest random weight with a bound on the
// services of one instance.
func Assign(services []topology.ServiceID, instances []Instance) Assignment {
	a := Assignment{
		homes:   make(map[topology.ServiceID][]topology.InstanceID, len(services)),
		backups: make(map[topology.ServiceID][]topology.InstanceID, len(services)),
	}
	candidates := capable(instances, min(PerService, len(instances)))
	if len(candidates) == 0 {
		return a
	}
	perService := min(PerService, len(candidates))
	bound := (len(services)*perService + len(candidates) - 1) / len(candidates)
	load := make(map[topology.InstanceID]int)
	sorted := slices.Sorted(slices.Values(services))
	for slot := range perService {
		for _, service := range sorted {
			if id, found := highest(service, slot, candidates, a.homes[service], load, bound); found {
				a.homes[service] = append(a.homes[service], id)
				load[id]++
			}
		}
	}
	backups := smallFleetBackups
	if len(instances) > smallFleet {
		backups = largeFleetBackups
	}
	for _, service := range sorted {
		taken := slices.Clone(a.homes[service])
		for slot := range backups {
			id, found := highest(service, perService+slot, candidates, taken, nil, 1)
			if !found {
				break
			}
			taken = append(taken, id)
			a.backups[service] = append(a.backups[service], id)
		}
	}
	return a
}

// capable leaves out weak instances while enough others are there.
func capable(instances []Instance, least int) []Instance {
	best := 0.0
	for _, i := range instances {
		best = max(best, i.Processor)
	}
	strong := slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return i.Processor < best/2 })
	if len(strong) < least {
		return instances
	}
	return strong
}

func highest(service topology.ServiceID, slot int, candidates []Instance, taken []topology.InstanceID, load map[topology.InstanceID]int, bound int) (topology.InstanceID, bool) {
	var chosen topology.InstanceID
	var weight uint64
	for _, c := range candidates {
		if load[c.ID] >= bound || slices.Contains(taken, c.ID) {
			continue
		}
		w := xxhash.Sum64String(string(service) + "/" + strconv.Itoa(slot) + "/" + string(c.ID))
		if chosen == "" || w > weight {
			chosen, weight = c.ID, w
		}
	}
	return chosen, chosen != ""
}

// Homes returns the homes of a service.
func (a Assignment) Homes(service topology.ServiceID) []topology.InstanceID { return a.homes[service] }

// Backups returns the backups of a service, the first to be asked first.
func (a Assignment) Backups(service topology.ServiceID) []topology.InstanceID {
	return a.backups[service]
}

// Uses reports whether the instance may hold connections to the service's targets.
func (a Assignment) Uses(id topology.InstanceID, service topology.ServiceID) bool {
	return slices.Contains(a.homes[service], id) || slices.Contains(a.backups[service], id)
}

// Count returns in how many of the services the instance is a home.
func (a Assignment) Count(id topology.InstanceID) int {
	count := 0
	for _, homes := range a.homes {
		if slices.Contains(homes, id) {
			count++
		}
	}
	return count
}

// Customer is a customer with its rate, by which customers are spread.
type Customer struct {
	ID   topology.CustomerID
	Rate float64
}

// Spread divides customers among the homes of a service so that their rates are
// about equal. The result maps each to the index of its home.
func Spread(customers []Customer) map[topology.CustomerID]int {
	sorted := slices.Clone(customers)
	slices.SortFunc(sorted, func(a, b Customer) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.ID, b.ID))
	})
	var load [PerService]float64
	spread := make(map[topology.CustomerID]int, len(customers))
	for _, c := range sorted {
		least := 0
		for i := range load {
			if load[i] < load[least] {
				least = i
			}
		}
		spread[c.ID] = least
		load[least] += max(c.Rate, 1)
	}
	return spread
}
