package record

import (
	"crypto/rand"
	"encoding/base64"

	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"
)

// Parameters of generated credentials.
const (
	secretBytes = 24
	saltBytes   = 16
	// RFC 7677 requires an iteration count of 4096 or more.
	scramIterations = 4096
)

// NewSecret returns a random secret for a key, in unpadded URL-safe base64.
func NewSecret() string {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // crypto/rand crashes the program rather than return an error
	return base64.RawURLEncoding.EncodeToString(secret)
}

// NewVerifier derives a SCRAM-SHA-256 verifier with a random salt from a secret.
// The verifier authenticates callers but does not reveal the secret.
func NewVerifier(secret string) (Verifier, error) {
	client, err := scram.SHA256.NewClient("", secret, "")
	if err != nil {
		return Verifier{}, eris.Wrap(err, "prepare secret")
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // crypto/rand crashes the program rather than return an error
	factors := scram.KeyFactors{Salt: string(salt), Iters: scramIterations}
	stored, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return Verifier{}, eris.Wrap(err, "derive verifier")
	}
	return Verifier{Iterations: stored.Iters, Salt: salt, StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}, nil
}
