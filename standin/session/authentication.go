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
	// scramIterations is PostgreSQL's default for scram_iterations.
	scramIterations = 4096
	scramSalt       = "samphirehitch-standin"
)

// Verifier checks a client's password by SCRAM-SHA-256. It may be shared by
// sessions.
type Verifier struct {
	server *scram.Server
}

// NewVerifier returns a verifier for one password, valid for every user name.
func NewVerifier(password string) (*Verifier, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, eris.Wrap(err, "prepare the password for SCRAM")
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: scramSalt, Iters: scramIterations})
	if err != nil {
		return nil, eris.Wrap(err, "derive the SCRAM verifier")
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	return &Verifier{server: server}, eris.Wrap(err, "set up SCRAM")
}

var errAuthenticationFailed = &database.Error{Code: "28P01", Message: "password authentication failed"}

// authenticate checks the login by the method that the configuration selects.
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

// checkSCRAM runs the SCRAM exchange. As in PostgreSQL, the user name of the
// startup message counts, and the one in the exchange is ignored.
func (s *Session) checkSCRAM(user string) error {
	exchange := s.cfg.Verifier.server.NewConversation()
	s.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	message, err := s.requestAuthentication(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	clientFirst, isClientFirst := message.(*pgproto3.SASLInitialResponse)
	if !isClientFirst || clientFirst.AuthMechanism != scramMechanism {
		return errAuthenticationFailed
	}
	serverFirst, err := exchange.Step(string(clientFirst.Data))
	if err != nil {
		return errAuthenticationFailed
	}
	s.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(serverFirst)})
	if message, err = s.requestAuthentication(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	clientFinal, isClientFinal := message.(*pgproto3.SASLResponse)
	if !isClientFinal {
		return errAuthenticationFailed
	}
	serverFinal, err := exchange.Step(string(clientFinal.Data))
	if err != nil || !exchange.Valid() || user != s.cfg.User {
		return errAuthenticationFailed
	}
	s.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(serverFinal)})
	return nil
}

// requestAuthentication sends the buffered authentication request and returns the
// client's response.
func (s *Session) requestAuthentication(authType uint32) (pgproto3.FrontendMessage, error) {
	if err := s.backend.SetAuthType(authType); err != nil {
		return nil, eris.Wrap(err, "set the authentication type")
	}
	if err := s.flush(); err != nil {
		return nil, err
	}
	message, err := s.backend.Receive()
	return message, eris.Wrap(err, "receive the authentication response")
}
