package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/owner"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
	"samphirehitch.example/samphirehitch/request/engine"
	"samphirehitch.example/samphirehitch/request/relay"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// shareInterval is the minimum interval between recomputations of the shares. Instances
// often start and stop in groups.
const shareInterval = 100 * time.Millisecond

// grantCheckInterval is the interval between checks whether grants have ended.
const grantCheckInterval = 300 * time.Millisecond

// shareLoop recomputes the owners of services and the shares of limits whenever
// something that they depend on has changed.
func (d *Daemon) shareLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.sharesWake:
		case <-time.After(grantCheckInterval):
			if !d.sharesOutdated(d.clock()) {
				continue
			}
		}
		d.applyShares()
		if !sleep(ctx, shareInterval) {
			return nil
		}
	}
}

// applyShares assigns the services to their owners, divides the limits among the
// registered instances, and applies this instance's part.
func (d *Daemon) applyShares() {
	config := d.engine.Catalog()
	if config == nil {
		return
	}
	registered := d.registrations()
	peers := make([]platform.Instance, 0, len(registered))
	for id, r := range registered {
		peers = append(peers, platform.Instance{ID: id, Peer: r.Address, FailureDomain: r.FailureDomain, State: platform.InstanceLive})
	}
	candidates := ownerCandidates(registered)
	services := d.engine.Services()
	owners := owner.Assign(services, candidates)
	d.recordEligibility(candidates)
	defer notify(d.followWake)
	used, sharers := d.updateRoles(services, owners)
	d.setFollowCandidates(sharers, registered)
	d.mesh.SetPeers(peers)
	d.relay.SetRouting(owners, spreadCustomers(config), d.unreachablePrimaries())
	connections := make(map[topology.ServiceID]int, len(config.Services))
	for id, service := range config.Services {
		connections[id] = owners.ConnectionLimit(d.settings.Instance, id, service.MaxConnections)
	}
	d.engine.SetDeclaredServices(d.declaredUsage())
	d.engine.SetShares(connections, d.rateShares(config, owners, sharers, registered))
	if len(used) > 0 {
		for _, id := range sharers {
			d.mesh.RequestLink(id)
		}
	}
	d.logIfChanged(eventSharesChanged, "shares", "instances", len(registered), "connections", connections, "home_of", owners.OwnedServiceCount(d.settings.Instance))
}

// ownerCandidates returns the registered instances that are not leaving.
func ownerCandidates(registered map[topology.InstanceID]registration) []owner.Instance {
	candidates := make([]owner.Instance, 0, len(registered))
	for id, r := range registered {
		if !r.Leaving {
			candidates = append(candidates, owner.Instance{ID: id, CPUShare: r.CPUShare})
		}
	}
	return candidates
}

// updateRoles records the services whose primaries this instance is to use, and the
// instances that share the customers' rates: all owners of any service.
func (d *Daemon) updateRoles(services []topology.ServiceID, owners owner.Assignment) (used []topology.ServiceID, sharers []topology.InstanceID) {
	ownerCounts := make(map[topology.ServiceID]int, len(services))
	for _, id := range slices.Sorted(slices.Values(services)) {
		ownerCounts[id] = len(owners.Owners(id))
		if owners.MayConnect(d.settings.Instance, id) {
			used = append(used, id)
		}
		for _, ownerID := range owners.Owners(id) {
			if !slices.Contains(sharers, ownerID) {
				sharers = append(sharers, ownerID)
			}
		}
	}
	slices.Sort(sharers)
	d.mu.Lock()
	// A service that the instance has used stays declared, since statements may still
	// be in flight on its primary.
	all := slices.Concat(used, d.declaredServices)
	slices.Sort(all)
	// A new sharer is granted nothing, and grants nothing, before it has a report.
	if slices.ContainsFunc(sharers, func(id topology.InstanceID) bool { return !slices.Contains(d.rateSharers, id) }) {
		d.reportDue.Store(true)
		defer notify(d.usageWake)
	}
	becomesUser := len(d.usedServices) == 0 && len(all) > 0
	d.ownerCounts, d.usedServices, d.rateSharers = ownerCounts, slices.Compact(all), sharers
	changed := !slices.Equal(d.usedServices, d.declaredServices)
	d.mu.Unlock()
	if becomesUser {
		notify(d.roleWake)
	}
	if changed {
		notify(d.usageWake)
	}
	return used, sharers
}

