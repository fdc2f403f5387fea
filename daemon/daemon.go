// Package daemon assembles an entry daemon: it constructs the platform clients,
// the peer mesh, the drivers of configuration, membership, ledger and database
// groups, the connection pools and the servers for callers and operators, connects
// them and runs them until shutdown. Every protocol decision is made in those
// components.
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

// Events in the log of a daemon.
var (
	eventListening            = event.Define(1201, event.Info, "daemon listening")
	eventDraining             = event.Define(1202, event.Info, "daemon draining")
	eventStopped              = event.Define(1203, event.Info, "daemon stopped")
	eventConfigurationApplied = event.Define(1204, event.Info, "configuration applied")
	eventRecordRejected       = event.Define(1205, event.Warning, "record rejected")
	eventSlotsNotReleased     = event.Define(1207, event.Warning, "slots not released at shutdown")
	eventCredentialMissing    = event.Define(1206, event.Warning, "settings have no credential for a service")
)

// errStopped is the cancellation cause set by Stop.
var errStopped = eris.New("daemon stopped")

// errAborted is the cancellation cause set by Abort: Run does not drain.
var errAborted = eris.New("daemon aborted")

// Options are the inputs of New.
type Options struct {
	Settings *settings.Settings
	Platform Platform
	Logger   logr.Logger
	// Clock is the monotonic clock; nil selects the system clock.
	Clock clock.Clock
}

// Daemon is one entry daemon. New opens its listeners, Run serves until Stop, which
// drains callers, or Abort, which does not. Fields other than snapshots and configuredAt
// are set by New and do not change afterwards.
type Daemon struct {
	settings *settings.Settings
	platform Platform
	logger   logr.Logger
	clock    clock.Clock

	mesh         *peer.Mesh
	config       *config.Driver
	instances    *instanceTracker
	membership   *membership.Driver
	ledger       *ledger.Driver
	snapshots    snapshot.Holder
	services     *serviceSet
	callerServer *caller.Server
	// callerCertificate is the TLS certificate presented to callers; nil without TLS.
	callerCertificate *caller.Certificate
	adminServer       *admin.Server
	registry          *prometheus.Registry
	promotionMetrics  promotionMetrics

	// configuredAt is the time at which the first configuration was applied, in
	// monotonic nanoseconds; zero before that.
	configuredAt atomic.Int64

	listeners listeners
	// ctx is canceled by Stop and Abort; its cause is errStopped or errAborted.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// New builds a daemon and opens its listeners. Nothing is served before Run.
func New(o Options) (*Daemon, error) {
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	d := &Daemon{
		settings:         o.Settings,
		platform:         o.Platform,
		logger:           o.Logger.WithValues("instance", o.Settings.Instance),
		clock:            o.Clock,
		registry:         prometheus.NewRegistry(),
		promotionMetrics: newPromotionMetrics(),
	}
	d.ctx, d.cancel = context.WithCancelCause(context.Background())
	if err := d.listeners.open(o.Settings); err != nil {
		return nil, err
	}
	if err := d.buildComponents(); err != nil {
		d.listeners.close()
		return nil, err
	}
	if err := d.buildCallerServer(); err != nil {
		d.listeners.close()
		return nil, err
	}
	d.buildAdminServer()
	return d, nil
}

// buildComponents creates the components that do not depend on callers and connects
// their callbacks.
func (d *Daemon) buildComponents() error {
	self := d.self()
	identity, err := d.listeners.enablePeerTLS(d.settings.TLS.Peers)
	if err != nil {
		return err
	}
	d.mesh = peer.New(peer.Config{
		Instance: self.ID, FailureDomain: self.FailureDomain, Address: self.Peer,
		Identity: identity, Seeds: d.settings.Seeds, KnownInstances: d.knownInstances,
	}, d.logger)
	d.config = config.New(config.Config{Self: self, Seed: randomSeed()}, d.platform.Store, d.mesh, d.clock, d.logger)
	incarnation := newIncarnation()
	d.instances = newInstanceTracker(d)
	d.membership = newMembershipDriver(d, incarnation)
	d.ledger = ledger.New(incarnation, d.mesh, d.clock, d.logger)
	d.services = newServiceSet(d)
	d.mesh.OnLinkUp(d.instances.peerConnected)
	d.mesh.Handle(peer.KindHeartbeat, d.membership.Receive)
	d.mesh.Handle(peer.KindLedger, d.ledger.Receive)
	d.mesh.Handle(peer.KindConfig, d.config.Receive)
	d.mesh.Handle(peer.KindGroup, d.services.groups.Receive)
	d.config.Subscribe(d.configurationChanged)
	d.membership.Subscribe(d.instances.viewChanged)
	d.membership.Subscribe(d.ledger.MembershipChanged)
	return nil
}

// buildCallerServer creates the executor and the server that callers connect to.
func (d *Daemon) buildCallerServer() error {
	executor := execute.New(execute.Config{OwnDomain: d.settings.FailureDomain}, execute.Deps{
		Directory: d.directory,
		Gate:      freshnessGate{d.config},
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
	d.callerServer = caller.New(cfg, caller.Deps{
		Directory:  d.directory,
		CheckFresh: freshnessGate{d.config}.CheckFresh,
		Handler:    executor,
		NewFloor:   func() session.Floor { return floor.New() },
		Logger:     d.logger,
	})
	d.snapshots.Subscribe(func(s *snapshot.Snapshot) { d.callerServer.SnapshotChanged(s) })
	return nil
}

// buildAdminServer registers the metrics and creates the server for metrics,
// readiness and status.
func (d *Daemon) buildAdminServer() {
	d.registerMetrics()
	d.adminServer = admin.New(admin.Options{Registry: d.registry, Ready: d.Ready, Status: d.status})
}

// self returns this instance as peers and the membership see it.
func (d *Daemon) self() platform.Instance {
	return platform.Instance{
		ID: d.settings.Instance, Peer: d.listeners.peerAddress(d.settings),
		FailureDomain: d.settings.FailureDomain, State: platform.InstanceLive,
	}
}

// directory returns the records of the applied configuration, or an empty directory
// before the first one.
func (d *Daemon) directory() session.Directory {
	if current := d.snapshots.Current(); current != nil {
		return current
	}
	return emptyDirectory
}

// Context returns a context that is canceled when Stop or Abort is called.
func (d *Daemon) Context() context.Context { return d.ctx }

// CallerAddress returns the address of the listener for callers.
func (d *Daemon) CallerAddress() net.Addr { return d.listeners.callers.Addr() }

// PeerAddress returns the address of the listener for peers.
func (d *Daemon) PeerAddress() net.Addr { return d.listeners.peers.Addr() }

// AdminAddress returns the address of the admin server.
func (d *Daemon) AdminAddress() net.Addr { return d.listeners.admin.Addr() }

// Stop makes Run drain callers and return. The argument is ignored; it lets Stop
// serve as the interrupt function of a run.Group.
func (d *Daemon) Stop(error) { d.cancel(errStopped) }

// Abort makes Run return without draining: connections with open requests are closed.
func (d *Daemon) Abort() { d.cancel(errAborted) }

// IsStop reports whether an error returned by Run, or by a run.Group around it, stands
// for a requested shutdown and not for a failure.
func IsStop(err error) bool {
	var signal run.SignalError
	return errors.Is(err, errStopped) || errors.Is(err, errAborted) || errors.Is(err, context.Canceled) || errors.As(err, &signal)
}

// randomSeed returns a random number generator seed that differs between calls and
// processes.
func randomSeed() uint64 { return maphash.Comparable(maphash.MakeSeed(), time.Now()) }
