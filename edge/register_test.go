package edge

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/owner"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
)

// leaseStore is a store whose leases never expire. It can lose the response to a
// transaction and delay the transaction: the test executes it later, when its expectations
// may no longer hold.
type leaseStore struct {
	store.Transactor
	// changes is the number of all changes.
	changes store.Revision
	entries map[string]store.Entry
	// grants holds the TTLs of the granted leases, in order.
	grants []time.Duration
	// calls is the number of transactions that were received.
	calls int
	// loseNextResponse has the next transaction delayed and reported as failed.
	loseNextResponse bool
	delayed          []store.Transaction
}

func (s *leaseStore) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.grants = append(s.grants, ttl)
	return store.LeaseID(len(s.grants)), nil
}

// List returns the entries of a prefix.
func (s *leaseStore) List(_ context.Context, prefix string) (store.Listing, error) {
	listing := store.Listing{Revision: s.changes}
	for _, entry := range s.entries {
		if strings.HasPrefix(entry.Key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing, nil
}

// KeepAlive renews any lease.
func (s *leaseStore) KeepAlive(context.Context, store.LeaseID) error { return nil }

func (s *leaseStore) CompareAndSwap(ctx context.Context, swap store.Swap) (store.Revision, error) {
	return s.Transact(ctx, swap.Transaction())
}

func (s *leaseStore) Transact(_ context.Context, t store.Transaction) (store.Revision, error) {
	s.calls++
	if s.loseNextResponse {
		s.loseNextResponse = false
		s.delayed = append(s.delayed, t)
		return 0, store.ErrUnavailable
	}
	return s.execute(t)
}

func (s *leaseStore) execute(t store.Transaction) (store.Revision, error) {
	conflict := &store.ConflictError{}
	holds := true
	for _, e := range t.Expect {
		holds = holds && e.Revision == s.entries[e.Key].Revision
		if entry, exists := s.entries[e.Key]; exists {
			conflict.Current = append(conflict.Current, entry)
		}
	}
	if !holds {
		return 0, conflict
	}
	for _, put := range t.Puts {
		s.put(put)
	}
	for _, key := range t.Deletes {
		s.changes++
		delete(s.entries, key)
	}
	return s.changes, nil
}

func (s *leaseStore) put(put store.Put) {
	if s.entries == nil {
		s.entries = make(map[string]store.Entry)
	}
	s.changes++
	s.entries[put.Key] = store.Entry{Key: put.Key, Value: put.Value, Lease: put.Lease, Revision: s.changes}
}

// usage returns the stored usage of the instance, empty if there is none.
func (s *leaseStore) usage() string { return string(s.entries[usageKey("self")].Value) }

// newRegisteringDaemon returns a daemon that is not registered yet.
func newRegisteringDaemon(s store.Transactor) *Daemon {
	return New(Options{Settings: entrysettings.Settings{Instance: "self"}, Store: s, Log: logr.Discard(),
		Adapter: Adapter{ConfigurationKey: "configuration", TargetPrefix: "target/"}})
}

// The response to a registration without usage is lost, and the write takes effect
// seconds later, after the instance has declared that it uses a primary. It must not
// remove that declaration, since a fence would no longer wait for the instance.
func TestLateRegistrationDoesNotRemoveDeclaredUsage(t *testing.T) {
	s := &leaseStore{loseNextResponse: true}
	s.put(store.Put{Key: usageKey("self"), Value: []byte(`["earlier"]`)})
	d := newRegisteringDaemon(s)
	d.ownRevisions[usageKey("self")] = s.changes
	if d.putRegistration(t.Context(), leaseGrant{id: 1}, nil) {
		t.Fatal("a lost response counts as success")
	}
	if !d.putRegistration(t.Context(), leaseGrant{id: 2}, nil) || !d.putUsage(t.Context(), leaseGrant{id: 2}, []topology.ServiceID{"s"}) {
		t.Fatal("not registered")
	}
	if _, err := s.execute(s.delayed[0]); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("the late write took effect: %v", err)
	}
	if s.usage() != `["s"]` {
		t.Fatalf("the store holds %s", s.usage())
	}
}

// The response to a registration without usage is lost, and the write takes effect after
// the instance has registered under another lease. It must not attach the registration to
// the first lease, which nobody renews.
func TestLateRegistrationDoesNotReturnToAnEarlierLease(t *testing.T) {
	s := &leaseStore{loseNextResponse: true}
	d := newRegisteringDaemon(s)
	if d.register(t.Context(), upkeep.Standby) {
		t.Fatal("a lost response counts as success")
	}
	if !d.register(t.Context(), upkeep.Standby) {
		t.Fatal("not registered")
	}
	if _, err := s.execute(s.delayed[0]); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("the late write took effect: %v", err)
	}
	if lease := s.entries[instanceKey("self")].Lease; lease != d.registrationLease().id {
		t.Fatalf("registered under lease %d, renews lease %d", lease, d.registrationLease().id)
	}
}

// A new process finds the usage of an earlier process of the instance and replaces it.
func TestUsageOfAnEarlierProcessIsReplaced(t *testing.T) {
	s := &leaseStore{changes: 40}
	s.put(store.Put{Key: usageKey("self"), Value: []byte(`["s"]`)})
	d := newRegisteringDaemon(s)
	if !d.putRegistration(t.Context(), leaseGrant{id: 1}, nil) || s.usage() != "null" {
		t.Fatalf("the store holds %s", s.usage())
	}
	if !d.putUsage(t.Context(), leaseGrant{id: 1}, []topology.ServiceID{"t"}) || s.usage() != `["t"]` {
		t.Fatalf("the store holds %s", s.usage())
	}
}

