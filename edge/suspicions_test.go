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
func newSuspectingDaemon(s *oneKeyStore) *Daemon {
	d := newRegisteringDaemon(s)
	d.setLease(1)
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
	s := &oneKeyStore{loseNextResponse: true}
	d := newSuspectingDaemon(s)
	d.publishSuspicions()
	if s.value != "a" {
		t.Fatalf("published %q", s.value)
	}
	d.suspicions.ReportReachable("s", "a")
	d.publishSuspicions()
	if _, err := s.execute(s.delayed[0]); !errors.Is(err, store.ErrConflict) || s.value != "" {
		t.Fatalf("after the late write: %q, %v", s.value, err)
	}
}

// A published suspicion expires with the registration and must be published again under
// the next one.
func TestSuspicionIsPublishedAgainAfterExpiry(t *testing.T) {
	s := &oneKeyStore{}
	d := newSuspectingDaemon(s)
	d.publishSuspicions()
	d.registrationExpired()
	s.revision, s.value = 0, "" // the entry expired with the lease
	d.setLease(2)
	d.publishSuspicions()
	if s.value != "a" {
		t.Fatalf("published %q", s.value)
	}
}

// The response to a suspicion is lost, and the primary is reached again before the next
// write. Whether the first write takes effect before the next one or after it, the
// primary must not stay suspected.
func TestLostSuspicionResponseIsResolved(t *testing.T) {
	for _, delayedFirst := range []bool{true, false} {
		s := &oneKeyStore{loseNextResponse: true}
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
		if s.value != "" {
			t.Fatalf("delayed write first %v: the store holds %q", delayedFirst, s.value)
		}
	}
}
