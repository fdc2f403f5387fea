package edge

import (
	"errors"
	"testing"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
)

// endLease removes the keys under a lease.
func (s *leaseStore) endLease(lease store.LeaseID) {
	for key, entry := range s.entries {
		if entry.Lease == lease {
			s.changes++
			delete(s.entries, key)
		}
	}
}

// An earlier process of the instance, or this one under an earlier lease, has suspected the same
// primary. The suspicion must not end with that lease: the leader would no longer count it.
func TestSuspicionOutlivesTheLeaseOfAnEarlierProcess(t *testing.T) {
	s := &leaseStore{changes: 40}
	s.put(store.Put{Key: suspicionKey("s", "self"), Value: []byte("a"), Lease: 9})
	d := newSuspectingDaemon(s)
	d.publishSuspicions()
	s.endLease(9)
	if s.suspicion() != "a" {
		t.Fatalf("published %q", s.suspicion())
	}
}

// fence applies a fence of service s with a sequence number, which this instance acknowledges.
func (d *Daemon) fence(sequence uint64) {
	record := failover.Record{Primary: "a", Term: 1, Fenced: true, FenceSequence: sequence}
	d.records["s"] = storedRecord{Record: record}
	d.acknowledgeFence("s", record)
}

// The response to an acknowledgement is lost, and the write takes effect after the next fence
// was acknowledged. The leader must not wait for that fence as if it were not.
func TestLateFenceAcknowledgementDoesNotReplaceALaterOne(t *testing.T) {
	s := &leaseStore{loseNextResponse: true}
	d := newRegisteringDaemon(s)
	d.setLease(leaseGrant{id: 1})
	d.fence(5)
	d.fence(6)
	_, err := s.execute(s.delayed[0])
	if ack := string(s.entries[fenceAckKey("s", "self")].Value); ack != fenceAckValue(6) || !errors.Is(err, store.ErrConflict) {
		t.Fatalf("fence %s is acknowledged after the late write: %v", ack, err)
	}
}
