package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/auth"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// maxEncryptionRequests bounds the encryption requests before a startup message:
// one for GSSAPI and one for TLS.
const maxEncryptionRequests = 2

// errClosedSilently ends a login without an error response: the connection
// carried only a cancel request, which gets no response, or its TLS handshake
// failed.
var errClosedSilently = errors.New("connection closed without an error response")

// login performs startup and authentication on a socket within LoginTimeout. It
// sends the caller the error of a failed login, unless the caller has
// disconnected or sent only a cancel request.
func (s *Server) login(ctx context.Context, socket net.Conn) (*connection, error) {
	if err := socket.SetDeadline(time.Now().Add(s.config.LoginTimeout)); err != nil {
		return nil, err
	}
	c := &connection{server: s, conn: messageConn{socket: socket, maxMessageBytes: s.config.MaxMessageBytes}}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.drainContext, func() { _ = socket.SetReadDeadline(time.Unix(1, 0)) })
	err := c.startSession()
	stop()
	if err != nil {
		s.sendLoginError(c, err)
		c.cancel(nil)
		return nil, err
	}
	return c, nil
}

// sendLoginError logs a refused login and sends its error to the caller. A caller
// that disconnected is neither logged nor sent anything.
func (s *Server) sendLoginError(c *connection, err error) {
	if errors.Is(err, errClosedSilently) || isDisconnect(err) {
		return
	}
	var fatal *FatalError
	if !errors.As(err, &fatal) {
		fatal = newInputError(err)
	}
	eventLoginRefused.Log(s.deps.Logger, "peer", c.conn.socket.RemoteAddr().String(),
		"code", string(fatal.Code), "reason", fatal.Message)
	_ = c.conn.send(fatal.errorResponse())
}

// startSession reads the startup message, authenticates the caller, applies the
// startup parameters, registers the session and reports it as ready.
func (c *connection) startSession() error {
	startup, err := c.readStartup()
	if err != nil {
		return err
	}
	if err := c.negotiateProtocol(startup); err != nil {
		return err
	}
	c.session, err = c.authenticate(startup)
	if err != nil {
		return err
	}
	if err := c.applyStartupParameters(startup.Parameters); err != nil {
		return err
	}
	c.handlerSession = c.server.deps.Handler.NewSession(c.session)
	c.server.sessions.add(c)
	if err := c.completeStartup(startup); err != nil {
		c.server.sessions.remove(c)
		c.handlerSession.Close()
		return err
	}
	return nil
}

// readStartup returns the startup message. It responds to encryption requests
// before it and serves a cancel request sent in its place.
func (c *connection) readStartup() (*pgproto3.StartupMessage, error) {
	for range maxEncryptionRequests + 1 {
		message, err := c.conn.receiveStartup()
		if err != nil {
			return nil, err
		}
		switch message := message.(type) {
		case *pgproto3.StartupMessage:
			return message, c.checkTLSRequired()
		case *pgproto3.CancelRequest:
			c.server.forwardCancelRequest(c.ctx, message)
			return nil, errClosedSilently
		case *pgproto3.SSLRequest:
			err = c.startTLS()
		case *pgproto3.GSSEncRequest:
			err = c.sendEncryptionResponse('N')
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, &FatalError{Code: sqlstate.ProtocolViolation, Message: "too many requests for encryption"}
}

// sendEncryptionResponse accepts ('S') or declines ('N') an encryption request.
func (c *connection) sendEncryptionResponse(response byte) error {
	_, err := c.conn.socket.Write([]byte{response})
	return err
}

// startTLS responds to an SSLRequest and performs the handshake when TLS is
// configured. Plaintext already buffered behind the request is refused: after the
// handshake it would be processed as if it had been sent encrypted.
func (c *connection) startTLS() error {
	if c.server.config.TLS == nil || c.usesTLS() {
		return c.sendEncryptionResponse('N')
	}
	if !c.conn.releaseCodec() {
		return &FatalError{Code: sqlstate.ProtocolViolation, Message: "unencrypted data after a request for TLS"}
	}
	if err := c.sendEncryptionResponse('S'); err != nil {
		return err
	}
	tlsConn := tls.Server(c.conn.socket, c.server.config.TLS)
	if err := tlsConn.HandshakeContext(c.ctx); err != nil {
		return errClosedSilently
	}
	c.conn.socket = tlsConn
	return nil
}

func (c *connection) usesTLS() bool {
	_, isTLS := c.conn.socket.(*tls.Conn)
	return isTLS
}

func (c *connection) checkTLSRequired() error {
	if c.server.config.RequireTLS && !c.usesTLS() {
		return &FatalError{Code: sqlstate.InvalidAuthorization, Message: "TLS is required"}
	}
	return nil
}

// authenticate looks up the route of the database and authenticates the key of a
// keyed route. Open routes need no key. An unknown database is reported only
// after authentication, so that it cannot be probed for without a key.
func (c *connection) authenticate(startup *pgproto3.StartupMessage) (*session.Session, error) {
	user := startup.Parameters["user"]
	database := startup.Parameters["database"]
	if database == "" {
		database = user
	}
	route, routeExists := c.server.deps.Directory().Route(database)
	if routeExists && route.Access == record.AccessOpen {
		return &session.Session{Customer: route.OpenCustomer, Route: route}, nil
	}
	id := topology.KeyID(user)
	if err := c.authenticateKey(id); err != nil {
		return nil, err
	}
	if !routeExists {
		return nil, &FatalError{Code: sqlstate.UnknownDatabase, Message: "database does not exist"}
	}
	return c.authorize(id, database)
}

// authorize checks an authenticated key and its route against the current
// configuration, which may have changed during authentication.
func (c *connection) authorize(id topology.KeyID, database string) (*session.Session, error) {
	if err := c.server.deps.CheckFresh(); err != nil {
		return nil, &FatalError{Code: sqlstate.CannotConnectNow, Message: "the configuration is stale; not run"}
	}
	directory := c.server.deps.Directory()
	key, _ := directory.Key(id)
	route, _ := directory.Route(database)
	s := &session.Session{Key: id, Customer: key.Customer, Route: route}
	if err := s.CheckAccess(directory); err != nil {
		return nil, &FatalError{Code: sqlstate.InvalidAuthorization, Message: err.Error()}
	}
	return s, nil
}

// authenticateKey runs the SCRAM exchange. An unknown key and a wrong secret get
// the same messages.
func (c *connection) authenticateKey(id topology.KeyID) error {
	refused := &FatalError{Code: sqlstate.InvalidPassword, Message: "authentication failed"}
	key, exists := c.server.deps.Directory().Key(id)
	exchange, err := c.server.authenticator.NewExchange(id, key, exists)
	if err != nil {
		return refused
	}
	err = c.conn.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{auth.Mechanism}})
	if err != nil {
		return err
	}
	initialResponse, err := c.receiveSASLInitialResponse()
	if err != nil {
		return err
	}
	challenge, err := exchange.Challenge(initialResponse)
	if err != nil {
		return refused
	}
	finalResponse, err := c.challengeCaller(&pgproto3.AuthenticationSASLContinue{Data: challenge})
	if err != nil {
		return err
	}
	signature, err := exchange.Verify(finalResponse)
	if err != nil {
		return refused
	}
	return c.conn.send(&pgproto3.AuthenticationSASLFinal{Data: signature})
}

