package edge

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/tenure"
	"samphirehitch.example/samphirehitch/process/topology"
)

var (
	eventRegistered = event.Define(1300, event.Info, "registered in the store")
	eventLapsed     = event.Define(1301, event.Warning, "registration has lapsed")
	eventShares     = event.Define(3100, event.Info, "parts of the fleet's limits changed")
)

// Times of the registration.
const (
	// renewInterval leaves three tries before the right ends.
	renewInterval = 900 * time.Millisecond
	// publishInterval is the least time between publications of needs, which
	// wake every instance.
	publishInterval = 1200 * time.Millisecond
	// publishChange is the relative change of a need that is worth publishing.
	publishChange = 0.3
	// negligibleNeed is a change in operations a second, or connections, that is
	// not worth publishing.
	negligibleNeed = 1.5
)

// registration is what an instance says of itself in the store.
type registration struct {
	FailureDomain topology.FailureDomain `json:"failure_domain"`
	// Born tells processes of one instance apart.
	Born  int64       `json:"born"`
	Needs share.Needs `json:"needs"`
}

// register keeps the registration alive and publishes needs.
func (d *Daemon) register(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.lease == 0 {
			d.enroll(ctx)
		} else {
			d.renew(ctx)
		}
		if d.lease == 0 {
			pause(ctx, retryPause)
			continue
		}
		d.publishNeeds(ctx)
		pause(ctx, renewInterval)
	}
	return nil
}

// enroll grants a lease and writes the registration under it.
func (d *Daemon) enroll(ctx context.Context) {
	asked := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := d.store.Grant(callCtx, max(tenure.LeaseTerm, d.settings.LeastLease))
	if err != nil {
		d.storeFailed("grant lease", err)
		return
	}
	if !d.putRegistration(ctx, lease, share.Needs{}) {
		return
	}
	d.setLease(lease)
	d.tenure.Renewed(asked)
	eventRegistered.Log(d.log, "lease", lease)
	d.wakeLead()
}

func (d *Daemon) setLease(lease store.LeaseID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease = lease
}

func (d *Daemon) putRegistration(ctx context.Context, lease store.LeaseID, needs share.Needs) bool {
	value, err := json.Marshal(registration{FailureDomain: d.settings.FailureDomain, Born: d.born, Needs: needs})
	if err != nil {
		eventConfigBroken.LogError(d.log, err, "key", instanceKey(d.settings.Instance))
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = d.store.Transact(callCtx, store.Transaction{Puts: []store.Put{{Key: instanceKey(d.settings.Instance), Value: value, Lease: lease}}})
	if errors.Is(err, store.ErrLeaseExpired) {
		d.lapsed()
	}
	if err != nil {
		d.storeFailed("put registration", err)
		return false
	}
	d.published, d.publishedAt = needs, d.clock()
	return true
}

// renew keeps the lease.
func (d *Daemon) renew(ctx context.Context) {
	asked := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.store.KeepAlive(callCtx, d.lease)
	switch {
	case err == nil:
		d.tenure.Renewed(asked)
		d.storeAnswered()
	case errors.Is(err, store.ErrLeaseExpired):
		d.lapsed()
	default:
		d.storeFailed("renew lease", err)
	}
}

func (d *Daemon) lapsed() {
	d.setLease(0)
	d.tenure.Lapsed()
	eventLapsed.Log(d.log)
}

// publishNeeds publishes what this instance needs when its parts press and the
// needs have changed.
func (d *Daemon) publishNeeds(ctx context.Context) {
	needs, pressed := d.engine.Needs()
	if !pressed || d.clock()-d.publishedAt < publishInterval || !differ(needs, d.published) {
		return
	}
	d.putRegistration(ctx, d.lease, needs)
}

func differ(a, b share.Needs) bool {
	return differInMap(a.Customers, b.Customers) || differInMap(a.Services, b.Services)
}

func differInMap[K comparable](a, b map[K]float64) bool {
	keys := make(map[K]bool)
	for key := range maps.Keys(a) {
		keys[key] = true
	}
	for key := range maps.Keys(b) {
		keys[key] = true
	}
	for key := range keys {
		change := math.Abs(a[key] - b[key])
		if change > negligibleNeed && change > publishChange*max(a[key], b[key]) {
			return true
		}
	}
	return false
}

// applyShares divides the limits among the registered instances.
func (d *Daemon) applyShares() {
	c := d.engine.Catalog()
	if c == nil {
		return
	}
	needs := make(map[topology.InstanceID]share.Needs)
	d.mu.Lock()
	d.mirror.Each(prefixInstances, func(entry store.Entry) {
		var r registration
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			eventTargetBroken.LogError(d.log, err, "key", entry.Key)
			return
		}
		needs[topology.InstanceID(strings.TrimPrefix(entry.Key, prefixInstances))] = r.Needs
	})
	d.instances = len(needs)
	d.mu.Unlock()
	connections := make(map[topology.ServiceID]int, len(c.Services))
	for id, service := range c.Services {
		byInstance := make(map[topology.InstanceID]float64, len(needs))
		for instance, n := range needs {
			byInstance[instance] = n.Services[id]
		}
		connections[id] = share.Connections(d.settings.Instance, service.MaxConnections-reservedConnections, byInstance)
	}
	fractions := make(map[topology.CustomerID]float64, len(c.Customers))
	for id := range c.Customers {
		byInstance := make(map[topology.InstanceID]float64, len(needs))
		for instance, n := range needs {
			byInstance[instance] = n.Customers[id]
		}
		fractions[id] = share.Fraction(d.settings.Instance, byInstance)
	}
	d.engine.SetShares(connections, fractions)
	eventShares.Log(d.log, "instances", len(needs), "connections", connections)
}

// reservedConnections are kept of each target's connections for status requests.
const reservedConnections = 1
