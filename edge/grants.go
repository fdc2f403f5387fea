package edge

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/topology"
)

// setGrantPeers has the account of grants follow the rate sharers, and forgets the demands of
// those that are not in touch: nothing can be granted to them. The caller holds d.mu.
func (d *Daemon) setGrantPeers(sharers []topology.InstanceID, registered map[topology.InstanceID]registration) {
	incarnations := make(map[topology.InstanceID]int64, len(sharers))
	for _, id := range sharers {
		if id != d.settings.Instance {
			incarnations[id] = registered[id].Incarnation
		}
	}
	d.grants.SetPeers(incarnations)
	for id := range d.demands {
		if id != d.settings.Instance && !d.grants.InTouch(d.clock(), id) {
			delete(d.demands, id)
		}
	}
}

// heldFraction returns the fraction of a customer's rate that this instance may use: its own
// without what it has granted, and what it has been granted. The caller holds d.mu.
func (d *Daemon) heldFraction(now time.Duration, id topology.CustomerID) float64 {
	held := max(0, d.division.base(id, d.settings.Instance)-d.grants.Granted(now, id))
	for _, sharer := range d.division.sharers {
		if granted := d.grants.Held(now, sharer, id); granted > 0 {
			held += min(granted, d.division.base(id, sharer))
		}
	}
	return held
}

// sharesOutdated reports whether grants have ended, or this instance has lost or regained a valid
// registration, since the shares were computed.
func (d *Daemon) sharesOutdated(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.grants.EndedBetween(d.sharesAt, now) || d.sharesRegistered != d.authority.RegistrationValid(now)
}

// base returns the fraction of a customer's rate that an instance holds without a grant.
func (d rateDivision) base(id topology.CustomerID, at topology.InstanceID) float64 {
	return d.allocation(id, at, nil).Base()
}

// give grants rate sharers what they need of this instance's own shares more than it does.
func (d *Daemon) give(now time.Duration, receivers []topology.InstanceID) map[topology.InstanceID]*share.Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	grants := make(map[topology.InstanceID]*share.Grant)
	if d.division.catalog == nil || !slices.Contains(d.division.sharers, d.settings.Instance) {
		return grants
	}
	base := make(map[topology.CustomerID]float64)
	wanted := make(map[topology.InstanceID]map[topology.CustomerID]float64)
	for id := range d.demandedCustomers() {
		base[id] = d.division.base(id, d.settings.Instance)
		for to, fraction := range d.division.surplus(id, d.settings.Instance, d.demands) {
			if wanted[to] == nil {
				wanted[to] = make(map[topology.CustomerID]float64)
			}
			wanted[to][id] = fraction
		}
	}
	for _, to := range receivers {
		if to != d.settings.Instance {
			grants[to] = d.grants.Give(now, to, wanted[to], base)
		}
	}
	return grants
}

// demandedCustomers returns the customers with a known demand. The caller holds d.mu.
func (d *Daemon) demandedCustomers() map[topology.CustomerID]bool {
	customers := make(map[topology.CustomerID]bool)
	for _, demands := range d.demands {
		for id := range demands {
			customers[id] = true
		}
	}
	return customers
}

// surplus divides what an instance holds of a customer's rate above its allocation among the
// others in proportion to what they lack.
func (d rateDivision) surplus(id topology.CustomerID, self topology.InstanceID, demands map[topology.InstanceID]share.Demands) map[topology.InstanceID]float64 {
	total, spare := 0.0, 0.0
	lacking := make(map[topology.InstanceID]float64)
	allocation, owned := d.allocation(id, self, demands), d.ownedServices(id)
	for _, sharer := range d.sharers {
		allocation.Demand, allocation.OwnedServices = demands[sharer][id], owned[sharer]
		switch lack := allocation.Fraction() - allocation.Base(); {
		case sharer == self:
			spare = max(0, -lack)
		case lack > 0:
			lacking[sharer] = lack
			total += lack
		}
	}
	for sharer := range lacking {
		lacking[sharer] *= spare / total
	}
	return lacking
}
