package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/xdg-go/scram"
	"pgregory.net/rapid"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// TestDecode runs testdata/decode. Each case prints the decoded value, the unknown
// fields and the record encoded again, or the type and text of the error.
func TestDecode(t *testing.T) {
	datadriven.RunTest(t, "testdata/decode", func(_ *testing.T, d *datadriven.TestData) string {
		document, err := Decode([]byte(d.Input))
		if err != nil {
			return fmt.Sprintf("%T\n%v\n", err, err)
		}
		encoded, err := document.Encode()
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%+v\nunknown: %v\n%s\n", document.Value, document.UnknownFields(), encoded)
	})
}

func genID() *rapid.Generator[string] { return rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._-]{0,20}`) }

func genValue(t *rapid.T) Value {
	id := genID().Draw(t, "id")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return Customer{ID: topology.CustomerID(id), Name: rapid.StringMatching(`.{1,40}`).Draw(t, "name")}
	case 1:
		randomBytes := func(n int) []byte { return rapid.SliceOfN(rapid.Byte(), n, n).Draw(t, "bytes") }
		verifier := Verifier{Iterations: 4096, Salt: randomBytes(16), StoredKey: randomBytes(32), ServerKey: randomBytes(32)}
		return Key{ID: topology.KeyID(id), Customer: "c1", Withdrawn: rapid.Bool().Draw(t, "withdrawn"), Verifier: verifier}
	case 2:
		rate := rapid.Float64Range(0.001, 1e6).Draw(t, "rate")
		return Limit{Customer: topology.CustomerID(id), Rate: rate, Burst: rapid.Float64Range(1, 1e7).Draw(t, "burst")}
	case 3:
		return Service{ID: topology.ServiceID(id), Database: "ledger", Credential: "main", Connections: 15, Slots: 2, Targets: genTargets(t)}
	default:
		customers := rapid.SliceOfNDistinct(rapid.Map(genID(), func(s string) topology.CustomerID { return topology.CustomerID(s) }), 1, 4, rapid.ID)
		return Route{Database: id, Service: "s1", Access: AccessKeyed, Customers: customers.Draw(t, "customers"), MaxAgeMillis: rapid.IntRange(0, 1000).Draw(t, "age")}
	}
}

func genTargets(t *rapid.T) []ServiceTarget {
	ids := rapid.SliceOfNDistinct(genID(), 1, 5, rapid.ID).Draw(t, "targets")
	targets := make([]ServiceTarget, len(ids))
	for i, id := range ids {
		target := platform.Target{ID: topology.TargetID(id), Address: "10.0.0.1:5432", Control: "10.0.0.1:8001", FailureDomain: "kollam"}
		targets[i] = ServiceTarget{Target: target, Leaving: rapid.Bool().Draw(t, "leaving")}
	}
	return targets
}

// TestRoundTripKeepsUnknownFields encodes random values in every schema version and
// adds unknown members to every object, as a newer release would. Decoding, modifying
// and encoding must keep both the modification and the unknown members.
func TestRoundTripKeepsUnknownFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := genValue(t)
		for _, version := range Versions(value.Kind()) {
			document := &Document{Kind: value.Kind(), Schema: version, ID: value.RecordID(), Change: "c", Author: "a", Value: value}
			withUnknown := addUnknownMembers(t, mustEncode(t, document))
			read, err := Decode(withUnknown)
			if err != nil {
				t.Fatalf("decode %s: %v", withUnknown, err)
			}
			if !reflect.DeepEqual(read.Value, value) {
				t.Fatalf("version %d: read %+v, wrote %+v", version, read.Value, value)
			}
			read.Change = "c2"
			read.Value = modifyValue(value)
			reread, err := Decode(mustEncode(t, read))
			if err != nil {
				t.Fatalf("decode the modified record: %v", err)
			}
			if !reflect.DeepEqual(reread.Value, read.Value) || reread.Change != "c2" {
				t.Fatalf("version %d: read %+v, wrote %+v", version, reread.Value, read.Value)
			}
			if unknownBefore, unknownAfter := read.UnknownFields(), reread.UnknownFields(); !reflect.DeepEqual(unknownBefore, unknownAfter) || len(unknownAfter) < 2 {
				t.Fatalf("unknown fields %v became %v", unknownBefore, unknownAfter)
			}
		}
	})
}

func mustEncode(t *rapid.T, document *Document) []byte {
	data, err := document.Encode()
	if err != nil {
		t.Fatalf("encode %+v: %v", document.Value, err)
	}
	return data
}

// addUnknownMembers adds an unknown member to every object of an encoded record. The
// member holds a number that a float64 cannot represent exactly.
func addUnknownMembers(t *rapid.T, data []byte) []byte {
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		t.Fatal(err)
	}
	var visit func(any)
	visit = func(value any) {
		switch value := value.(type) {
		case map[string]any:
			for _, member := range value {
				visit(member)
			}
			value["x_future"] = map[string]any{"Big": json.Number("12345678901234567890")}
		case []any:
			for _, item := range value {
				visit(item)
			}
		}
	}
	visit(tree)
	withUnknown, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	return withUnknown
}

// modifyValue returns the value with one field changed.
func modifyValue(value Value) Value {
	switch value := value.(type) {
	case Customer:
		value.Name += "x"
		return value
	case Key:
		value.Withdrawn = !value.Withdrawn
		return value
	case Limit:
		value.Burst++
		return value
	case Service:
		value.Targets = append([]ServiceTarget(nil), value.Targets...)
		value.Targets[0].Leaving = !value.Targets[0].Leaving
		return value
	case Route:
		value.MaxAgeMillis++
		return value
	}
	return value
}

// TestDecodeNeverPanics decodes records with a random byte replaced. What still decodes
// must be encodable.
func TestDecodeNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := mustEncode(t, New(genValue(t)))
		position := rapid.IntRange(0, len(data)-1).Draw(t, "position")
		data[position] = rapid.Byte().Draw(t, "byte")
		document, err := Decode(data)
		if err == nil {
			mustEncode(t, document)
		}
	})
}

// TestSizeLimit checks that a route with the maximum number of customers is accepted,
// and that both Encode and Decode reject a record of more than MaxBytes.
func TestSizeLimit(t *testing.T) {
	route := Route{Database: "db", Service: "s", Access: AccessKeyed}
	for i := range 10000 {
		route.Customers = append(route.Customers, topology.CustomerID(fmt.Sprintf("%s%05d", strings.Repeat("c", 50), i)))
	}
	data, err := New(route).Encode()
	if err != nil || len(data) > MaxBytes {
		t.Fatalf("%d bytes: %v", len(data), err)
	}
	document, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	document.rawMembers["x_padding"] = json.RawMessage(`"` + strings.Repeat("p", MaxBytes) + `"`)
	var tooLarge *TooLargeError
	if _, err := document.Encode(); !errors.As(err, &tooLarge) || tooLarge.Kind != KindRoute {
		t.Fatalf("encode: %v", err)
	}
	if _, err := Decode([]byte(strings.Repeat(" ", MaxBytes) + string(data))); !errors.As(err, &tooLarge) {
		t.Fatalf("decode: %v", err)
	}
}

// TestWithdrawnKeyOfLaterSchema checks that a withdrawn key is recognized in a schema
// version that Decode does not support.
func TestWithdrawnKeyOfLaterSchema(t *testing.T) {
	laterSchema := []byte(`{"kind":"key","schema":99,"id":"k","spec":{"withdrawn":true,"proof":{}}}`)
	if _, err := Decode(laterSchema); !errors.As(err, new(*UnsupportedSchemaError)) {
		t.Fatalf("decode: %v", err)
	}
	if !IsWithdrawnKey(laterSchema) {
		t.Error("the withdrawn key was not recognized")
	}
	for _, other := range []string{`{"kind":"customer","spec":{"withdrawn":true}}`, `{"kind":"key","spec":{}}`, `{`} {
		if IsWithdrawnKey([]byte(other)) {
			t.Errorf("%s was recognized as a withdrawn key", other)
		}
	}
}

// TestVerifierAuthenticates runs SCRAM exchanges against the verifier of a generated
// secret: the secret must pass and a different one must fail.
func TestVerifierAuthenticates(t *testing.T) {
	secret := NewSecret()
	if secret == NewSecret() {
		t.Fatal("two secrets are equal")
	}
	verifier, err := NewVerifier(secret)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		secret string
		valid  bool
	}{{secret, true}, {secret + "x", false}} {
		if valid := authenticate(t, verifier, c.secret); valid != c.valid {
			t.Errorf("secret accepted: %v, want %v", valid, c.valid)
		}
	}
}

func authenticate(t *testing.T, verifier Verifier, secret string) bool {
	t.Helper()
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		factors := scram.KeyFactors{Salt: string(verifier.Salt), Iters: verifier.Iterations}
		return scram.StoredCredentials{KeyFactors: factors, StoredKey: verifier.StoredKey, ServerKey: verifier.ServerKey}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	client, err := scram.SHA256.NewClient("k", secret, "")
	if err != nil {
		t.Fatal(err)
	}
	clientExchange, serverExchange := client.NewConversation(), server.NewConversation()
	first, _ := clientExchange.Step("")
	challenge, _ := serverExchange.Step(first)
	proof, _ := clientExchange.Step(challenge)
	_, _ = serverExchange.Step(proof)
	return serverExchange.Valid()
}

// BenchmarkDecode decodes a key record.
func BenchmarkDecode(b *testing.B) {
	verifier, err := NewVerifier(NewSecret())
	if err != nil {
		b.Fatal(err)
	}
	data, err := New(Key{ID: "k", Customer: "c", Verifier: verifier}).Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
