package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
)

var (
	eventRegistered          = event.Define(1300, event.Info, "registered in the store")
	eventRegistrationExpired = event.Define(1301, event.Warning, "registration expired")
	eventSharesChanged       = event.Define(3100, event.Info, "connection limits or owned services of this instance changed")
)

// Intervals of the registration and of reports of demand.
const (
	// demandInterval is the interval between checks of the demand.
	demandInterval = 300 * time.Millisecond
	// constrainedDemandInterval is the interval between reports of demand that comes
	// close to this instance's shares of the rates. Loans cover changes in between.
	constrainedDemandInterval = 900 * time.Millisecond
	// relaxedDemandInterval is the interval between reports of other demand.
	relaxedDemandInterval = 1500 * time.Millisecond
)

// registration is the stored description of an instance. It exists as long as its lease.
type registration struct {
	FailureDomain topology.FailureDomain `json:"failure_domain"`
	// Incarnation distinguishes the processes of one instance.
	Incarnation int64 `json:"born"`
	// Address is where other instances connect to this one.
	Address string `json:"address"`
	// CPUShare is the CPU share that the instance has, in cores.
	CPUShare float64 `json:"processor"`
	// LeaseTTL is the TTL of the registration's lease, by which a later process of the
	// instance may go on renewing it.
	LeaseTTL time.Duration `json:"lease_ttl,omitempty"`
	// Leaving reports that the instance is shutting down and accepts no more requests
	// from others.
	Leaving bool `json:"leaving,omitempty"`
}

// usage lists the services whose primaries an instance may use. It is written before
// their first use, so that the failover leader waits for the instance's acknowledgement
// of a fence. It has a key of its own because forwarding instances, which watch the
// registrations, need not know it.
type usage []topology.ServiceID

// registerLoop registers this instance, renews the registration, and keeps the declared
// usage and the reported demand up to date.
func (d *Daemon) registerLoop(ctx context.Context) error {
	var attemptedAt time.Duration
	renewed := true
	for ctx.Err() == nil {
		role, now := d.role(), d.clock()
		current, unavailable := d.registrationLease(), d.store.unavailable()
		interval := upkeep.For(role).RenewInterval
		if unavailable || !renewed {
			interval = upkeep.For(role).RenewRetryInterval
		}
		switch {
		case !d.isMirrorLoaded():
		case current.id == 0, upkeep.NeedsNewLease(role, current.ttl) && !unavailable:
			attemptedAt = now
			renewed = d.register(ctx, role)
		case now >= attemptedAt+interval:
			attemptedAt = now
			renewed = d.renewRegistration(ctx, current)
		}
		if d.registrationLease().id == 0 {
			sleep(ctx, minRetryInterval)
			continue
		}
		d.declareUsage(ctx)
		d.sendDemand()
		select {
		case <-ctx.Done():
		case <-time.After(demandInterval):
		case <-d.usageWake:
		}
	}
	return nil
}

// declareUsage writes the usage if the services whose primaries the instance is to use
// have changed.
func (d *Daemon) declareUsage(ctx context.Context) {
	d.mu.Lock()
	services, declaredServices := d.usedServices, d.declaredServices
	d.mu.Unlock()
	if slices.Equal(services, declaredServices) {
		return
	}
	d.putUsage(ctx, d.registrationLease(), services)
}

// sendDemand sends this instance's demand to the other rate sharers if it is due or has
// changed significantly.
func (d *Daemon) sendDemand() {
	demand, constrained := d.engine.Demand()
	now := d.clock()
	interval := relaxedDemandInterval
	if constrained {
		interval = constrainedDemandInterval
	}
	if len(demand) == 0 && len(d.sentDemand) == 0 || now-d.demandSentAt < interval && !demandDiffers(demand, d.sentDemand) {
		return
	}
	d.demandSentAt, d.sentDemand = now, demand
	d.observeDemand(d.settings.Instance, demand)
	d.mu.Lock()
	receivers := d.rateSharers
	d.mu.Unlock()
	d.relay.SendDemand(receivers, demand)
}

// A change of a customer's demand is sent immediately if it exceeds
// significantDemandChange, relative to the larger demand, and negligibleDemand, in
// operations per second.
const (
	significantDemandChange = 0.4
	negligibleDemand        = 3
)

// demandDiffers reports whether two demands differ significantly for any customer. A
// customer that is missing from one has no demand there.
func demandDiffers(a, b share.Demands) bool {
	return anyDemandDiffers(a, b) || anyDemandDiffers(b, a)
}

// anyDemandDiffers reports whether the demand of a customer in a differs significantly
// from that in b.
func anyDemandDiffers(a, b share.Demands) bool {
	for id, customerDemand := range a {
		if change := math.Abs(customerDemand - b[id]); change > negligibleDemand && change > significantDemandChange*max(customerDemand, b[id]) {
			return true
		}
	}
	return false
}