// receiveSASLInitialResponse returns the data of the caller's SASLInitialResponse.
func (c *connection) receiveSASLInitialResponse() ([]byte, error) {
	message, err := c.receiveSASL(pgproto3.AuthTypeSASL)
	if err != nil {
		return nil, err
	}
	initialResponse, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok || initialResponse.AuthMechanism != auth.Mechanism {
		return nil, errUnexpectedMessage
	}
	return initialResponse.Data, nil
}

// challengeCaller sends a SASL challenge and returns the data of the response.
func (c *connection) challengeCaller(challenge pgproto3.BackendMessage) ([]byte, error) {
	if err := c.conn.send(challenge); err != nil {
		return nil, err
	}
	message, err := c.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return nil, err
	}
	response, ok := message.(*pgproto3.SASLResponse)
	if !ok {
		return nil, errUnexpectedMessage
	}
	return response.Data, nil
}

// receiveSASL reads one SASL message of at most maxLoginMessageBytes. The
// authentication type determines how the codec decodes it.
func (c *connection) receiveSASL(authType uint32) (pgproto3.FrontendMessage, error) {
	c.conn.acquireCodec(nil)
	backend := c.conn.codec.backend
	if err := backend.SetAuthType(authType); err != nil {
		return nil, err
	}
	backend.SetMaxBodyLen(maxLoginMessageBytes)
	message, _, err := c.conn.receive()
	backend.SetMaxBodyLen(c.server.config.MaxMessageBytes)
	if resetErr := backend.SetAuthType(pgproto3.AuthTypeOk); err == nil {
		err = resetErr
	}
	return message, err
}

// maxLoginMessageBytes bounds a message of a caller not yet authenticated.
const maxLoginMessageBytes = 4096

// completeStartup sends the messages from AuthenticationOk to ReadyForQuery. It
// first checks access and draining again: changes before the session was
// registered did not reach it through SnapshotChanged or Drain.
func (c *connection) completeStartup(startup *pgproto3.StartupMessage) error {
	if err := c.session.CheckAccess(c.server.deps.Directory()); err != nil {
		return &FatalError{Code: sqlstate.InvalidAuthorization, Message: err.Error()}
	}
	if c.server.draining.Load() {
		return errDraining
	}
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, status := range c.startupParameterStatuses(startup.Parameters) {
		messages = append(messages, &status)
	}
	messages = append(messages,
		&pgproto3.BackendKeyData{ProcessID: c.session.ID, SecretKey: c.cancelSecret[:]},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := c.conn.socket.SetDeadline(time.Time{}); err != nil {
		return err
	}
	return c.conn.send(messages...)
}

// negotiateProtocol responds with NegotiateProtocolVersion to a newer minor
// version or to unknown protocol options (parameters that start with "_pq_.").
func (c *connection) negotiateProtocol(startup *pgproto3.StartupMessage) error {
	var unknown []string
	for name := range startup.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if startup.ProtocolVersion == pgproto3.ProtocolVersion30 && len(unknown) == 0 {
		return nil
	}
	return c.conn.send(&pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: pgproto3.ProtocolVersion30,
		UnrecognizedOptions: unknown,
	})
}
