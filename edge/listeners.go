package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
)

// Times of a stop, as parts of the grace.
const (
	// leaveDelay is how long callers still come after readiness is withdrawn: two
	// probes a second apart, and a margin.
	leaveDelay = 2300 * time.Millisecond
	// leaveSpread is the time over which resting sessions are ended, so that they
	// do not all come back elsewhere at once.
	leaveSpread = 1200 * time.Millisecond
	// exitMargin is kept of the grace for the end of the process.
	exitMargin = 500 * time.Millisecond
)

// ReadinessFunc returns the handler of the balancer's probe.
type ReadinessFunc func(ready func() bool) http.Handler

type listeners struct {
	callers, peers, readiness, metrics net.Listener
}

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", d.settings.CallerAddress); err != nil {
		return l, eris.Wrap(err, "listen for callers")
	}
	if l.peers, err = net.Listen("tcp", d.settings.PeerAddress); err != nil {
		return l, eris.Wrap(err, "listen for peers")
	}
	if l.readiness, err = net.Listen("tcp", d.settings.ReadinessAddress); err != nil {
		return l, eris.Wrap(err, "listen for readiness probes")
	}
	if d.settings.MetricsAddress != "" {
		if l.metrics, err = net.Listen("tcp", d.settings.MetricsAddress); err != nil {
			return l, eris.Wrap(err, "listen for metrics")
		}
	}
	return l, nil
}

// add adds the listeners and the signals to the run group.
func (l listeners) add(group *run.Group, d *Daemon) {
	group.Add(func() error { return d.accept(l.callers) }, func(error) { _ = l.callers.Close() })
	addHTTP(group, l.peers, d.mesh)
	addHTTP(group, l.readiness, d.adapter.Readiness(d.ready))
	if l.metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("/metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
		addHTTP(group, l.metrics, mux)
	}
	group.Add(d.waitForSignal, func(error) { d.cancel() })
}

func addHTTP(group *run.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve http")
		}
		return nil
	}, func(error) { _ = server.Close() })
}

func (d *Daemon) accept(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			eventSessionFailed.Log(d.log, "step", "accept", "error", err.Error())
			pause(d.ctx, 10*time.Millisecond)
			continue
		}
		go d.serve(conn)
	}
}

// waitForSignal leaves in good order on SIGTERM.
func (d *Daemon) waitForSignal() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-d.ctx.Done():
		return nil
	case received := <-signals:
		eventStopping.Log(d.log, "signal", received.String(), "sessions", d.callers.count())
	}
	d.leave()
	return errStopped
}

// leave ends the sessions where they rest and gives the duty away.
func (d *Daemon) leave() {
	started := time.Now()
	exit := started.Add(d.settings.Grace - exitMargin)
	d.stopping.Store(true)
	d.announceLeaving()
	d.resignDuty()
	pause(d.ctx, leaveDelay)
	sessions := d.callers.all()
	for i, one := range sessions {
		one.leave()
		if wait := time.Until(started.Add(leaveDelay + leaveSpread*time.Duration(i)/time.Duration(len(sessions)))); wait > 0 {
			pause(d.ctx, wait)
		}
	}
	for (d.callers.count() > 0 || d.relay.Busy()) && time.Now().Before(exit) {
		for _, one := range d.callers.all() {
			one.leave()
		}
		pause(d.ctx, 20*time.Millisecond)
	}
	d.unregister()
}

// resignDuty gives the duty to another instance.
func (d *Daemon) resignDuty() {
	d.mu.Lock()
	entry := d.mirror.Get(keyDuty)
	d.mu.Unlock()
	if string(entry.Value) != d.incarnation() {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	if err := d.deleteAt(ctx, entry); err != nil {
		d.storeFailed("resign duty", err)
	}
}

// unregister ends the registration, so that others need not wait for its lapse.
func (d *Daemon) unregister() {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	d.tenure.ObserveExpiry()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, exitMargin/2)
	defer cancel()
	if err := d.store.Revoke(ctx, lease); err != nil {
		d.storeFailed("unregister", err)
	}
}
