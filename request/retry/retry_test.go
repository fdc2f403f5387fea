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
		{false, EffectUnknown, StopEffectUnknown},
		{true, EffectUnknown, Again},
		{false, EffectNone, Again},
		{true, EffectNone, Again},
	} {
		req := newRequest(NewBudget(0.1, 10), time.Minute, test.idempotent)
		if got, _ := req.AttemptFailed(0, test.effect); got != test.want {
			t.Errorf("idempotent %t, effect %d: %v, want %v", test.idempotent, test.effect, got, test.want)
		}
	}
}

func TestDelayBoundDoubles(t *testing.T) {
	policy := DefaultPolicy()
	policy.MaxAttempts = 100
	req := NewRequest(policy, NewBudget(1, 100), rand.New(rand.NewPCG(1, 2)), time.Hour, false)
	bound := policy.BaseDelay
	for i := range 90 {
		decision, delay := req.AttemptFailed(0, EffectNone)
		if decision != Again || delay < 0 || delay >= bound {
			t.Fatalf("retry %d: decision %q, delay %v; want a retry within %v", i, decision, delay, bound)
		}
		bound = min(2*bound, policy.MaxDelay)
	}
}

func TestReasonsToStop(t *testing.T) {
	expired := newRequest(NewBudget(0.1, 10), time.Second, false)
	if got, _ := expired.AttemptFailed(time.Second, EffectNone); got != StopDeadline {
		t.Errorf("after the deadline: %v", got)
	}
	noBudget := newRequest(NewBudget(0.1, 0), time.Minute, false)
	if got, _ := noBudget.AttemptFailed(0, EffectNone); got != StopBudget {
		t.Errorf("without budget: %v", got)
	}
	exhausted := newRequest(NewBudget(0.1, 100), time.Hour, false)
	var last Decision
	for range DefaultPolicy().MaxAttempts {
		last, _ = exhausted.AttemptFailed(0, EffectNone)
	}
	if last != StopAttempts {
		t.Errorf("after all attempts: %v", last)
	}
}

// TestBudgetBoundsRetries checks that retries never exceed the burst plus the fraction
// of the requests, in any order of requests and retries.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst = 5
		budget := NewBudget(0.2, burst)
		requests, retries := 0, 0
		for _, request := range rapid.SliceOfN(rapid.Bool(), 1, 200).Draw(t, "requests") {
			if request {
				budget.Deposit()
				requests++
			} else if budget.TryWithdraw() {
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
		req := NewRequest(DefaultPolicy(), budget, random, time.Minute, false)
		req.AttemptFailed(0, EffectNone)
	}
}
