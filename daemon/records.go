package daemon

import (
	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// noRecords is the directory before the first configuration.
type noRecords struct{}

var emptyDirectory noRecords

// Key finds nothing.
func (noRecords) Key(topology.KeyID) (record.Key, bool) { return record.Key{}, false }

// Route finds nothing.
func (noRecords) Route(string) (record.Route, bool) { return record.Route{}, false }

// configurationChanged builds a snapshot of a new state and puts it into force.
// The services follow before sessions see the new records. It is called from one
// goroutine, in the order of revisions.
func (d *Daemon) configurationChanged(state config.State) {
	next, rejections := snapshot.Build(d.records.Current(), state)
	for _, rejection := range rejections {
		eventRejected.LogError(d.logger, rejection.Err, "key", rejection.Key, "revision", rejection.Revision)
	}
	d.limitsChanged(next)
	d.services.apply(next)
	if d.records.Publish(next) {
		d.inForceSince.CompareAndSwap(0, max(1, int64(d.clock())))
		eventAccepted.Log(d.logger, "revision", next.Revision(), "services", len(next.Services()), "rejected", len(rejections))
	}
}

// callerConfig sets the bounds of the caller server and its certificate.
func (d *Daemon) callerConfig() (caller.Config, error) {
	var cfg caller.Config
	pair := d.settings.TLS.Callers
	if pair == nil {
		return cfg, nil
	}
	certificate, err := caller.LoadCertificate(pair.Certificate, pair.Key, d.logger)
	if err != nil {
		return cfg, err
	}
	d.certificate = certificate
	cfg.TLS = certificate.Config()
	return cfg, nil
}
