package edge

import (
	"testing"

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
