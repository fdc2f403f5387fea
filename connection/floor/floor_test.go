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

func TestRaiseOnlyMovesUp(t *testing.T) {
	f := New()
	for _, step := range []struct{ raise, want topology.Point }{
		{point(1, 10), point(1, 10)},
		{point(1, 9), point(1, 10)},
		{point(2, 1), point(2, 1)},
		{point(1, 99), point(2, 1)},
	} {
		f.Raise("ledger", step.raise)
		if got := f.At("ledger"); got != step.want {
			t.Errorf("after %v the floor is %v, want %v", step.raise, got, step.want)
		}
	}
	if got := f.At("dispatch"); got != (topology.Point{}) {
		t.Errorf("floor of another service is %v, want none", got)
	}
}

func TestTokenCarriesPoints(t *testing.T) {
	from, to := New(), New()
	from.Raise("ledger", point(3, 70))
	from.Raise("dispatch", point(1, 1))
	to.Raise("dispatch", point(2, 5))
	if err := to.Present(from.Token()); err != nil {
		t.Fatal(err)
	}
	if to.At("ledger") != point(3, 70) || to.At("dispatch") != point(2, 5) {
		t.Errorf("floor after the token is %v and %v", to.At("ledger"), to.At("dispatch"))
	}
	before := from.Token()
	from.Raise("ledger", point(3, 71))
	if from.Token() == before {
		t.Error("token did not change with its point")
	}
	if New().Token() != "" {
		t.Error("a floor without points has a token")
	}
}

func encoded(t *testing.T, content any) string {
	t.Helper()
	data, err := cbor.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

func TestPresentRefusesHostileTokens(t *testing.T) {
	many := make([]entry, MaxServices+1)
	for i := range many {
		many[i].Service = topology.ServiceID(strings.Repeat("s", i+1))
	}
	for name, text := range map[string]string{
		"not base64url":  "!!",
		"padded":         encoded(t, token{Version: 1}) + "=",
		"not CBOR":       base64.RawURLEncoding.EncodeToString([]byte("\xff\xff")),
		"other version":  encoded(t, token{Version: 2}),
		"many services":  encoded(t, token{Version: 1, Entries: many}),
		"long service":   encoded(t, token{Version: 1, Entries: []entry{{Service: topology.ServiceID(strings.Repeat("s", 200))}}}),
		"empty service":  encoded(t, token{Version: 1, Entries: []entry{{}}}),
		"long":           strings.Repeat("A", MaxTokenBytes+1),
		"unknown field":  encoded(t, map[int]int{1: 1, 9: 9}),
		"deep":           base64.RawURLEncoding.EncodeToString([]byte(strings.Repeat("\x81", 2000))),
		"trailing bytes": encoded(t, token{Version: 1}) + "AAAA",
	} {
		f := New()
		f.Raise("ledger", point(1, 1))
		var refused *TokenError
		if err := f.Present(text); !errors.As(err, &refused) {
			t.Errorf("%s: Present = %v, want a *TokenError", name, err)
		}
		if f.At("ledger") != point(1, 1) || len(f.entries) != 1 {
			t.Errorf("%s: a refused token changed the floor", name)
		}
	}
}

func TestPresentBoundsServicesOverTokens(t *testing.T) {
	f := New()
	for i := range 2 * MaxServices {
		from := New()
		from.Raise(topology.ServiceID(strings.Repeat("s", i+1)), point(1, 1))
		if err := f.Present(from.Token()); (err == nil) != (i < MaxServices) {
			t.Fatalf("token %d: Present = %v", i, err)
		}
	}
	if len(f.entries) != MaxServices {
		t.Errorf("%d services, want %d", len(f.entries), MaxServices)
	}
}

func FuzzPresent(f *testing.F) {
	seed := New()
	seed.Raise("ledger", point(3, 70))
	f.Add(seed.Token())
	f.Add("oQEB")
	f.Fuzz(func(t *testing.T, text string) {
		floor := New()
		floor.Raise("ledger", point(2, 5))
		if err := floor.Present(text); err != nil {
			return
		}
		if !floor.At("ledger").Reaches(point(2, 5)) {
			t.Error("a token lowered the floor")
		}
		again := New()
		if token := floor.Token(); token != "" {
			if err := again.Present(token); err != nil || again.Token() != token {
				t.Errorf("own token %q is not stable: %v", token, err)
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

func BenchmarkPresent(b *testing.B) {
	from := New()
	from.Raise("ledger", point(7, 123456))
	text := from.Token()
	b.ReportAllocs()
	for range b.N {
		if err := New().Present(text); err != nil {
			b.Fatal(err)
		}
	}
}
