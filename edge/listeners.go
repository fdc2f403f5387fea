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

	"samphirehitch.example/samphirehitch/process/store"
)

// Parts of the grace period of a shutdown.
const (
	// readinessDelay is how long callers may still connect after the instance has become
	// unready: until the load balancer has probed it twice, a second apart, and a margin.
	readinessDelay = 2300 * time.Millisecond
	// closeSpread is the time over which the closing of idle connections is spread, so
	// that their callers do not all reconnect to other instances at the same time.
	closeSpread = 1200 * time.Millisecond
	// exitMargin is reserved at the end of the grace period for the process to exit.
	exitMargin = 500 * time.Millisecond
)

// ReadinessFunc returns the handler of the load balancer's readiness probe.
type ReadinessFunc func(ready func() bool) http.Handler

// listeners are the daemon's listeners; metrics is nil if they are not served.
type listeners struct {
	callers, peers, readiness, metrics net.Listener
}

// listen opens all listeners.
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

// add adds the servers of all listeners and the signal handler to the run group.
func (l listeners) add(group *run.Group, d *Daemon) {
	acceptor := newAcceptor(l.callers)
	group.Add(func() error { return d.serveCallers(acceptor) }, func(error) { _ = l.callers.Close() })
	addHTTP(group, l.peers, d.mesh)
	addHTTP(group, l.readiness, d.adapter.Readiness(d.acceptsCallers))
	if l.metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("/metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
		addHTTP(group, l.metrics, mux)
	}
	group.Add(func() error { return d.waitForSignal(acceptor) }, func(error) { d.cancel() })
}

// addHTTP adds an HTTP server to the run group.
func addHTTP(group *run.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve HTTP")
		}
		return nil
	}, func(error) { _ = server.Close() })
}

// acceptor accepts callers' connections.
type acceptor struct {
	listener net.Listener
	// stopped is closed when the last connection has been accepted.
	stopped chan struct{}
}

func newAcceptor(listener net.Listener) *acceptor {
	return &acceptor{listener: listener, stopped: make(chan struct{})}
}

// stop closes the listener and waits until the last connection has been accepted.
func (a *acceptor) stop() {
	_ = a.listener.Close() // fails only if it is closed already
	<-a.stopped
}

// serveCallers accepts callers' connections until the daemon stops. It does not return when
// a shutdown closes the listener: the run group would end everything that the last sessions
// still need.
func (d *Daemon) serveCallers(a *acceptor) error {
	d.accept(a)
	<-d.ctx.Done()
	return nil
}

// accept accepts callers' connections until the listener is closed. Each connection is
// counted before the next one is accepted, so that a shutdown waits for all of them.
func (d *Daemon) accept(a *acceptor) {
	defer close(a.stopped)
	for {
		conn, err := a.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			eventSessionFailed.Log(d.log, "step", "accept", "error", err.Error())
			sleep(d.ctx, 10*time.Millisecond)
			continue
		}
		caller := &callerConn{codec: d.adapter.Accept(conn)}
		go d.serveCaller(caller, d.callers.add(caller))
	}
}

// waitForSignal shuts the daemon down gracefully on SIGTERM or SIGINT.
func (d *Daemon) waitForSignal(a *acceptor) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-d.ctx.Done():
		return nil
	case received := <-signals:
		eventStopping.Log(d.log, "signal", received.String(), "sessions", d.callers.count())
	}
	d.drain(a)
	return errStopped
}

// drain stops serving within the grace period: it marks the registration as leaving and
// the readiness probe as not ready, so that no more requests are sent here, resigns the
// leadership, closes callers' connections as they become idle, waits for requests
// forwarded from other instances, and unregisters.
func (d *Daemon) drain(a *acceptor) {
	started := time.Now()
	deadline := started.Add(d.settings.TerminationGrace - exitMargin)
	d.stopping.Store(true)
	d.announceLeaving()
	d.resignLeadership()
	sleep(d.ctx, readinessDelay)
	conns := d.callers.snapshot()
	for i, conn := range conns {
		conn.closeWhenIdle()
		if wait := time.Until(started.Add(readinessDelay + closeSpread*time.Duration(i)/time.Duration(len(conns)))); wait > 0 {
			sleep(d.ctx, wait)
		}
	}
	d.finishCallers(a, deadline)
	d.unregister()
}

// finishCallers accepts no more connections and waits, until the deadline, until the
// sessions of callers and the operations of other instances have ended. The load balancer
// may send callers here even while this instance is not ready, when too few others are.
func (d *Daemon) finishCallers(a *acceptor, deadline time.Time) {
	a.stop()
	for (d.callers.count() > 0 || d.relay.HasRemoteOperations()) && time.Now().Before(deadline) {
		for _, conn := range d.callers.snapshot() {
			conn.closeWhenIdle()
		}
		sleep(d.ctx, 20*time.Millisecond)
	}
}

// resignLeadership gives up the leadership if this instance holds it, so that another
// instance can acquire it immediately.
func (d *Daemon) resignLeadership() {
	d.mu.Lock()
	entry := d.mirror.Get(keyLeadership)
	d.mu.Unlock()
	if string(entry.Value) == d.leadershipValue() {
		d.endLeadership(d.ctx, entry)
	}
}

// unregister removes the registration, so that other instances need not wait until it
// expires.
func (d *Daemon) unregister() {
	d.mu.Lock()
	lease := d.lease.id
	d.mu.Unlock()
	d.authority.ObserveExpiry()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(store.WithPurpose(d.ctx, purposeRegister), exitMargin/2)
	defer cancel()
	if err := d.store.Revoke(ctx, lease); err != nil {
		d.storeFailed("unregister", err)
	}
}
