package session

import (
	"crypto/tls"
	"encoding/binary"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/standin/database"
)

// handleStartup negotiates encryption and logs the client in, up to the first
// ReadyForQuery. It returns false when the connection was a cancel request.
func (s *Session) handleStartup() (bool, error) {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false, eris.Wrap(err, "receive startup message")
		}
		if err := s.cfg.Server.WaitUntilReachable(); err != nil {
			return false, err
		}
		switch message := message.(type) {
		case *pgproto3.SSLRequest:
			err = s.negotiateTLS()
		case *pgproto3.GSSEncRequest:
			err = s.rejectEncryption()
		case *pgproto3.CancelRequest:
			s.handleCancelRequest(message)
			return false, nil
		case *pgproto3.StartupMessage:
			return true, s.logIn(message)
		}
		if err != nil {
			return false, err
		}
	}
}

// negotiateTLS accepts an SSLRequest with the byte S and continues in TLS, or
// refuses it when the server has no certificate.
func (s *Session) negotiateTLS() error {
	if s.cfg.TLS == nil {
		return s.rejectEncryption()
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return eris.Wrap(err, "accept encryption")
	}
	tlsConn := tls.Server(s.conn, s.cfg.TLS)
	if err := tlsConn.Handshake(); err != nil {
		return eris.Wrap(err, "TLS handshake")
	}
	s.mu.Lock()
	s.conn = tlsConn
	s.mu.Unlock()
	s.backend = newBackend(tlsConn)
	return nil
}

// rejectEncryption sends the byte N, after which the client may go on without
// encryption.
func (s *Session) rejectEncryption() error {
	_, err := s.conn.Write([]byte{'N'})
	return eris.Wrap(err, "refuse encryption")
}

// handleCancelRequest cancels the statement of another session. As in PostgreSQL, a
// key that matches no session is ignored.
func (s *Session) handleCancelRequest(request *pgproto3.CancelRequest) {
	if len(request.SecretKey) != 4 {
		return
	}
	s.cfg.Server.CancelStatement(CancelKey{
		ProcessID: request.ProcessID,
		SecretKey: binary.BigEndian.Uint32(request.SecretKey),
	})
}

// logIn admits and authenticates the client, and sends the server's parameters and
// the cancel key.
func (s *Session) logIn(startup *pgproto3.StartupMessage) error {
	s.cfg.Server.RecordStartupParameters(startup.Parameters)
	cancelKey, err := s.cfg.Server.AdmitSession(s)
	if err != nil {
		return s.rejectLogin(err)
	}
	if err := s.authenticate(startup.Parameters["user"]); err != nil {
		return s.rejectLogin(err)
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, parameter := range s.serverParameters() {
		s.backend.Send(&parameter)
	}
	s.backend.Send(&pgproto3.BackendKeyData{
		ProcessID: cancelKey.ProcessID,
		SecretKey: binary.BigEndian.AppendUint32(nil, cancelKey.SecretKey),
	})
	return s.sendReadyForQuery()
}

// rejectLogin sends a *database.Error to the client as a fatal error. Other errors
// mean that the connection is unusable. It returns err in either case.
func (s *Session) rejectLogin(err error) error {
	var databaseError *database.Error
	if !errors.As(err, &databaseError) {
		return err
	}
	s.sendError("FATAL", databaseError)
	return errors.Join(s.flush(), err)
}

// serverParameters returns the settings that are reported at login and by SHOW.
func (s *Session) serverParameters() []pgproto3.ParameterStatus {
	standby := "on"
	if s.cfg.Database.Primary() {
		standby = "off"
	}
	return []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "17.0"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "in_hot_standby", Value: standby},
	}
}