// observeDemand records the demand at an instance, this one or a peer.
func (d *Daemon) observeDemand(from topology.InstanceID, demand share.Demands) {
	d.mu.Lock()
	d.demands[from] = demand
	d.mu.Unlock()
	notify(d.sharesWake)
}

// isMirrorLoaded reports whether the store's content has been listed. Before that, the
// instance cannot serve and does not register.
func (d *Daemon) isMirrorLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mirrorLoaded
}

// register obtains a lease for the role and writes the registration and the usage under
// it, in place of an earlier lease. It reports whether the instance is registered.
func (d *Daemon) register(ctx context.Context, role upkeep.Role) bool {
	if role == upkeep.Forwarding && d.adoptRegistration(ctx) {
		return true
	}
	requestedAt := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ttl := max(upkeep.LeaseTTL(role, d.fleetStarting()), d.settings.MinLeaseTTL)
	id, err := d.store.Grant(store.WithPurpose(callCtx, purposeRegister), ttl)
	if err != nil {
		d.storeFailed("grant lease", err)
		return false
	}
	lease := leaseGrant{id: id, ttl: ttl}
	if !d.putRegistration(ctx, lease, d.declaredUsage()) {
		return false
	}
	replaced := d.setLease(lease)
	d.authority.ObserveRenewal(requestedAt, ttl)
	if replaced {
		d.suspicions.registrationExpired() // they expire with the earlier lease
	}
	eventRegistered.Log(d.log, "lease", id, "ttl_ms", ttl.Milliseconds(), "role", role.String())
	d.wakeFailover()
	return true
}

// fleetStarting reports whether no primary has been recorded yet. Then the other instances
// are only just registering as well.
func (d *Daemon) fleetStarting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	starting := true
	d.mirror.ForEach(prefixRecords, func(store.Entry) { starting = false })
	return starting
}

// adoptRegistration goes on renewing the lease of the registration of an earlier process of
// this instance, if that registration is still correct and there is no usage of that
// process. It reports whether the instance is registered. After the restart of a whole
// fleet it saves two writes for each forwarding instance, and their events.
func (d *Daemon) adoptRegistration(ctx context.Context) bool {
	key := instanceKey(d.settings.Instance)
	d.mu.Lock()
	entry, lease := d.mirror.Get(key), d.lease
	known := entry.Revision != 0 && entry.Revision == d.ownRevisions[key] && d.ownRevisions[usageKey(d.settings.Instance)] == 0
	d.mu.Unlock()
	var r registration
	if !known || lease.id != 0 || entry.Lease == 0 || json.Unmarshal(entry.Value, &r) != nil {
		return false
	}
	r.Incarnation = d.incarnation
	if r != d.registration(r.LeaseTTL) || r.LeaseTTL != upkeep.For(upkeep.Forwarding).RegistrationTTL {
		return false
	}
	if !d.renewRegistration(ctx, leaseGrant{id: entry.Lease, ttl: r.LeaseTTL}) {
		return false
	}
	d.setLease(leaseGrant{id: entry.Lease, ttl: r.LeaseTTL})
	eventRegistered.Log(d.log, "lease", entry.Lease, "ttl_ms", r.LeaseTTL.Milliseconds(), "role", upkeep.Forwarding.String(), "adopted", true)
	return true
}

// registration returns this instance's description for a lease with the given TTL.
func (d *Daemon) registration(ttl time.Duration) registration {
	return registration{FailureDomain: d.settings.FailureDomain, Incarnation: d.incarnation,
		Address: d.settings.PeerAddress, CPUShare: d.settings.CPUShare, LeaseTTL: ttl, Leaving: d.stopping.Load()}
}

// leaseGrant is the lease of the registration, with the TTL that was requested. The ID is
// zero while the instance is not registered.
type leaseGrant struct {
	id  store.LeaseID
	ttl time.Duration
}

func (d *Daemon) registrationLease() leaseGrant {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease
}

// setLease records the lease of the registration, and reports whether it replaces
// another one.
func (d *Daemon) setLease(lease leaseGrant) (replaced bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	replaced = d.lease.id != 0
	d.lease = lease
	return replaced
}

// putRegistration writes the registration under a lease, together with the usage. An
// empty usage is written only to replace one that is stored, such as that of an earlier
// process: forwarding instances need no key for it.
func (d *Daemon) putRegistration(ctx context.Context, lease leaseGrant, services []topology.ServiceID) bool {
	value, err := json.Marshal(d.registration(lease.ttl))
	if err != nil {
		eventConfigUnreadable.LogError(d.log, err, "key", instanceKey(d.settings.Instance))
		return false
	}
	return d.putOwnKeys(ctx, purposeRegister, lease, services, map[string][]byte{instanceKey(d.settings.Instance): value})
}

// putUsage writes the usage under the registration's lease.
func (d *Daemon) putUsage(ctx context.Context, lease leaseGrant, services []topology.ServiceID) bool {
	return d.putOwnKeys(ctx, purposeUsage, lease, services, nil)
}

