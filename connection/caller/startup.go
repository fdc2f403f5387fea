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

// maxEncryptionRequests bounds the requests for encryption before a start-up
// message: one for GSSAPI and one for TLS.
const maxEncryptionRequests = 2

// errCancelServed reports that the connection carried a cancel request only.
var errCancelServed = errors.New("cancel request served")

// login takes a socket through start-up and authentication. It returns nil
// after a failure that the caller has been told of.
func (s *Server) login(ctx context.Context, socket net.Conn) (*connection, error) {
	if err := socket.SetDeadline(time.Now().Add(s.config.LoginTimeout)); err != nil {
		return nil, err
	}
	c := &connection{server: s, wire: wire{socket: socket, maxMessageBytes: s.config.MaxMessageBytes}}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.leaving, func() { _ = socket.SetReadDeadline(time.Unix(1, 0)) })
	err := c.startSession()
	stop()
	if err != nil {
		s.refuse(c, err)
		c.cancel(nil)
		return nil, err
	}
	return c, nil
}

// refuse tells the caller why the login failed.
func (s *Server) refuse(c *connection, err error) {
	if errors.Is(err, errCancelServed) || isDisconnect(err) {
		return
	}
	var fatal *Fatal
	if !errors.As(err, &fatal) {
		fatal = protocolFatal(err)
	}
	eventRefused.Log(s.deps.Logger, "peer", c.wire.socket.RemoteAddr().String(),
		"code", string(fatal.Code), "reason", fatal.Message)
	_ = c.wire.send(fatal.response())
}

// startSession reads the start-up message, proves the key and greets the
// caller.
func (c *connection) startSession() error {
	startup, err := c.readStartup()
	if err != nil {
		return err
	}
	if err := c.negotiate(startup); err != nil {
		return err
	}
	c.session, err = c.authenticate(startup)
	if err != nil {
		return err
	}
	if err := c.configure(startup.Parameters); err != nil {
		return err
	}
	c.conversation = c.server.deps.Handler.Open(c.session)
	c.server.sessions.add(c)
	if err := c.greet(startup); err != nil {
		c.server.sessions.remove(c)
		c.conversation.Close()
		return err
	}
	return nil
}

// readStartup answers requests for encryption and cancel requests until the
// start-up message comes.
func (c *connection) readStartup() (*pgproto3.StartupMessage, error) {
	for range maxEncryptionRequests + 1 {
		message, err := c.wire.receiveStartup()
		if err != nil {
			return nil, err
		}
		switch message := message.(type) {
		case *pgproto3.StartupMessage:
			return message, c.checkTLS()
		case *pgproto3.CancelRequest:
			c.server.cancel(c.ctx, message)
			return nil, errCancelServed
		case *pgproto3.SSLRequest:
			err = c.startTLS()
		case *pgproto3.GSSEncRequest:
			err = c.answerEncryption('N')
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, &Fatal{Code: sqlstate.ProtocolViolation, Message: "too many requests for encryption"}
}

func (c *connection) answerEncryption(answer byte) error {
	_, err := c.wire.socket.Write([]byte{answer})
	return err
}

// startTLS answers a request for TLS. Bytes sent before the handshake would
// pass as encrypted ones and are refused.
func (c *connection) startTLS() error {
	if c.server.config.TLS == nil || c.isSecured() {
		return c.answerEncryption('N')
	}
	if !c.wire.detach() {
		return &Fatal{Code: sqlstate.ProtocolViolation, Message: "unencrypted data after a request for TLS"}
	}
	if err := c.answerEncryption('S'); err != nil {
		return err
	}
	secured := tls.Server(c.wire.socket, c.server.config.TLS)
	if err := secured.HandshakeContext(c.ctx); err != nil {
		return errCancelServed
	}
	c.wire.socket = secured
	return nil
}

func (c *connection) isSecured() bool {
	_, secured := c.wire.socket.(*tls.Conn)
	return secured
}

func (c *connection) checkTLS() error {
	if c.server.config.RequireTLS && !c.isSecured() {
		return &Fatal{Code: sqlstate.InvalidAuthorization, Message: "TLS is required"}
	}
	return nil
}

// authenticate finds the route and proves the key.
func (c *connection) authenticate(startup *pgproto3.StartupMessage) (*session.Session, error) {
	user := startup.Parameters["user"]
	database := startup.Parameters["database"]
	if database == "" {
		database = user
	}
	route, found := c.server.deps.Directory().Route(database)
	if found && route.Access == record.AccessOpen {
		return &session.Session{Customer: route.OpenCustomer, Route: route}, nil
	}
	id := topology.KeyID(user)
	if err := c.proveKey(id); err != nil {
		return nil, err
	}
	if !found {
		return nil, &Fatal{Code: sqlstate.UnknownDatabase, Message: "database does not exist"}
	}
	return c.authorize(id, database)
}

// authorize checks the proven key against the records, as they are now.
func (c *connection) authorize(id topology.KeyID, database string) (*session.Session, error) {
	if err := c.server.deps.Fresh(); err != nil {
		return nil, &Fatal{Code: sqlstate.CannotConnectNow, Message: "the configuration is stale; not run"}
	}
	directory := c.server.deps.Directory()
	key, _ := directory.Key(id)
	route, _ := directory.Route(database)
	s := &session.Session{Key: id, Customer: key.Customer, Route: route}
	if err := s.Check(directory); err != nil {
		return nil, &Fatal{Code: sqlstate.InvalidAuthorization, Message: err.Error()}
	}
	return s, nil
}

// proveKey runs the SCRAM exchange.
func (c *connection) proveKey(id topology.KeyID) error {
	refused := &Fatal{Code: sqlstate.InvalidPassword, Message: "authentication failed"}
	key, known := c.server.deps.Directory().Key(id)
	proof, err := c.server.auth.Begin(id, key, known)
	if err != nil {
		return refused
	}
	err = c.wire.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{auth.Mechanism}})
	if err != nil {
		return err
	}
	first, err := c.receiveFirst()
	if err != nil {
		return err
	}
	challenge, err := proof.First(first)
	if err != nil {
		return refused
	}
	final, err := c.exchange(&pgproto3.AuthenticationSASLContinue{Data: challenge})
	if err != nil {
		return err
	}
	signature, err := proof.Final(final)
	if err != nil {
		return refused
	}
	return c.wire.send(&pgproto3.AuthenticationSASLFinal{Data: signature})
}

