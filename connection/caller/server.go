// Package caller serves callers' connections: the accept loop, TLS, start-up
// and authentication, the message loop, cancel requests, draining and the end
// of sessions whose key is withdrawn. It reads requests and hands them to a
// Handler; it knows nothing of targets.
package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/connection/auth"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/process/event"
)

// Events of this package.
var (
	eventRefused  = event.Define(5001, event.Info, "caller refused at login")
	eventEnded    = event.Define(5002, event.Info, "session ended by the instance")
	eventFlood    = event.Define(5003, event.Warning, "too many connections are logging in")
	eventProtocol = event.Define(5004, event.Warning, "caller broke the protocol")
	eventAccept   = event.Define(5005, event.Failure, "accept failed")
	eventReload   = event.Define(5006, event.Info, "certificate reloaded")
	eventStale    = event.Define(5007, event.Failure, "certificate not reloaded")
)

// Defaults of Config.
const (
	defaultLoginTimeout    = 10 * time.Second
	defaultWriteTimeout    = 20 * time.Second
	defaultIdleTransaction = 10 * time.Second
	defaultMaxLogins       = 256
	defaultMaxConnections  = 20_000
	defaultMaxMessageBytes = 16 << 20
	defaultMaxBatchBytes   = 32 << 20
	defaultServerVersion   = "16.0"
	defaultTimeZone        = "UTC"
)

// acceptRetryDelay follows a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// Config holds the bounds of a Server. Zero fields take defaults.
type Config struct {
	// TLS, when set, is offered to callers that ask for it.
	TLS *tls.Config
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	// LoginTimeout bounds the time from accept to the end of the login.
	LoginTimeout time.Duration
	// WriteTimeout bounds how long, in sum, the answer to one request waits for
	// its caller to read, since it holds a target connection.
	WriteTimeout time.Duration
	// IdleTransactionTimeout bounds how long an open transaction waits for its
	// caller, since it holds a target connection.
	IdleTransactionTimeout time.Duration
	// MaxLogins bounds the connections that are logging in.
	MaxLogins int
	// MaxConnections bounds all connections of the instance.
	MaxConnections int
	// MaxMessageBytes bounds one message.
	MaxMessageBytes int
	// MaxBatchBytes bounds one request.
	MaxBatchBytes int
	// ServerVersion is the version that callers are told.
	ServerVersion string
	// AuthSecret makes the salts of unknown keys; instances should share it.
	AuthSecret []byte
}

// withDefaults fills zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.LoginTimeout, defaultLoginTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.IdleTransactionTimeout, defaultIdleTransaction)
	setDefault(&c.MaxLogins, defaultMaxLogins)
	setDefault(&c.MaxConnections, defaultMaxConnections)
	setDefault(&c.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&c.MaxBatchBytes, defaultMaxBatchBytes)
	setDefault(&c.ServerVersion, defaultServerVersion)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Deps are what a Server works with.
type Deps struct {
	// Directory returns the records in force.
	Directory func() session.Directory
	// Fresh returns an error while the configuration is too old to let keys in.
	Fresh   func() error
	Handler Handler
	// NewFloor returns the floor of a new session.
	NewFloor func() session.Floor
	Logger   logr.Logger
}

// Server serves callers.
type Server struct {
	config   Config
	deps     Deps
	auth     *auth.Authenticator
	logins   chan struct{}
	count    atomic.Int64
	sessions registry
	draining atomic.Bool
	// leaving ends when the server begins to drain.
	leaving context.Context
	leave   context.CancelFunc

	mu struct {
		sync.Mutex
		listeners map[net.Listener]struct{}
		// active counts connections that are being served.
		active sync.WaitGroup
	}
}

// New returns a server.
func New(config Config, deps Deps) *Server {
	config = config.withDefaults()
	s := &Server{
		config: config,
		deps:   deps,
		auth:   auth.New(config.AuthSecret),
		logins: make(chan struct{}, config.MaxLogins),
	}
	s.leaving, s.leave = context.WithCancel(context.Background())
	s.mu.listeners = make(map[net.Listener]struct{})
	return s
}

// Serve accepts callers until the context ends, the listener is closed or the
// server drains. Sessions go on after it returns; Drain ends them.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.addListener(listener) {
		return listener.Close()
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			s.start(ctx, socket)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			eventAccept.LogError(s.deps.Logger, err)
			if !pause(ctx, acceptRetryDelay) {
				return nil
			}
		}
	}
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.mu.listeners[listener] = struct{}{}
	return true
}

// start serves a socket in its own goroutine.
func (s *Server) start(ctx context.Context, socket net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		_ = socket.Close()
		return
	}
	s.mu.active.Add(1)
	go func() {
		defer s.mu.active.Done()
		s.serve(context.WithoutCancel(ctx), socket)
	}()
}

// serve runs one connection from accept to its end.
func (s *Server) serve(ctx context.Context, socket net.Conn) {
	defer func() { _ = socket.Close() }()
	defer s.count.Add(-1)
	if s.count.Add(1) > int64(s.config.MaxConnections) {
		s.turnAway(socket)
		return
	}
	select {
	case s.logins <- struct{}{}:
	default:
		s.turnAway(socket)
		return
	}
	c, err := s.login(ctx, socket)
	<-s.logins
	if err != nil || c == nil {
		return
	}
	defer s.sessions.remove(c)
	c.loop()
}

// turnAway refuses a connection without reading from it.
func (s *Server) turnAway(socket net.Conn) {
	eventFlood.Log(s.deps.Logger, "peer", socket.RemoteAddr().String())
	_ = socket.SetWriteDeadline(time.Now().Add(time.Second))
	w := wire{socket: socket}
	_ = w.send((&Fatal{Code: sqlstate.TooManyConnections, Message: "too many connections; not run"}).response())
}

// SnapshotChanged ends the sessions that the records no longer allow. A session
// that is waiting ends at once, one that is running a request as soon as its
// handler returns; the request's context ends at once.
func (s *Server) SnapshotChanged(directory session.Directory) {
	s.sessions.each(func(c *connection) {
		var revoked *session.Revoked
		if errors.As(c.session.Check(directory), &revoked) {
			c.end(&Fatal{Code: sqlstate.InvalidAuthorization, Message: revoked.Reason})
		}
	})
}

// Drain closes the listeners, ends idle sessions at once and the others at
// their next transaction boundary. When the context ends first, the sessions
// that are left are cut and the context's error is returned.
func (s *Server) Drain(ctx context.Context) error {
	s.closeListeners()
	s.sessions.each(func(c *connection) { c.drain() })
	done := make(chan struct{})
	go func() {
		s.mu.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.sessions.each(func(c *connection) { _ = c.wire.socket.Close() })
	return eris.Wrap(ctx.Err(), "drain callers")
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	s.leave()
	for listener := range s.mu.listeners {
		_ = listener.Close()
	}
}

// pause waits for the delay and reports whether the context goes on.
func pause(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
