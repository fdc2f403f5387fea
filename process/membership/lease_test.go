package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// firstSwapSentAt is the time at which firstSwap's swap is sent.
const firstSwapSentAt = 100 * time.Millisecond

// firstSwap returns a coordinator that has just sent its first swap.
func firstSwap(t *testing.T) (*Coordinator, *Swap) {
	t.Helper()
	c := NewCoordinator(testConfig("i0", 7), rand.New(rand.NewPCG(1, 1)))
	c.Tick(0)
	c.ListRead(0, nil, nil)
	c.SlotsRead(0, nil, nil)
	a := c.Tick(firstSwapSentAt)
	if a.Swap == nil {
		t.Fatal("the coordinator attempts no swap")
	}
	return c, a.Swap
}

// TestLeaseStartsWhenSwapIsSent checks that the lease counts from the sending
// of the swap, not from the response, which may take long.
func TestLeaseStartsWhenSwapIsSent(t *testing.T) {
	c, swap := firstSwap(t)
	c.SwapDone(5*time.Second, swap, 1, nil)
	leases := c.View(5 * time.Second).SlotLeases
	if len(leases) != 1 || leases[0].ExpiresAt != firstSwapSentAt+c.cfg.SlotLeaseTTL {
		t.Fatalf("got leases %+v, want one that starts when the swap was first sent", leases)
	}
}

// TestLeaseStartsWithFirstOfRepeatedSwaps repeats a swap whose outcome is
// unknown. The lease counts from the first sending, since the record that is
// read later may stem from it.
func TestLeaseStartsWithFirstOfRepeatedSwaps(t *testing.T) {
	c, swap := firstSwap(t)
	c.SwapDone(firstSwapSentAt, swap, 0, store.ErrUnavailable)
	repeat := *swap
	c.trackSwap(6*time.Second, &repeat)
	c.SlotsRead(7*time.Second, []SlotEntry{{Index: swap.Slot, Record: swap.Record, Revision: 1}}, nil)
	leases := c.View(7 * time.Second).SlotLeases
	if len(leases) != 1 || leases[0].ExpiresAt != firstSwapSentAt+c.cfg.SlotLeaseTTL {
		t.Fatalf("got leases %+v, want one that starts when the swap was first sent", leases)
	}
}

// TestRecordWithoutSwapGivesNoLease reads a record that names this process but
// was written by none of its known swaps.
func TestRecordWithoutSwapGivesNoLease(t *testing.T) {
	c, swap := firstSwap(t)
	other := swap.Record
	other.Renewal = 9
	c.SlotsRead(2*time.Second, []SlotEntry{{Index: swap.Slot, Record: other, Revision: 4}}, nil)
	if leases := c.View(2 * time.Second).SlotLeases; len(leases) != 0 {
		t.Fatalf("got leases %+v from a record that no known swap wrote", leases)
	}
}

// TestStaleReadChangesNothing reads a revision older than that of the own swap.
func TestStaleReadChangesNothing(t *testing.T) {
	c, swap := firstSwap(t)
	c.SwapDone(firstSwapSentAt, swap, 5, nil)
	old := Record{Instance: "i1", Incarnation: 1, Epoch: 1}
	c.SlotsRead(2*time.Second, []SlotEntry{{Index: swap.Slot, Record: old, Revision: 4}}, nil)
	if leases := c.View(2 * time.Second).SlotLeases; len(leases) != 1 {
		t.Fatalf("got leases %+v after a stale read, want one", leases)
	}
}

// TestSlotIsSwappedAgainAfterARestore restores the store to a time before this process
// acquired the slot. The restored record or its absence must be replaceable, or the slot
// would be idle for good; this process keeps its lease and its epoch meanwhile.
func TestSlotIsSwappedAgainAfterARestore(t *testing.T) {
	for name, restored := range map[string][]SlotEntry{
		"earlier holder": {{Record: Record{Instance: "i9", Epoch: 1}, Revision: store.NewRevision(1, 3)}},
		"no record":      nil,
	} {
		c, swap := firstSwap(t)
		index := swap.Slot
		c.SlotsRead(firstSwapSentAt, []SlotEntry{{Index: index, Record: Record{Epoch: 1}, Revision: 3}}, nil)
		c.trackSwap(firstSwapSentAt, &Swap{Slot: index, Record: Record{Instance: "i0", Incarnation: 7, Epoch: 2}})
		c.SwapDone(firstSwapSentAt, &Swap{Slot: index, Record: Record{Instance: "i0", Incarnation: 7, Epoch: 2}}, 9, nil)
		var expected store.Revision
		for i := range restored {
			restored[i].Index, expected = index, restored[i].Revision
		}
		now := time.Second
		c.ForgetLost(now, store.NewRevision(1, 4), restored)
		c.SlotsRead(now, restored, nil)
		if leases := c.View(now).SlotLeases; len(leases) != 1 || leases[0].Epoch != 2 {
			t.Fatalf("%s: leases %+v", name, leases)
		}
		if next := c.newSwap(index, Record{}); next.Expect != expected {
			t.Errorf("%s: the next swap expects %s, want %s", name, next.Expect, expected)
		}
	}
}
