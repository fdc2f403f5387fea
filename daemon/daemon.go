// Package daemon wires the parts of an entry daemon: platform, peer links,
// configuration, membership, ledger, groups, pools, callers and the admin
// server. It takes no decisions of its own.
package daemon

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"slices"
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

// A daemon is ready settleTime after its first configuration, when its parts of
// the rates have begun to refill, and once it knows who holds each slot, so that
// it can borrow. After settleLimit it is ready without that.
const (
	settleTime  = 500 * time.Millisecond
	settleLimit = 3 * time.Second
)

// leaveTimeout bounds the time that giving back shares takes at shutdown.
const leaveTimeout = 2 * time.Second

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
		Identity: identity, Seeds: d.settings.Seeds, Known: d.knownInstances,
	}, d.logger)
	d.config = config.New(config.Config{Self: self, Seed: randomSeed()}, d.platform.Store, d.mesh, d.clock, d.logger)
	first := firstID()
	d.members = newMembers(d)
	d.fleet = newMembership(d, first)
	d.ledger = ledger.New(first, d.mesh, d.clock, d.logger)
	d.services = newServices(d)
	d.mesh.OnUp(d.members.linkUp)
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
	executor := execute.New(execute.Config{Own: d.settings.FailureDomain}, execute.Deps{
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
		Directory: d.directory,
		Fresh:     gate{d.config}.Fresh,
		Handler:   executor,
		NewFloor:  func() session.Floor { return floor.New() },
		Logger:    d.logger,
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

// Run serves until Stop, then drains and ends every part.
func (d *Daemon) Run() error {
	defer d.listeners.close()
	parts, stopParts := context.WithCancel(context.Background())
	defer stopParts()
	var group run.Group
	for _, part := range d.parts() {
		group.Add(func() error { return part(parts) }, func(error) { stopParts() })
	}
	group.Add(d.serveCallers, d.Stop)
	eventListening.Log(d.logger, "callers", d.CallerAddress().String(), "peers", d.PeerAddress().String(), "admin", d.AdminAddress().String())
	err := group.Run()
	d.services.close()
	eventStopped.Log(d.logger)
	return err
}

// parts returns what runs beside the callers. Each ends with its context.
func (d *Daemon) parts() []func(context.Context) error {
	parts := []func(context.Context) error{
		d.mesh.Run,
		d.servePeers,
		d.config.Run,
		d.fleet.Run,
		d.ledger.Run,
		d.services.groups.Run,
		func(ctx context.Context) error { return d.admin.Serve(ctx, d.listeners.admin) },
	}
	if d.certificate != nil {
		parts = append(parts, d.certificate.Run)
	}
	return parts
}

// serveCallers accepts callers until Stop, then drains them. The other parts go
// on meanwhile, since open requests need them.
func (d *Daemon) serveCallers() error {
	err := d.callers.Serve(d.ctx, d.listeners.callers)
	<-d.ctx.Done()
	cause := context.Cause(d.ctx)
	timeout := d.settings.DrainTimeout()
	if errors.Is(cause, errAborted) {
		timeout = 0
	}
	eventDraining.Log(d.logger, "timeout", timeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	drained := d.callers.Drain(ctx)
	d.leave()
	if drained != nil && timeout > 0 {
		return drained
	}
	if err != nil {
		return err
	}
	return cause
}

// leave gives this instance's shares to the others.
func (d *Daemon) leave() {
	d.ledger.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.fleet.Drain(ctx); err != nil {
		eventKept.LogError(d.logger, err)
	}
}

// knownInstances returns the platform's list for peers that have not read it.
func (d *Daemon) knownInstances() []platform.Instance { return d.members.Known() }

// Ready returns nil when balancers may send callers here, or the reason why not.
func (d *Daemon) Ready() error {
	if d.ctx.Err() != nil {
		return errStopped
	}
	since := d.inForceSince.Load()
	if since == 0 {
		return eris.New("no configuration yet")
	}
	if !d.settled(d.clock() - time.Duration(since)) {
		return eris.New("shares of rates and connections are being settled")
	}
	return d.config.Fresh()
}

// settled reports whether requests find tokens and connections, some time after
// the first configuration.
func (d *Daemon) settled(since time.Duration) bool {
	if since >= settleLimit {
		return true
	}
	return since >= settleTime && !slices.Contains(d.fleet.View().Holders, "")
}

// randomSeed returns a seed that differs between processes.
func randomSeed() uint64 { return maphash.Comparable(maphash.MakeSeed(), time.Now()) }
