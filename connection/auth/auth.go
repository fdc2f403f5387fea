// Package auth proves callers' keys by SCRAM-SHA-256 (RFC 5802, RFC 7677)
// against the verifiers of the key records. An unknown key takes the same
// messages and the same work as a wrong one. The package neither reads records
// nor speaks to sockets.
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

// Mechanism is the SASL mechanism that is offered.
const Mechanism = "SCRAM-SHA-256"

// unknownKeyIterations is the iteration count shown for keys that don't exist:
// the count that PostgreSQL and the operators' tool use.
const unknownKeyIterations = 4096

const (
	saltBytes   = 16
	secretBytes = 32
)

// ErrRefused reports that a key is unknown or was not proven. It never says
// which.
var ErrRefused = errors.New("key not proven")

// Authenticator starts proofs. It is safe for concurrent use.
type Authenticator struct {
	// secret makes the salts of unknown keys, so that one unknown key shows one
	// salt.
	secret []byte
}

// New returns an authenticator. Instances that share the secret show one salt
// for an unknown key; an empty secret is replaced by a random one.
func New(secret []byte) *Authenticator {
	if len(secret) == 0 {
		secret = make([]byte, secretBytes)
		_, _ = rand.Read(secret)
	}
	return &Authenticator{secret: secret}
}

// Proof is one exchange with a caller.
type Proof struct {
	conversation *scram.ServerConversation
	known        bool
}

// Begin starts a proof of the key. Known is false for a key that doesn't exist;
// the proof then fails at its end.
func (a *Authenticator) Begin(id topology.KeyID, key record.Key, known bool) (*Proof, error) {
	credentials := scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(key.Verifier.Salt), Iters: key.Verifier.Iterations},
		StoredKey:  key.Verifier.StoredKey,
		ServerKey:  key.Verifier.ServerKey,
	}
	if !known {
		credentials = a.unknown(id)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return nil, err
	}
	return &Proof{conversation: server.NewConversation(), known: known}, nil
}

// unknown makes credentials that no secret proves.
func (a *Authenticator) unknown(id topology.KeyID) scram.StoredCredentials {
	mac := hmac.New(sha256.New, a.secret)
	mac.Write([]byte(id))
	sum := mac.Sum(nil)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(sum[:saltBytes]), Iters: unknownKeyIterations},
		StoredKey:  sum,
		ServerKey:  sum,
	}
}

// First takes the caller's first message and returns the challenge.
func (p *Proof) First(message []byte) ([]byte, error) {
	response, err := p.conversation.Step(string(message))
	if err != nil {
		return nil, ErrRefused
	}
	return []byte(response), nil
}

// Final takes the caller's proof and returns the server's signature.
func (p *Proof) Final(message []byte) ([]byte, error) {
	response, err := p.conversation.Step(string(message))
	if err != nil || !p.conversation.Valid() || !p.known {
		return nil, ErrRefused
	}
	return []byte(response), nil
}