// receiveFirst returns the data of the caller's first SASL message.
func (c *connection) receiveFirst() ([]byte, error) {
	message, err := c.receiveSASL(pgproto3.AuthTypeSASL)
	if err != nil {
		return nil, err
	}
	first, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != auth.Mechanism {
		return nil, errUnexpectedMessage
	}
	return first.Data, nil
}

// exchange sends a challenge and returns the response.
func (c *connection) exchange(challenge pgproto3.BackendMessage) ([]byte, error) {
	if err := c.wire.send(challenge); err != nil {
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

// receiveSASL reads one message of at most maxLoginMessageBytes.
func (c *connection) receiveSASL(authType uint32) (pgproto3.FrontendMessage, error) {
	c.wire.attach(nil)
	backend := c.wire.codec.backend
	if err := backend.SetAuthType(authType); err != nil {
		return nil, err
	}
	backend.SetMaxBodyLen(maxLoginMessageBytes)
	message, _, err := c.wire.receive()
	backend.SetMaxBodyLen(c.server.config.MaxMessageBytes)
	if resetErr := backend.SetAuthType(pgproto3.AuthTypeOk); err == nil {
		err = resetErr
	}
	return message, err
}

// maxLoginMessageBytes bounds a message before the key is proven.
const maxLoginMessageBytes = 4096

// greet tells the caller that the session is open. The records are checked
// again, since they may have changed before the session was registered.
func (c *connection) greet(startup *pgproto3.StartupMessage) error {
	if err := c.session.Check(c.server.deps.Directory()); err != nil {
		return &Fatal{Code: sqlstate.InvalidAuthorization, Message: err.Error()}
	}
	if c.server.draining.Load() {
		return drainMessage
	}
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	for _, status := range c.greetings(startup.Parameters) {
		messages = append(messages, &status)
	}
	messages = append(messages,
		&pgproto3.BackendKeyData{ProcessID: c.session.ID, SecretKey: c.secret[:]},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := c.wire.socket.SetDeadline(time.Time{}); err != nil {
		return err
	}
	return c.wire.send(messages...)
}

// negotiate answers a newer minor version or unknown protocol options.
func (c *connection) negotiate(startup *pgproto3.StartupMessage) error {
	var unknown []string
	for name := range startup.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if startup.ProtocolVersion == pgproto3.ProtocolVersion30 && len(unknown) == 0 {
		return nil
	}
	return c.wire.send(&pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: pgproto3.ProtocolVersion30,
		UnrecognizedOptions: unknown,
	})
}
