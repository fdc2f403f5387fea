// Package auth authenticates callers by SCRAM-SHA-256 (RFC 5802, RFC 7677) with the
// verifiers of their keys. An exchange for an unknown key has the same messages and
// does the same work as one with a wrong secret, so that callers cannot find out which
// keys exist. The package neither looks up keys nor does I/O.
package auth

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"

	"github.com/xdg-go/scram"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// Mechanism is the only SASL mechanism offered.
const Mechanism = "SCRAM-SHA-256"

// unknownKeyIterations is the SCRAM iteration count shown for unknown keys. It is
// the count that PostgreSQL and samphirehitchctl use for new keys.
const unknownKeyIterations = 4096

const (
	saltBytes       = 16
	saltSecretBytes = 32
)

// ErrNotAuthenticated reports that authentication failed. It does not distinguish an
// unknown key from a wrong secret.
var ErrNotAuthenticated = errors.New("authentication failed: unknown key or wrong secret")

// Authenticator starts SCRAM exchanges. It is safe for concurrent use.
type Authenticator struct {
	// saltSecret derives the salts of unknown keys: like an existing key, an unknown
	// key must show the same salt every time.
	saltSecret []byte
}

// New returns an authenticator. Instances that share the salt secret show the same
// salt for an unknown key. An empty secret is replaced by a random one.
func New(secret []byte) *Authenticator {
	if len(secret) == 0 {
		secret = make([]byte, saltSecretBytes)
		_, _ = rand.Read(secret)
	}
	return &Authenticator{saltSecret: secret}
}

// Exchange is the server side of one SCRAM exchange with a caller.
type Exchange struct {
	conversation *scram.ServerConversation
	// keyExists is false for an unknown key, for which Verify always fails.
	keyExists bool
}

// NewExchange starts an exchange to authenticate a key. If the key does not exist,
// the exchange runs with made-up credentials and fails in Verify.
func (a *Authenticator) NewExchange(id topology.KeyID, key record.Key, keyExists bool) (*Exchange, error) {
	credentials := scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(key.Verifier.Salt), Iters: key.Verifier.Iterations},
		StoredKey:  key.Verifier.StoredKey,
		ServerKey:  key.Verifier.ServerKey,
	}
	if !keyExists {
		credentials = a.unknownKeyCredentials(id)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return nil, err
	}
	return &Exchange{conversation: server.NewConversation(), keyExists: keyExists}, nil
}

// unknownKeyCredentials derives credentials for an unknown key. No secret matches
// them.
func (a *Authenticator) unknownKeyCredentials(id topology.KeyID) scram.StoredCredentials {
	saltMAC := hmac.New(sha256.New, a.saltSecret)
	saltMAC.Write([]byte(id))
	digest := saltMAC.Sum(nil)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(digest[:saltBytes]), Iters: unknownKeyIterations},
		StoredKey:  digest,
		ServerKey:  digest,
	}
}

// Challenge returns the challenge for the caller's first message.
func (e *Exchange) Challenge(message []byte) ([]byte, error) {
	response, err := e.conversation.Step(string(message))
	if err != nil {
		return nil, ErrNotAuthenticated
	}
	return []byte(response), nil
}

// Verify verifies the caller's proof in its final message and returns the server's
// signature.
func (e *Exchange) Verify(message []byte) ([]byte, error) {
	response, err := e.conversation.Step(string(message))
	if err != nil || !e.conversation.Valid() || !e.keyExists {
		return nil, ErrNotAuthenticated
	}
	return []byte(response), nil
}
