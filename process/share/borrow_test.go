package share

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

func TestFirstLenderIsDrawnBySpareRate(t *testing.T) {
	candidates := []Lender{{"a", 1}, {"b", 3}, {"c", 0}, {"d", -2}}
	for _, test := range []struct {
		draw float64
		want []topology.InstanceID
	}{
		{0, []topology.InstanceID{"b", "a"}},
		{0.74, []topology.InstanceID{"b", "a"}},
		{0.76, []topology.InstanceID{"a", "b"}},
	} {
		if got := ChooseLenders(candidates, test.draw); !slices.Equal(got, test.want) {
			t.Errorf("draw %v: %v, want %v", test.draw, got, test.want)
		}
	}
	if got := ChooseLenders(candidates[2:], 0.5); len(got) != 0 {
		t.Errorf("instances without spare rate chosen: %v", got)
	}
}

// bucketFleet is a fleet of instances that divide one limit equally, with or
// without lending.
type bucketFleet struct {
	buckets []*Bucket
	limit   Limit
	lending bool
	random  *rand.Rand
}

func newBucketFleet(count int, limit Limit, lending bool) *bucketFleet {
	f := &bucketFleet{limit: limit, lending: lending, random: rand.New(rand.NewPCG(1, 2))}
	for range count {
		f.buckets = append(f.buckets, NewBucket(0, limit, 1/float64(count)))
	}
	return f
}

// run sends operations to random instances as a Poisson process, from 20 s on.
// It returns the times of the operations admitted immediately and the number
// refused.
func (f *bucketFleet) run(perSecond float64, until time.Duration) (times admissionTimes, refused int) {
	for now := 20 * time.Second; now < until; now += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) {
		receiver := f.random.IntN(len(f.buckets))
		wait, ok := f.buckets[receiver].Admit(now, 0)
		if !ok && f.lending {
			ok = f.borrow(now, receiver)
		}
		switch {
		case ok && wait == 0:
			times = append(times, now)
		case !ok:
			refused++
		}
	}
	return times, refused
}

// borrow requests that up to maxLenders random instances admit the operation.
func (f *bucketFleet) borrow(now time.Duration, receiver int) bool {
	for range maxLenders {
		if lender := f.random.IntN(len(f.buckets)); lender != receiver && f.buckets[lender].Lend(now) {
			return true
		}
	}
	return false
}

// TestLendingServesASmallCustomerBelowItsLimit runs a small customer on eight
// instances at about four fifths of its limit. Without lending, random arrivals
// exceed the share of one instance in some windows and are refused.
func TestLendingServesASmallCustomerBelowItsLimit(t *testing.T) {
	limit := Limit{Rate: 9, Burst: 9, Window: window}
	_, refusedWithoutLending := newBucketFleet(8, limit, false).run(7, 220*time.Second)
	_, refusedBySingle := newBucketFleet(1, limit, false).run(7, 220*time.Second)
	times, refused := newBucketFleet(8, limit, true).run(7, 220*time.Second)
	t.Logf("refused of %d operations: %d without lending, %d with lending, %d by a single instance", len(times)+refused, refusedWithoutLending, refused, refusedBySingle)
	if (refused-refusedBySingle)*50 > len(times) || refused*4 > refusedWithoutLending {
		t.Fatalf("%d refused with lending, %d without, of %d operations", refused, refusedWithoutLending, len(times)+refused)
	}
}

// TestLendingKeepsTheLimit checks that lending gives a customer far above its
// limit no more than that limit, apart from the rounding of eight shares.
func TestLendingKeepsTheLimit(t *testing.T) {
	limit := Limit{Rate: 30, Burst: 30, Window: window}
	times, _ := newBucketFleet(8, limit, true).run(200, 80*time.Second)
	if maximum := times.maxInWindow(window); float64(maximum) > limit.maxPerWindow()+8*windowRounding {
		t.Fatalf("%d operations in a window, limit %v", maximum, limit.maxPerWindow())
	}
}

func TestBackoffAfterARefusal(t *testing.T) {
	var b BorrowBackoff
	if !b.Allowed(time.Second, "k") {
		t.Fatal("requests to lenders are not allowed before the first refusal")
	}
	b.RecordRefusal(time.Second, "k")
	if b.Allowed(time.Second+refusalBackoff-1, "k") || !b.Allowed(time.Second+refusalBackoff, "k") || !b.Allowed(time.Second, "other") {
		t.Fatal("the backoff after a refusal is not kept")
	}
}
