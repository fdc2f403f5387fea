package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/home"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/relay"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// shareInterval is the least time between divisions.
const shareInterval = 100 * time.Millisecond

// shareLoop divides work and limits anew when something that decides the division
// has changed, in intervals, since instances come and go in groups.
func (d *Daemon) shareLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.sharesWake:
		}
		d.applyShares()
		if !pause(ctx, shareInterval) {
			return nil
		}
	}
}

// applyShares divides work and limits among the registered instances.
func (d *Daemon) applyShares() {
	c := d.engine.Catalog()
	if c == nil {
		return
	}
	registered := d.registrations()
	peers := make([]platform.Instance, 0, len(registered))
	able := make([]home.Instance, 0, len(registered))
	for id, r := range registered {
		peers = append(peers, platform.Instance{ID: id, Peer: r.Address, FailureDomain: r.FailureDomain, State: platform.InstanceLive})
		if !r.Leaving {
			able = append(able, home.Instance{ID: id, Processor: r.Processor})
		}
	}
	services := d.engine.Services()
	homes := home.Assign(services, able)
	uses, sharers := d.roles(services, homes)
	d.mesh.SetPeers(peers)
	d.relay.Place(homes, spread(c), d.cutOff())
	connections := make(map[topology.ServiceID]int, len(c.Services))
	for id, service := range c.Services {
		connections[id] = homes.ConnectionLimit(d.settings.Instance, id, service.MaxConnections)
	}
	d.engine.SetUses(d.declaredUses())
	d.engine.SetShares(connections, d.rateShares(c, homes, sharers))
	if len(uses) > 0 {
		for _, id := range sharers {
			d.mesh.Want(id)
		}
	}
	d.logChange(eventShares, "shares", "instances", len(registered), "connections", connections, "home_of", homes.OwnedServiceCount(d.settings.Instance))
}

// roles notes the services that this instance may use and the instances with which
// it divides the customers' rates.
func (d *Daemon) roles(services []topology.ServiceID, homes home.Assignment) (uses []topology.ServiceID, sharers []topology.InstanceID) {
	counts := make(map[topology.ServiceID]int, len(services))
	for _, id := range slices.Sorted(slices.Values(services)) {
		counts[id] = len(homes.Homes(id))
		if homes.Uses(d.settings.Instance, id) {
			uses = append(uses, id)
		}
		for _, holder := range homes.Homes(id) {
			if !slices.Contains(sharers, holder) {
				sharers = append(sharers, holder)
			}
		}
	}
	slices.Sort(sharers)
	d.mu.Lock()
	// A service that the instance has used stays declared: statements may still
	// be in flight on its primary.
	all := slices.Concat(uses, d.declared)
	slices.Sort(all)
	first := len(d.uses) == 0 && len(all) > 0
	d.homeCount, d.uses, d.sharers = counts, slices.Compact(all), sharers
	changed := !slices.Equal(d.uses, d.declared)
	d.mu.Unlock()
	if first {
		notify(d.roleWake)
	}
	if changed {
		notify(d.usesWake)
	}
	return uses, sharers
}

// declaredUses returns the services whose primaries this instance has declared to
// use.
func (d *Daemon) declaredUses() []topology.ServiceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.declared
}

// cutOff lists the instances that cannot reach the primary of a service, as far as
// this instance follows that: to one that only relays, homes say it themselves.
func (d *Daemon) cutOff() map[relay.Pair]bool {
	cut := make(map[relay.Pair]bool)
	if d.relaysOnly() {
		return cut
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mirror.ForEach(prefixSuspects, func(entry store.Entry) {
		service, instance := cutOwner(prefixSuspects, entry.Key)
		if string(entry.Value) == string(d.records[service].Primary) {
			cut[relay.Pair{Service: service, Instance: instance}] = true
		}
	})
	return cut
}

// registrations reads what the instances say of themselves.
func (d *Daemon) registrations() map[topology.InstanceID]registration {
	registered := make(map[topology.InstanceID]registration)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mirror.ForEach(prefixInstances, func(entry store.Entry) {
		var r registration
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			eventTargetBroken.LogError(d.log, err, "key", entry.Key)
			return
		}
		registered[topology.InstanceID(strings.TrimPrefix(entry.Key, prefixInstances))] = r
	})
	return registered
}

// spread divides the customers between the homes of each service.
func spread(c *catalog.Catalog) map[topology.CustomerID]int {
	customers := make([]home.Customer, 0, len(c.Customers))
	for id, customer := range c.Customers {
		customers = append(customers, home.Customer{ID: id, Rate: customer.Rate})
	}
	return home.SpreadCustomers(customers)
}

// rateShares returns this instance's part of each customer's rate.
func (d *Daemon) rateShares(c *catalog.Catalog, homes home.Assignment, sharers []topology.InstanceID) map[topology.CustomerID]float64 {
	fractions := make(map[topology.CustomerID]float64, len(c.Customers))
	if !slices.Contains(sharers, d.settings.Instance) {
		return fractions
	}
	division := rateDivision{catalog: c, homes: homes, sharers: sharers, spread: spread(c)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.division = division
	for id := range c.Customers {
		fractions[id] = division.claim(id, d.settings.Instance, d.needs).Fraction()
	}
	return fractions
}

// rateDivision is what the division of customers' rates follows from.
type rateDivision struct {
	catalog *catalog.Catalog
	homes   home.Assignment
	sharers []topology.InstanceID
	// spread is the index of each customer's home.
	spread map[topology.CustomerID]int
}

// claim returns what an instance's part of a customer's limit follows from.
func (v rateDivision) claim(id topology.CustomerID, at topology.InstanceID, needs map[topology.InstanceID]share.Needs) share.Claim {
	claim := share.Claim{Need: needs[at][id], Rate: v.catalog.Customers[id].Rate, Services: len(v.catalog.Services), Instances: len(v.sharers)}
	for _, sharer := range v.sharers {
		claim.Total += needs[sharer][id]
	}
	for service := range v.catalog.Services {
		if homes := v.homes.Homes(service); len(homes) > 0 && homes[v.spread[id]%len(homes)] == at {
			claim.Roles++
		}
	}
	return claim
}

// lenders returns the other instances with what their parts of a customer's limit
// leave, as far as is known here.
func (v rateDivision) lenders(id topology.CustomerID, self topology.InstanceID, needs map[topology.InstanceID]share.Needs) []share.Lender {
	lenders := make([]share.Lender, 0, len(v.sharers))
	for _, sharer := range v.sharers {
		if sharer != self {
			claim := v.claim(id, sharer, needs)
			lenders = append(lenders, share.Lender{Instance: sharer, Spare: claim.Fraction()*claim.Rate - claim.Need})
		}
	}
	return lenders
}

// borrow asks other instances to admit an operation of a customer whose part here is
// used up.
func (d *Daemon) borrow(id topology.CustomerID) bool {
	now := d.clock()
	d.mu.Lock()
	if d.division.catalog == nil || !d.borrowing.May(now, id) {
		d.mu.Unlock()
		return false
	}
	candidates := d.division.lenders(id, d.settings.Instance, d.needs)
	d.mu.Unlock()
	if d.relay.Borrow(share.Lenders(candidates, rand.Float64()), id) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.borrowing.Refused(now, id)
	return false
}
