package execute

import (
	"sync"
	"testing"

	"github.com/xdg-go/scram"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// directory implements session.Directory with two keys of different customers,
// a route for keyed sessions and an open one.
type directory struct {
	mu struct {
		sync.Mutex
		keys   map[topology.KeyID]record.Key
		routes map[string]record.Route
	}
}

func newDirectory(t testing.TB) *directory {
	d := &directory{}
	d.mu.keys = map[topology.KeyID]record.Key{
		testKey: {ID: testKey, Customer: "mill", Verifier: newVerifier(t, testSecret)},
		"other": {ID: "other", Customer: "depot", Verifier: newVerifier(t, testSecret)},
	}
	d.mu.routes = map[string]record.Route{
		"ledger": {Database: "ledger", Service: testService, Access: record.AccessKeyed},
		"open":   {Database: "open", Service: testService, Access: record.AccessOpen, OpenCustomer: "public"},
	}
	return d
}

func newVerifier(t testing.TB, secret string) record.Verifier {
	prover, err := scram.SHA256.NewClient("", secret, "")
	if err != nil {
		t.Fatal(err)
	}
	factors := scram.KeyFactors{Salt: "salt-of-sixteen-", Iters: 4096}
	stored, err := prover.GetStoredCredentialsWithError(factors)
	if err != nil {
		t.Fatal(err)
	}
	return record.Verifier{
		Iterations: factors.Iters, Salt: []byte(factors.Salt), StoredKey: stored.StoredKey, ServerKey: stored.ServerKey,
	}
}

func (d *directory) Key(id topology.KeyID) (record.Key, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key, ok := d.mu.keys[id]
	return key, ok
}

func (d *directory) Route(database string) (record.Route, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	route, ok := d.mu.routes[database]
	return route, ok
}

// withdraw marks a key as withdrawn.
func (d *directory) withdraw(id topology.KeyID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := d.mu.keys[id]
	key.Withdrawn = true
	d.mu.keys[id] = key
}
