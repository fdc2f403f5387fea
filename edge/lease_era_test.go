package edge

import (
	"testing"
	"time"

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