// An instance that has listed the keys of its earlier process replaces them with one call.
func TestListedKeysAreReplacedWithoutAConflict(t *testing.T) {
	s := &leaseStore{changes: 40}
	s.put(store.Put{Key: instanceKey("self"), Value: []byte("{}")})
	s.put(store.Put{Key: usageKey("self"), Value: []byte(`["s"]`)})
	d := newRegisteringDaemon(&listingStore{leaseStore: s})
	if _, err := d.loadMirror(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !d.register(t.Context(), upkeep.Standby) || s.calls != 1 || s.usage() != "null" {
		t.Fatalf("%d calls, the store holds %s", s.calls, s.usage())
	}
}

// listingStore is a leaseStore that lists its entries.
type listingStore struct{ *leaseStore }

func (s *listingStore) List(context.Context, string) (store.Listing, error) {
	listing := store.Listing{Revision: s.changes}
	for _, entry := range s.entries {
		listing.Entries = append(listing.Entries, entry)
	}
	return listing, nil
}

// Most instances of a large fleet forward all requests. They need no usage in the store,
// and a lease that they renew rarely.
func TestForwardingInstanceHoldsALongLeaseAndNoUsage(t *testing.T) {
	s := &leaseStore{}
	d := newRegisteringDaemon(s)
	d.settings.CPUShare = 0.2
	d.recordEligibility([]owner.Instance{{ID: "a", CPUShare: 0.8}, {ID: "b", CPUShare: 0.8}, {ID: "self", CPUShare: 0.2}})
	if !d.register(t.Context(), d.role()) {
		t.Fatal("not registered")
	}
	if want := upkeep.For(upkeep.Forwarding).RegistrationTTL; s.grants[0] != want || d.registrationLease().ttl != want {
		t.Fatalf("registered for %s, want %s", s.grants[0], want)
	}
	if _, stored := s.entries[usageKey("self")]; stored {
		t.Fatal("an empty usage is stored")
	}
	d.usedServices = []topology.ServiceID{"s"}
	if !upkeep.NeedsNewLease(d.role(), d.registrationLease().ttl) || !d.register(t.Context(), d.role()) {
		t.Fatal("not registered again as an owner")
	}
	if want := upkeep.For(upkeep.Using).RegistrationTTL; s.grants[1] != want || s.entries[instanceKey("self")].Lease != 2 {
		t.Fatalf("an owner is registered for %s under lease %d, want %s", s.grants[1], s.entries[instanceKey("self")].Lease, want)
	}
}

// After the restart of the whole fleet, the registrations of the earlier processes are still
// there. A forwarding instance renews its own, at a tenth of the price of a write.
func TestForwardingInstanceAdoptsTheRegistrationOfItsEarlierProcess(t *testing.T) {
	ttl := upkeep.For(upkeep.Forwarding).RegistrationTTL
	for _, test := range []struct {
		name    string
		change  func(r *registration)
		usage   string
		adopted bool
	}{
		{"unchanged", func(*registration) {}, "", true},
		{"moved", func(r *registration) { r.Address = "elsewhere" }, "", false},
		{"leaving", func(r *registration) { r.Leaving = true }, "", false},
		{"short lease", func(r *registration) { r.LeaseTTL = time.Second }, "", false},
		{"used primaries", func(*registration) {}, `["s"]`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &leaseStore{}
			d := newRegisteringDaemon(&listingStore{leaseStore: s})
			earlier := d.registration(ttl)
			earlier.Incarnation--
			test.change(&earlier)
			value, err := json.Marshal(earlier)
			if err != nil {
				t.Fatal(err)
			}
			s.put(store.Put{Key: instanceKey("self"), Value: value, Lease: 9})
			if test.usage != "" {
				s.put(store.Put{Key: usageKey("self"), Value: []byte(test.usage), Lease: 9})
			}
			if _, err := d.loadMirror(t.Context()); err != nil {
				t.Fatal(err)
			}
			if !d.register(t.Context(), upkeep.Forwarding) {
				t.Fatal("not registered")
			}
			if adopted := d.registrationLease().id == 9; adopted != test.adopted || adopted == (len(s.grants) > 0) {
				t.Fatalf("lease %d, %d leases granted", d.registrationLease().id, len(s.grants))
			}
			if !d.authority.RegistrationValid(d.clock()) {
				t.Fatal("the registration does not count as valid")
			}
		})
	}
}

// The failure of the larger instances makes all forwarding instances eligible at once.
// They must not all register again.
func TestEligibleForwardingInstanceKeepsItsLease(t *testing.T) {
	d := newRegisteringDaemon(&leaseStore{})
	d.settings.CPUShare = 0.2
	d.recordEligibility([]owner.Instance{{ID: "b", CPUShare: 0.2}, {ID: "self", CPUShare: 0.2}})
	if d.role() != upkeep.Standby || upkeep.NeedsNewLease(d.role(), upkeep.For(upkeep.Forwarding).RegistrationTTL) {
		t.Fatalf("an instance with the role %s needs another lease", d.role())
	}
}
