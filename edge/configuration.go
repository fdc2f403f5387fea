package edge

import (
	"time"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/catalog"
)

var (
	eventConfigApplied    = event.Define(2103, event.Info, "configuration applied")
	eventConfigUnreadable = event.Define(2104, event.Failure, "cannot read configuration, the previous one stays in force")
	eventPeerConfig       = event.Define(2107, event.Info, "configuration received from a peer")
	eventConfigIgnored    = event.Define(2112, event.Info, "configuration ignored, its version is not above the one in force")
)

// storedConfiguration describes the configuration that the store last returned.
type storedConfiguration struct {
	revision store.Revision
	// version is zero if the configuration cannot be decoded.
	version uint64
}

// applyConfiguration passes the mirrored configuration to the engine.
func (d *Daemon) applyConfiguration() {
	d.configuring.Lock()
	defer d.configuring.Unlock()
	d.mu.Lock()
	entry := d.mirror.Get(d.adapter.ConfigurationKey)
	d.mu.Unlock()
	if entry.Revision == 0 {
		return
	}
	stored := storedConfiguration{revision: entry.Revision}
	if config := d.enforce(entry); config != nil {
		stored.version = config.Version
	}
	d.mu.Lock()
	d.stored = stored
	d.mu.Unlock()
	if d.authority.ConfirmationAge(d.clock()) < 0 {
		d.wakeConfirm() // the instance cannot serve before the first confirmation
	}
}

// enforce passes a configuration to the engine, which applies it if its version is above
// the one in force: a store that was restored from an older copy may return an earlier one.
// It returns the configuration, or nil if it cannot be decoded. The caller holds
// d.configuring.
func (d *Daemon) enforce(entry store.Entry) *catalog.Catalog {
	config, err := d.adapter.DecodeCatalog(entry)
	if err != nil {
		eventConfigUnreadable.LogError(d.log, err, "revision", entry.Revision.String())
		return nil
	}
	if d.engine.SetCatalog(config) {
		eventConfigApplied.Log(d.log, "version", config.Version, "revision", config.Revision.String(),
			"routes", len(config.Routes), "customers", len(config.Customers), "keys", len(config.Keys))
		for _, conn := range d.callers.snapshot() {
			conn.wakeInTransaction() // its key may have been withdrawn
		}
	} else if inForce := d.engine.Catalog(); inForce.Version != config.Version {
		eventConfigIgnored.Log(d.log, "version", config.Version, "revision", config.Revision.String(),
			"version_in_force", inForce.Version, "revision_in_force", inForce.Revision.String())
		return config
	}
	d.mu.Lock()
	d.inForce = entry
	d.mu.Unlock()
	return config
}

// configurationInForce returns the configuration in force in its stored form.
func (d *Daemon) configurationInForce() store.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inForce
}

// isLatest reports whether the configuration in force was the latest at the time at which
// the store had the configuration at the given revision. It was not if the store has been
// restored and returns an earlier version, or none: then versions that this instance has
// not seen may be lost as well, until the operator has written the latest again.
func (d *Daemon) isLatest(revision store.Revision) bool {
	inForce := d.engine.Catalog()
	d.mu.Lock()
	stored := d.stored
	d.mu.Unlock()
	if inForce == nil || stored.revision < revision || stored.revision.Era() != revision.Era() {
		return false
	}
	return stored.version == 0 || stored.version >= inForce.Version
}

// observePeerConfirmation records that a peer found the configuration's latest version
// in the store at confirmedAt. If this instance has an earlier configuration and does not
// watch the store, it requests the latest from the peer that it follows, which is in the
// same failure domain if possible: configurations may be large.
func (d *Daemon) observePeerConfirmation(from topology.InstanceID, version uint64, confirmedAt time.Duration) {
	config := d.engine.Catalog()
	switch {
	case config == nil:
	case config.Version == version:
		d.authority.ObservePeerConfirmation(confirmedAt)
	case config.Version < version && d.forwardsOnly() && !d.isFollowed(from):
		notify(d.ownerWake)
	case config.Version < version && (d.store.unavailable() || d.forwardsOnly()):
		d.relay.RequestConfiguration(from)
	case config.Version < version:
		d.wakeConfirm()
	}
}

// applyPeerConfiguration applies a configuration that a peer has read from the store. It
// was the latest at confirmedAt, which is negative if unknown. The mirror ignores it if it
// is from before a restore of the store; its version decides nevertheless whether it comes
// into force.
func (d *Daemon) applyPeerConfiguration(from topology.InstanceID, revision store.Revision, value []byte, confirmedAt time.Duration) {
	eventPeerConfig.Log(d.log, "peer", from, "revision", revision.String(), "confirmed_age_ms", (d.clock() - confirmedAt).Milliseconds())
	entry := store.Entry{Key: d.adapter.ConfigurationKey, Value: value, Revision: revision}
	d.applyChanges([]store.Change{{Entry: entry}})
	d.configuring.Lock()
	config := d.enforce(entry)
	d.configuring.Unlock()
	d.handleChangedKeys(nil)
	if inForce := d.engine.Catalog(); confirmedAt >= 0 && config != nil && inForce.Version == config.Version {
		d.authority.ObservePeerConfirmation(confirmedAt)
	}
}
