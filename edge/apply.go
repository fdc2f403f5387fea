package edge

import (
	"slices"
	"strings"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

func (d *Daemon) apply(changes []store.Change) {
	var changed []string
	d.mu.Lock()
	for _, change := range changes {
		if d.mirror.Apply(change) {
			changed = append(changed, change.Key)
		}
	}
	d.mu.Unlock()
	d.changed(changed)
}

// changed passes changes of keys on to whom they concern.
func (d *Daemon) changed(keys []string) {
	targets, shares, groups := false, false, false
	for _, key := range keys {
		switch {
		case key == d.adapter.ConfigurationKey:
			d.applyConfiguration()
			targets, shares, groups = true, true, true
		case strings.HasPrefix(key, d.adapter.TargetPrefix):
			targets = true
		case strings.HasPrefix(key, prefixSuspects):
			shares = true
			if service, from := cutOwner(prefixSuspects, key); from != d.settings.Instance && slices.Contains(d.declaredUses(), service) {
				go d.suspects.verify(d.ctx, service)
			}
		case strings.HasPrefix(key, prefixInstances):
			shares = true
		case strings.HasPrefix(key, prefixGroups):
			groups, shares = true, true
		}
	}
	if targets {
		d.applyTargets()
	}
	if groups {
		d.applyRecords()
	}
	if shares {
		notify(d.sharesWake)
	}
	if len(keys) > 0 {
		d.wakeLead()
	}
}

func (d *Daemon) applyConfiguration() {
	d.mu.Lock()
	entry := d.mirror.Get(d.adapter.ConfigurationKey)
	d.mu.Unlock()
	if entry.Revision == 0 {
		return
	}
	c, err := d.adapter.DecodeCatalog(entry)
	if err != nil {
		eventConfigBroken.LogError(d.log, err, "revision", entry.Revision)
		return
	}
	if d.engine.SetCatalog(c) {
		eventConfigApply.Log(d.log, "version", c.Version, "revision", c.Revision,
			"routes", len(c.Routes), "customers", len(c.Customers), "keys", len(c.Keys))
	}
}

// applyTargets hands each service its targets.
func (d *Daemon) applyTargets() {
	byService := make(map[topology.ServiceID]targetMap)
	for _, id := range d.engine.Services() {
		byService[id] = make(targetMap)
	}
	d.mu.Lock()
	d.mirror.ForEach(d.adapter.TargetPrefix, func(entry store.Entry) {
		t, err := d.adapter.DecodeTarget(entry)
		if err != nil {
			if d.brokenTargets[entry.Key] != entry.Revision {
				d.brokenTargets[entry.Key] = entry.Revision
				eventTargetBroken.LogError(d.log, err, "key", entry.Key)
			}
			return
		}
		if targets, known := byService[t.Service]; known {
			targets[t.ID] = t
		}
	})
	d.targets = byService
	d.mu.Unlock()
	for id, targets := range byService {
		d.engine.SetTargets(id, targets)
		d.logChange(eventTargets, "targets of "+string(id), "service", id, "targets", targets.String())
	}
}

// applyRecords hands each service its record.
func (d *Daemon) applyRecords() {
	records := make(map[topology.ServiceID]groupRecord)
	d.mu.Lock()
	d.mirror.ForEach(prefixGroups, func(entry store.Entry) {
		record, err := decodeGroup(entry)
		if err != nil {
			eventTargetBroken.LogError(d.log, err, "key", entry.Key)
			return
		}
		service := topology.ServiceID(strings.TrimPrefix(entry.Key, prefixGroups))
		if d.records[service].revision >= record.revision {
			return
		}
		d.records[service] = record
		records[service] = record
	})
	d.mu.Unlock()
	for service, r := range records {
		d.engine.SetRecord(service, r.Record, r.revision)
		eventRecord.Log(d.log, "service", service, "primary", r.Primary, "term", r.Term,
			"fenced", r.Fenced, "sequence", r.Sequence, "revision", r.revision)
		if r.Fenced && slices.Contains(d.declaredUses(), service) {
			go d.yield(service, r.Record)
		}
	}
	if len(records) > 0 && len(d.declaredUses()) > 0 {
		d.wakeConfirm()
	}
}
