package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const window = 5 * time.Second

func TestFractionsAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs := rapid.SliceOfN(rapid.Float64Range(0, 500), 1, 30).Draw(t, "needs")
		rate := rapid.Float64Range(1, 3000).Draw(t, "rate")
		services := rapid.IntRange(1, 10).Draw(t, "services")
		roles := make([]int, len(needs))
		for range services {
			roles[rapid.IntRange(0, len(needs)-1).Draw(t, "home")]++
		}
		total := 0.0
		for _, need := range needs {
			total += need
		}
		sum := 0.0
		for i, need := range needs {
			sum += Claim{Need: need, Total: total, Rate: rate, Roles: roles[i], Services: services, Instances: len(needs)}.Fraction()
		}
		if sum < 0.999 || sum > 1.001 {
			t.Fatalf("fractions of %v add up to %f", needs, sum)
		}
	})
}

// A small customer at eight homes, at two thirds of its limit: no home may need more
// than its part.
func TestPartsCoverDemandBelowTheLimit(t *testing.T) {
	needs := []float64{3, 0.5, 0.5, 0.5, 0.5, 0, 0, 0}
	for _, need := range needs {
		c := Claim{Need: need, Total: 5, Rate: 8, Roles: 1, Services: 8, Instances: 8}
		if part := c.Fraction() * c.Rate; part < need {
			t.Errorf("part %.2f of a demand of %.2f", part, need)
		}
	}
}

// admitted records when operations were admitted.
type admitted []time.Duration

func (a admitted) most(span time.Duration) int {
	most := 0
	for i, from := range a {
		count := 0
		for _, at := range a[i:] {
			if at-from < span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func TestNoWindowHoldsMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate:   float64(rapid.IntRange(2, 100).Draw(t, "rate")),
			Burst:  float64(rapid.IntRange(0, 100).Draw(t, "burst")),
			Window: window,
		}
		b := NewBucket(0, limit, 1)
		var got admitted
		now := time.Duration(0)
		for range rapid.IntRange(10, 600).Draw(t, "operations") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond
			if wait, ok := b.Take(now, 0); ok && wait == 0 {
				got = append(got, now)
			}
		}
		if most := got.most(window); float64(most) > limit.most() {
			t.Fatalf("%d operations in a window, limit %f", most, limit.most())
		}
	})
}

// A customer that presses on its limit while the instance is killed and starts
// again: the windows across the restart stay within the tolerance of a tenth and
// 20 operations.
func TestRestartDoesNotDoubleAWindow(t *testing.T) {
	for _, limit := range []Limit{{Rate: 119, Burst: 119, Window: window}, {Rate: 24, Burst: 24, Window: window}, {Rate: 177, Burst: 177, Window: window}} {
		var got admitted
		b := NewBucket(0, limit, 1)
		for now := 20 * time.Second; now < 30*time.Second; now += time.Millisecond {
			if now == 25*time.Second {
				b = NewBucket(now, limit, 1)
			}
			if wait, ok := b.Take(now, 0); ok && wait == 0 {
				got = append(got, now)
			}
		}
		if most, bound := got.most(window), limit.most()*1.1+20; float64(most) > bound {
			t.Errorf("%+v: %d operations in a window, bound %f", limit, most, bound)
		}
	}
}

// A customer near its limit that asks evenly is not refused.
func TestEvenDemandBelowTheLimitIsServed(t *testing.T) {
	limit := Limit{Rate: 24, Burst: 24, Window: window}
	b := NewBucket(0, limit, 1)
	refused := 0
	for now := 10 * time.Second; now < 40*time.Second; now += time.Second / 27 {
		if _, ok := b.Take(now, 50*time.Millisecond); !ok {
			refused++
		}
	}
	if refused > 0 {
		t.Fatalf("%d operations refused at 27 a second of 28.8 that the window allows", refused)
	}
}

func TestNewPartAddsNoTokens(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100, Window: window}
	b := NewBucket(0, limit, 0.1)
	now := 20 * time.Second
	for {
		if _, ok := b.Take(now, 0); !ok {
			break
		}
	}
	b.Resize(now, limit, 1)
	if _, ok := b.Take(now, 0); ok {
		t.Fatal("a larger part gave tokens at once")
	}
}