// recordEligibility records whether this instance may own services, given the candidates.
func (d *Daemon) recordEligibility(candidates []owner.Instance) {
	self := owner.Instance{ID: d.settings.Instance, CPUShare: d.settings.CPUShare}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forwardsAlways = !owner.Eligible(self, candidates)
}

// role returns the role by which this instance schedules its calls to the store.
func (d *Daemon) role() upkeep.Role {
	d.mu.Lock()
	defer d.mu.Unlock()
	return upkeep.RoleOf(len(d.usedServices) > 0, !d.forwardsAlways)
}

// declaredUsage returns the services of this instance's usage as written to the store.
func (d *Daemon) declaredUsage() []topology.ServiceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.declaredServices
}

// unreachablePrimaries returns the pairs of a service and an instance that cannot reach
// the service's primary. It returns none on a forwarding instance, which does not watch
// suspicions: there, the owners themselves report that they cannot serve.
func (d *Daemon) unreachablePrimaries() map[relay.ServiceOwner]bool {
	unreachable := make(map[relay.ServiceOwner]bool)
	if d.forwardsOnly() {
		return unreachable
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mirror.ForEach(prefixSuspicions, func(entry store.Entry) {
		service, instance := splitServiceKey(prefixSuspicions, entry.Key)
		if string(entry.Value) == string(d.records[service].Primary) {
			unreachable[relay.ServiceOwner{Service: service, Instance: instance}] = true
		}
	})
	return unreachable
}

// registrations returns the registrations of all instances.
func (d *Daemon) registrations() map[topology.InstanceID]registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.countedRegistrations()
}

// spreadCustomers distributes the customers over the owners of each service by their
// rates.
func spreadCustomers(config *catalog.Catalog) map[topology.CustomerID]int {
	customers := make([]owner.Customer, 0, len(config.Customers))
	for id, customer := range config.Customers {
		customers = append(customers, owner.Customer{ID: id, Rate: customer.Rate})
	}
	return owner.SpreadCustomers(customers)
}

