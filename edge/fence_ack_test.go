package edge

import (
	"testing"
	"testing/synctest"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// The record of a fenced primary is written again with the order of its successor's promotion
// and with the reason for a wait. Each change must not cost every user another write.
func TestFenceIsAcknowledgedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := newDaemonInEra(t, 0)
		stored := &leaseStore{}
		d.store = newThrottledStore(stored, d.clock)
		d.declaredServices = []topology.ServiceID{"s"}
		d.setLease(leaseGrant{id: 3})
		record := failover.Record{Primary: "x", Term: 1}
		apply := func(revision store.Revision, want int) {
			t.Helper()
			d.applyRecord("s", record, revision)
			synctest.Wait()
			if stored.calls != want {
				t.Fatalf("%d acknowledgements, want %d", stored.calls, want)
			}
		}
		apply(1, 0)
		record.Fenced, record.FenceSequence = true, 1
		apply(2, 1)
		record.Order = &failover.Order{Successor: "y"}
		apply(3, 1)
		record.Waiting = "no successor"
		apply(4, 1)
		record.FenceSequence = 2
		apply(5, 2)
	})
}
