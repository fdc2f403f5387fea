// Package admin serves the metrics, health, readiness, status and profiles of a
// process over HTTP. All its endpoints are read-only.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
)

const (
	// headerTimeout is how long a client may take to send the header of a request.
	headerTimeout = 5 * time.Second
	// shutdownTimeout is how long open requests may continue during shutdown.
	shutdownTimeout = time.Second
)

// ReadinessCheck returns nil when the process is ready to serve requests, or the
// reason why it is not.
type ReadinessCheck func() error

// Options configures a Server.
type Options struct {
	// Registry holds the metrics that are served at /metrics.
	Registry *prometheus.Registry
	// Ready determines the response of /readyz, which load balancers probe.
	Ready ReadinessCheck
	// Status returns the value that is served as JSON at /status.
	Status func() any
}

// Server is the HTTP server for operators, load balancers and monitoring.
type Server struct {
	http *http.Server
}

// New returns a server. It starts to respond to requests with Serve.
func New(options Options) *Server {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(options.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { writeCheck(w, options.Ready) })
	mux.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, options.Status()) })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return &Server{http: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}}
}

// Serve serves requests on the listener until ctx is done. It then shuts the server
// down and returns the error of ctx.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, s.shutdown)
	defer stop()
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return eris.Wrapf(err, "serve admin on %s", listener.Addr())
}

func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.http.Shutdown(ctx)
}

func writeCheck(w http.ResponseWriter, check ReadinessCheck) {
	if err := check(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