// rateShares returns this instance's share of each customer's rate. Without a valid registration it
// has none, since the others may hold all of the limit. An instance without shares records the division, too, because it borrows every token: others may forward
// operations to it before it knows that it is an owner.
func (d *Daemon) rateShares(config *catalog.Catalog, owners owner.Assignment, sharers []topology.InstanceID, registered map[topology.InstanceID]registration) map[topology.CustomerID]engine.RateShare {
	shares := make(map[topology.CustomerID]engine.RateShare, len(config.Customers))
	division := rateDivision{catalog: config, owners: owners, sharers: sharers, ownerOffsets: spreadCustomers(config)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.division = division
	d.dropOldExcesses()
	d.setGrantPeers(sharers, registered)
	now := d.clock()
	d.sharesAt, d.sharesRegistered = now, d.authority.RegistrationValid(now)
	if !d.sharesRegistered || !slices.Contains(sharers, d.settings.Instance) {
		return shares
	}
	for id := range config.Customers {
		own := d.heldFraction(now, id)
		shares[id] = engine.RateShare{Fraction: own, Deduction: division.deduction(id, d.settings.Instance, own, d.demands, d.excesses)}
	}
	return shares
}

// rateDivision is the input, besides demand, from which the rate sharers compute their
// shares of the customers' rates. All instances compute the same shares from the same
// input.
type rateDivision struct {
	catalog *catalog.Catalog
	owners  owner.Assignment
	sharers []topology.InstanceID
	// ownerOffsets holds the index of each customer's owner in the list of a service's
	// owners, modulo its length.
	ownerOffsets map[topology.CustomerID]int
}

// allocation returns the input that determines an instance's share of a customer's rate.
func (d rateDivision) allocation(id topology.CustomerID, at topology.InstanceID, demands map[topology.InstanceID]share.Demands) share.Allocation {
	return share.Allocation{Demand: demands[at][id], TotalDemand: d.totalDemand(id, demands), Rate: d.catalog.Customers[id].Rate,
		OwnedServices: d.ownedServices(id)[at], Services: len(d.catalog.Services), Instances: len(d.sharers)}
}

// totalDemand returns the demand for a customer's rate at all sharers.
func (d rateDivision) totalDemand(id topology.CustomerID, demands map[topology.InstanceID]share.Demands) float64 {
	total := 0.0
	for _, sharer := range d.sharers {
		total += demands[sharer][id]
	}
	return total
}

// ownedServices returns for how many services each instance is the customer's owner.
func (d rateDivision) ownedServices(id topology.CustomerID) map[topology.InstanceID]int {
	owned := make(map[topology.InstanceID]int, len(d.sharers))
	for service := range d.catalog.Services {
		if owners := d.owners.Owners(service); len(owners) > 0 {
			owned[owners[d.ownerOffsets[id]%len(owners)]]++
		}
	}
	return owned
}

// deduction returns by how much the others' excesses reduce the share of an instance with the
// fraction own. An instance that has ceased to share the rate has no fraction, but what it
// has admitted counts as long as it is in the window.
func (d rateDivision) deduction(id topology.CustomerID, self topology.InstanceID, own float64, demands map[topology.InstanceID]share.Demands, excesses map[topology.InstanceID]reportedExcess) float64 {
	sum := 0.0
	for _, other := range slices.Sorted(maps.Keys(excesses)) {
		excess := excesses[other].byCustomer[id]
		if excess <= 0 || other == self {
			continue
		}
		fraction := 0.0
		if slices.Contains(d.sharers, other) {
			fraction = d.allocation(id, other, demands).Fraction()
		}
		sum += share.Deduction(excess, own, fraction)
	}
	return sum
}

// reportedExcess holds, by customer, the operations that an instance has admitted in excess of
// its shares, as reported at a time.
type reportedExcess struct {
	at         time.Duration
	byCustomer map[topology.CustomerID]float64
}

// dropOldExcesses forgets the excesses of instances that have not reported for a window: the
// operations have left it. The caller holds d.mu.
func (d *Daemon) dropOldExcesses() {
	now := d.clock()
	maps.DeleteFunc(d.excesses, func(_ topology.InstanceID, e reportedExcess) bool { return now-e.at > d.settings.RateWindow })
}

// lenders returns the other rate sharers with the part of their shares of a customer's
// rate that they do not need, according to the last known demands.
func (d rateDivision) lenders(id topology.CustomerID, self topology.InstanceID, demands map[topology.InstanceID]share.Demands) []share.Lender {
	lenders := make([]share.Lender, 0, len(d.sharers))
	for _, sharer := range d.sharers {
		if sharer != self {
			allocation := d.allocation(id, sharer, demands)
			lenders = append(lenders, share.Lender{Instance: sharer, SpareRate: allocation.Fraction()*allocation.Rate - allocation.Demand})
		}
	}
	return lenders
}

// borrow requests a token for an operation from another instance's share of a customer's
// rate, after this instance's share is used up. It reports whether one was granted.
func (d *Daemon) borrow(id topology.CustomerID) bool {
	now := d.clock()
	candidates := d.lenders(now, id)
	if len(candidates) == 0 {
		return false // costs no message, so the next operation may try again
	}
	if d.relay.BorrowToken(share.ChooseLenders(candidates, d.draw()), id) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.borrowing.RecordRefusal(now, id)
	return false
}

// lenders returns the instances from which a token of a customer's rate may be requested
// now: none after a refusal, and none without a link. Missing links are opened.
func (d *Daemon) lenders(now time.Duration, id topology.CustomerID) []share.Lender {
	d.mu.Lock()
	if d.division.catalog == nil || !d.borrowing.Allowed(now, id) {
		d.mu.Unlock()
		return nil
	}
	lenders := d.division.lenders(id, d.settings.Instance, d.demands)
	d.mu.Unlock()
	return slices.DeleteFunc(lenders, func(l share.Lender) bool {
		d.relay.Link.RequestLink(l.Instance)
		return !d.relay.Link.Reachable(l.Instance)
	})
}
