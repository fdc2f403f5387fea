// Package owner assigns each service to a few instances, its owners, by rendezvous
// hashing. The owners hold nearly all connections to the service's targets; the
// other instances forward their callers' requests to an owner. As a result, few
// connections serve the requests of many customers without being reopened, and few
// instances compete for a target's slots.
//
// Every instance computes the same assignment from the same registrations. A
// temporary difference only costs efficiency, since any instance can run any
// request itself.
package owner

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

// PerService is the number of owners of a service. With only one, no other instance
// would be prepared to replace it when it fails.
const PerService = 2

// A service has backup owners: instances besides its owners that may hold connections
// to its targets, for when the owners do not respond. In a fleet of more than
// smallFleetSize instances one is enough: the other instances reach new owners once
// the registrations of the lost ones have expired, and every backup owner adds load to
// the store, as it watches the store as closely as an owner does.
const (
	smallFleetSize         = 12
	smallFleetBackupOwners = 4
	largeFleetBackupOwners = 1
)

// Instance is an instance that can own services.
type Instance struct {
	ID topology.InstanceID
	// CPUShare is the CPU share that the instance has, in cores. Instances with less
	// than half of the largest share are owners only when there are too few others.
	CPUShare float64
}

// Assignment is the assignment of all services to their owners and backup owners.
type Assignment struct {
	owners       map[topology.ServiceID][]topology.InstanceID
	backupOwners map[topology.ServiceID][]topology.InstanceID
}

// Assign assigns services to instances by rendezvous hashing (highest random weight).
// An instance owns at most its even share of the services, rounded up.
func Assign(services []topology.ServiceID, instances []Instance) Assignment {
	a := Assignment{
		owners:       make(map[topology.ServiceID][]topology.InstanceID, len(services)),
		backupOwners: make(map[topology.ServiceID][]topology.InstanceID, len(services)),
	}
	candidates := eligibleOwners(instances, min(PerService, len(instances)))
	if len(candidates) == 0 {
		return a
	}
	perService := min(PerService, len(candidates))
	maxServices := (len(services)*perService + len(candidates) - 1) / len(candidates)
	load := make(map[topology.InstanceID]int)
	sorted := slices.Sorted(slices.Values(services))
	for rank := range perService {
		for _, service := range sorted {
			if id, found := highestWeight(service, rank, candidates, a.owners[service], load, maxServices); found {
				a.owners[service] = append(a.owners[service], id)
				load[id]++
			}
		}
	}
	backupCount := smallFleetBackupOwners
	if len(instances) > smallFleetSize {
		backupCount = largeFleetBackupOwners
	}
	for _, service := range sorted {
		assigned := slices.Clone(a.owners[service])
		for rank := range backupCount {
			id, found := highestWeight(service, perService+rank, candidates, assigned, nil, 1)
			if !found {
				break
			}
			assigned = append(assigned, id)
			a.backupOwners[service] = append(a.backupOwners[service], id)
		}
	}
	return a
}

// Eligible reports whether an instance may own services besides the given ones, which may
// include it: as far as its CPU share is concerned, it can be an owner.
func Eligible(instance Instance, others []Instance) bool {
	all := append(slices.DeleteFunc(slices.Clone(others), func(i Instance) bool { return i.ID == instance.ID }), instance)
	return slices.ContainsFunc(eligibleOwners(all, min(PerService, len(all))), func(i Instance) bool { return i.ID == instance.ID })
}

// eligibleOwners leaves out the instances with a low CPU share, provided that at least
// minCount others remain.
func eligibleOwners(instances []Instance, minCount int) []Instance {
	best := 0.0
	for _, i := range instances {
		best = max(best, i.CPUShare)
	}
	eligible := slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return i.CPUShare < best/2 })
	if len(eligible) < minCount {
		return instances
	}
	return eligible
}

// highestWeight returns the candidate with the highest hash weight for a rank of a
// service, without those that are assigned to the service already or whose load has
// reached maxServices.
func highestWeight(service topology.ServiceID, rank int, candidates []Instance, assigned []topology.InstanceID, load map[topology.InstanceID]int, maxServices int) (topology.InstanceID, bool) {
	var chosen topology.InstanceID
	var weight uint64
	for _, c := range candidates {
		if load[c.ID] >= maxServices || slices.Contains(assigned, c.ID) {
			continue
		}
		w := xxhash.Sum64String(string(service) + "/" + strconv.Itoa(rank) + "/" + string(c.ID))
		if chosen == "" || w > weight {
			chosen, weight = c.ID, w
		}
	}
	return chosen, chosen != ""
}

// Owners returns the owners of a service, at most PerService.
func (a Assignment) Owners(service topology.ServiceID) []topology.InstanceID {
	return a.owners[service]
}

// BackupOwners returns the backup owners of a service in the order in which requests
// are to be forwarded to them.
func (a Assignment) BackupOwners(service topology.ServiceID) []topology.InstanceID {
	return a.backupOwners[service]
}

// MayConnect reports whether the instance is an owner or a backup owner of the service.
// Any other instance connects to its targets only for requests that it cannot forward.
func (a Assignment) MayConnect(id topology.InstanceID, service topology.ServiceID) bool {
	return slices.Contains(a.owners[service], id) || slices.Contains(a.backupOwners[service], id)
}

// OwnedServiceCount returns how many services the instance owns.
func (a Assignment) OwnedServiceCount(id topology.InstanceID) int {
	count := 0
	for _, owners := range a.owners {
		if slices.Contains(owners, id) {
			count++
		}
	}
	return count
}

// Customer is a customer with its request rate.
type Customer struct {
	ID   topology.CustomerID
	Rate float64
}

// SpreadCustomers distributes customers over the owners of a service so that the sums
// of their rates are about equal: each in turn, from the highest rate to the lowest,
// goes to the owner with the lowest sum. The result maps each customer to the index of
// its owner.
func SpreadCustomers(customers []Customer) map[topology.CustomerID]int {
	sorted := slices.Clone(customers)
	slices.SortFunc(sorted, func(a, b Customer) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.ID, b.ID))
	})
	var load [PerService]float64
	spread := make(map[topology.CustomerID]int, len(customers))
	for _, c := range sorted {
		lightest := 0
		for i := range load {
			if load[i] < load[lightest] {
				lightest = i
			}
		}
		spread[c.ID] = lightest
		load[lightest] += max(c.Rate, 1)
	}
	return spread
}
