// Package kv runs a stand-in for two services of the platform on one address: the
// key-value store with leases and watches, and the list of instances. The content
// is in memory. The admin interface, at the same address, injects faults.
package kv

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpinstances"
	"samphirehitch.example/samphirehitch/process/store/httpstore"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/standin/admin"
)

var eventStarted = event.Define(8020, event.Info, "stand-in store started")

// Config configures a Server.
type Config struct {
	// Address is the address to listen on, host:port. Empty means a free port on
	// 127.0.0.1.
	Address string
	// Store configures the store.
	Store memstore.Config
	// InstanceLag is the time after which readers of the list of instances see a
	// change of it.
	InstanceLag time.Duration
	// Instances are on the list of instances from the start.
	Instances []platform.Instance
	// Log receives the server's events. The zero value discards them.
	Log logr.Logger
}

// Server is a running stand-in of the store and the list of instances.
type Server struct {
	store      *memstore.Store
	listener   net.Listener
	httpServer *http.Server
	goroutines sync.WaitGroup
}

// Start listens and serves in the background. The server must be closed after use.
func Start(cfg Config) (*Server, error) {
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "start the stand-in store at %s", cfg.Address)
	}
	s := &Server{store: memstore.New(cfg.Store), listener: listener}
	for _, instance := range cfg.Instances {
		s.store.PutInstance(instance)
	}
	s.store.SetInstanceLag(cfg.InstanceLag)
	mux := http.NewServeMux()
	mux.Handle("/", httpstore.Handler(s.store))
	mux.Handle(httpinstances.Path, httpinstances.Handler(s.store))
	mux.Handle(admin.Prefix, admin.StoreHandler(s.store))
	s.httpServer = &http.Server{Handler: mux}
	s.goroutines.Go(func() { _ = s.httpServer.Serve(listener) })
	eventStarted.Log(cfg.Log, "address", s.Address())
	return s, nil
}

// Address returns the address that the server listens on, host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Store returns the store, which tests read and change directly.
func (s *Server) Store() *memstore.Store { return s.store }

// Close closes all connections, also those of watches, and waits until the server
// has stopped.
func (s *Server) Close() {
	s.httpServer.Close()
	s.goroutines.Wait()
}
