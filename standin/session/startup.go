package session

import (
	"crypto/tls"
	"encoding/binary"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/standin/database"
)

// start brings the connection to its first ReadyForQuery. It returns false when
// the connection only carried a cancel request.
func (s *Session) start() (bool, error) {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false, eris.Wrap(err, "receive startup message")
		}
		if err := s.cfg.Host.Pass(); err != nil {
			return false, err
		}
		switch message := message.(type) {
		case *pgproto3.SSLRequest:
			err = s.answerEncryption()
		case *pgproto3.GSSEncRequest:
			err = s.refuseEncryption()
		case *pgproto3.CancelRequest:
			s.cancelOther(message)
			return false, nil
		case *pgproto3.StartupMessage:
			return true, s.logIn(message)
		}
		if err != nil {
			return false, err
		}
	}
}

func (s *Session) answerEncryption() error {
	if s.cfg.TLS == nil {
		return s.refuseEncryption()
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return eris.Wrap(err, "accept encryption")
	}
	encrypted := tls.Server(s.conn, s.cfg.TLS)
	if err := encrypted.Handshake(); err != nil {
		return eris.Wrap(err, "shake hands")
	}
	s.mu.Lock()
	s.conn = encrypted
	s.mu.Unlock()
	s.backend = newBackend(encrypted)
	return nil
}

func (s *Session) refuseEncryption() error {
	_, err := s.conn.Write([]byte{'N'})
	return eris.Wrap(err, "refuse encryption")
}

func (s *Session) cancelOther(request *pgproto3.CancelRequest) {
	if len(request.SecretKey) != 4 {
		return
	}
	s.cfg.Host.Cancel(Identity{
		Process: request.ProcessID,
		Secret:  binary.BigEndian.Uint32(request.SecretKey),
	})
}

func (s *Session) logIn(startup *pgproto3.StartupMessage) error {
	s.cfg.Host.Observe(startup.Parameters)
	identity, err := s.cfg.Host.Connect(s)
	if err != nil {
		return s.refuse(err)
	}
	if err := s.authenticate(startup.Parameters["user"]); err != nil {
		return s.refuse(err)
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, parameter := range s.parameters() {
		s.backend.Send(&parameter)
	}
	s.backend.Send(&pgproto3.BackendKeyData{
		ProcessID: identity.Process,
		SecretKey: binary.BigEndian.AppendUint32(nil, identity.Secret),
	})
	return s.ready()
}

// refuse sends a fatal error that the server gave, and returns any other.
func (s *Session) refuse(err error) error {
	var failure *database.Error
	if !errors.As(err, &failure) {
		return err
	}
	s.sendError("FATAL", failure)
	return errors.Join(s.flush(), err)
}

func (s *Session) parameters() []pgproto3.ParameterStatus {
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
