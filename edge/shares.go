package edge

import (
	"encoding/json"
	"slices"
	"strings"

	"samphirehitch.example/samphirehitch/process/home"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/relay"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// Figures of the division of connections.
const (
	// reservedConnections are kept of each target's connections for status
	// requests.
	reservedConnections = 1
	// reserveShare bounds the part of a target's connections that is kept for
	// instances that are no homes of its service, one each, for when its homes
	// do not answer.
	reserveShare = 0.25
	// homeWeight is the share of a customer's rate that is expected at its homes
	// before demand is published.
	homeWeight = 0.5
)

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
	counts := make(map[topology.ServiceID]int, len(services))
	for _, id := range services {
		counts[id] = len(homes.Homes(id))
	}
	d.mu.Lock()
	d.homeCount = counts
	d.mu.Unlock()
	d.mesh.SetPeers(peers)
	d.relay.Place(homes, spread(c), d.cutOff())
	connections := make(map[topology.ServiceID]int, len(c.Services))
	for id, service := range c.Services {
		connections[id] = d.connectionShare(service, homes.Homes(id), len(registered))
	}
	d.engine.SetShares(connections, d.rateShares(c, homes, registered))
	d.logChange(eventShares, "shares", "instances", len(registered), "connections", connections, "home_of", homes.Count(d.settings.Instance))
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

// connectionShare returns how many connections this instance may hold to each
// target of a service: homes divide what is not kept for the others.
func (d *Daemon) connectionShare(service catalog.Service, homes []topology.InstanceID, instances int) int {
	if !slices.Contains(homes, d.settings.Instance) {
		return 1
	}
	reserve := min(instances-len(homes), int(float64(service.MaxConnections)*reserveShare))
	return max(1, (service.MaxConnections-reservedConnections-reserve)/len(homes))
}

// rateShares returns this instance's part of each customer's rate.
func (d *Daemon) rateShares(c *catalog.Catalog, homes home.Assignment, registered map[topology.InstanceID]registration) map[topology.CustomerID]float64 {
	customers := spread(c)
	fractions := make(map[topology.CustomerID]float64, len(c.Customers))
	for id, customer := range c.Customers {
		needs := make(map[topology.InstanceID]float64, len(registered))
		for instance, r := range registered {
			needs[instance] = r.Needs[id]
		}
		for service := range c.Services {
			if at := homes.Homes(service); len(at) > 0 {
				needs[at[customers[id]%len(at)]] += customer.Rate * homeWeight / float64(len(c.Services))
			}
		}
		fractions[id] = share.Fraction(d.settings.Instance, needs)
	}
	return fractions
}
