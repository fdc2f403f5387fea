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
	// needsInterval is the pause between looks at the demand.
	needsInterval = 300 * time.Millisecond
	// pressedNeedsInterval is the pause between tellings of demand that presses on
	// this instance's parts: loans cover what comes in between.
	pressedNeedsInterval = 900 * time.Millisecond
	// calmNeedsInterval is the pause between tellings of demand that does not.
	calmNeedsInterval = 1500 * time.Millisecond
)

// registration is what an instance says of itself in the store.
type registration struct {
	FailureDomain topology.FailureDomain `json:"failure_domain"`
	// Born tells processes of one instance apart.
	Born int64 `json:"born"`
	// Address is where other instances reach this one.
	Address string `json:"address"`
	// Processor is the share of a core that the instance has.
	Processor float64 `json:"processor"`
	// Leaving instances take no more work of others.
	Leaving bool `json:"leaving,omitempty"`
}

// usage lists the services whose primaries an instance may use. It is written before
// the first use, so that a fence waits for the instance, under a key of its own, since
// it does not concern instances that only relay.
type usage []topology.ServiceID

// register keeps the registration alive and up to date.
func (d *Daemon) register(ctx context.Context) error {
	var renewAt time.Duration
	for ctx.Err() == nil {
		switch {
		case !d.knowsStore():
		case d.lease == 0:
			d.enroll(ctx)
			renewAt = d.clock() + renewInterval
		case d.clock() >= renewAt:
			renewAt = d.clock() + renewInterval
			d.renew(ctx)
			if d.store.away() {
				renewAt = 0 // renewals find the store back at a tenth of the price
			}
		}
		if d.lease == 0 {
			pause(ctx, retryPause)
			continue
		}
		d.declareUses(ctx)
		d.tellNeeds()
		select {
		case <-ctx.Done():
		case <-time.After(needsInterval):
		case <-d.usesWake:
		}
	}
	return nil
}

// declareUses writes the usage anew when the instance is to use the primaries of other
// services.
func (d *Daemon) declareUses(ctx context.Context) {
	d.mu.Lock()
	uses, declared := d.uses, d.declared
	d.mu.Unlock()
	if slices.Equal(uses, declared) {
		return
	}
	d.putUnderLease(ctx, d.lease, uses, nil)
}

// tellNeeds tells the demand here to the instances that divide the customers'
// rates with this one.
func (d *Daemon) tellNeeds() {
	needs, pressed := d.engine.Needs()
	now := d.clock()
	interval := calmNeedsInterval
	if pressed {
		interval = pressedNeedsInterval
	}
	if len(needs) == 0 && len(d.told) == 0 || now-d.toldAt < interval && !differ(needs, d.told) {
		return
	}
	d.toldAt, d.told = now, needs
	d.noteNeeds(d.settings.Instance, needs)
	d.mu.Lock()
	sharers := d.sharers
	d.mu.Unlock()
	d.relay.TellNeeds(sharers, needs)
}

// needsChange is the relative change of a demand that is told at once, unless it is
// below negligibleNeed operations a second.
const (
	needsChange    = 0.4
	negligibleNeed = 3
)

// differ reports whether demands differ so much that others should know.
func differ(a, b share.Needs) bool {
	return exceeds(a, b) || exceeds(b, a)
}

// exceeds reports whether some need of a is far from that of b.
func exceeds(a, b share.Needs) bool {
	for id, need := range a {
		if change := math.Abs(need - b[id]); change > negligibleNeed && change > needsChange*max(need, b[id]) {
			return true
		}
	}
	return false
}

// noteNeeds takes the demand at an instance.
func (d *Daemon) noteNeeds(from topology.InstanceID, needs share.Needs) {
	d.mu.Lock()
	d.needs[from] = needs
	d.mu.Unlock()
	notify(d.sharesWake)
}

// knowsStore reports whether the store's content was read: an instance that
// cannot serve does not register.
func (d *Daemon) knowsStore() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

