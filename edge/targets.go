package edge

import (
	"maps"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

var eventTargetsChanged = event.Define(2106, event.Info, "targets changed")

const (
	// missingTargetGrace is how long after the store's return a target whose entry is
	// missing is still used: entries that expired in the meantime are written again within
	// two seconds.
	missingTargetGrace = 2500 * time.Millisecond
	// restoredTargetGrace is how long after a restore of the store entries do not count that
	// are older than known ones. By then the targets have written theirs again, and those of
	// targets that had left have expired.
	restoredTargetGrace = 4 * time.Second
)

// goneTargetMemory is how long an instance remembers that a target's entry was deleted. It
// exceeds the age of the copies from which a store is restored.
const goneTargetMemory = time.Minute

// knownTarget is the latest entry of a target. If it was deleted, goneAt is when.
type knownTarget struct {
	directory.Target
	gone   bool
	goneAt time.Duration
}

// applyTargets passes to each service its targets.
func (d *Daemon) applyTargets() {
	listed, used := make(map[topology.ServiceID]targetMap), make(map[topology.ServiceID]targetMap)
	for _, id := range d.engine.Services() {
		listed[id], used[id] = make(targetMap), make(targetMap)
	}
	d.mu.Lock()
	now := d.clock()
	current := d.currentTargets(now)
	if now < d.storeReturnedAt+missingTargetGrace {
		for id := range used {
			maps.Copy(used[id], d.usedTargets[id])
			maps.DeleteFunc(used[id], d.hasUnreadableEntry)
		}
	}
	for _, t := range current {
		if _, known := listed[t.Service]; known {
			listed[t.Service][t.ID], used[t.Service][t.ID] = t, t
		}
	}
	delisted := d.delistedPrimaries(listed)
	d.targets, d.usedTargets = listed, used
	d.mu.Unlock()
	for _, id := range delisted {
		go d.suspicions.verify(d.ctx, id)
	}
	for id, targets := range used {
		d.engine.SetTargets(id, targets)
		d.logIfChanged(eventTargetsChanged, "targets of "+string(id), "service", id, "targets", targets.String())
	}
}

// delistedPrimaries returns the services of the declared usage whose primary was listed until
// now. Requests no longer connect to it, so that they do not tell whether it can be reached.
// The caller holds d.mu.
func (d *Daemon) delistedPrimaries(listed map[topology.ServiceID]targetMap) []topology.ServiceID {
	var services []topology.ServiceID
	for _, id := range d.declaredServices {
		primary := d.records[id].Primary
		_, before := d.targets[id][primary]
		if _, now := listed[id][primary]; before && !now {
			services = append(services, id)
		}
	}
	return services
}

// isListed reports whether a target of a service is listed.
func (d *Daemon) isListed(service topology.ServiceID, id topology.TargetID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, listed := d.targets[service][id]
	return listed
}

// lastKnownTarget returns a target of a service as it is listed, or as it was listed last. The
// caller holds d.mu.
func (d *Daemon) lastKnownTarget(service topology.ServiceID, id topology.TargetID) (directory.Target, bool) {
	if t, listed := d.targets[service][id]; listed {
		return t, true
	}
	known, seen := d.knownTargets[id]
	return known.Target, seen && known.Service == service
}

// hasUnreadableEntry reports whether a target's entry is there and cannot be decoded, so that
// it is not missing. The caller holds d.mu.
func (d *Daemon) hasUnreadableEntry(id topology.TargetID, _ directory.Target) bool {
	entry := d.mirror.Get(d.adapter.TargetPrefix + string(id))
	return entry.Revision != 0 && d.isUnreadable(entry)
}

// currentTargets returns the listed targets. Soon after a restore of the store, an entry
// that is older than the latest known one of its target does not count. Entries that cannot
// be decoded are logged once and left out. The caller holds d.mu.
func (d *Daemon) currentTargets(now time.Duration) map[topology.TargetID]directory.Target {
	listed := d.decodeTargets()
	restored := d.era.restored && now < d.era.since+restoredTargetGrace
	for id, t := range listed {
		known, seen := d.knownTargets[id]
		switch {
		case !restored || !seen || known.Before(t):
			d.knownTargets[id] = knownTarget{Target: t}
		case known.gone:
			delete(listed, id)
		default:
			listed[id] = known.Target
		}
	}
	for id, known := range d.knownTargets {
		_, present := listed[id]
		switch {
		case present || restored:
		case !known.gone:
			d.knownTargets[id] = knownTarget{Target: known.Target, gone: true, goneAt: now}
		case now-known.goneAt > goneTargetMemory:
			delete(d.knownTargets, id)
		}
	}
	return listed
}

// decodeTargets returns the mirrored targets. The caller holds d.mu.
func (d *Daemon) decodeTargets() map[topology.TargetID]directory.Target {
	d.forgetUnreadable()
	targets := make(map[topology.TargetID]directory.Target)
	d.mirror.ForEach(d.adapter.TargetPrefix, func(entry store.Entry) {
		if d.isUnreadable(entry) {
			return
		}
		t, err := d.adapter.DecodeTarget(entry)
		if err != nil {
			d.noteUnreadable(entry, err)
			return
		}
		targets[t.ID] = t
	})
	return targets
}

// noteStoreReturn records that the store responds again after an outage or a restore, and
// has the targets computed again at the ends of the times in which they are bridged. The
// caller holds d.mu.
func (d *Daemon) noteStoreReturn(now time.Duration) {
	d.storeReturnedAt = now
	d.recomputeTargetsAt = []time.Duration{now + missingTargetGrace, now + restoredTargetGrace}
}

// recomputeTargets computes the targets again if a time in which they are bridged has ended.
func (d *Daemon) recomputeTargets() {
	d.mu.Lock()
	due := len(d.recomputeTargetsAt) > 0 && d.clock() >= d.recomputeTargetsAt[0]
	if due {
		d.recomputeTargetsAt = d.recomputeTargetsAt[1:]
	}
	d.mu.Unlock()
	if due {
		d.applyTargets()
		d.wakeFailover()
	}
}
