package edge

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math"
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
	Born int64 `json:"born"`
	// Address is where other instances reach this one.
	Address string `json:"address"`
	// Processor is the share of a core that the instance has.
	Processor float64 `json:"processor"`
	// Leaving instances take no more work of others.
	Leaving bool        `json:"leaving,omitempty"`
	Needs   share.Needs `json:"needs,omitempty"`
}

// register keeps the registration alive and publishes needs.
func (d *Daemon) register(ctx context.Context) error {
	for ctx.Err() == nil {
		switch {
		case !d.knowsStore():
		case d.lease == 0:
			d.enroll(ctx)
		default:
			d.renew(ctx)
		}
		if d.lease == 0 {
			pause(ctx, retryPause)
			continue
		}
		for next := d.clock() + renewInterval; d.clock() < next && ctx.Err() == nil; {
			d.publishNeeds(ctx)
			pause(ctx, renewInterval/3)
		}
	}
	return nil
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
	lease, err := d.store.Grant(callCtx, max(tenure.LeaseTerm, d.settings.LeastLease))
	if err != nil {
		d.storeFailed("grant lease", err)
		return
	}
	if !d.putRegistration(ctx, lease, share.Needs{}) {
		return
	}
	d.published, d.publishedAt = share.Needs{}, d.clock()
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
	value, err := json.Marshal(registration{FailureDomain: d.settings.FailureDomain, Born: d.born,
		Address: d.settings.PeerAddress, Processor: d.settings.Processor, Leaving: d.stopping.Load(), Needs: needs})
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
	if d.putRegistration(ctx, d.lease, needs) {
		d.published, d.publishedAt = needs, d.clock()
	}
}

func differ(a, b share.Needs) bool {
	keys := make(map[topology.CustomerID]bool)
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

// announceLeaving tells the others to take their work elsewhere.
func (d *Daemon) announceLeaving() {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	if lease != 0 {
		d.putRegistration(d.ctx, lease, share.Needs{})
	}
}
