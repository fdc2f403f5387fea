package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const window = 5 * time.Second

func TestFractionsAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 500), 1, 30).Draw(t, "demands")
		rate := rapid.Float64Range(1, 3000).Draw(t, "rate")
		services := rapid.IntRange(1, 10).Draw(t, "services")
		ownedServices := make([]int, len(demands))
		for range services {
			ownedServices[rapid.IntRange(0, len(demands)-1).Draw(t, "owner")]++
		}
		total := 0.0
		for _, demand := range demands {
			total += demand
		}
		sum := 0.0
		for i, demand := range demands {
			sum += Allocation{Demand: demand, TotalDemand: total, Rate: rate, OwnedServices: ownedServices[i], Services: services, Instances: len(demands)}.Fraction()
		}
		if sum < 0.999 || sum > 1.001 {
			t.Fatalf("fractions of %v add up to %f", demands, sum)
		}
	})
}

// TestSharesCoverDemandBelowTheLimit divides the limit of a small customer, used
// to about two thirds, among eight instances. No instance's demand may exceed
// its share.
func TestSharesCoverDemandBelowTheLimit(t *testing.T) {
	demands := []float64{3, 0.5, 0.5, 0.5, 0.5, 0, 0, 0}
	for _, demand := range demands {
		allocation := Allocation{Demand: demand, TotalDemand: 5, Rate: 8, OwnedServices: 1, Services: 8, Instances: 8}
		if share := allocation.Fraction() * allocation.Rate; share < demand {
			t.Errorf("share %.2f is less than the demand %.2f", share, demand)
		}
	}
}

// admissionTimes holds the times at which operations were admitted.
type admissionTimes []time.Duration

// maxInWindow returns the largest number of operations in any window.
func (a admissionTimes) maxInWindow(window time.Duration) int {
	maximum := 0
	for i, from := range a {
		count := 0
		for _, at := range a[i:] {
			if at-from < window {
				count++
			}
		}
		maximum = max(maximum, count)
	}
	return maximum
}

func TestNoWindowHoldsMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate:   float64(rapid.IntRange(2, 100).Draw(t, "rate")),
			Burst:  float64(rapid.IntRange(0, 100).Draw(t, "burst")),
			Window: window,
		}
		b := NewBucket(0, limit, 1, 0.5)
		var times admissionTimes
		now := time.Duration(0)
		for range rapid.IntRange(10, 600).Draw(t, "operations") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond
			if wait, ok := b.Admit(now, 0); ok && wait == 0 {
				times = append(times, now)
			}
		}
		if maximum := times.maxInWindow(window); float64(maximum) > limit.maxPerWindow() {
			t.Fatalf("%d operations in a window, limit %f", maximum, limit.maxPerWindow())
		}
	})
}

// TestRestartKeepsWindowsWithinTolerance kills and restarts an instance under
// load above the limit. The new process does not know what the earlier one
// admitted; windows across the restart must stay within the tolerance of a tenth
// and 20 operations.
func TestRestartKeepsWindowsWithinTolerance(t *testing.T) {
	for _, limit := range []Limit{{Rate: 119, Burst: 119, Window: window}, {Rate: 24, Burst: 24, Window: window}, {Rate: 177, Burst: 177, Window: window}} {
		var times admissionTimes
		b := NewBucket(0, limit, 1, 0.5)
		for now := 20 * time.Second; now < 30*time.Second; now += time.Millisecond {
			if now == 25*time.Second {
				b = NewBucket(now, limit, 1, 0.5)
			}
			if wait, ok := b.Admit(now, 0); ok && wait == 0 {
				times = append(times, now)
			}
		}
		if maximum, bound := times.maxInWindow(window), limit.maxPerWindow()*1.1+20; float64(maximum) > bound {
			t.Errorf("%+v: %d operations in a window, bound %f", limit, maximum, bound)
		}
	}
}

// TestEvenDemandBelowTheLimitIsServed checks that a customer just below its
// limit with evenly spaced operations is not refused.
func TestEvenDemandBelowTheLimitIsServed(t *testing.T) {
	limit := Limit{Rate: 24, Burst: 24, Window: window}
	b := NewBucket(0, limit, 1, 0.5)
	refused := 0
	for now := 10 * time.Second; now < 40*time.Second; now += time.Second / 27 {
		if _, ok := b.Admit(now, 50*time.Millisecond); !ok {
			refused++
		}
	}
	if refused > 0 {
		t.Fatalf("%d operations refused at 27 a second of 28.8 that the window allows", refused)
	}
}

func TestLargerShareAddsNoTokens(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100, Window: window}
	b := NewBucket(0, limit, 0.1, 0.5)
	now := 20 * time.Second
	for {
		if _, ok := b.Admit(now, 0); !ok {
			break
		}
	}
	b.Resize(now, limit, 1)
	if _, ok := b.Admit(now, 0); ok {
		t.Fatal("a larger share added tokens immediately")
	}
}
