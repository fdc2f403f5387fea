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

// oneKeyStore holds one key. It can lose the answer to a transaction, which then takes
// effect when the test says so, if its condition still holds.
type oneKeyStore struct {
	store.Transactor
	// changes counts all changes, revision is that of the last one of the key, zero
	// without the key.
	changes   store.Revision
	revision  store.Revision
	value     string
	loseNext  bool
	postponed []store.Transaction
}

func (s *oneKeyStore) Transact(_ context.Context, t store.Transaction) (store.Revision, error) {
	if s.loseNext {
		s.loseNext = false
		s.postponed = append(s.postponed, t)
		return 0, store.ErrUnavailable
	}
	return s.apply(t)
}

func (s *oneKeyStore) apply(t store.Transaction) (store.Revision, error) {
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

func newRegistering(s *oneKeyStore) *Daemon {
	return New(Options{Settings: entrysettings.Settings{Instance: "self"}, Store: s, Log: logr.Discard(),
		Adapter: Adapter{ConfigurationKey: "configuration", TargetPrefix: "target/"}})
}

// The answer to a registration without usage is lost and the call takes effect seconds
// later, when the instance has declared that it uses a primary. A fence must still wait
// for the instance.
func TestLateRegistrationDoesNotTakeADeclaredUseAway(t *testing.T) {
	s := &oneKeyStore{loseNext: true}
	d := newRegistering(s)
	if d.putRegistration(context.Background(), 1, nil) {
		t.Fatal("a lost answer counts as success")
	}
	if !d.putRegistration(context.Background(), 2, nil) || !d.putUnderLease(context.Background(), 2, []topology.ServiceID{"s"}, nil) {
		t.Fatal("not registered")
	}
	if _, err := s.apply(s.postponed[0]); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("the late call took effect: %v", err)
	}
	if s.value != `["s"]` {
		t.Fatalf("the store holds %s", s.value)
	}
}

// Neither does a call of an earlier process, whose usage the new one finds.
func TestUsageOfAnEarlierProcessIsReplaced(t *testing.T) {
	s := &oneKeyStore{changes: 40, revision: 40, value: `["s"]`}
	d := newRegistering(s)
	if !d.putRegistration(context.Background(), 1, nil) || s.value != "null" {
		t.Fatalf("the store holds %s", s.value)
	}
	if !d.putUnderLease(context.Background(), 1, []topology.ServiceID{"t"}, nil) || s.value != `["t"]` {
		t.Fatalf("the store holds %s", s.value)
	}
}
