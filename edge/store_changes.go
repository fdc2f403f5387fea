package edge

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

var eventEntryIgnored = event.Define(2111, event.Warning, "entry of the store ignored, a later revision of the key is known")

// applyChanges applies changes to the mirror and handles the keys that they changed.
func (d *Daemon) applyChanges(changes []store.Change) {
	var changed []string
	d.mu.Lock()
	for _, change := range changes {
		if d.mirror.Apply(change) {
			changed = append(changed, change.Key)
		} else {
			d.logIgnored(change.Entry)
		}
	}
	d.mu.Unlock()
	d.handleChangedKeys(changed)
}

// transact executes a transaction and applies its changes to the mirror, or the current
// entries if its expectations do not hold. Step names it in the log if it fails.
func (d *Daemon) transact(ctx context.Context, step string, t store.Transaction) {
	revision, err := d.store.Transact(ctx, t)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		d.applyConflict(conflict.Current)
		return
	}
	if err != nil {
		d.storeFailed(step, err)
		return
	}
	var changes []store.Change
	for _, put := range t.Puts {
		changes = append(changes, store.Change{Entry: store.Entry{Key: put.Key, Value: put.Value, Lease: put.Lease, Revision: revision}})
	}
	for _, key := range t.Deletes {
		changes = append(changes, store.Change{Entry: store.Entry{Key: key, Revision: revision}, Deleted: true})
	}
	d.applyChanges(changes)
}

// replaceMirrored applies a complete listing of a prefix to the mirror and handles the
// changed keys.
func (d *Daemon) replaceMirrored(prefix string, listing store.Listing) {
	d.mu.Lock()
	if strings.HasPrefix(prefixInstances, prefix) {
		d.carryRegistrations(listing)
	}
	changed := d.mirror.Replace(prefix, listing)
	for _, entry := range listing.Entries {
		if known := d.mirror.Get(entry.Key); known.Revision != entry.Revision {
			d.logIgnored(entry)
		}
	}
	d.mu.Unlock()
	d.handleChangedKeys(changed)
}

// logIgnored logs an entry that the mirror did not apply although its value differs from
// the mirrored one. The caller holds d.mu.
func (d *Daemon) logIgnored(entry store.Entry) {
	known := d.mirror.Get(entry.Key)
	if known.Revision == 0 || bytes.Equal(known.Value, entry.Value) {
		return
	}
	d.metrics.ignoredEntries.Inc()
	eventEntryIgnored.Log(d.log, "key", entry.Key, "revision", entry.Revision.String(), "known_revision", known.Revision.String())
}

// handleChangedKeys updates everything that depends on the changed keys of the mirror.
func (d *Daemon) handleChangedKeys(keys []string) {
	targets, shares, records := false, false, false
	for _, key := range keys {
		switch {
		case key == d.adapter.ConfigurationKey:
			d.applyConfiguration()
			targets, shares, records = true, true, true
		case strings.HasPrefix(key, d.adapter.TargetPrefix):
			targets = true
		case strings.HasPrefix(key, prefixSuspicions):
			shares = true
			if service, from := splitServiceKey(prefixSuspicions, key); from != d.settings.Instance && slices.Contains(d.declaredUsage(), service) {
				go d.suspicions.verify(d.ctx, service)
			}
		case strings.HasPrefix(key, prefixInstances):
			shares = true
		case strings.HasPrefix(key, prefixRecords):
			records, shares = true, true
		}
	}
	if targets {
		d.applyTargets()
	}
	if records {
		d.applyRecords()
	}
	if shares {
		notify(d.sharesWake)
	}
	if len(keys) > 0 {
		d.wakeFailover()
	}
}

// isVerified reports whether a record was written or verified since the store was last
// restored. Leaders of versions that do not know of eras write records without one; such a
// record counts as long as this process has seen no restore. The caller holds d.mu.
func (d *Daemon) isVerified(record storedRecord) bool {
	return record.Era == record.revision.Era() || record.Era == 0 && !d.era.restored
}

// applyRecords passes changed records to their services, and acknowledges fences of
// primaries that this instance may use.
func (d *Daemon) applyRecords() {
	records := make(map[topology.ServiceID]storedRecord)
	fenced := make(map[topology.ServiceID]failover.Record)
	d.mu.Lock()
	d.mirror.ForEach(prefixRecords, func(entry store.Entry) {
		record, err := decodeStoredRecord(entry)
		if err != nil {
			d.noteUnreadable(entry, err)
			return
		}
		service := topology.ServiceID(strings.TrimPrefix(entry.Key, prefixRecords))
		known := d.records[service]
		if !d.isVerified(record) || known.revision >= record.revision {
			return
		}
		if record.Fenced && !(known.Fenced && known.FenceSequence == record.FenceSequence) && slices.Contains(d.declaredServices, service) {
			fenced[service] = record.Record // another record of the same fence is acknowledged already
		}
		record.seenAt = d.clock()
		d.records[service] = record
		records[service] = record
	})
	d.mu.Unlock()
	for service, record := range records {
		d.engine.SetRecord(service, record.Record, record.revision)
		eventRecordChanged.Log(d.log, "service", service, "primary", record.Primary, "term", record.Term,
			"fenced", record.Fenced, "sequence", record.FenceSequence, "revision", record.revision.String())
	}
	for service, record := range fenced {
		go d.acknowledgeFence(service, record)
	}
	for _, service := range d.declaredUsage() {
		if record, changed := records[service]; changed && !record.Fenced {
			d.wakeConfirm() // the primary may be used once the new record is confirmed
			if !d.isListed(service, record.Primary) {
				go d.suspicions.verify(d.ctx, service)
			}
		}
	}
}
