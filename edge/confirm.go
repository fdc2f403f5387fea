package edge

import (
	"context"
	"errors"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
)

// confirmLoop confirms periodically that the mirrored configuration and records are the
// latest in the store.
func (d *Daemon) confirmLoop(ctx context.Context) error {
	var retry backoff
	for d.awaitConfirmationDue(ctx) {
		requestedAt := d.clock()
		if !d.confirmOnce(ctx) {
			retry.wait(ctx)
			d.wakeConfirm()
			continue
		}
		retry.reset()
		d.mu.Lock()
		d.confirmedAt = requestedAt
		d.mu.Unlock()
	}
	return nil
}

// awaitConfirmationDue waits until a confirmation is due or was requested by wakeConfirm. It
// returns false if the context is done first.
func (d *Daemon) awaitConfirmationDue(ctx context.Context) bool {
	for {
		wait := d.confirmInterval() - d.sinceConfirmation()
		if wait <= 0 {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-d.confirmWake:
			timer.Stop()
			return true
		case <-timer.C:
		}
	}
}

// sinceConfirmation returns the time since the last confirmation by which the next one is
// scheduled. On an instance that uses no primaries, a listing and the confirmations of peers
// count as well.
func (d *Daemon) sinceConfirmation() time.Duration {
	role, now := d.role(), d.clock()
	d.mu.Lock()
	since := now - d.confirmedAt
	d.mu.Unlock()
	if age := d.authority.ConfirmationAge(now); role != upkeep.Using && age >= 0 {
		since = min(since, age)
	}
	return since
}

// observePeerConfirmation records that a peer found the configuration's latest revision
// in the store at confirmedAt. If this instance has an earlier configuration and does not
// watch the store, it requests the latest from the peer that it follows, which is in the
// same failure domain if possible: configurations may be large.
func (d *Daemon) observePeerConfirmation(from topology.InstanceID, revision store.Revision, confirmedAt time.Duration) {
	config := d.engine.Catalog()
	switch {
	case config == nil:
	case config.Revision == revision:
		d.authority.ObservePeerConfirmation(confirmedAt)
	case config.Revision < revision && d.forwardsOnly() && !d.isFollowed(from):
		notify(d.ownerWake)
	case config.Revision < revision && (d.store.unavailable() || d.forwardsOnly()):
		d.relay.RequestConfiguration(from)
	case config.Revision < revision:
		d.wakeConfirm()
	}
}

// storedConfiguration returns the mirrored entry of the configuration.
func (d *Daemon) storedConfiguration() store.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mirror.Get(d.adapter.ConfigurationKey)
}

// applyPeerConfiguration applies a configuration that a peer has read from the store. It
// was the latest at confirmedAt, which is negative if unknown.
func (d *Daemon) applyPeerConfiguration(from topology.InstanceID, revision store.Revision, value []byte, confirmedAt time.Duration) {
	eventPeerConfig.Log(d.log, "peer", from, "revision", revision, "confirmed_age_ms", (d.clock() - confirmedAt).Milliseconds())
	d.applyChanges([]store.Change{{Entry: store.Entry{Key: d.adapter.ConfigurationKey, Value: value, Revision: revision}}})
	if config := d.engine.Catalog(); confirmedAt >= 0 && config != nil && config.Revision == revision {
		d.authority.ObservePeerConfirmation(confirmedAt)
	}
}

// confirmInterval returns the interval between confirmations.
func (d *Daemon) confirmInterval() time.Duration { return upkeep.For(d.role()).ConfirmInterval }

// confirmNow confirms the configuration immediately, so that a request is not refused on
// a stale one. Concurrent calls share one confirmation.
func (d *Daemon) confirmNow() {
	requestedAt := d.clock()
	d.confirming.Lock()
	defer d.confirming.Unlock()
	if age := d.authority.ConfirmationAge(d.clock()); age >= 0 && age <= d.clock()-requestedAt {
		return
	}
	if d.clock() < d.nextConfirmAt || d.store.unavailable() {
		return
	}
	if !d.confirmOnce(d.ctx) {
		d.nextConfirmAt = d.clock() + confirmRetryInterval
	}
}

// confirmRetryInterval is how long after a failed confirmation confirmNow returns without
// another attempt, so that a store that does not respond does not delay every refusal.
const confirmRetryInterval = 500 * time.Millisecond

// confirmOnce confirms all keys once. It returns false if the mirror is not loaded or
// the store did not respond.
func (d *Daemon) confirmOnce(ctx context.Context) bool {
	expected, ready := d.expectedRevisions()
	if !ready {
		return false
	}
	for len(expected) > 0 {
		batch := expected[:min(len(expected), maxExpectations)]
		expected = expected[len(batch):]
		if !d.confirmKeys(ctx, batch) {
			return false
		}
	}
	return true
}

// expectedRevisions returns the keys to confirm with their mirrored revisions. It
// returns false while the mirror is not loaded.
func (d *Daemon) expectedRevisions() ([]store.Expectation, bool) {
	services, forwards := d.engine.Services(), d.forwardsOnly()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.mirrorLoaded {
		return nil, false
	}
	config := d.mirror.Get(d.adapter.ConfigurationKey)
	expected := []store.Expectation{{Key: config.Key, Revision: config.Revision}}
	if forwards {
		return expected, true
	}
	for _, service := range services {
		key := recordKey(service)
		expected = append(expected, store.Expectation{Key: key, Revision: d.mirror.Get(key).Revision})
	}
	return expected, true
}

// confirmKeys confirms the revisions of some keys with one transaction. For keys that
// differ, the store returns the current entries; these are applied and count as
// confirmed.
func (d *Daemon) confirmKeys(ctx context.Context, expected []store.Expectation) bool {
	requestedAt := d.clock()
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := d.store.Transact(store.WithPurpose(callCtx, purposeConfirm), store.Transaction{Expect: expected})
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		d.applyConflict(expected, conflict.Current)
	case err != nil:
		d.storeFailed("confirm", err)
		return false
	}
	d.storeResponded()
	recordRevisions := make(map[topology.ServiceID]store.Revision)
	d.mu.Lock()
	for _, expectation := range expected {
		if service, isRecord := strings.CutPrefix(expectation.Key, prefixRecords); isRecord {
			revision := expectation.Revision
			for _, current := range conflictEntries(conflict) {
				if current.Key == expectation.Key {
					revision = current.Revision
				}
			}
			if revision != 0 {
				recordRevisions[topology.ServiceID(service)] = revision
			}
		}
	}
	d.mu.Unlock()
	d.authority.ObserveConfirmation(requestedAt, recordRevisions)
	return true
}

func conflictEntries(conflict *store.ConflictError) []store.Entry {
	if conflict == nil {
		return nil
	}
	return conflict.Current
}

// applyConflict applies the current entries that the store returned for a transaction
// whose expectations failed.
func (d *Daemon) applyConflict(expected []store.Expectation, current []store.Entry) {
	changes := make([]store.Change, 0, len(current))
	for _, entry := range current {
		changes = append(changes, store.Change{Entry: entry})
	}
	d.applyChanges(changes)
}
