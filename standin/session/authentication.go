package session

import (
	"crypto/subtle"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"samphirehitch.example/samphirehitch/standin/database"
)

const (
	// scramMechanism is the only SASL mechanism that is offered (RFC 7677).
	scramMechanism = "SCRAM-SHA-256"
	// scramIterations is what PostgreSQL uses unless told otherwise.
	scramIterations = 4096
	scramSalt       = "samphirehitch-standin"
)

// Verifier proves passwords by SCRAM-SHA-256.
type Verifier struct {
	server *scram.Server
}

// NewVerifier returns a verifier of one password.
func NewVerifier(password string) (*Verifier, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, eris.Wrap(err, "prepare the password")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: scramSalt, Iters: scramIterations})
	if err != nil {
		return nil, eris.Wrap(err, "derive the verifier")
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	return &Verifier{server: server}, eris.Wrap(err, "set up SCRAM")
}

var errAuthenticationFailed = &database.Error{Code: "28P01", Message: "password authentication failed"}

// authenticate asks for the proof that the configuration wants.
func (s *Session) authenticate(user string) error {
	if s.cfg.Password == "" {
		return nil
	}
	if s.cfg.Verifier != nil {
		return s.checkSCRAM(user)
	}
	return s.checkCleartextPassword(user)
}

func (s *Session) checkCleartextPassword(user string) error {
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	message, err := s.requestAuthentication(pgproto3.AuthTypeCleartextPassword)
	if err != nil {
		return err
	}
	response, isPassword := message.(*pgproto3.PasswordMessage)
	valid := isPassword && user == s.cfg.User &&
		subtle.ConstantTimeCompare([]byte(response.Password), []byte(s.cfg.Password)) == 1
	if !valid {
		return errAuthenticationFailed
	}
	return nil
}

// checkSCRAM runs SCRAM as PostgreSQL does: the user name of the start-up
// message counts, not the one inside.
func (s *Session) checkSCRAM(user string) error {
	exchange := s.cfg.Verifier.server.NewConversation()
	s.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	message, err := s.requestAuthentication(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	first, isFirst := message.(*pgproto3.SASLInitialResponse)
	if !isFirst || first.AuthMechanism != scramMechanism {
		return errAuthenticationFailed
	}
	challenge, err := exchange.Step(string(first.Data))
	if err != nil {
		return errAuthenticationFailed
	}
	s.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if message, err = s.requestAuthentication(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	last, isLast := message.(*pgproto3.SASLResponse)
	if !isLast {
		return errAuthenticationFailed
	}
	proof, err := exchange.Step(string(last.Data))
	if err != nil || !exchange.Valid() || user != s.cfg.User {
		return errAuthenticationFailed
	}
	s.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return nil
}

// requestAuthentication sends a request for authentication and returns the answer.
func (s *Session) requestAuthentication(authType uint32) (pgproto3.FrontendMessage, error) {
	if err := s.backend.SetAuthType(authType); err != nil {
		return nil, eris.Wrap(err, "ask for authentication")
	}
	if err := s.flush(); err != nil {
		return nil, err
	}
	message, err := s.backend.Receive()
	return message, eris.Wrap(err, "receive the authentication")
}
