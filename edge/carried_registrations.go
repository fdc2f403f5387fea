package edge

import (
	"bytes"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// registrationGrace is how long after a restore of the store the registrations that it has
// removed still count. Instances that own services renew every 0.9 s and register again then.
const registrationGrace = 4 * time.Second

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
			d.noteUnreadable(entry, err)
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
