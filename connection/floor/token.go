package floor

import (
	"encoding/base64"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxServices is the most services that a token covers.
	MaxServices = 16
	// MaxTokenBytes is the longest token that is read.
	MaxTokenBytes = 4096
	// maxServiceBytes is the longest service name in a token.
	maxServiceBytes = 128
	// tokenVersion is the version of the token's layout.
	tokenVersion = 1
)

// TokenError reports a token that cannot be used. Nothing was raised.
type TokenError struct {
	Reason string
	Err    error
}

// Error describes what is wrong. It does not repeat the token.
func (e *TokenError) Error() string {
	if e.Err == nil {
		return "token: " + e.Reason
	}
	return fmt.Sprintf("token: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *TokenError) Unwrap() error { return e.Err }

// token is the content of a token: CBOR (RFC 8949) in base64url without padding
// (RFC 4648, section 5).
type token struct {
	Version uint    `cbor:"1,keyasint"`
	Entries []entry `cbor:"2,keyasint"`
}

var (
	encoding = base64.RawURLEncoding.Strict()
	decMode  = mustDecMode()
)

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   4,
		MaxArrayElements:  MaxServices,
		MaxMapPairs:       MaxServices,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Token returns a token for the points; empty when there are none, or more than
// MaxServices.
func (f *Floor) Token() string {
	if f.token != "" || len(f.entries) == 0 || len(f.entries) > MaxServices {
		return f.token
	}
	data, err := cbor.Marshal(token{Version: tokenVersion, Entries: f.entries})
	if err != nil {
		return ""
	}
	f.token = encoding.EncodeToString(data)
	return f.token
}

// Present raises the points to those of a token. It returns a *TokenError and
// changes nothing when the token is malformed, too large or of another version.
//
// A token is not signed: a forged one moves no one's floor but its bearer's, and
// only up, which makes its reads wait or be refused.
func (f *Floor) Present(text string) error {
	decoded, err := decode(text)
	if err != nil {
		return err
	}
	added := 0
	for _, e := range decoded.Entries {
		if _, found := f.find(e.Service); !found {
			added++
		}
	}
	if added > 0 && len(f.entries)+added > MaxServices {
		return &TokenError{Reason: "too many services"}
	}
	for _, e := range decoded.Entries {
		f.Raise(e.Service, e.point())
	}
	return nil
}

func decode(text string) (token, error) {
	if len(text) > MaxTokenBytes {
		return token{}, &TokenError{Reason: "longer than allowed"}
	}
	data, err := encoding.DecodeString(text)
	if err != nil {
		return token{}, &TokenError{Reason: "not base64url", Err: err}
	}
	var decoded token
	if err := decMode.Unmarshal(data, &decoded); err != nil {
		return token{}, &TokenError{Reason: "not readable", Err: err}
	}
	if decoded.Version != tokenVersion {
		return token{}, &TokenError{Reason: fmt.Sprintf("version %d is not supported", decoded.Version)}
	}
	for _, e := range decoded.Entries {
		if len(e.Service) > maxServiceBytes || e.Service == "" {
			return token{}, &TokenError{Reason: "name of a service is empty or too long"}
		}
	}
	return decoded, nil
}
