// Package caller serves callers' connections over the PostgreSQL wire protocol:
// the accept loop, TLS, startup and authentication, the message loop, cancel
// requests, draining, and the closing of sessions whose key is withdrawn. It reads
// requests and passes them to a Handler. It does not depend on targets.
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

	"samphirehitch.example/samphirehitch/connection/auth"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/process/event"
)

// Events of this package.
var (
	eventLoginRefused            = event.Define(5001, event.Info, "login refused")
	eventSessionClosed           = event.Define(5002, event.Info, "session closed by the instance")
	eventConnectionRejected      = event.Define(5003, event.Warning, "connection rejected: too many connections or logins")
	eventProtocolViolation       = event.Define(5004, event.Warning, "caller violated the protocol")
	eventAcceptFailed            = event.Define(5005, event.Failure, "accept failed")
	eventCertificateReloaded     = event.Define(5006, event.Info, "TLS certificate reloaded")
	eventCertificateReloadFailed = event.Define(5007, event.Failure, "cannot reload the TLS certificate")
)

// Defaults of Config.
const (
	defaultLoginTimeout           = 10 * time.Second
	defaultWriteTimeout           = 20 * time.Second
	defaultIdleTransactionTimeout = 10 * time.Second
	defaultMaxLogins              = 256
	defaultMaxConnections         = 20_000
	defaultMaxMessageBytes        = 16 << 20
	defaultMaxBatchBytes          = 32 << 20
	defaultServerVersion          = "16.0"
	defaultTimeZone               = "UTC"
)

// acceptRetryDelay is the wait after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// Config holds the TLS settings, limits and timeouts of a Server. Limits and
// timeouts that are zero are replaced by defaults.
type Config struct {
	// TLS, when set, is offered to callers that request encryption.
	TLS *tls.Config
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	// LoginTimeout bounds the time from accept until the login completes. It also
	// bounds the forwarding of a cancel request.
	LoginTimeout time.Duration
	// WriteTimeout bounds the total time that the writes of one request's
	// response may take: a caller that reads slowly holds a target connection.
	WriteTimeout time.Duration
	// IdleTransactionTimeout bounds how long an open transaction, which holds a
	// target connection, waits for the caller's next request.
	IdleTransactionTimeout time.Duration
	// MaxLogins bounds the connections that are logging in.
	MaxLogins int
	// MaxConnections bounds the open connections, including those logging in.
	MaxConnections int
	// MaxMessageBytes bounds the body of one message.
	MaxMessageBytes int
	// MaxBatchBytes bounds the messages of one request.
	MaxBatchBytes int
	// ServerVersion is the server_version reported to callers.
	ServerVersion string
	// SaltSecret derives the SCRAM salts shown for unknown keys. Instances should
	// share it, so that they show the same salt.
	SaltSecret []byte
}

// withDefaults returns the configuration with defaults in zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.LoginTimeout, defaultLoginTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.IdleTransactionTimeout, defaultIdleTransactionTimeout)
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

// Deps are the dependencies of a Server.
type Deps struct {
	// Directory returns the keys and routes of the current configuration.
	Directory func() session.Directory
	// CheckFresh returns an error while the configuration is too old to accept keys
	// by it.
	CheckFresh func() error
	Handler    Handler
	// NewFloor returns an empty floor for a new session.
	NewFloor func() session.Floor
	Logger   logr.Logger
}

// Server accepts connections and serves each one in a goroutine of its own.
type Server struct {
	config        Config
	deps          Deps
	authenticator *auth.Authenticator
	// loginSlots holds an element for each connection that is logging in.
	loginSlots      chan struct{}
	connectionCount atomic.Int64
	sessions        sessionRegistry
	// draining is set under mu, so that no connection starts after it.
	draining atomic.Bool
	// drainContext is canceled when the server begins to drain, which aborts the
	// logins in progress.
	drainContext       context.Context
	cancelDrainContext context.CancelFunc

	mu struct {
		sync.Mutex
		listeners map[net.Listener]struct{}
		// active counts the connections being served.
		active sync.WaitGroup
	}
}

// New returns a server that serves no listener yet.
func New(config Config, deps Deps) *Server {
	config = config.withDefaults()
	s := &Server{
		config:        config,
		deps:          deps,
		authenticator: auth.New(config.SaltSecret),
		loginSlots:    make(chan struct{}, config.MaxLogins),
	}
	s.drainContext, s.cancelDrainContext = context.WithCancel(context.Background())
	s.mu.listeners = make(map[net.Listener]struct{})
	return s
}

// Serve accepts connections until the context is canceled, the listener is
// closed or the server drains. Sessions stay open after it returns; Drain closes
// them.
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
			s.startServing(ctx, socket)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			eventAcceptFailed.LogError(s.deps.Logger, err)
			if !sleep(ctx, acceptRetryDelay) {
				return nil
			}
		}
	}
}

// addListener registers a listener for Drain to close. It returns false when the server
// drains.
func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.mu.listeners[listener] = struct{}{}
	return true
}

// startServing serves a socket in a new goroutine, or closes it when the server
// drains.
func (s *Server) startServing(ctx context.Context, socket net.Conn) {
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

// serve runs one connection: its login, then its requests until the session
// closes. It rejects connections over MaxConnections or MaxLogins.
func (s *Server) serve(ctx context.Context, socket net.Conn) {
	defer func() { _ = socket.Close() }()
	defer s.connectionCount.Add(-1)
	if s.connectionCount.Add(1) > int64(s.config.MaxConnections) {
		s.rejectOverload(socket)
		return
	}
	select {
	case s.loginSlots <- struct{}{}:
	default:
		s.rejectOverload(socket)
		return
	}
	c, err := s.login(ctx, socket)
	<-s.loginSlots
	if err != nil || c == nil {
		return
	}
	defer s.sessions.remove(c)
	c.serveRequests()
}

// rejectOverload sends an error to a connection over the limits without reading
// from it.
func (s *Server) rejectOverload(socket net.Conn) {
	eventConnectionRejected.Log(s.deps.Logger, "peer", socket.RemoteAddr().String())
	_ = socket.SetWriteDeadline(time.Now().Add(time.Second))
	conn := messageConn{socket: socket}
	_ = conn.send((&FatalError{Code: sqlstate.TooManyConnections, Message: "too many connections; not run"}).errorResponse())
}

// SnapshotChanged closes the sessions that the new configuration no longer
// allows. A session that waits for a request is closed immediately. For one that is
// running a request, the request's context is canceled immediately and the session
// is closed when the handler returns.
func (s *Server) SnapshotChanged(directory session.Directory) {
	s.sessions.forEach(func(c *connection) {
		var revoked *session.RevokedError
		if errors.As(c.session.CheckAccess(directory), &revoked) {
			c.terminate(&FatalError{Code: sqlstate.InvalidAuthorization, Message: revoked.Reason})
		}
	})
}

// closeListeners starts draining: it closes the listeners, aborts the logins in
// progress and makes startServing reject connections.
func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	s.cancelDrainContext()
	for listener := range s.mu.listeners {
		_ = listener.Close()
	}
}

// sleep waits for the delay. It returns false if the context is done first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
