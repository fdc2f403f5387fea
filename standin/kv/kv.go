// Package kv serves an in-memory key-value service and the list of instances as
// a stand-in for the platform's, with the admin calls beside them.
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

// Config sets up a Server.
type Config struct {
	// Address is where to listen, host:port. Empty means a free port on
	// 127.0.0.1.
	Address string
	// Store sets up the content.
	Store memstore.Config
	// InstanceLag is how long a change of the list of instances stays invisible.
	InstanceLag time.Duration
	// Instances are on the list from the start.
	Instances []platform.Instance
	// Log receives what the server does. The zero value drops it.
	Log logr.Logger
}

// Server is a running stand-in.
type Server struct {
	store      *memstore.Store
	listener   net.Listener
	httpServer *http.Server
	goroutines sync.WaitGroup
}

// Start listens and serves. The caller closes the server.
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

// Address returns where the server listens, host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Store returns the content.
func (s *Server) Store() *memstore.Store { return s.store }

// Close stops the server at once.
func (s *Server) Close() {
	s.httpServer.Close()
	s.goroutines.Wait()
}
