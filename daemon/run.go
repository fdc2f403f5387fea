package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
)

// A daemon reports ready minReadyDelay after its first configuration, when its shares of
// the rate limits have begun to refill, and not before it knows the holder of each
// slot, from whom it can borrow. After maxReadyDelay it is ready without knowing them.
const (
	minReadyDelay = 500 * time.Millisecond
	maxReadyDelay = 3 * time.Second
)

// slotReleaseTimeout bounds the release of this instance's slots at shutdown.
const slotReleaseTimeout = 2 * time.Second

// Run serves until Stop or Abort, or until a component fails. On Stop it drains callers
// first. It then stops all components and returns the error that caused the shutdown;
// IsStop recognizes a requested one.
func (d *Daemon) Run() error {
	defer d.listeners.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	for _, component := range d.components() {
		group.Add(func() error { return component(ctx) }, func(error) { cancel() })
	}
	group.Add(d.serveCallers, d.Stop)
	eventListening.Log(d.logger, "callers", d.CallerAddress().String(), "peers", d.PeerAddress().String(), "admin", d.AdminAddress().String())
	err := group.Run()
	d.services.close()
	eventStopped.Log(d.logger)
	return err
}

// components returns the run functions of everything except the server for callers.
// Each returns when its context is canceled.
func (d *Daemon) components() []func(context.Context) error {
	components := []func(context.Context) error{
		d.mesh.Run,
		d.servePeers,
		d.config.Run,
		d.membership.Run,
		d.ledger.Run,
		d.services.groups.Run,
		func(ctx context.Context) error { return d.adminServer.Serve(ctx, d.listeners.admin) },
	}
	if d.callerCertificate != nil {
		components = append(components, d.callerCertificate.Run)
	}
	return components
}

// serveCallers accepts callers until Stop, then drains them and releases this
// instance's shares. The other components keep running meanwhile, because open
// requests need them. On Abort the drain timeout is zero.
func (d *Daemon) serveCallers() error {
	serveErr := d.callerServer.Serve(d.ctx, d.listeners.callers)
	<-d.ctx.Done()
	cause := context.Cause(d.ctx)
	timeout := d.settings.DrainTimeout()
	if errors.Is(cause, errAborted) {
		timeout = 0
	}
	eventDraining.Log(d.logger, "timeout", timeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	drainErr := d.callerServer.Drain(ctx)
	d.releaseShares()
	if drainErr != nil && timeout > 0 {
		return drainErr
	}
	if serveErr != nil {
		return serveErr
	}
	return cause
}

// releaseShares returns this instance's shares of rates and connections to the fleet.
// Connections to targets are closed before the slots are released, since they count
// against the shares that the next holders receive.
func (d *Daemon) releaseShares() {
	d.ledger.Drain()
	d.services.close()
	d.ledger.PoolsClosed()
	ctx, cancel := context.WithTimeout(context.Background(), slotReleaseTimeout)
	defer cancel()
	if err := d.membership.Drain(ctx); err != nil {
		eventSlotsNotReleased.LogError(d.logger, err)
	}
}

// knownInstances returns the platform's list as last read. The mesh sends it to peers
// that have not read it themselves.
func (d *Daemon) knownInstances() []platform.Instance { return d.instances.Known() }

// Ready returns nil if load balancers may send callers to this instance, or else the
// reason why not.
func (d *Daemon) Ready() error {
	if d.ctx.Err() != nil {
		return errStopped
	}
	configuredAt := d.configuredAt.Load()
	if configuredAt == 0 {
		return eris.New("no configuration yet")
	}
	if !d.sharesReady(d.clock() - time.Duration(configuredAt)) {
		return eris.New("shares of rates and connections are not established yet")
	}
	return d.config.CheckFresh()
}

// sharesReady reports whether requests can be expected to find rate tokens and
// connections, given the time since the first configuration was applied.
func (d *Daemon) sharesReady(sinceConfigured time.Duration) bool {
	if sinceConfigured >= maxReadyDelay {
		return true
	}
	return sinceConfigured >= minReadyDelay && !slices.Contains(d.membership.View().Holders, "")
}
