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

// A daemon is ready settleTime after its first configuration, when its parts of
// the rates have begun to refill, and once it knows who holds each slot, so that
// it can borrow. After settleLimit it is ready without that.
const (
	settleTime  = 500 * time.Millisecond
	settleLimit = 3 * time.Second
)

// leaveTimeout bounds the time that giving back shares takes at shutdown.
const leaveTimeout = 2 * time.Second

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

// leave gives this instance's shares to the others, its connections to targets
// closed before the slots that they count against.
func (d *Daemon) leave() {
	d.ledger.Drain()
	d.services.close()
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
	return d.config.CheckFresh()
}

// settled reports whether requests find tokens and connections, some time after
// the first configuration.
func (d *Daemon) settled(since time.Duration) bool {
	if since >= settleLimit {
		return true
	}
	return since >= settleTime && !slices.Contains(d.fleet.View().Holders, "")
}
