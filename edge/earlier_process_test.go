package edge

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/platform/platformtest"
	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
)

// longLeases has the leases of a daemon outlast the test.
func (d *Daemon) longLeases() { d.settings.MinLeaseTTL = time.Hour }

// restart replaces the daemon by that of a new process of the instance, which has read the store.
func (s *restorableStore) restart() (earlier *Daemon) {
	s.t.Helper()
	earlier = s.daemon
	s.daemon = s.newDaemon("self")
	s.daemon.incarnation = earlier.incarnation + 1
	s.load()
	return earlier
}

// use registers the daemon as a user of service s.
func (s *restorableStore) use() {
	s.t.Helper()
	s.daemon.longLeases()
	if !s.daemon.register(s.t.Context(), upkeep.Using) || !s.daemon.putUsage(s.t.Context(), s.daemon.registrationLease(), []topology.ServiceID{"s"}) {
		s.t.Fatal("not registered")
	}
}

// The acknowledgement of an earlier process counts for the new one as long as the fence is in
// force. The new process must know of that fence before it declares a usage, and its own
// acknowledgement must outlive the lease of the earlier one.
func TestAcknowledgedFenceIsKnownToTheNextProcess(t *testing.T) {
	s := newRestorableStore(t)
	s.use()
	before := s.after
	s.putFence(5)
	s.receive()
	s.awaitFenceAck(before)
	earlier := s.restart()
	if record := s.daemon.records["s"]; !record.Fenced || record.FenceSequence != 5 {
		t.Fatalf("the new process starts with %+v", record)
	}
	before = s.after
	s.use()
	if lease := s.awaitFenceAck(before); lease != s.daemon.registrationLease().id {
		t.Fatalf("acknowledged under lease %d", lease)
	}
	if err := s.daemon.store.Revoke(t.Context(), earlier.registrationLease().id); err != nil {
		t.Fatal(err)
	}
	leader := s.newDaemon("leader")
	leader.leadership.fences = make(map[topology.ServiceID]fence)
	s.daemon = leader
	s.load()
	if view := leader.failoverView(leader.clock()+time.Minute, "s"); view.InstanceCount != 1 || !view.FenceAcknowledged {
		t.Fatalf("%d users, acknowledged %t", view.InstanceCount, view.FenceAcknowledged)
	}
}

// lead has a daemon with a declared usage acquire the leadership, if it can, and returns its
// token.
func (s *restorableStore) lead(d *Daemon) store.Revision {
	d.longLeases()
	d.clock = func() time.Duration { return time.Hour }
	d.declaredServices = []topology.ServiceID{"s"}
	d.authority.ObserveRenewal(d.clock(), authority.MinRegistrationTTL)
	for range 4 { // also one that has to end a key first
		d.maintainLeadership(s.t.Context())
	}
	return store.Revision(d.leadership.token)
}

