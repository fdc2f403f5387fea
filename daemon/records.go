package daemon

import (
	"crypto/tls"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/settings"
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
		eventAccepted.Log(d.logger, "revision", next.Revision(), "services", len(next.Services()), "rejected", len(rejections))
	}
}

// callerConfig sets the bounds of the caller server and its certificate.
func (d *Daemon) callerConfig() (caller.Config, error) {
	var cfg caller.Config
	if pair := d.settings.TLS.Callers; pair != nil {
		config, err := certificate(pair)
		if err != nil {
			return cfg, err
		}
		cfg.TLS = config
	}
	return cfg, nil
}

// certificate loads a certificate for a server.
func certificate(pair *settings.KeyPair) (*tls.Config, error) {
	loaded, err := tls.LoadX509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s", pair.Certificate)
	}
	return &tls.Config{Certificates: []tls.Certificate{loaded}, MinVersion: tls.VersionTLS12}, nil
}
