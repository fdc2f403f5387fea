// Package daemon wires the parts of an entry daemon: platform, peer links,
// configuration, membership, ledger, groups, pools, callers and the admin
// server. It takes no decisions of its own.
package daemon

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/connection/floor"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/process/admin"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/config"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/ledger"
	"samphirehitch.example/samphirehitch/process/membership"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/settings"
	"samphirehitch.example/samphirehitch/request/execute"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// Events of the daemon.
var (
	eventListening = event.Define(1201, event.Info, "daemon listening")
	eventDraining  = event.Define(1202, event.Info, "daemon draining")
	eventStopped   = event.Define(1203, event.Info, "daemon stopped")
	eventAccepted  = event.Define(1204, event.Info, "configuration in force")
	eventRejected  = event.Define(1205, event.Warning, "record not in force")
	eventKept      = event.Define(1207, event.Warning, "shares not given back at shutdown")
	eventLogins    = event.Define(1206, event.Warning, "settings hold no credential for a service")
)

// errStopped is the reason with which Stop ends Run.
var errStopped = eris.New("daemon stopped")

// errAborted is the reason with which Abort ends Run.
var errAborted = eris.New("daemon aborted")

// Options are what a daemon is made from.
type Options struct {
	Settings *settings.Settings
	Platform Platform
	Logger   logr.Logger
	// Clock is the monotonic clock; nil means the system's.
	Clock clock.Clock
}

// Daemon is one entry daemon. New listens, Run serves, Stop drains.
type Daemon struct {
	settings *settings.Settings
	platform Platform
	logger   logr.Logger
	clock    clock.Clock

	mesh     *peer.Mesh
	config   *config.Driver
	members  *members
	fleet    *membership.Driver
	ledger   *ledger.Driver
	records  snapshot.Holder
	services *services
	callers  *caller.Server
	// certificate is shown to callers; nil without TLS.
	certificate *caller.Certificate
	admin       *admin.Server
	registry    *prometheus.Registry
	metrics     metrics

	// inForceSince is when the first configuration came into force, in monotonic
	// nanoseconds; zero before that.
	inForceSince atomic.Int64

	listeners listeners
	ctx       context.Context
	cancel    context.CancelCauseFunc
}

// New builds a daemon and opens its listeners.
func New(o Options) (*Daemon, error) {
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	d := &Daemon{
		settings: o.Settings,
		platform: o.Platform,
		logger:   o.Logger.WithValues("instance", o.Settings.Instance),
		clock:    o.Clock,
		registry: prometheus.NewRegistry(),
		metrics:  newMetrics(),
	}
	d.ctx, d.cancel = context.WithCancelCause(context.Background())
	if err := d.listeners.open(o.Settings); err != nil {
		return nil, err
	}
	if err := d.buildProcess(); err != nil {
		d.listeners.close()
		return nil, err
	}
	if err := d.buildCallers(); err != nil {
		d.listeners.close()
		return nil, err
	}
	d.buildAdmin()
	return d, nil
}

// buildProcess makes the parts that live as long as the process.
func (d *Daemon) buildProcess() error {
	self := d.self()
	identity, err := d.listeners.securePeers(d.settings.TLS.Peers)
	if err != nil {
		return err
	}
	d.mesh = peer.New(peer.Config{
		Instance: self.ID, FailureDomain: self.FailureDomain, Address: self.Peer,
		Identity: identity, Seeds: d.settings.Seeds, KnownInstances: d.knownInstances,
	}, d.logger)
	d.config = config.New(config.Config{Self: self, Seed: randomSeed()}, d.platform.Store, d.mesh, d.clock, d.logger)
	first := firstID()
	d.members = newMembers(d)
	d.fleet = newMembership(d, first)
	d.ledger = ledger.New(first, d.mesh, d.clock, d.logger)
	d.services = newServices(d)
	d.mesh.OnLinkUp(d.members.linkUp)
	d.mesh.Handle(peer.KindHeartbeat, d.fleet.Receive)
	d.mesh.Handle(peer.KindLedger, d.ledger.Receive)
	d.mesh.Handle(peer.KindConfig, d.config.Receive)
	d.mesh.Handle(peer.KindGroup, d.services.groups.Receive)
	d.config.Subscribe(d.configurationChanged)
	d.fleet.Subscribe(d.members.viewChanged)
	d.fleet.Subscribe(d.ledger.MembershipChanged)
	return nil
}

// buildCallers makes the parts that serve callers.
func (d *Daemon) buildCallers() error {
	executor := execute.New(execute.Config{OwnDomain: d.settings.FailureDomain}, execute.Deps{
		Directory: d.directory,
		Gate:      gate{d.config},
		Admitter:  d.ledger,
		Groups:    d.services,
		Pools:     d.services,
		Clock:     d.clock,
		Logger:    d.logger,
	})
	cfg, err := d.callerConfig()
	if err != nil {
		return err
	}
	d.callers = caller.New(cfg, caller.Deps{
		Directory:  d.directory,
		CheckFresh: gate{d.config}.CheckFresh,
		Handler:    executor,
		NewFloor:   func() session.Floor { return floor.New() },
		Logger:     d.logger,
	})
	d.records.Subscribe(func(s *snapshot.Snapshot) { d.callers.SnapshotChanged(s) })
	return nil
}

func (d *Daemon) buildAdmin() {
	d.registerMetrics()
	d.admin = admin.New(admin.Options{Registry: d.registry, Ready: d.Ready, Status: d.status})
}

// self describes this instance to peers.
func (d *Daemon) self() platform.Instance {
	return platform.Instance{
		ID: d.settings.Instance, Peer: d.listeners.peerAddress(d.settings),
		FailureDomain: d.settings.FailureDomain, State: platform.InstanceLive,
	}
}

// directory returns the records in force.
func (d *Daemon) directory() session.Directory {
	if current := d.records.Current(); current != nil {
		return current
	}
	return emptyDirectory
}

// Context ends when the daemon stops.
func (d *Daemon) Context() context.Context { return d.ctx }

// CallerAddress is where callers reach the daemon.
func (d *Daemon) CallerAddress() net.Addr { return d.listeners.callers.Addr() }

// PeerAddress is where peers reach the daemon.
func (d *Daemon) PeerAddress() net.Addr { return d.listeners.peers.Addr() }

// AdminAddress is where the admin server listens.
func (d *Daemon) AdminAddress() net.Addr { return d.listeners.admin.Addr() }

// Stop ends Run, which drains first.
func (d *Daemon) Stop(error) { d.cancel(errStopped) }

// Abort ends Run without draining: open requests are cut.
func (d *Daemon) Abort() { d.cancel(errAborted) }

// IsStop reports whether an error of Run means an ordinary stop.
func IsStop(err error) bool {
	var signal run.SignalError
	return errors.Is(err, errStopped) || errors.Is(err, errAborted) || errors.Is(err, context.Canceled) || errors.As(err, &signal)
}

// randomSeed returns a seed that differs between processes.
func randomSeed() uint64 { return maphash.Comparable(maphash.MakeSeed(), time.Now()) }