// A leader is killed and starts again under its name within the lease of the leadership. The new
// process must not lead beside the earlier one, nor with a lower token, nor lose the leadership
// to a delayed call of the earlier one.
func TestNextProcessLeadsAfterTheLeaseWithAHigherToken(t *testing.T) {
	s := newRestorableStore(t)
	first := s.lead(s.daemon)
	earlier := s.restart()
	if token := s.lead(s.daemon); first == 0 || token != 0 {
		t.Fatalf("token %s beside token %s", token, first)
	}
	lease := earlier.leadership.lease
	if err := s.daemon.store.Revoke(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	s.receive()
	second := s.lead(s.daemon)
	if second <= first {
		t.Fatalf("token %s after token %s", second, first)
	}
	for name, late := range map[string]store.Swap{
		"acquisition": {Key: keyLeadership, Value: []byte(earlier.leadershipValue()), Lease: lease},
		"resignation": {Key: keyLeadership, Expect: first, Delete: true},
	} {
		if _, err := s.daemon.store.CompareAndSwap(t.Context(), late); !errors.Is(err, store.ErrConflict) {
			t.Errorf("a late %s: %v", name, err)
		}
	}
}

// expiredStore is a leaseStore whose leases have ended.
type expiredStore struct{ *leaseStore }

func (expiredStore) KeepAlive(context.Context, store.LeaseID) error { return store.ErrLeaseExpired }

// The registration and the usage have ended while the process was suspended. The instance must
// have no authority before both are in the store again.
func TestExpiredRegistrationGivesNoAuthorityBeforeTheUsageIsWritten(t *testing.T) {
	s := expiredStore{&leaseStore{}}
	d := newRegisteringDaemon(s)
	if !d.register(t.Context(), upkeep.Using) || !d.putUsage(t.Context(), d.registrationLease(), []topology.ServiceID{"s"}) {
		t.Fatal("not registered")
	}
	s.endLease(d.registrationLease().id)
	d.renewRegistration(t.Context(), d.registrationLease())
	if d.authority.RegistrationValid(d.clock()) {
		t.Fatal("authority after the end of the lease")
	}
	s.loseNextResponse = true
	if d.register(t.Context(), upkeep.Using) || d.authority.RegistrationValid(d.clock()) {
		t.Fatal("authority by a registration that may not be in the store")
	}
	if !d.register(t.Context(), upkeep.Using) || !d.authority.RegistrationValid(d.clock()) || s.usage() != `["s"]` {
		t.Fatalf("registered %t, usage %q", d.authority.RegistrationValid(d.clock()), s.usage())
	}
}

// newPrimaryUser returns a store whose daemon uses the primary a of service s, and a session whose
// writes need it.
func newPrimaryUser(t *testing.T) (*restorableStore, *client.Session) {
	t.Helper()
	s := newRestorableStore(t)
	if err := s.PutConfiguration(2, []platformtest.Route{{Host: "h", Service: "s", Type: "primary"}},
		map[string]platformtest.Service{"s": {Connections: 16}}, []platformtest.Customer{{Name: "k", Key: "key", Rate: 100, Burst: 100}}); err != nil {
		t.Fatal(err)
	}
	s.putRecord(failover.Record{Primary: "a", Term: 1, Era: 1})
	s.receive()
	s.use()
	s.daemon.usedServices = []topology.ServiceID{"s"}
	if !s.daemon.confirmOnce(t.Context()) {
		t.Fatal("not confirmed")
	}
	return s, client.NewSession(1, "h", "key")
}

// A fence is known and has not reached the engine when the use of the primary is declared. It must
// not be acknowledged while the engine may still use the primary.
func TestFenceIsAcknowledgedOnlyOnceTheEngineKnowsIt(t *testing.T) {
	s, session := newPrimaryUser(t)
	d := s.daemon
	d.setDeclaredServices(nil, usageWrite{})
	d.mu.Lock()
	current := d.records["s"]
	current.Fenced, current.FenceSequence = true, 5
	current.revision++
	d.records["s"] = current
	d.mu.Unlock()
	before := s.after
	d.setDeclaredServices([]topology.ServiceID{"s"}, usageWrite{})
	s.awaitFenceAck(before)
	// Without a declared use, operations wait only for the end of a fence that the engine knows.
	d.engine.SetDeclaredServices(nil)
	if !d.engine.CanRun(session, true) {
		t.Fatal("the fence is acknowledged, and the engine does not know it")
	}
}

// A registration has ended, with the usage. The record is confirmed, then fenced without waiting
// for this instance, which registers again. The confirmation from before must not let it use the
// fenced primary.
func TestConfirmationFromBeforeARegistrationGivesNoAuthority(t *testing.T) {
	for _, noticedFirst := range []bool{false, true} {
		s, session := newPrimaryUser(t)
		d := s.daemon
		d.engine.SetDeclaredServices(d.declaredUsage())
		if !d.engine.CanRun(session, true) {
			t.Fatal("the primary is not used")
		}
		if err := d.store.Revoke(t.Context(), d.registrationLease().id); err != nil {
			t.Fatal(err)
		}
		steps := []func() bool{
			func() bool { return d.confirmOnce(t.Context()) },
			func() bool { return !d.renewRegistration(t.Context(), d.registrationLease()) },
		}
		if noticedFirst {
			slices.Reverse(steps)
		}
		if !steps[0]() || !steps[1]() {
			t.Fatal("not confirmed, or renewed after the end of the lease")
		}
		s.putFence(1)
		if !d.register(t.Context(), upkeep.Using) {
			t.Fatal("not registered again")
		}
		d.engine.SetDeclaredServices(d.declaredUsage())
		d.mu.Lock()
		fenced := d.records["s"].Fenced
		d.mu.Unlock()
		if !fenced && d.engine.CanRun(session, true) {
			t.Errorf("expiry noticed first %t: a fenced primary is used by a confirmation from before the usage was in the store", noticedFirst)
		}
	}
}
