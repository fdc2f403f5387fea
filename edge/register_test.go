package edge

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// oneKeyStore is a store with a single key. It can lose the response to a transaction and
// delay the transaction: the test executes it later, when its expectations may no longer
// hold.
type oneKeyStore struct {
	store.Transactor
	// changes is the number of all changes, and revision that of the key's last change,
	// zero while the key does not exist.
	changes  store.Revision
	revision store.Revision
	value    string
	// loseNextResponse has the next transaction delayed and reported as failed.
	loseNextResponse bool
	delayed          []store.Transaction
}

func (s *oneKeyStore) Transact(_ context.Context, t store.Transaction) (store.Revision, error) {
	if s.loseNextResponse {
		s.loseNextResponse = false
		s.delayed = append(s.delayed, t)
		return 0, store.ErrUnavailable
	}
	return s.execute(t)
}

func (s *oneKeyStore) execute(t store.Transaction) (store.Revision, error) {
	for _, e := range t.Expect {
		if e.Revision != s.revision {
			conflict := &store.ConflictError{}
			if s.revision != 0 {
				conflict.Current = []store.Entry{{Key: e.Key, Revision: s.revision, Value: []byte(s.value)}}
			}
			return 0, conflict
		}
	}
	s.changes++
	s.revision, s.value = s.changes, string(t.Puts[len(t.Puts)-1].Value)
	return s.revision, nil
}

// newRegisteringDaemon returns a daemon that is not registered yet.
func newRegisteringDaemon(s store.Transactor) *Daemon {
	return New(Options{Settings: entrysettings.Settings{Instance: "self"}, Store: s, Log: logr.Discard(),
		Adapter: Adapter{ConfigurationKey: "configuration", TargetPrefix: "target/"}})
}

// The response to a registration without usage is lost, and the write takes effect
// seconds later, after the instance has declared that it uses a primary. It must not
// remove that declaration, since a fence would no longer wait for the instance.
func TestLateRegistrationDoesNotRemoveDeclaredUsage(t *testing.T) {
	s := &oneKeyStore{loseNextResponse: true}
	d := newRegisteringDaemon(s)
	if d.putRegistration(context.Background(), 1, nil) {
		t.Fatal("a lost response counts as success")
	}
	if !d.putRegistration(context.Background(), 2, nil) || !d.putWithUsage(context.Background(), 2, []topology.ServiceID{"s"}, nil) {
		t.Fatal("not registered")
	}
	if _, err := s.execute(s.delayed[0]); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("the late write took effect: %v", err)
	}
	if s.value != `["s"]` {
		t.Fatalf("the store holds %s", s.value)
	}
}

// A new process finds the usage of an earlier process of the instance and replaces it.
func TestUsageOfAnEarlierProcessIsReplaced(t *testing.T) {
	s := &oneKeyStore{changes: 40, revision: 40, value: `["s"]`}
	d := newRegisteringDaemon(s)
	if !d.putRegistration(context.Background(), 1, nil) || s.value != "null" {
		t.Fatalf("the store holds %s", s.value)
	}
	if !d.putWithUsage(context.Background(), 1, []topology.ServiceID{"t"}, nil) || s.value != `["t"]` {
		t.Fatalf("the store holds %s", s.value)
	}
}