// putOwnKeys writes the usage and other keys of this instance under a lease. Once the
// usage is written, it counts as declared.
func (d *Daemon) putOwnKeys(ctx context.Context, purpose store.Purpose, lease leaseGrant, services []topology.ServiceID, values map[string][]byte) bool {
	encodedUsage, err := json.Marshal(usage(services))
	if err != nil {
		eventConfigUnreadable.LogError(d.log, err, "key", usageKey(d.settings.Instance))
		return false
	}
	var puts []store.Put
	for key, value := range values {
		puts = append(puts, store.Put{Key: key, Value: value, Lease: lease.id})
	}
	usagePut := store.Put{Key: usageKey(d.settings.Instance), Value: encodedUsage, Lease: lease.id}
	ctx = store.WithPurpose(ctx, purpose)
	for range maxOwnKeyAttempts {
		if err = d.replaceOwnKeys(ctx, puts, usagePut, len(services) > 0); !errors.Is(err, store.ErrConflict) {
			break
		}
	}
	if errors.Is(err, store.ErrLeaseExpired) {
		d.registrationExpired()
	}
	if err != nil {
		d.storeFailed("put registration", err)
		return false
	}
	d.setDeclaredServices(services)
	return true
}

// maxOwnKeyAttempts bounds the attempts to replace this instance's keys. One attempt may
// conflict with the keys of an earlier process, and another with a delayed write of that
// process or of this one.
const maxOwnKeyAttempts = 3

// replaceOwnKeys writes keys of this instance and its usage, provided that each is still
// at the last known revision. A usage that is neither stored nor needed is left out of the
// write, not out of the condition. A write whose response was lost may take effect seconds
// later. Without the condition it could replace a later usage, and a fence would not wait
// for this instance while it uses the primary; or attach the registration to a lease that
// is not renewed.
func (d *Daemon) replaceOwnKeys(ctx context.Context, puts []store.Put, usagePut store.Put, usageNeeded bool) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	transaction := store.Transaction{Puts: slices.Clone(puts)}
	d.mu.Lock()
	if usageNeeded || len(puts) == 0 || d.ownRevisions[usagePut.Key] != 0 {
		transaction.Puts = append(transaction.Puts, usagePut)
	}
	for _, put := range append(slices.Clone(puts), usagePut) {
		transaction.Expect = append(transaction.Expect, store.Expectation{Key: put.Key, Revision: d.ownRevisions[put.Key]})
	}
	d.mu.Unlock()
	revision, err := d.store.Transact(callCtx, transaction)
	var conflict *store.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if conflict == nil {
		for _, put := range transaction.Puts {
			d.ownRevisions[put.Key] = revision
		}
		return nil
	}
	for _, expectation := range transaction.Expect {
		d.ownRevisions[expectation.Key] = 0
	}
	for _, current := range conflict.Current {
		if _, own := d.ownRevisions[current.Key]; own {
			d.ownRevisions[current.Key] = current.Revision
		}
	}
	return err
}

// renewRegistration renews the registration's lease and reports whether it did.
func (d *Daemon) renewRegistration(ctx context.Context, lease leaseGrant) bool {
	requestedAt := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := d.store.KeepAlive(store.WithPurpose(callCtx, purposeRegister), lease.id)
	switch {
	case err == nil:
		d.authority.ObserveRenewal(requestedAt, lease.ttl)
		d.storeResponded()
	case errors.Is(err, store.ErrLeaseExpired):
		d.registrationExpired()
	default:
		d.storeFailed("renew lease", err)
	}
	return err == nil
}

// registrationExpired handles the expiry of the registration's lease.
func (d *Daemon) registrationExpired() {
	d.setLease(leaseGrant{})
	d.mu.Lock()
	clear(d.ownRevisions) // the keys have expired as well
	d.mu.Unlock()
	d.authority.ObserveExpiry()
	d.suspicions.registrationExpired()
	eventRegistrationExpired.Log(d.log)
}

// setDeclaredServices records the services that the written usage names. Fences of newly
// declared services are acknowledged immediately, since a fence requires the
// acknowledgement of every instance that declared the use of the primary.
func (d *Daemon) setDeclaredServices(services []topology.ServiceID) {
	fenced := make(map[topology.ServiceID]failover.Record)
	d.mu.Lock()
	for _, service := range services {
		if record := d.records[service]; record.Fenced && !slices.Contains(d.declaredServices, service) {
			fenced[service] = record.Record
		}
	}
	d.declaredServices = services
	d.mu.Unlock()
	d.wakeConfirm() // the authority to use primaries needs more frequent confirmations
	for service, record := range fenced {
		go d.acknowledgeFence(service, record)
	}
	notify(d.sharesWake)
}

// announceLeaving marks the registration as leaving, so that other instances forward no
// more requests to this one.
func (d *Daemon) announceLeaving() {
	d.mu.Lock()
	lease, declaredServices := d.lease, d.declaredServices
	d.mu.Unlock()
	if lease.id != 0 {
		d.putRegistration(d.ctx, lease, declaredServices)
	}
}
