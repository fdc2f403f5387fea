package edge

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
)

var (
	eventRegistered          = event.Define(1300, event.Info, "registered in the store")
	eventRegistrationExpired = event.Define(1301, event.Warning, "registration expired")
	eventUsageDeclared       = event.Define(1302, event.Info, "declared the use of services' primaries")
	eventSharesChanged       = event.Define(3100, event.Info, "connection limits or owned services of this instance changed")
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
	// instance may go on renewing it. It is in nanoseconds.
	LeaseTTL time.Duration `json:"lease_ttl_ns,omitempty"`
	// Leaving reports that the instance is shutting down and accepts no more requests
	// from others.
	Leaving bool `json:"leaving,omitempty"`
}

// usage lists the services whose primaries an instance may use. It is written before
// their first use, so that the failover leader waits for the instance's acknowledgement
// of a fence. It has a key of its own because forwarding instances, which follow the
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
		case current.id == 0, upkeep.NeedsNewLease(role, current.ttl) && !unavailable, d.isRegistrationInDoubt(current) && !unavailable:
			attemptedAt = now
			renewed = d.register(ctx, role)
		case now >= attemptedAt+interval, d.renewalRequested.Swap(false):
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
// have changed. It writes none under an adopted lease, which a delayed call of the earlier process
// may end while this instance has authority, nor under one that is longer than a user's and that
// the next process may adopt together with a delayed usage. A user gets another lease first.
func (d *Daemon) declareUsage(ctx context.Context) {
	if _, _, changed := d.usageToDeclare(); !changed {
		return
	}
	unlock, ok := d.lockOwnKeys(ctx)
	if !ok {
		return
	}
	defer unlock()
	if services, lease, changed := d.usageToDeclare(); changed {
		d.putUsage(ctx, lease, services)
	}
}

// usageToDeclare returns the services whose primaries the instance is to use, the lease of
// the registration, and whether the declared usage differs and may be written under it.
func (d *Daemon) usageToDeclare() (services []topology.ServiceID, lease leaseGrant, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := max(upkeep.For(upkeep.Using).RegistrationTTL, d.settings.MinLeaseTTL)
	suitable := d.lease.id != 0 && !d.lease.adopted && d.lease.ttl <= longest
	return d.usedServices, d.lease, suitable && !slices.Equal(d.usedServices, d.declaredServices)
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
	if d.isUnregistered() {
		return false
	}
	if role == upkeep.Forwarding && d.adoptRegistration(ctx) {
		return true
	}
	requestedAt, era := d.clock(), d.currentEra()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ttl := max(upkeep.LeaseTTL(role, d.fleetStarting()), d.settings.MinLeaseTTL)
	id, err := d.store.Grant(store.WithPurpose(callCtx, purposeRegister), ttl)
	if err != nil {
		d.storeFailed("grant lease", err)
		return false
	}
	if d.currentEra() != era {
		return false // it is not known whether the lease was granted before the restore
	}
	lease := leaseGrant{id: id, ttl: ttl, era: era}
	earlier, ok := d.replaceRegistration(ctx, lease)
	if !ok {
		return false
	}
	d.endEarlierLease(ctx, earlier, lease)
	d.observeRenewal(requestedAt, lease)
	if earlier.id != 0 {
		d.suspicions.registrationExpired() // they expire with the earlier lease
	}
	d.acknowledgeFencesUnder(id)
	eventRegistered.Log(d.log, "lease", id, "ttl_ms", ttl.Milliseconds(), "role", role.String())
	d.wakeFailover()
	notify(d.followWake) // the mirror lacks the registration
	return true
}

