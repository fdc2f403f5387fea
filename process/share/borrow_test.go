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
	f.restart(0, count)
	return f
}

// restart replaces the buckets by those of new processes.
func (f *bucketFleet) restart(now time.Duration, count int) {
	f.buckets = nil
	for range count {
		f.buckets = append(f.buckets, NewBucket(now, f.limit, 1/float64(count), f.random.Float64()))
	}
}

// run sends operations to random instances as a Poisson process, from 20 s on.
// It returns the times of the operations admitted immediately and the number
// refused.
func (f *bucketFleet) run(perSecond float64, until time.Duration) (times admissionTimes, refused int) {
	return f.runFrom(20*time.Second, perSecond, until)
}

// runFrom is like run, with another start.
func (f *bucketFleet) runFrom(start time.Duration, perSecond float64, until time.Duration) (times admissionTimes, refused int) {
	for now := start; now < until; now += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) {
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

// After a loss of power, all instances start at the same time, and a small customer's
// callers return with the operations of the last two seconds. Its limit admits them. With
// fractions of tokens, 18 instances refused nearly all operations of the first second.
func TestSmallCustomerIsServedAfterTheRestartOfAFleet(t *testing.T) {
	const instances = 18
	limit := Limit{Rate: 13, Burst: 13, Window: window}
	admitted := 0
	for seed := range uint64(20) {
		f := newBucketFleet(instances, limit, true)
		f.random = rand.New(rand.NewPCG(seed, 3))
		f.restart(40*time.Second, instances)
		for i := range 16 {
			now := 40*time.Second + time.Duration(i)*time.Second/16
			receiver := f.random.IntN(instances)
			if _, ok := f.buckets[receiver].Admit(now, 0); ok || f.borrow(now, receiver) {
				admitted++
			}
		}
	}
	t.Logf("%d of %d operations admitted in the first second", admitted, 20*16)
	if admitted < 20*16/2 {
		t.Fatalf("%d of %d operations admitted in the first second", admitted, 20*16)
	}
}

// The restart of a fleet whose earlier processes admitted up to the limit keeps every
// window within the tolerance of a tenth and 20 operations.
func TestRestartOfAFleetKeepsWindowsWithinTolerance(t *testing.T) {
	for _, limit := range []Limit{{Rate: 5, Burst: 5, Window: window}, {Rate: 13, Burst: 13, Window: window}, {Rate: 119, Burst: 119, Window: window}} {
		f := newBucketFleet(18, limit, true)
		before, _ := f.run(4*limit.Rate, 30*time.Second)
		f.restart(31*time.Second, 18)
		after, _ := f.runFrom(31*time.Second, 4*limit.Rate, 40*time.Second)
		times := append(before, after...)
		if maximum, bound := times.maxInWindow(window), limit.maxPerWindow()*1.1+20; float64(maximum) > bound {
			t.Errorf("%+v: %d operations in a window, bound %.0f", limit, maximum, bound)
		}
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
