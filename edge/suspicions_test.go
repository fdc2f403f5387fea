package edge

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newSuspectingDaemon returns a registered daemon that cannot reach the primary a of
// service s.
func newSuspectingDaemon(s *leaseStore) *Daemon {
	d := newRegisteringDaemon(s)
	d.setLease(leaseGrant{id: 1})
	d.records["s"] = storedRecord{Record: failover.Record{Primary: "a"}}
	d.suspicions.ReportUnreachable("s", "a")
	return d
}

// publishSuspicions publishes until the store holds the actual suspicions.
func (d *Daemon) publishSuspicions() {
	for d.suspicions.publishNext(context.Background()) {
	}
}

// The response to a suspicion is lost, the suspicion is published again and withdrawn,
// and the first write takes effect seconds later. The primary must not stay suspected.
func TestLateSuspicionIsRejected(t *testing.T) {
	s := &leaseStore{loseNextResponse: true}
	d := newSuspectingDaemon(s)
	d.publishSuspicions()
	if s.suspicion() != "a" {
		t.Fatalf("published %q", s.suspicion())
	}
	d.suspicions.ReportReachable("s", "a")
	d.publishSuspicions()
	if _, err := s.execute(s.delayed[0]); !errors.Is(err, store.ErrConflict) || s.suspicion() != "" {
		t.Fatalf("after the late write: %q, %v", s.suspicion(), err)
	}
}

// A published suspicion expires with the registration and must be published again under
// the next one.
func TestSuspicionIsPublishedAgainAfterExpiry(t *testing.T) {
	s := &leaseStore{}
	d := newSuspectingDaemon(s)
	d.publishSuspicions()
	d.registrationExpired(d.registrationLease())
	clear(s.entries) // the entry expired with the lease
	d.setLease(leaseGrant{id: 2})
	d.publishSuspicions()
	if s.suspicion() != "a" {
		t.Fatalf("published %q", s.suspicion())
	}
}

// The response to a suspicion is lost, and the primary is reached again before the next
// write. Whether the first write takes effect before the next one or after it, the
// primary must not stay suspected.
func TestLostSuspicionResponseIsResolved(t *testing.T) {
	for _, delayedFirst := range []bool{true, false} {
		s := &leaseStore{loseNextResponse: true}
		d := newSuspectingDaemon(s)
		d.suspicions.publishNext(context.Background())
		d.suspicions.ReportReachable("s", "a")
		if delayedFirst {
			if _, err := s.execute(s.delayed[0]); err != nil {
				t.Fatal(err)
			}
		}
		d.publishSuspicions()
		if !delayedFirst {
			if _, err := s.execute(s.delayed[0]); !errors.Is(err, store.ErrConflict) {
				t.Fatalf("the late write took effect: %v", err)
			}
		}
		if s.suspicion() != "" {
			t.Fatalf("delayed write first %v: the store holds %q", delayedFirst, s.suspicion())
		}
	}
}

// suspicion returns the stored suspicion of the instance for service s, empty for none.
func (s *leaseStore) suspicion() string {
	return string(s.entries[suspicionKey("s", "self")].Value)
}

// refusingDialer stands for targets that have crashed, except those that only answer BUSY.
type refusingDialer struct{ busy map[topology.TargetID]bool }

func (r refusingDialer) Dial(_ context.Context, e target.Endpoint) (target.Conn, error) {
	if r.busy[e.Target] {
		return nil, &target.Error{Step: "start-up", Peer: e.Target, Failure: target.SessionRefused}
	}
	return nil, &target.Error{Step: "connect", Peer: e.Target, Failure: target.ConnectionBroken}
}

// newUserOf returns a user of the primary a of service s with the listed targets a and b.
func newUserOf(t *testing.T, dialer target.Dialer) *Daemon {
	t.Helper()
	d, _ := newDaemonWithTargets(t)
	d.prober = newProber(dialer, nil)
	d.declaredServices = []topology.ServiceID{"s"}
	d.applyChanges([]store.Change{{Entry: targetEntry(t, "a", 1, false, store.NewRevision(1, 2))}, {Entry: targetEntry(t, "b", 1, false, store.NewRevision(1, 3))}})
	d.applyRecord("s", failover.Record{Primary: "a", Term: 1, Era: 1}, store.NewRevision(1, 4))
	return d
}

// delist deletes the entry of a target.
func (d *Daemon) delist(id topology.TargetID, revision store.Revision) {
	d.applyChanges([]store.Change{{Entry: store.Entry{Key: "target/" + string(id), Revision: revision}, Deleted: true}})
}

// A primary crashes and its entry goes before this instance has connected to it again. With
// too few suspicions the fence waited until the entry had been missing for 2.5 s.
func TestDelistedPrimaryThatCrashedIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newUserOf(t, refusingDialer{})
		d.delist("b", store.NewRevision(1, 5))
		synctest.Wait()
		if d.suspicions.IsSuspected("s", "a") {
			t.Fatal("a listed primary is suspected after the end of a replica")
		}
		d.delist("a", store.NewRevision(1, 6))
		synctest.Wait()
		if !d.suspicions.IsSuspected("s", "a") {
			t.Fatal("not suspected")
		}
	})
}

// A successor crashes, and its entry goes, before its record is published.
func TestDelistedSuccessorThatCrashedIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newUserOf(t, refusingDialer{})
		d.delist("b", store.NewRevision(1, 5))
		d.applyRecord("s", failover.Record{Primary: "b", Term: 2, Era: 1}, store.NewRevision(1, 6))
		synctest.Wait()
		if !d.suspicions.IsSuspected("s", "b") {
			t.Fatal("not suspected")
		}
	})
}

// Another instance suspects a primary whose entry has gone while this one did not use it.
func TestSuspicionOfADelistedPrimaryIsVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newUserOf(t, refusingDialer{})
		d.declaredServices = nil
		d.delist("a", store.NewRevision(1, 5))
		d.declaredServices = []topology.ServiceID{"s"}
		d.applyChanges([]store.Change{{Entry: store.Entry{Key: suspicionKey("s", "other"), Value: []byte("a"), Revision: store.NewRevision(1, 6)}}})
		synctest.Wait()
		if !d.suspicions.IsSuspected("s", "a") {
			t.Fatal("not suspected")
		}
	})
}

// The entry of a primary that responds expires, as during an outage of the store. It must not be
// suspected.
func TestDelistedPrimaryThatRespondsIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newUserOf(t, refusingDialer{busy: map[topology.TargetID]bool{"a": true}})
		d.delist("a", store.NewRevision(1, 5))
		synctest.Wait()
		if d.suspicions.IsSuspected("s", "a") {
			t.Fatal("suspected")
		}
	})
}
