package engine

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/dispatch"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// A process is suspended while it applies a fence, until its authority has expired, and
// confirms the fence before it goes on. The confirmation must not let statements in flight
// on the fenced primary complete.
func TestConfirmationOfAFenceDoesNotExtendTheUseOfItsPrimary(t *testing.T) {
	confirm := func(tracker *authority.Tracker, at time.Duration, revision store.Revision) {
		tracker.ObserveRenewal(at, authority.MinRegistrationTTL)
		tracker.ObserveConfirmation(at, true, map[topology.ServiceID]store.Revision{"s": revision})
	}
	for _, test := range []struct {
		name      string
		resumedAt time.Duration
		confirms  bool
		may       bool
	}{
		{"not suspended", time.Second, false, true},
		{"authority expired", authority.PrimaryDuration, false, false},
		{"fence confirmed", 2 * authority.PrimaryDuration, true, false},
	} {
		tracker := authority.New(time.Second)
		tracker.ObserveDeclaration(-1, []topology.ServiceID{"s"}, 1, false)
		confirm(tracker, 0, 5)
		s := &service{id: "s", authority: tracker, declaredUse: true, dispatch: dispatch.New(dispatch.Config{Service: "s"})}
		s.setRecord(0, failover.Record{Primary: "a", Term: 1}, 5)
		if !s.mayUsePrimary(0, "a", 0) {
			t.Fatalf("%s: no authority before the fence", test.name)
		}
		if test.confirms {
			confirm(tracker, test.resumedAt, 6)
		}
		s.setRecord(test.resumedAt, failover.Record{Primary: "a", Term: 1, Fenced: true, FenceSequence: 1}, 6)
		if may := s.mayUsePrimary(test.resumedAt, "a", 0); may != test.may {
			t.Errorf("%s: statements in flight may complete: %t, want %t", test.name, may, test.may)
		}
	}
}
