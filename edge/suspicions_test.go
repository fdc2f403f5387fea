package edge

import (
	"context"
	"errors"
	"testing"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
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
