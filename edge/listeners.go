package edge

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
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
