// Package admin serves metrics, health, readiness, status and profiles of a
// process over HTTP. It changes nothing.
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

// Timing of the server.
const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = time.Second
)

// Check returns nil while the process can do its work, or the reason why not.
type Check func() error

// Options say what the server shows.
type Options struct {
	Registry *prometheus.Registry
	// Ready decides /readyz, which balancers ask.
	Ready Check
	// Status returns a value that is written as JSON at /status.
	Status func() any
}

// Server is the admin server of a process.
type Server struct {
	http *http.Server
}

// New returns a server that does not listen yet.
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

// Serve answers requests on the listener until ctx ends.
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

func writeCheck(w http.ResponseWriter, check Check) {
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
