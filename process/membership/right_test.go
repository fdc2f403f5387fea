package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// swapSent is when the first swap is sent.
const swapSent = 100 * time.Millisecond

// firstSwap brings a coordinator to its first swap.
func firstSwap(t *testing.T) (*Coordinator, *Swap) {
	t.Helper()
	c := NewCoordinator(testConfig("i0", 7), rand.New(rand.NewPCG(1, 1)))
	c.Tick(0)
	c.ListRead(0, nil, nil)
	c.SlotsRead(0, nil, nil)
	a := c.Tick(swapSent)
	if a.Swap == nil {
		t.Fatal("no slot is taken")
	}
	return c, a.Swap
}

func TestRightCountsFromTheSwapsSending(t *testing.T) {
	c, swap := firstSwap(t)
	c.SwapDone(5*time.Second, swap, 1, nil)
	rights := c.View(5 * time.Second).Rights
	if len(rights) != 1 || rights[0].Until != swapSent+c.cfg.RightTerm {
		t.Fatalf("rights %+v", rights)
	}
}

func TestRepeatedSwapCountsFromTheFirst(t *testing.T) {
	c, swap := firstSwap(t)
	c.SwapDone(swapSent, swap, 0, store.ErrUnavailable)
	repeat := *swap
	c.attempt(6*time.Second, &repeat)
	c.SlotsRead(7*time.Second, []SlotEntry{{Index: swap.Slot, Record: swap.Record, Revision: 1}}, nil)
	rights := c.View(7 * time.Second).Rights
	if len(rights) != 1 || rights[0].Until != swapSent+c.cfg.RightTerm {
		t.Fatalf("rights %+v", rights)
	}
}

func TestRecordWithoutASwapGivesNoRight(t *testing.T) {
	c, swap := firstSwap(t)
	other := swap.Record
	other.Renewal = 9
	c.SlotsRead(2*time.Second, []SlotEntry{{Index: swap.Slot, Record: other, Revision: 4}}, nil)
	if rights := c.View(2 * time.Second).Rights; len(rights) != 0 {
		t.Fatalf("rights %+v from a record that no known swap wrote", rights)
	}
}

func TestStaleReadChangesNothing(t *testing.T) {
	c, swap := firstSwap(t)
	c.SwapDone(swapSent, swap, 5, nil)
	old := Record{Instance: "i1", FirstID: 1, Epoch: 1}
	c.SlotsRead(2*time.Second, []SlotEntry{{Index: swap.Slot, Record: old, Revision: 4}}, nil)
	if rights := c.View(2 * time.Second).Rights; len(rights) != 1 {
		t.Fatalf("rights %+v after a stale read", rights)
	}
}
