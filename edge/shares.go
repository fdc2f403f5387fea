package edge

import (
	"context"
	"encoding/json"
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
		connections[id] = homes.Connections(d.settings.Instance, id, service.MaxConnections)
	}
	d.engine.SetUses(d.declaredUses())
	d.engine.SetShares(connections, d.rateShares(c, homes, sharers))
	if len(uses) > 0 {
		for _, id := range sharers {
			d.mesh.Want(id)
		}
	}
	d.logChange(eventShares, "shares", "instances", len(registered), "connections", connections, "home_of", homes.Count(d.settings.Instance))
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

// cutOff lists the instances that cannot reach the primary of a service.
func (d *Daemon) cutOff() map[relay.Pair]bool {
	cut := make(map[relay.Pair]bool)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mirror.Each(prefixSuspects, func(entry store.Entry) {
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
	d.mirror.Each(prefixInstances, func(entry store.Entry) {
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
	return home.Spread(customers)
}

// rateShares returns this instance's part of each customer's rate.
func (d *Daemon) rateShares(c *catalog.Catalog, homes home.Assignment, sharers []topology.InstanceID) map[topology.CustomerID]float64 {
	customers := spread(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	totals := make(map[topology.CustomerID]float64, len(c.Customers))
	for _, id := range sharers {
		for customer, need := range d.needs[id] {
			totals[customer] += need
		}
	}
	mine := d.needs[d.settings.Instance]
	sharing := slices.Contains(sharers, d.settings.Instance)
	fractions := make(map[topology.CustomerID]float64, len(c.Customers))
	if !sharing {
		return fractions
	}
	for id, customer := range c.Customers {
		claim := share.Claim{Need: mine[id], Total: totals[id], Rate: customer.Rate, Services: len(c.Services), Instances: len(sharers)}
		for service := range c.Services {
			if at := homes.Homes(service); len(at) > 0 && at[customers[id]%len(at)] == d.settings.Instance {
				claim.Roles++
			}
		}
		fractions[id] = claim.Fraction()
	}
	return fractions
}
