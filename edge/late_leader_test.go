package edge

import (
	"testing"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Guards against a leader that acts on a record from before its leadership: the watch lags, and
// the record lacks the order of the leader before.
func TestLeaderKnowsWhatEarlierLeadersHaveWritten(t *testing.T) {
	s := newRestorableStore(t)
	d := s.daemon
	d.declaredServices = []topology.ServiceID{"s"}
	d.authority.ObserveRenewal(d.clock(), authority.MinRegistrationTTL)
	record := failover.Record{Primary: "a", Term: 1, Fenced: true, FenceSequence: 1}
	revision, err := d.store.CompareAndSwap(t.Context(), store.Swap{Key: recordKey("s"), Value: record.Encode()})
	if err != nil {
		t.Fatal(err)
	}
	s.receive()
	record.Order = &failover.Order{Successor: "c"}
	if _, err := d.store.CompareAndSwap(t.Context(), store.Swap{Key: recordKey("s"), Value: record.Encode(), Expect: revision}); err != nil {
		t.Fatal(err)
	}
	if d.maintainLeadership(t.Context()) || !d.maintainLeadership(t.Context()) {
		t.Fatal("the leadership does not count from the second call on")
	}
	if view := d.failoverView(d.clock(), "s"); view.Record.Ordered() != "c" {
		t.Fatalf("the leader acts on the record %+v", view.Record)
	}
}

// newLeader returns a failover leader, of token 10, with the coordinator of the service s.
func newLeader(t *testing.T, coordinator *failover.Coordinator) *Daemon {
	t.Helper()
	d := newTestDaemon(t)
	d.setLeadershipLease(1, d.clock())
	d.setLeadership(true, 10)
	d.leadership.coordinators["s"] = coordinator
	return d
}

// Guards against two actions of one service at a time: the leadership lapses while a promotion is
// being requested, and is regained under its token.
func TestRegainedLeadershipGoesOnWithItsFailovers(t *testing.T) {
	coordinator := &failover.Coordinator{}
	d := newLeader(t, coordinator)
	d.setLeadership(false, 10)
	d.setLeadership(true, 10)
	if d.leadership.coordinators["s"] != coordinator {
		t.Fatal("a request of the failover under way counts as one of an earlier leader, and its result is lost")
	}
	d.setLeadership(true, 30)
	if len(d.leadership.coordinators) != 0 {
		t.Fatal("a failover outlives the token")
	}
}
