package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"samphirehitch.example/samphirehitch/connection/sqlstate"
	"samphirehitch.example/samphirehitch/process/topology"
)

// scramMechanism is the only SASL mechanism that is used (RFC 7677).
const scramMechanism = "SCRAM-SHA-256"

// LoginError reports that a target refused the login.
type LoginError struct {
	Target topology.TargetID
	Code   sqlstate.Code
	Reason string
}

// Error describes the refusal.
func (e *LoginError) Error() string {
	return "target " + string(e.Target) + " refused the login: " + string(e.Code) + " " + e.Reason
}

// Dial connects to the target and logs in. The context bounds both.
func Dial(ctx context.Context, config Config) (*Conn, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", config.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial target %s", config.Target)
	}
	conn, err := login(ctx, config, socket)
	if err != nil {
		_ = socket.Close()
		return nil, eris.Wrapf(err, "log in to target %s", config.Target)
	}
	return conn, nil
}

// login starts TLS and the session on a connected socket.
func login(ctx context.Context, config Config, socket net.Conn) (*Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = socket.SetDeadline(time.Unix(1, 0)) })
	secured, err := startTLS(config, socket)
	if err != nil {
		stop()
		return nil, err
	}
	c := &Conn{config: config, net: secured, frontend: pgproto3.NewFrontend(secured, secured)}
	c.frontend.SetMaxBodyLen(maxAnswerBytes)
	err = c.startSession()
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	return c, err
}

// startTLS asks for TLS when the configuration wants it.
func startTLS(config Config, socket net.Conn) (net.Conn, error) {
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
	var answer [1]byte
	if _, err := socket.Read(answer[:]); err != nil {
		return nil, err
	}
	if answer[0] != 'S' {
		return nil, &ProtocolError{config.Target, "TLS refused"}
	}
	return tls.Client(socket, config.TLS), nil
}

// startSession sends the startup message, proves the password and waits until
// the target is ready.
func (c *Conn) startSession() error {
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
	var proof *scram.ClientConversation
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return err
		}
		switch message := message.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			c.frontend.Send(&pgproto3.PasswordMessage{Password: c.config.Password})
			err = c.frontend.Flush()
		case *pgproto3.AuthenticationSASL:
			proof, err = c.beginProof()
		case *pgproto3.AuthenticationSASLContinue:
			err = c.continueProof(proof, message.Data)
		case *pgproto3.AuthenticationSASLFinal:
			err = c.finishProof(proof, message.Data)
		case *pgproto3.BackendKeyData:
			c.process = message.ProcessID
			c.secret = message.SecretKey
		case *pgproto3.ReadyForQuery:
			c.status = TransactionStatus(message.TxStatus)
			return nil
		case *pgproto3.ErrorResponse:
			return &LoginError{c.config.Target, sqlstate.Code(message.Code), message.Message}
		case *pgproto3.AuthenticationOk, *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
		default:
			err = &ProtocolError{c.config.Target, "unexpected message during login"}
		}
		if err != nil {
			return err
		}
	}
}

func (c *Conn) beginProof() (*scram.ClientConversation, error) {
	login, err := scram.SHA256.NewClient("", c.config.Password, "")
	if err != nil {
		login, err = scram.SHA256.NewClientUnprepped("", c.config.Password, "")
	}
	if err != nil {
		return nil, err
	}
	proof := login.NewConversation()
	first, err := proof.Step("")
	if err != nil {
		return nil, err
	}
	c.frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
	return proof, c.frontend.Flush()
}

func (c *Conn) continueProof(proof *scram.ClientConversation, challenge []byte) error {
	if proof == nil {
		return &ProtocolError{c.config.Target, "SASL continued before it began"}
	}
	response, err := proof.Step(string(challenge))
	if err != nil {
		return err
	}
	c.frontend.Send(&pgproto3.SASLResponse{Data: []byte(response)})
	return c.frontend.Flush()
}

func (c *Conn) finishProof(proof *scram.ClientConversation, signature []byte) error {
	if proof == nil {
		return &ProtocolError{c.config.Target, "SASL ended before it began"}
	}
	_, err := proof.Step(string(signature))
	return err
}
