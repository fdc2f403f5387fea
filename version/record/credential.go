package record

import (
	"crypto/rand"
	"encoding/base64"

	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"
)

// Sizes of what NewSecret and NewVerifier draw.
const (
	secretBytes = 24
	saltBytes   = 16
	// scramIterations is the iteration count of new verifiers (RFC 7677 asks for
	// 4096 or more).
	scramIterations = 4096
)

// NewSecret returns a random secret for a key, in unpadded URL-safe base64.
func NewSecret() string {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails: crypto/rand ends the program instead
	return base64.RawURLEncoding.EncodeToString(secret)
}

// NewVerifier derives a SCRAM-SHA-256 verifier with a random salt from a
// secret. The secret cannot be recovered from it.
func NewVerifier(secret string) (Verifier, error) {
	caller, err := scram.SHA256.NewClient("", secret, "")
	if err != nil {
		return Verifier{}, eris.Wrap(err, "prepare secret")
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // never fails: crypto/rand ends the program instead
	factors := scram.KeyFactors{Salt: string(salt), Iters: scramIterations}
	stored, err := caller.GetStoredCredentialsWithError(factors)
	if err != nil {
		return Verifier{}, eris.Wrap(err, "derive verifier")
	}
	return Verifier{Iterations: stored.Iters, Salt: salt, StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}, nil
}
