package daemon

import (
	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// noRecords is the session.Directory used before the first configuration: it contains
// no keys and no routes.
type noRecords struct{}

var emptyDirectory noRecords

// Key implements session.Directory.
func (noRecords) Key(topology.KeyID) (record.Key, bool) { return record.Key{}, false }

// Route implements session.Directory.
func (noRecords) Route(string) (record.Route, bool) { return record.Route{}, false }

// configurationChanged applies a new configuration state: it builds a snapshot, logs
// the records that the snapshot rejects, updates limits and services and publishes the
// snapshot. Services are updated first, so that sessions never see a route whose
// service does not exist yet. It is called from one goroutine, in order of revisions.
func (d *Daemon) configurationChanged(state config.State) {
	next, rejections := snapshot.Build(d.snapshots.Current(), state)
	for _, rejection := range rejections {
		eventRecordRejected.LogError(d.logger, rejection.Err, "key", rejection.Key, "revision", rejection.Revision)
	}
	d.applyLimits(next)
	d.services.update(next)
	if d.snapshots.Publish(next) {
		d.configuredAt.CompareAndSwap(0, max(1, int64(d.clock())))
		eventConfigurationApplied.Log(d.logger, "revision", next.Revision(), "services", len(next.Services()), "rejected", len(rejections))
	}
}

// callerConfig returns the configuration of the server for callers: default bounds and,
// if the settings name a key pair, TLS with that certificate.
func (d *Daemon) callerConfig() (caller.Config, error) {
	var cfg caller.Config
	keyPair := d.settings.TLS.Callers
	if keyPair == nil {
		return cfg, nil
	}
	certificate, err := caller.LoadCertificate(keyPair.Certificate, keyPair.Key, d.logger)
	if err != nil {
		return cfg, err
	}
	d.callerCertificate = certificate
	cfg.TLS = certificate.Config()
	return cfg, nil
}
