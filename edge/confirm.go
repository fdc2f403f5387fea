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
		d.applyConflict(conflict.Current)
	case err != nil:
		d.storeFailed("confirm", err)
		return false
	}
	d.storeResponded()
	configuration := false
	records := make(recordRevisions)
	for _, expectation := range expected {
		revision := foundRevision(expectation, conflict)
		service, isRecord := strings.CutPrefix(expectation.Key, prefixRecords)
		switch {
		case revision == 0:
		case isRecord:
			d.confirmRecord(records, topology.ServiceID(service), revision)
		case expectation.Key == d.adapter.ConfigurationKey:
			configuration = d.isLatest(revision)
		}
	}
	d.authority.ObserveConfirmation(requestedAt, configuration, records)
	return true
}

// recordRevisions are the revisions of confirmed records.
type recordRevisions = map[topology.ServiceID]store.Revision

// confirmRecord adds a record that the store has at a revision, unless another one is in
// force here: one from after a restore of the store counts only once it is verified.
func (d *Daemon) confirmRecord(records recordRevisions, service topology.ServiceID, revision store.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.records[service].revision == revision {
		records[service] = revision
	}
}

// foundRevision returns the revision of an expected key that a transaction found, zero if
// the key did not exist.
func foundRevision(expectation store.Expectation, conflict *store.ConflictError) store.Revision {
	if conflict == nil {
		return expectation.Revision
	}
	for _, current := range conflict.Current {
		if current.Key == expectation.Key {
			return current.Revision
		}
	}
	return 0
}

// applyConflict applies the current entries that the store returned for a transaction
// whose expectations failed.
func (d *Daemon) applyConflict(current []store.Entry) {
	changes := make([]store.Change, 0, len(current))
	for _, entry := range current {
		changes = append(changes, store.Change{Entry: entry})
	}
	d.applyChanges(changes)
}
