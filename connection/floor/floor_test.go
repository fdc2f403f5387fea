package floor

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"samphirehitch.example/samphirehitch/process/topology"
)

func point(term, position uint64) topology.Point {
	return topology.Point{Term: topology.Term(term), Position: topology.Position(position)}
}

// TestRaiseNeverLowersAPoint raises a floor to higher and lower points. A point of a
// later term is higher than any of an earlier term.
func TestRaiseNeverLowersAPoint(t *testing.T) {
	f := New()
	for _, step := range []struct{ raise, want topology.Point }{
		{point(1, 10), point(1, 10)},
		{point(1, 9), point(1, 10)},
		{point(2, 1), point(2, 1)},
		{point(1, 99), point(2, 1)},
	} {
		f.Raise("ledger", step.raise)
		if got := f.Point("ledger"); got != step.want {
			t.Errorf("after %v the floor is %v, want %v", step.raise, got, step.want)
		}
	}
	if got := f.Point("dispatch"); got != (topology.Point{}) {
		t.Errorf("floor of another service is %v, want none", got)
	}
}

// TestTokenTransfersPoints checks that a token raises the floor of another session,
// but keeps points there that are higher.
func TestTokenTransfersPoints(t *testing.T) {
	source, destination := New(), New()
	source.Raise("ledger", point(3, 70))
	source.Raise("dispatch", point(1, 1))
	destination.Raise("dispatch", point(2, 5))
	if err := destination.ApplyToken(source.Token()); err != nil {
		t.Fatal(err)
	}
	if destination.Point("ledger") != point(3, 70) || destination.Point("dispatch") != point(2, 5) {
		t.Errorf("floor after the token is %v and %v", destination.Point("ledger"), destination.Point("dispatch"))
	}
	earlierToken := source.Token()
	source.Raise("ledger", point(3, 71))
	if source.Token() == earlierToken {
		t.Error("the token did not change with a point")
	}
	if New().Token() != "" {
		t.Error("a floor without points has a token")
	}
}

// encodeToken encodes any content as a token is.
func encodeToken(t *testing.T, content any) string {
	t.Helper()
	data, err := cbor.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// TestApplyTokenRefusesInvalidTokens applies malformed and oversized tokens, as a
// hostile caller may send them. They must not change the floor.
func TestApplyTokenRefusesInvalidTokens(t *testing.T) {
	tooManyEntries := make([]servicePoint, MaxServices+1)
	for i := range tooManyEntries {
		tooManyEntries[i].Service = topology.ServiceID(strings.Repeat("s", i+1))
	}
	for name, text := range map[string]string{
		"not base64url":  "!!",
		"padded":         encodeToken(t, token{Version: 1}) + "=",
		"not CBOR":       base64.RawURLEncoding.EncodeToString([]byte("\xff\xff")),
		"other version":  encodeToken(t, token{Version: 2}),
		"many services":  encodeToken(t, token{Version: 1, Entries: tooManyEntries}),
		"long service":   encodeToken(t, token{Version: 1, Entries: []servicePoint{{Service: topology.ServiceID(strings.Repeat("s", 200))}}}),
		"empty service":  encodeToken(t, token{Version: 1, Entries: []servicePoint{{}}}),
		"long":           strings.Repeat("A", MaxTokenBytes+1),
		"unknown field":  encodeToken(t, map[int]int{1: 1, 9: 9}),
		"deep":           base64.RawURLEncoding.EncodeToString([]byte(strings.Repeat("\x81", 2000))),
		"trailing bytes": encodeToken(t, token{Version: 1}) + "AAAA",
	} {
		f := New()
		f.Raise("ledger", point(1, 1))
		var tokenError *TokenError
		if err := f.ApplyToken(text); !errors.As(err, &tokenError) {
			t.Errorf("%s: ApplyToken = %v, want a *TokenError", name, err)
		}
		if f.Point("ledger") != point(1, 1) || len(f.entries) != 1 {
			t.Errorf("%s: an invalid token changed the floor", name)
		}
	}
}

// TestApplyTokenLimitsServicesAcrossTokens checks that a caller cannot grow a floor
// without limit by sending many tokens for different services.
func TestApplyTokenLimitsServicesAcrossTokens(t *testing.T) {
	f := New()
	for i := range 2 * MaxServices {
		source := New()
		source.Raise(topology.ServiceID(strings.Repeat("s", i+1)), point(1, 1))
		if err := f.ApplyToken(source.Token()); (err == nil) != (i < MaxServices) {
			t.Fatalf("token %d: ApplyToken = %v", i, err)
		}
	}
	if len(f.entries) != MaxServices {
		t.Errorf("floor has %d services, want %d", len(f.entries), MaxServices)
	}
}

// FuzzApplyToken applies arbitrary tokens. None may lower a point, and the floor's own
// token must be the same after it is applied to another floor.
func FuzzApplyToken(f *testing.F) {
	seed := New()
	seed.Raise("ledger", point(3, 70))
	f.Add(seed.Token())
	f.Add("oQEB")
	f.Fuzz(func(t *testing.T, text string) {
		floor := New()
		floor.Raise("ledger", point(2, 5))
		if err := floor.ApplyToken(text); err != nil {
			return
		}
		if !floor.Point("ledger").Reaches(point(2, 5)) {
			t.Error("a token lowered the floor")
		}
		reapplied := New()
		if token := floor.Token(); token != "" {
			if err := reapplied.ApplyToken(token); err != nil || reapplied.Token() != token {
				t.Errorf("token %q changes when it is applied and encoded again: %v", token, err)
			}
		}
	})
}

func BenchmarkToken(b *testing.B) {
	f := New()
	b.ReportAllocs()
	for i := range b.N {
		f.Raise("ledger", point(1, uint64(i)+1))
		_ = f.Token()
	}
}

func BenchmarkApplyToken(b *testing.B) {
	source := New()
	source.Raise("ledger", point(7, 123456))
	text := source.Token()
	b.ReportAllocs()
	for range b.N {
		if err := New().ApplyToken(text); err != nil {
			b.Fatal(err)
		}
	}
}
