package edge

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

var (
	eventStoreRestored = event.Define(2110, event.Warning, "store was restored from an older copy")
	eventEntryIgnored  = event.Define(2111, event.Warning, "entry of the store ignored, a later revision of the key is known")
)

const (
	// promotionSettleTime is how long after a restore of the store a promotion that was
	// ordered before may still take effect: promotionWindow, the time in which an
	// undelivered request is abandoned (500 ms), and the promotion itself (600 ms).
	promotionSettleTime = promotionWindow + 1200*time.Millisecond
	// registrationGrace is how long after a restore the registrations that it has removed
	// still count. Instances that own services renew every 0.9 s and register again then.
	registrationGrace = 4 * time.Second
)

// storeEra is the era of the store as far as this instance knows.
type storeEra struct {
	number store.Era
	// since is when the first response of the era arrived.
	since time.Duration
	known bool
	// restored says that this instance knew the store in an earlier era.
	restored bool
}

// observeEra records the era of a response of the store. After a restore, the instance
// reads the store and registers again. Authority that it has obtained before lasts as long
// as without the restore: the failover leader allows for it.
func (d *Daemon) observeEra(number store.Era) {
	now := d.clock()
	d.mu.Lock()
	previous, until := d.era, d.mirroredUntil
	later := !previous.known || number > previous.number
	if later {
		d.era = storeEra{number: number, since: now, known: true, restored: previous.known}
	}
	if later && previous.known {
		d.noteStoreReturn(now)
	}
	d.mu.Unlock()
	if !later || !previous.known {
		return
	}
	eventStoreRestored.Log(d.log, "era", number, "previous_era", previous.number, "mirrored_until", until.String())
	d.leadership.observeRestore(now, previous.number, number)
	notify(d.roleWake)
	notify(d.usageWake)
	d.wakeFailover()
}

// currentEra returns the era of the store.
func (d *Daemon) currentEra() store.Era {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.era.number
}

// settled reports whether the given time has passed since the store was last restored. A
// leader records in the store that authority.FenceWait has passed, for processes that start
// later. The caller holds d.mu.
func (d *Daemon) settled(now, wait time.Duration) bool {
	return d.era.number == 0 || now-d.era.since >= wait || string(d.mirror.Get(keySettledEra).Value) == d.era.text()
}

// text returns the era as the value of keySettledEra.
func (e storeEra) text() string { return strconv.FormatUint(uint64(e.number), 10) }

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

// carriedRegistrations bridge a restore of the store, so that owners and shares do not
// change because of registrations that are only lost.
type carriedRegistrations struct {
	// era is that of the last listing of all registrations.
	era store.Era
	// missing are the registrations that the restore has removed. They count until their
	// instances register again, at most until the deadline.
	missing map[topology.InstanceID]registration
	// departed are the revisions of registrations that had been deleted before the restore
	// and have come back with it. They do not count until the deadline, by which the
	// leases of instances that may own services have expired.
	departed map[topology.InstanceID]store.Revision
	deadline time.Duration
}

// carryRegistrations compares the registrations with the first listing after a restore. The
// caller holds d.mu.
func (d *Daemon) carryRegistrations(listing store.Listing) {
	if listing.Revision.Era() <= d.carried.era || !d.mirrorLoaded {
		d.carried.era = max(d.carried.era, listing.Revision.Era())
		return
	}
	before := d.countedRegistrations()
	d.carried = carriedRegistrations{era: listing.Revision.Era(), missing: before, deadline: d.clock() + registrationGrace,
		departed: make(map[topology.InstanceID]store.Revision)}
	for _, entry := range listing.Entries {
		name, isRegistration := strings.CutPrefix(entry.Key, prefixInstances)
		if !isRegistration {
			continue
		}
		id := topology.InstanceID(name)
		if last := d.mirror.LastValue(entry.Key); last != nil && bytes.Equal(last, entry.Value) {
			d.carried.departed[id] = entry.Revision
		}
		delete(d.carried.missing, id)
	}
}