// enroll grants a lease and writes the registration under it.
func (d *Daemon) enroll(ctx context.Context) {
	asked := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := d.store.Grant(callCtx, max(tenure.RegistrationTTL, d.settings.LeastLease))
	if err != nil {
		d.storeFailed("grant lease", err)
		return
	}
	if !d.putRegistration(ctx, lease, d.declaredUses()) {
		return
	}
	d.setLease(lease)
	d.tenure.ObserveRenewal(asked)
	eventRegistered.Log(d.log, "lease", lease)
	d.wakeLead()
}

func (d *Daemon) setLease(lease store.LeaseID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease = lease
}

func (d *Daemon) putRegistration(ctx context.Context, lease store.LeaseID, uses []topology.ServiceID) bool {
	value, err := json.Marshal(registration{FailureDomain: d.settings.FailureDomain, Born: d.born,
		Address: d.settings.PeerAddress, Processor: d.settings.Processor, Leaving: d.stopping.Load()})
	if err != nil {
		eventConfigBroken.LogError(d.log, err, "key", instanceKey(d.settings.Instance))
		return false
	}
	return d.putUnderLease(ctx, lease, uses, []store.Put{{Key: instanceKey(d.settings.Instance), Value: value, Lease: lease}})
}

// putUnderLease writes the usage and other entries. Once they are written the
// instance counts as a user. An empty usage replaces that of an earlier process.
func (d *Daemon) putUnderLease(ctx context.Context, lease store.LeaseID, uses []topology.ServiceID, puts []store.Put) bool {
	value, err := json.Marshal(usage(uses))
	if err != nil {
		eventConfigBroken.LogError(d.log, err, "key", useKey(d.settings.Instance))
		return false
	}
	puts = append(puts, store.Put{Key: useKey(d.settings.Instance), Value: value, Lease: lease})
	for range usageAttempts {
		if err = d.replaceUsage(ctx, puts); !errors.Is(err, store.ErrConflict) {
			break
		}
	}
	if errors.Is(err, store.ErrLeaseExpired) {
		d.lapsed()
	}
	if err != nil {
		d.storeFailed("put registration", err)
		return false
	}
	d.declare(uses)
	return true
}

// usageAttempts bounds the tries at replacing the usage: one may find that of an
// earlier process, and one a write of that process or of this one that was late.
const usageAttempts = 3

// replaceUsage writes entries if the usage is the one that this instance knows. A write
// whose answer was lost may take effect seconds later; it must not replace a later one,
// or the instance would use a primary without being known as its user.
func (d *Daemon) replaceUsage(ctx context.Context, puts []store.Put) error {
	key := useKey(d.settings.Instance)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.mu.Lock()
	known := d.usageRevision
	d.mu.Unlock()
	revision, err := d.store.Transact(callCtx, store.Transaction{Expect: []store.Expectation{{Key: key, Revision: known}}, Puts: puts})
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

// renew keeps the lease.
func (d *Daemon) renew(ctx context.Context) {
	asked := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := d.store.KeepAlive(callCtx, d.lease)
	switch {
	case err == nil:
		d.tenure.ObserveRenewal(asked)
		d.storeAnswered()
	case errors.Is(err, store.ErrLeaseExpired):
		d.lapsed()
	default:
		d.storeFailed("renew lease", err)
	}
}

func (d *Daemon) lapsed() {
	d.setLease(0)
	d.tenure.ObserveExpiry()
	d.suspects.lapsed()
	eventLapsed.Log(d.log)
}

// declare notes the services that the registration names. Those whose primary is
// fenced are yielded at once, since the fence waits for every declared user.
func (d *Daemon) declare(uses []topology.ServiceID) {
	fenced := make(map[topology.ServiceID]failover.Record)
	d.mu.Lock()
	for _, service := range uses {
		if r := d.records[service]; r.Fenced && !slices.Contains(d.declared, service) {
			fenced[service] = r.Record
		}
	}
	d.declared = uses
	d.mu.Unlock()
	d.wakeConfirm() // its rights need confirmations in shorter intervals from now on
	for service, record := range fenced {
		go d.yield(service, record)
	}
	notify(d.sharesWake)
}

// announceLeaving tells the others to take their work elsewhere.
func (d *Daemon) announceLeaving() {
	d.mu.Lock()
	lease, declared := d.lease, d.declared
	d.mu.Unlock()
	if lease != 0 {
		d.putRegistration(d.ctx, lease, declared)
	}
}
