package edge

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
)

// The lease is lost in a restore and its ID is given to another instance, whose registration
// must not end when this instance registers again.
func TestLeaseGivenOutAgainAfterARestoreIsNotEnded(t *testing.T) {
	s := newRestorableStore(t)
	d := s.daemon
	d.usedServices = []topology.ServiceID{"s"}
	copiedAt := time.Now()
	if !d.register(t.Context(), upkeep.Using) {
		t.Fatal("not registered")
	}
	s.Restore(copiedAt)
	other := &restorableStore{Store: s.Store, t: t, daemon: s.newDaemon("other")}
	other.load()
	if !other.daemon.register(t.Context(), upkeep.Using) || other.daemon.registrationLease().id != d.registrationLease().id {
		t.Fatalf("the other instance has lease %+v, not that of %+v", other.daemon.registrationLease(), d.registrationLease())
	}
	s.receive()
	if !d.register(t.Context(), upkeep.Using) {
		t.Fatal("not registered again")
	}
	if _, err := d.store.Get(t.Context(), instanceKey("other")); err != nil {
		t.Fatalf("registration of the other instance: %v", err)
	}
}

// The store accepts the renewal of a lease from before a restore. The restore may have removed
// the usage that was declared under it, so that no fence waits for this instance.
func TestRenewalOfALeaseFromBeforeARestoreGivesNoAuthority(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	d.store = newThrottledStore(&leaseStore{}, d.clock)
	lease := leaseGrant{id: 5, ttl: authority.MinRegistrationTTL, era: 1}
	d.setLease(lease)
	if !d.renewRegistration(t.Context(), lease) || !d.authority.RegistrationValid(*now) {
		t.Fatal("no authority before the restore")
	}
	d.observeEra(2)
	*now += time.Second
	if !d.renewRegistration(t.Context(), lease) {
		t.Fatal("not renewed")
	}
	*now += authority.PrimaryDuration - time.Second
	if d.authority.RegistrationValid(*now) {
		t.Fatal("the renewal after the restore has extended the authority")
	}
}

// The copy holds the leader's key of an earlier term, under a lease that another instance may
// have by now. The leader does not lead by it, and deletes it.
func TestLeadershipUnderAnotherLeaseIsNotHeld(t *testing.T) {
	d, now := newDaemonInEra(t, 2)
	stored := &leaseStore{changes: store.NewRevision(2, 23)}
	stored.put(store.Put{Key: keyLeadership, Value: []byte(d.leadershipValue()), Lease: 4})
	d.store = newThrottledStore(stored, d.clock)
	d.declaredServices = []topology.ServiceID{"s"}
	d.authority.ObserveRenewal(*now, authority.MinRegistrationTTL)
	d.setLeadershipLease(7, *now)
	d.applyChanges([]store.Change{{Entry: stored.entries[keyLeadership]}})
	if d.maintainLeadership(t.Context()) {
		t.Fatal("leads by a key under a lease that it does not hold")
	}
	if _, exists := stored.entries[keyLeadership]; exists {
		t.Fatal("the key is left to a lease that another instance may renew")
	}
	stored.put(store.Put{Key: keyLeadership, Value: []byte(d.leadershipValue()), Lease: 7})
	d.applyChanges([]store.Change{{Entry: stored.entries[keyLeadership]}})
	if !d.maintainLeadership(t.Context()) {
		t.Fatal("does not lead by its own lease")
	}
}