// replaceRegistration writes the registration and the usage under another lease. It
// returns the earlier lease and whether they were written.
func (d *Daemon) replaceRegistration(ctx context.Context, lease leaseGrant) (earlier leaseGrant, ok bool) {
	unlock, ok := d.lockOwnKeys(ctx)
	if !ok {
		return leaseGrant{}, false
	}
	defer unlock()
	earlier = d.registrationLease()
	if !d.putRegistration(ctx, lease, d.declaredUsage()) {
		return earlier, false
	}
	d.setLease(lease)
	return earlier, true
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
	known := !d.leaseInDoubt && entry.Revision != 0 && entry.Revision == d.ownRevisions[key] && d.ownRevisions[usageKey(d.settings.Instance)] == 0
	d.mu.Unlock()
	var r registration
	if !known || lease.id != 0 || entry.Lease == 0 || json.Unmarshal(entry.Value, &r) != nil {
		return false
	}
	if !d.describesThisInstance(r) || r.LeaseTTL != upkeep.For(upkeep.Forwarding).RegistrationTTL {
		return false
	}
	adopted := leaseGrant{id: entry.Lease, ttl: r.LeaseTTL, era: entry.Revision.Era(), adopted: true}
	if !d.renewRegistration(ctx, adopted) {
		return false
	}
	d.setLease(adopted)
	eventRegistered.Log(d.log, "lease", entry.Lease, "ttl_ms", r.LeaseTTL.Milliseconds(), "role", upkeep.Forwarding.String(), "adopted", true)
	return true
}

// registration returns this instance's description for a lease with the given TTL.
func (d *Daemon) registration(ttl time.Duration) registration {
	return registration{FailureDomain: d.settings.FailureDomain, Incarnation: d.incarnation,
		Address: d.settings.PeerAddress, CPUShare: d.settings.CPUShare, LeaseTTL: ttl, Leaving: d.stopping.Load()}
}

// describesThisInstance reports whether a stored registration is correct for this process,
// be it written by this process or adopted from an earlier one.
func (d *Daemon) describesThisInstance(stored registration) bool {
	stored.Incarnation = d.incarnation
	return stored == d.registration(stored.LeaseTTL)
}

// leaseGrant is the lease of the registration, with the TTL that was requested. The ID is
// zero while the instance is not registered.
type leaseGrant struct {
	id  store.LeaseID
	ttl time.Duration
	// era is the era of the store in which the registration was written, or found unchanged.
	era store.Era
	// adopted says that an earlier process of the instance has obtained the lease.
	adopted bool
}

// isRegistrationInDoubt reports whether the instance has to register again because its keys
// may be under another lease, because a delayed write of an earlier process has changed an adopted
// registration, or because the store was restored. After a restore, a forwarding instance first
// looks whether its registration has survived, so that a restore costs a large fleet few calls.
func (d *Daemon) isRegistrationInDoubt(lease leaseGrant) bool {
	role := d.role()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case lease.id == 0:
		return false
	case lease.era == d.era.number:
		adopted := lease.adopted && !d.stopping.Load() && d.mirror.Get(instanceKey(d.settings.Instance)).Revision != 0
		return d.leaseInDoubt || adopted && !d.mirrorsOwnRegistration(lease)
	case role != upkeep.Forwarding:
		return true
	case d.carried.era != d.era.number:
		return false // not listed yet
	case !d.mirrorsOwnRegistration(lease):
		return true
	}
	d.lease.era = d.era.number
	return false
}

// mirrorsOwnRegistration reports whether the mirrored registration of this instance is correct
// and under a lease. The caller holds d.mu.
func (d *Daemon) mirrorsOwnRegistration(lease leaseGrant) bool {
	entry := d.mirror.Get(instanceKey(d.settings.Instance))
	var stored registration
	return entry.Lease == lease.id && json.Unmarshal(entry.Value, &stored) == nil && d.describesThisInstance(stored)
}

// endEarlierLease ends the lease of a registration from before a restore of the store, if the
// registration was found under it after the restore: a lease that was lost may be that of
// another instance by now. A delayed write under the ended lease, whose condition may hold
// again by chance, then has no effect.
func (d *Daemon) endEarlierLease(ctx context.Context, earlier, current leaseGrant) {
	d.mu.Lock()
	survived := d.survivedLease == leaseGrant{id: earlier.id, era: current.era}
	d.mu.Unlock()
	if earlier.id == 0 || earlier.era == current.era || !survived {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.store.Revoke(store.WithPurpose(callCtx, purposeRegister), earlier.id)
	if err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		d.storeFailed("end earlier lease", err)
	}
}

