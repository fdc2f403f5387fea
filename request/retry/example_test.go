package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/request/retry"
)

// An attempt that had no effect is retried after a random delay. One that may have had
// an effect is not retried, because the request is not idempotent.
func ExampleRequest() {
	budget := retry.NewBudget(0.1, 10)
	random := rand.New(rand.NewPCG(1, 1))
	policy := retry.Policy{MaxAttempts: 3, BaseDelay: 20 * time.Millisecond, MaxDelay: time.Second}
	const deadline = 5 * time.Second

	request := retry.NewRequest(policy, budget, random, deadline, false)
	now := 10 * time.Millisecond
	decision, delay := request.AttemptFailed(now, retry.EffectNone)
	fmt.Println(decision, delay < policy.BaseDelay)
	now += delay
	decision, _ = request.AttemptFailed(now, retry.EffectUnknown)
	fmt.Println(decision)
	// Output:
	// again true
	// effect unknown
}

// While every attempt fails, retries add a tenth of the requests to the load, besides
// the initial burst.
func ExampleBudget() {
	budget := retry.NewBudget(0.1, 5)
	random := rand.New(rand.NewPCG(1, 1))
	retries := 0
	for range 1000 {
		request := retry.NewRequest(retry.DefaultPolicy(), budget, random, time.Minute, true)
		for {
			decision, _ := request.AttemptFailed(0, retry.EffectUnknown)
			if decision != retry.Again {
				break
			}
			retries++
		}
	}
	fmt.Println(retries <= 1000/10+5, budget.TryWithdraw())
	// Output:
	// true false
}
