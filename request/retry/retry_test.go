package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newRequest(budget *Budget, deadline time.Duration, idempotent bool) Request {
	return NewRequest(DefaultPolicy(), budget, rand.New(rand.NewPCG(1, 2)), deadline, idempotent)
}

func TestUnknownEffectIsRetriedOnlyWhenIdempotent(t *testing.T) {
	for _, test := range []struct {
		idempotent bool
		effect     Effect
		want       Decision
	}{
		{false, EffectUnknown, StopEffect},
		{true, EffectUnknown, Again},
		{false, EffectNone, Again},
		{true, EffectNone, Again},
	} {
		r := newRequest(NewBudget(0.1, 10), time.Minute, test.idempotent)
		if got, _ := r.Failed(0, test.effect); got != test.want {
			t.Errorf("idempotent %t, effect %d: %v, want %v", test.idempotent, test.effect, got, test.want)
		}
	}
}

func TestDelaysGrowWithinTheirBounds(t *testing.T) {
	policy := DefaultPolicy()
	policy.MaxAttempts = 100
	r := NewRequest(policy, NewBudget(1, 100), rand.New(rand.NewPCG(1, 2)), time.Hour, false)
	bound := policy.FirstDelay
	for i := range 90 {
		decision, delay := r.Failed(0, EffectNone)
		if decision != Again || delay < 0 || delay >= bound {
			t.Fatalf("retry %d: %v after %v, want again within %v", i, decision, delay, bound)
		}
		bound = min(2*bound, policy.MaxDelay)
	}
}

func TestStops(t *testing.T) {
	late := newRequest(NewBudget(0.1, 10), time.Second, false)
	if got, _ := late.Failed(time.Second, EffectNone); got != StopDeadline {
		t.Errorf("after the deadline: %v", got)
	}
	poor := newRequest(NewBudget(0.1, 0), time.Minute, false)
	if got, _ := poor.Failed(0, EffectNone); got != StopBudget {
		t.Errorf("without budget: %v", got)
	}
	tired := newRequest(NewBudget(0.1, 100), time.Hour, false)
	var last Decision
	for range DefaultPolicy().MaxAttempts {
		last, _ = tired.Failed(0, EffectNone)
	}
	if last != StopAttempts {
		t.Errorf("after all attempts: %v", last)
	}
}

// TestBudgetBoundsRetries checks that retries never exceed the burst and the
// fraction of the requests, whatever the order.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst = 5
		budget := NewBudget(0.2, burst)
		requests, retries := 0, 0
		for _, request := range rapid.SliceOfN(rapid.Bool(), 1, 200).Draw(t, "requests") {
			if request {
				budget.Request()
				requests++
			} else if budget.Take() {
				retries++
			}
			if float64(retries) > burst+0.2*float64(requests) {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

func BenchmarkRequest(b *testing.B) {
	budget := NewBudget(0.1, 100)
	random := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for range b.N {
		r := NewRequest(DefaultPolicy(), budget, random, time.Minute, false)
		r.Failed(0, EffectNone)
	}
}