// isUnregistered reports whether the registration is being removed at the end of a shutdown.
func (d *Daemon) isUnregistered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unregistered
}

func (d *Daemon) registrationLease() leaseGrant {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease
}

// setLease records the lease of the registration.
func (d *Daemon) setLease(lease leaseGrant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease = lease
}

// renewRegistration renews the registration's lease and reports whether it did.
func (d *Daemon) renewRegistration(ctx context.Context, lease leaseGrant) bool {
	requestedAt := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := d.store.KeepAlive(store.WithPurpose(callCtx, purposeRegister), lease.id)
	switch {
	case err == nil:
		d.observeRenewal(requestedAt, lease)
		d.storeResponded()
	case errors.Is(err, store.ErrLeaseExpired):
		d.registrationExpired(lease)
	default:
		d.storeFailed("renew lease", err)
	}
	return err == nil
}

// observeRenewal records a renewal of the registration by a call that was sent at
// requestedAt. After a restore of the store, the ID of a lease from before may be that of
// another instance, or the registration may lack a usage that it had: a renewal then gives
// no authority until the instance has registered again. Nor does the renewal of a lease that may
// not be that of the usage any more, or one that is late and arrives once the registration is
// being removed.
func (d *Daemon) observeRenewal(requestedAt time.Duration, lease leaseGrant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if lease.era == d.era.number && !d.leaseInDoubt && !d.unregistered {
		d.authority.ObserveRenewal(requestedAt, lease.ttl)
		if !d.sharesRegistered {
			notify(d.sharesWake)
		}
	}
}

// registrationExpired handles the loss of the registration's lease. If a restore of the
// store has removed it, the authority that the instance has lasts as long as it would have
// without: the failover leader allows for it.
func (d *Daemon) registrationExpired(lease leaseGrant) {
	restored := lease.era != d.currentEra()
	d.setLease(leaseGrant{})
	d.mu.Lock()
	clear(d.ownRevisions) // the keys have expired as well
	d.mu.Unlock()
	if !restored {
		d.authority.ObserveExpiry()
	}
	d.suspicions.registrationExpired()
	eventRegistrationExpired.Log(d.log, "restored", restored)
}

// setDeclaredServices records the services that the written usage names. Fences of newly
// declared services are acknowledged immediately, since a fence requires the
// acknowledgement of every instance that declared the use of the primary.
func (d *Daemon) setDeclaredServices(services []topology.ServiceID, written usageWrite) {
	d.authority.ObserveDeclaration(d.clock(), services, written.revision, written.uninterrupted)
	fenced := make(map[topology.ServiceID]failover.Record)
	d.mu.Lock()
	for _, service := range services {
		if record := d.records[service]; record.Fenced && !slices.Contains(d.declaredServices, service) {
			fenced[service] = record.Record
		}
	}
	changed := !slices.Equal(services, d.declaredServices)
	d.declaredServices = services
	d.mu.Unlock()
	if changed {
		eventUsageDeclared.Log(d.log, "services", services)
	}
	d.wakeConfirm() // the authority to use primaries needs a later confirmation
	for service, record := range fenced {
		go d.acknowledgeFence(service, record)
	}
	notify(d.sharesWake)
}

// announceLeaving marks the registration as leaving, so that other instances forward no
// more requests to this one.
func (d *Daemon) announceLeaving() {
	unlock, ok := d.lockOwnKeys(d.ctx)
	if !ok {
		return
	}
	defer unlock()
	d.mu.Lock()
	lease, declaredServices := d.lease, d.declaredServices
	d.mu.Unlock()
	if lease.id != 0 {
		d.putRegistration(d.ctx, lease, declaredServices)
	}
}
