package retry

import (
	"math/rand/v2"
	"time"
)

// Effect is what a failure says of the attempt's effect.
type Effect uint8

// Effects.
const (
	// EffectUnknown: the attempt may have run.
	EffectUnknown Effect = iota
	// EffectNone: the attempt did not run and will not.
	EffectNone
)

// Decision is what to do after a failed attempt.
type Decision uint8

// Decisions. All but Again end the request with the last failure.
const (
	// Again: try again after the delay.
	Again Decision = iota + 1
	// StopEffect: the attempt may have run and the request is not idempotent.
	StopEffect
	// StopAttempts: the request has had all its attempts.
	StopAttempts
	// StopDeadline: the next attempt would begin after the deadline.
	StopDeadline
	// StopBudget: retries have used up their share of the load.
	StopBudget
)

// String names the decision.
func (d Decision) String() string {
	switch d {
	case Again:
		return "again"
	case StopEffect:
		return "effect unknown"
	case StopAttempts:
		return "attempts used up"
	case StopDeadline:
		return "deadline"
	case StopBudget:
		return "budget used up"
	default:
		return "undefined"
	}
}

// Policy holds the bounds of a request's attempts.
type Policy struct {
	// MaxAttempts includes the first one.
	MaxAttempts int
	// FirstDelay is the upper bound of the first delay. The bound doubles with
	// each retry, up to MaxDelay; each delay is drawn between zero and its
	// bound.
	FirstDelay time.Duration
	MaxDelay   time.Duration
}

// DefaultPolicy returns bounds that outlast a promotion.
func DefaultPolicy() Policy {
	return Policy{MaxAttempts: 8, FirstDelay: 20 * time.Millisecond, MaxDelay: time.Second}
}

// Request decides on the attempts of one request. It is not safe for concurrent
// use.
type Request struct {
	policy     Policy
	budget     *Budget
	random     *rand.Rand
	deadline   time.Duration
	idempotent bool
	attempts   int
}

// NewRequest counts a request in the budget and returns its decisions. The
// deadline is a monotonic time; random is used by this request only while it
// decides.
func NewRequest(policy Policy, budget *Budget, random *rand.Rand, deadline time.Duration, idempotent bool) Request {
	budget.Request()
	return Request{policy: policy, budget: budget, random: random, deadline: deadline, idempotent: idempotent}
}

// Failed decides after a failed attempt. The delay is meaningful with Again.
func (r *Request) Failed(now time.Duration, effect Effect) (Decision, time.Duration) {
	r.attempts++
	if effect != EffectNone && !r.idempotent {
		return StopEffect, 0
	}
	if r.attempts >= r.policy.MaxAttempts {
		return StopAttempts, 0
	}
	delay := r.delay()
	if now+delay >= r.deadline {
		return StopDeadline, 0
	}
	if !r.budget.Take() {
		return StopBudget, 0
	}
	return Again, delay
}

// delay draws the delay before the next attempt: exponential backoff with full
// jitter.
func (r *Request) delay() time.Duration {
	bound := r.policy.MaxDelay
	const maxShift = 30
	if shift := min(r.attempts-1, maxShift); r.policy.FirstDelay <= r.policy.MaxDelay>>shift {
		bound = r.policy.FirstDelay << shift
	}
	if bound <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(bound)))
}
