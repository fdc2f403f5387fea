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
