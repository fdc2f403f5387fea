package floor

import (
	"encoding/base64"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxServices bounds the services in a token.
	MaxServices = 16
	// MaxTokenBytes bounds the length of a token that is decoded.
	MaxTokenBytes = 4096
	// maxServiceIDBytes bounds the length of a service ID in a token.
	maxServiceIDBytes = 128
	// tokenVersion is the version of the token encoding.
	tokenVersion = 1
)

// TokenError reports a token that cannot be applied. The floor is unchanged.
type TokenError struct {
	Reason string
	Err    error
}

// Error returns the reason. It does not contain the token.
func (e *TokenError) Error() string {
	if e.Err == nil {
		return "token: " + e.Reason
	}
	return fmt.Sprintf("token: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *TokenError) Unwrap() error { return e.Err }

// token is the decoded form of a session token, which is CBOR (RFC 8949) in
// base64url without padding (RFC 4648, section 5).
type token struct {
	Version uint           `cbor:"1,keyasint"`
	Entries []servicePoint `cbor:"2,keyasint"`
}

var (
	tokenEncoding = base64.RawURLEncoding.Strict()
	tokenDecMode  = newTokenDecMode()
)

// newTokenDecMode returns a strict decoding mode, since tokens come from callers. It
// bounds nesting and lengths, and refuses duplicate and unknown fields, tags and
// indefinite lengths.
func newTokenDecMode() cbor.DecMode {
	decMode, err := cbor.DecOptions{
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
	return decMode
}

// Token returns a session token for the points. It returns "" if there are none, or
// points for more than MaxServices services.
func (f *Floor) Token() string {
	if f.token != "" || len(f.entries) == 0 || len(f.entries) > MaxServices {
		return f.token
	}
	data, err := cbor.Marshal(token{Version: tokenVersion, Entries: f.entries})
	if err != nil {
		return ""
	}
	f.token = tokenEncoding.EncodeToString(data)
	return f.token
}

// ApplyToken raises the points to those of a session token. If the token is
// malformed, too large or of another version, or if the floor would then have more
// than MaxServices services, it returns a *TokenError and changes nothing.
//
// Tokens are not signed: a forged token only raises the floor of the session that
// sends it, whose reads then wait longer or are refused.
func (f *Floor) ApplyToken(text string) error {
	decoded, err := decodeToken(text)
	if err != nil {
		return err
	}
	addedServices := 0
	for _, e := range decoded.Entries {
		if _, found := f.find(e.Service); !found {
			addedServices++
		}
	}
	if addedServices > 0 && len(f.entries)+addedServices > MaxServices {
		return &TokenError{Reason: "too many services"}
	}
	for _, e := range decoded.Entries {
		f.Raise(e.Service, e.point())
	}
	return nil
}

func decodeToken(text string) (token, error) {
	if len(text) > MaxTokenBytes {
		return token{}, &TokenError{Reason: "too long"}
	}
	data, err := tokenEncoding.DecodeString(text)
	if err != nil {
		return token{}, &TokenError{Reason: "not base64url", Err: err}
	}
	var decoded token
	if err := tokenDecMode.Unmarshal(data, &decoded); err != nil {
		return token{}, &TokenError{Reason: "not valid CBOR", Err: err}
	}
	if decoded.Version != tokenVersion {
		return token{}, &TokenError{Reason: fmt.Sprintf("version %d is not supported", decoded.Version)}
	}
	for _, e := range decoded.Entries {
		if len(e.Service) > maxServiceIDBytes || e.Service == "" {
			return token{}, &TokenError{Reason: "empty or too long service ID"}
		}
	}
	return decoded, nil
}
