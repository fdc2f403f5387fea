package edge

import (
	"context"
	"errors"
	"testing"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
)

// newSuspecting returns a daemon that cannot reach the primary a of service s.
func newSuspecting(s *oneKeyStore) *Daemon {
	d := newRegistering(s)
	d.setLease(1)
	d.records["s"] = groupRecord{Record: failover.Record{Primary: "a"}}
	d.suspects.ReportUnreachable("s", "a")
	return d
}

// publishSuspicions publishes until nothing differs.
func (d *Daemon) publishSuspicions() {
	for d.suspects.publishNext(context.Background()) {
	}
}

// The answer to a suspicion is lost, the suspicion is published again and withdrawn, and
// the call takes effect seconds later: the primary must not stay suspected.
func TestLateSuspicionDoesNotComeBack(t *testing.T) {
	s := &oneKeyStore{loseNext: true}
	d := newSuspecting(s)
	d.publishSuspicions()
	if s.value != "a" {
		t.Fatalf("published %q", s.value)
	}
	d.suspects.ReportReachable("s", "a")
	d.publishSuspicions()
	if _, err := s.apply(s.postponed[0]); !errors.Is(err, store.ErrConflict) || s.value != "" {
		t.Fatalf("the late call left %q, %v", s.value, err)
	}
}

// What was published lapses with the registration and is published anew.
func TestSuspicionIsPublishedAnewAfterALapse(t *testing.T) {
	s := &oneKeyStore{}
	d := newSuspecting(s)
	d.publishSuspicions()
	d.lapsed()
	s.revision, s.value = 0, "" // the entry went with the lease
	d.setLease(2)
	d.publishSuspicions()
	if s.value != "a" {
		t.Fatalf("published %q", s.value)
	}
}

// The answer is lost and the primary is reached again before the next call. Whether the
// lost call takes effect before that one or after, the primary is not suspected.
func TestLostSuspicionIsSettled(t *testing.T) {
	for _, early := range []bool{true, false} {
		s := &oneKeyStore{loseNext: true}
		d := newSuspecting(s)
		d.suspects.publishNext(context.Background())
		d.suspects.ReportReachable("s", "a")
		if early {
			if _, err := s.apply(s.postponed[0]); err != nil {
				t.Fatal(err)
			}
		}
		d.publishSuspicions()
		if !early {
			if _, err := s.apply(s.postponed[0]); !errors.Is(err, store.ErrConflict) {
				t.Fatalf("the late call took effect: %v", err)
			}
		}
		if s.value != "" {
			t.Fatalf("early %v: holds %q", early, s.value)
		}
	}
}
