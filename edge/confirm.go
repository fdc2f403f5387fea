package edge

import (
	"context"
	"errors"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// confirm proves in intervals that configuration and records are the newest.
func (d *Daemon) confirm(ctx context.Context) error {
	var retry backoff
	for ctx.Err() == nil {
		started := d.clock()
		if !d.confirmOnce(ctx) {
			retry.pause(ctx)
			continue
		}
		retry.reset()
		rest := max(retryPause/10, d.confirmInterval()-(d.clock()-started))
		select {
		case <-ctx.Done():
		case <-time.After(rest):
		case <-d.confirmWake:
		}
	}
	return nil
}

// noteConfirmation takes a home's word on the newest configuration. One that this
// instance lacks is read from the store, or from the home while the store is away.
func (d *Daemon) noteConfirmation(from topology.InstanceID, revision store.Revision, at time.Duration) {
	c := d.engine.Catalog()
	switch {
	case c == nil:
	case c.Revision == revision:
		d.tenure.ObservePeerConfirmation(at)
	case c.Revision < revision && d.store.away():
		d.relay.AskConfiguration(from)
	case c.Revision < revision:
		d.wakeConfirm()
	}
}

// configuration returns the configuration as the store holds it.
func (d *Daemon) configuration() store.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mirror.Get(d.adapter.ConfigurationKey)
}

// takeConfiguration takes a configuration that a peer has read from the store. It was
// the newest at a time, negative when unknown.
func (d *Daemon) takeConfiguration(from topology.InstanceID, revision store.Revision, value []byte, at time.Duration) {
	eventConfigTold.Log(d.log, "peer", from, "revision", revision, "confirmed_age_ms", (d.clock() - at).Milliseconds())
	d.apply([]store.Change{{Entry: store.Entry{Key: d.adapter.ConfigurationKey, Value: value, Revision: revision}}})
	if c := d.engine.Catalog(); at >= 0 && c != nil && c.Revision == revision {
		d.tenure.ObservePeerConfirmation(at)
	}
}

// confirmInterval returns the pause between confirmations. An instance that runs no
// statements itself leaves the authorization of its callers' work to the homes.
func (d *Daemon) confirmInterval() time.Duration {
	if len(d.declaredUses()) > 0 {
		return usingConfirmInterval
	}
	return relayingConfirmInterval
}

// confirmNow confirms the configuration at once, one call for all that wait for it.
func (d *Daemon) confirmNow() {
	asked := d.clock()
	d.confirming.Lock()
	defer d.confirming.Unlock()
	if age := d.tenure.Age(d.clock()); age >= 0 && age <= d.clock()-asked {
		return
	}
	if d.clock() < d.confirmAgainAt || d.store.away() {
		return
	}
	if !d.confirmOnce(d.ctx) {
		d.confirmAgainAt = d.clock() + confirmPause
	}
}

// confirmPause is the pause after a confirmation that failed for a refusal: others
// that wait for one are not held up by a store that does not answer.
const confirmPause = 500 * time.Millisecond

// confirmOnce makes one round of confirmations. It reports false when the store
// has not answered.
func (d *Daemon) confirmOnce(ctx context.Context) bool {
	expected, ready := d.expectations()
	if !ready {
		return false
	}
	for len(expected) > 0 {
		part := expected[:min(len(expected), mostExpectations)]
		expected = expected[len(part):]
		if !d.confirmKeys(ctx, part) {
			return false
		}
	}
	return true
}

// expectations lists the keys to confirm at their mirrored revisions.
func (d *Daemon) expectations() ([]store.Expectation, bool) {
	services, relays := d.engine.Services(), d.relaysOnly()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.listed {
		return nil, false
	}
	config := d.mirror.Get(d.adapter.ConfigurationKey)
	expected := []store.Expectation{{Key: config.Key, Revision: config.Revision}}
	if relays {
		return expected, true
	}
	for _, service := range services {
		key := groupKey(service)
		expected = append(expected, store.Expectation{Key: key, Revision: d.mirror.Get(key).Revision})
	}
	return expected, true
}

// confirmKeys confirms some keys. Those that differ are taken over as read.
func (d *Daemon) confirmKeys(ctx context.Context, expected []store.Expectation) bool {
	asked := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := d.store.Transact(callCtx, store.Transaction{Expect: expected})
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		d.takeOver(expected, conflict.Current)
	case err != nil:
		d.storeFailed("confirm", err)
		return false
	}
	d.storeAnswered()
	groups := make(map[topology.ServiceID]store.Revision)
	d.mu.Lock()
	for _, e := range expected {
		if service, isGroup := strings.CutPrefix(e.Key, prefixGroups); isGroup {
			revision := e.Revision
			for _, current := range conflictEntries(conflict) {
				if current.Key == e.Key {
					revision = current.Revision
				}
			}
			if revision != 0 {
				groups[topology.ServiceID(service)] = revision
			}
		}
	}
	d.mu.Unlock()
	d.tenure.ObserveConfirmation(asked, groups)
	return true
}

func conflictEntries(conflict *store.ConflictError) []store.Entry {
	if conflict == nil {
		return nil
	}
	return conflict.Current
}

// takeOver applies the entries of a failed expectation.
func (d *Daemon) takeOver(expected []store.Expectation, current []store.Entry) {
	changes := make([]store.Change, 0, len(current))
	for _, entry := range current {
		changes = append(changes, store.Change{Entry: entry})
	}
	d.apply(changes)
}