// countedRegistrations returns the registrations by which owners and shares are computed:
// the mirrored and the carried ones. The caller holds d.mu.
func (d *Daemon) countedRegistrations() map[topology.InstanceID]registration {
	registered := make(map[topology.InstanceID]registration)
	bridging := d.clock() < d.carried.deadline
	if bridging {
		maps.Copy(registered, d.carried.missing)
	}
	d.mirror.ForEach(prefixInstances, func(entry store.Entry) {
		id := topology.InstanceID(strings.TrimPrefix(entry.Key, prefixInstances))
		if revision, departed := d.carried.departed[id]; bridging && departed && revision == entry.Revision {
			return
		}
		var r registration
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			eventEntryUnreadable.LogError(d.log, err, "key", entry.Key)
			return
		}
		registered[id] = r
	})
	return registered
}

// expireCarried has the shares recomputed once the carried registrations count no more.
func (d *Daemon) expireCarried() {
	d.mu.Lock()
	expired := len(d.carried.missing)+len(d.carried.departed) > 0 && d.clock() >= d.carried.deadline
	if expired {
		d.carried.missing, d.carried.departed = nil, nil
	}
	d.mu.Unlock()
	if expired {
		notify(d.sharesWake)
	}
}

// knownRecords is what a user of primaries publishes after a restore of the store: the
// latest records that it had verified before, by service.
type knownRecords struct {
	Era     store.Era                              `json:"era"`
	Records map[topology.ServiceID]failover.Record `json:"records"`
}

// recordsBeforeRestore returns the latest verified records of the services that this
// instance has declared to use, in their stored form. It returns nil if there are none from
// before the last restore.
func (d *Daemon) recordsBeforeRestore() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := knownRecords{Era: d.era.number, Records: make(map[topology.ServiceID]failover.Record)}
	for service, record := range d.records {
		if record.Era < d.era.number && slices.Contains(d.declaredServices, service) {
			known.Records[service] = record.Record
		}
	}
	if len(known.Records) == 0 {
		return nil
	}
	encoded, err := json.Marshal(known)
	if err != nil {
		panic("encode known records: " + err.Error())
	}
	return encoded
}

// addKnownRecords adds to a service's view what its users and this leader had verified
// before the store was restored. The caller holds d.mu.
func (d *Daemon) addKnownRecords(service topology.ServiceID, view *failover.View) {
	d.mirror.ForEach(prefixKnown, func(entry store.Entry) {
		var known knownRecords
		if err := json.Unmarshal(entry.Value, &known); err != nil {
			eventEntryUnreadable.LogError(d.log, err, "key", entry.Key)
			return
		}
		if record, knows := known.Records[service]; knows && known.Era == d.era.number {
			view.Known = append(view.Known, record)
		}
	})
	own, knows := d.records[service]
	if !knows || !d.leadership.ledThrough(d.era.number, service) {
		return
	}
	// A user that has not seen a fence attests that nobody else has replaced the primary.
	attested := slices.ContainsFunc(view.Known, func(r failover.Record) bool { return r == own.Record })
	view.Known = append(view.Known, own.Record)
	view.LedThroughout = attested && view.LatestKnown() == own.Record
}

// settledEraTransaction returns the transaction that records that all authority from before
// the last restore has expired, or false if it has not or this is recorded.
func (d *Daemon) settledEraTransaction() (store.Transaction, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.mirror.Get(keySettledEra)
	if d.era.number == 0 || d.clock()-d.era.since < authority.FenceWait || string(entry.Value) == d.era.text() {
		return store.Transaction{}, false
	}
	return store.Transaction{Expect: []store.Expectation{{Key: keySettledEra, Revision: entry.Revision}},
		Puts: []store.Put{{Key: keySettledEra, Value: []byte(d.era.text())}}}, true
}
