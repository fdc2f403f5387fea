package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

var (
	eventRegistered          = event.Define(1300, event.Info, "registered in the store")
	eventRegistrationExpired = event.Define(1301, event.Warning, "registration expired")
	eventSharesChanged       = event.Define(3100, event.Info, "connection limits or owned services of this instance changed")
)

// Intervals of the registration and of reports of demand.
const (
	// renewInterval allows three attempts before the authority expires.
	renewInterval = 900 * time.Millisecond
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
	var nextRenewal time.Duration
	for ctx.Err() == nil {
		switch {
		case !d.isMirrorLoaded():
		case d.lease == 0:
			d.register(ctx)
			nextRenewal = d.clock() + renewInterval
		case d.clock() >= nextRenewal:
			nextRenewal = d.clock() + renewInterval
			d.renewRegistration(ctx)
			if d.store.unavailable() {
				nextRenewal = 0 // renewals detect the store's recovery, at a tenth of the cost of other calls
			}
		}
		if d.lease == 0 {
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
	d.putWithUsage(ctx, d.lease, services, nil)
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

// register obtains a lease and writes the registration and the usage under it.
func (d *Daemon) register(ctx context.Context) {
	requestedAt := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := d.store.Grant(store.WithPurpose(callCtx, purposeRegister), max(authority.RegistrationTTL, d.settings.MinLeaseTTL))
	if err != nil {
		d.storeFailed("grant lease", err)
		return
	}
	if !d.putRegistration(ctx, lease, d.declaredUsage()) {
		return
	}
	d.setLease(lease)
	d.authority.ObserveRenewal(requestedAt)
	eventRegistered.Log(d.log, "lease", lease)
	d.wakeFailover()
}

func (d *Daemon) setLease(lease store.LeaseID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease = lease
}

// putRegistration writes the registration and the usage under a lease.
func (d *Daemon) putRegistration(ctx context.Context, lease store.LeaseID, services []topology.ServiceID) bool {
	value, err := json.Marshal(registration{FailureDomain: d.settings.FailureDomain, Incarnation: d.incarnation,
		Address: d.settings.PeerAddress, CPUShare: d.settings.CPUShare, Leaving: d.stopping.Load()})
	if err != nil {
		eventConfigUnreadable.LogError(d.log, err, "key", instanceKey(d.settings.Instance))
		return false
	}
	return d.putWithUsage(ctx, lease, services, []store.Put{{Key: instanceKey(d.settings.Instance), Value: value, Lease: lease}})
}

// putWithUsage writes the usage and other entries under a lease. Once the usage is
// written, it counts as declared. An empty usage is written as well, to replace that of
// an earlier process.
func (d *Daemon) putWithUsage(ctx context.Context, lease store.LeaseID, services []topology.ServiceID, puts []store.Put) bool {
	value, err := json.Marshal(usage(services))
	if err != nil {
		eventConfigUnreadable.LogError(d.log, err, "key", usageKey(d.settings.Instance))
		return false
	}
	puts = append(puts, store.Put{Key: usageKey(d.settings.Instance), Value: value, Lease: lease})
	for range maxUsageAttempts {
		if err = d.replaceUsage(ctx, puts); !errors.Is(err, store.ErrConflict) {
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

// maxUsageAttempts bounds the attempts to replace the usage. One attempt may conflict
// with the usage of an earlier process, and another with a delayed write of that process
// or of this one.
const maxUsageAttempts = 3

// replaceUsage writes the usage and other entries, provided that the stored usage is
// still at the last known revision. A write whose response was lost may take effect
// seconds later. Without the condition it could replace a later usage, and a fence would
// not wait for this instance while it uses the primary.
func (d *Daemon) replaceUsage(ctx context.Context, puts []store.Put) error {
	key := usageKey(d.settings.Instance)
	purpose := purposeUsage
	if len(puts) > 1 {
		purpose = purposeRegister
	}
	callCtx, cancel := context.WithTimeout(store.WithPurpose(ctx, purpose), callTimeout)
	defer cancel()
	d.mu.Lock()
	knownRevision := d.usageRevision
	d.mu.Unlock()
	revision, err := d.store.Transact(callCtx, store.Transaction{Expect: []store.Expectation{{Key: key, Revision: knownRevision}}, Puts: puts})
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		revision = 0
		for _, current := range conflict.Current {
			if current.Key == key {
				revision = current.Revision
			}
		}
	case err != nil:
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.usageRevision = revision
	return err
}

// renewRegistration renews the registration's lease.
func (d *Daemon) renewRegistration(ctx context.Context) {
	requestedAt := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := d.store.KeepAlive(store.WithPurpose(callCtx, purposeRegister), d.lease)
	switch {
	case err == nil:
		d.authority.ObserveRenewal(requestedAt)
		d.storeResponded()
	case errors.Is(err, store.ErrLeaseExpired):
		d.registrationExpired()
	default:
		d.storeFailed("renew lease", err)
	}
}

// registrationExpired handles the expiry of the registration's lease.
func (d *Daemon) registrationExpired() {
	d.setLease(0)
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
	if lease != 0 {
		d.putRegistration(d.ctx, lease, declaredServices)
	}
}
