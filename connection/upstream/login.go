package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/process/topology"
)

// scramMechanism is the only SASL mechanism that is used (RFC 7677).
const scramMechanism = "SCRAM-SHA-256"

// LoginError is the error with which a target refused a login.
type LoginError struct {
	Target topology.TargetID
	Code   sqlstate.Code
	Reason string
}

// Error names the target, its SQLSTATE code and its message.
func (e *LoginError) Error() string {
	return "target " + string(e.Target) + " refused the login: " + string(e.Code) + " " + e.Reason
}

// Dial connects to the target and logs in. Both stop when the context is done.
func Dial(ctx context.Context, config Config) (*Conn, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", config.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial target %s", config.Target)
	}
	conn, err := logIn(ctx, config, socket)
	if err != nil {
		_ = socket.Close()
		return nil, eris.Wrapf(err, "log in to target %s", config.Target)
	}
	return conn, nil
}

// logIn negotiates TLS and starts a session on a connected socket.
func logIn(ctx context.Context, config Config, socket net.Conn) (*Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = socket.SetDeadline(time.Unix(1, 0)) })
	sessionSocket, err := negotiateTLS(config, socket)
	if err != nil {
		stop()
		return nil, err
	}
	c := &Conn{config: config, socket: sessionSocket, frontend: pgproto3.NewFrontend(sessionSocket, sessionSocket)}
	c.frontend.SetMaxBodyLen(maxMessageBytes)
	err = c.startSession()
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	return c, err
}

// negotiateTLS requests TLS if it is configured. It returns the socket to use for
// further messages.
func negotiateTLS(config Config, socket net.Conn) (net.Conn, error) {
	if config.TLS == nil {
		return socket, nil
	}
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return nil, err
	}
	if _, err := socket.Write(request); err != nil {
		return nil, err
	}
	var response [1]byte
	if _, err := socket.Read(response[:]); err != nil {
		return nil, err
	}
	if response[0] != 'S' {
		return nil, &ProtocolError{config.Target, "TLS request refused"}
	}
	return tls.Client(&pollSocket{Conn: socket}, config.TLS), nil
}

// errNULInCredentials reports a database, user or password that no start-up message can carry.
var errNULInCredentials = errors.New("the database, the user or the password contains NUL")

// startSession sends the startup message, authenticates and waits for ReadyForQuery.
func (c *Conn) startSession() error {
	if strings.Contains(c.config.Database+c.config.User+c.config.Password, "\x00") {
		return errNULInCredentials
	}
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             c.config.User,
			"database":         c.config.Database,
			"application_name": "samphirehitch",
			"client_encoding":  "UTF8",
		},
	})
	if err := c.frontend.Flush(); err != nil {
		return err
	}
	return c.receiveLogin()
}

// loginPhase is how far a login has come.
type loginPhase uint8

const (
	loginStarted loginPhase = iota
	// loginPassword follows a password in clear text, loginSCRAM the first message of a
	// SCRAM conversation, and loginVerified the proof that the target knows the password.
	loginPassword
	loginSCRAM
	loginVerified
	loginAuthenticated
)

// receiveLogin responds to the target's login messages until ReadyForQuery. It returns a
// *ProtocolError for a message out of order, which includes a target that omits its part of
// SCRAM.
func (c *Conn) receiveLogin() error {
	phase := loginStarted
	var conversation *scram.ClientConversation
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return err
		}
		next, ok := nextLoginPhase(phase, message)
		if !ok {
			return &ProtocolError{c.config.Target, messageName(message) + " out of order in a login"}
		}
		phase = next
		switch message := message.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			c.frontend.Send(&pgproto3.PasswordMessage{Password: c.config.Password})
			err = c.frontend.Flush()
		case *pgproto3.AuthenticationSASL:
			conversation, err = c.beginSCRAM()
		case *pgproto3.AuthenticationSASLContinue:
			err = c.continueSCRAM(conversation, message.Data)
		case *pgproto3.AuthenticationSASLFinal:
			err = c.finishSCRAM(conversation, message.Data)
		case *pgproto3.BackendKeyData:
			c.processID = message.ProcessID
			c.cancelSecret = message.SecretKey
		case *pgproto3.ReadyForQuery:
			c.status = Idle
			return nil
		case *pgproto3.ErrorResponse:
			return &LoginError{c.config.Target, sqlstate.Code(message.Code), message.Message}
		}
		if err != nil {
			return err
		}
	}
}

// nextLoginPhase returns the phase of the login after a message, and false if it cannot
// come in this phase.
func nextLoginPhase(phase loginPhase, message pgproto3.BackendMessage) (loginPhase, bool) {
	switch message := message.(type) {
	case *pgproto3.AuthenticationCleartextPassword:
		return loginPassword, phase == loginStarted
	case *pgproto3.AuthenticationSASL:
		return loginSCRAM, phase == loginStarted
	case *pgproto3.AuthenticationSASLContinue:
		return loginSCRAM, phase == loginSCRAM
	case *pgproto3.AuthenticationSASLFinal:
		return loginVerified, phase == loginSCRAM
	case *pgproto3.AuthenticationOk:
		return loginAuthenticated, phase != loginSCRAM && phase != loginAuthenticated
	case *pgproto3.BackendKeyData:
		return phase, phase == loginAuthenticated
	case *pgproto3.ReadyForQuery:
		return phase, phase == loginAuthenticated && TransactionStatus(message.TxStatus) == Idle
	case *pgproto3.ErrorResponse, *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
		return phase, true
	default:
		return phase, false
	}
}

// beginSCRAM sends the client's first SCRAM message. A password that SASLprep
// (RFC 4013) does not allow is used as it is.
func (c *Conn) beginSCRAM() (*scram.ClientConversation, error) {
	scramClient, err := scram.SHA256.NewClient("", c.config.Password, "")
	if err != nil {
		scramClient, err = scram.SHA256.NewClientUnprepped("", c.config.Password, "")
	}
	if err != nil {
		return nil, err
	}
	conversation := scramClient.NewConversation()
	initialResponse, err := conversation.Step("")
	if err != nil {
		return nil, err
	}
	c.frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(initialResponse)})
	return conversation, c.frontend.Flush()
}

// continueSCRAM responds to the target's challenge with the client's proof.
func (c *Conn) continueSCRAM(conversation *scram.ClientConversation, challenge []byte) error {
	response, err := conversation.Step(string(challenge))
	if err != nil {
		return err
	}
	c.frontend.Send(&pgproto3.SASLResponse{Data: []byte(response)})
	return c.frontend.Flush()
}

// finishSCRAM verifies the target's signature.
func (c *Conn) finishSCRAM(conversation *scram.ClientConversation, signature []byte) error {
	_, err := conversation.Step(string(signature))
	if err == nil && !conversation.Valid() {
		err = &ProtocolError{c.config.Target, "SCRAM ended without the target's signature"}
	}
	return err
}
