package retry

import (
	"math/rand/v2"
	"time"
)

// Effect is what a failure shows about the effect of the attempt.
type Effect uint8

// Effects.
const (
	// EffectUnknown: the attempt may have run.
	EffectUnknown Effect = iota
	// EffectNone: the attempt did not run and will not.
	EffectNone
)

// Decision is the decision after a failed attempt.
type Decision uint8

// Decisions. After any but Again, the request fails with the last failure.
const (
	// Again: retry after the delay.
	Again Decision = iota + 1
	// StopEffectUnknown: the attempt may have run and the request is not idempotent.
	StopEffectUnknown
	// StopAttempts: the maximum number of attempts is reached.
	StopAttempts
	// StopDeadline: the next attempt would not begin before the deadline.
	StopDeadline
	// StopBudget: the retry budget is used up.
	StopBudget
)

// String returns the decision's text.
func (d Decision) String() string {
	switch d {
	case Again:
		return "again"
	case StopEffectUnknown:
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

// Policy holds the limits on a request's attempts.
type Policy struct {
	// MaxAttempts includes the first attempt.
	MaxAttempts int
	// BaseDelay is the upper bound of the first delay. The bound doubles with each
	// retry, up to MaxDelay. Each delay is random between zero and its bound.
	BaseDelay time.Duration
	MaxDelay  time.Duration
}

// DefaultPolicy returns a policy whose retries last longer than a promotion.
func DefaultPolicy() Policy {
	return Policy{MaxAttempts: 8, BaseDelay: 20 * time.Millisecond, MaxDelay: time.Second}
}

// Request decides on the retries of one request. It is not safe for concurrent use.
type Request struct {
	policy     Policy
	budget     *Budget
	random     *rand.Rand
	deadline   time.Duration
	idempotent bool
	attempts   int
}

// NewRequest returns the state of a request's retries and counts the request in the
// budget. The deadline is on the same clock as the times that are passed to
// AttemptFailed; random is used only within AttemptFailed.
func NewRequest(policy Policy, budget *Budget, random *rand.Rand, deadline time.Duration, idempotent bool) Request {
	budget.Deposit()
	return Request{policy: policy, budget: budget, random: random, deadline: deadline, idempotent: idempotent}
}

// AttemptFailed records a failed attempt and decides whether to retry. The delay is
// valid only with Again.
func (r *Request) AttemptFailed(now time.Duration, effect Effect) (Decision, time.Duration) {
	r.attempts++
	if effect != EffectNone && !r.idempotent {
		return StopEffectUnknown, 0
	}
	if r.attempts >= r.policy.MaxAttempts {
		return StopAttempts, 0
	}
	delay := r.nextDelay()
	if now+delay >= r.deadline {
		return StopDeadline, 0
	}
	if !r.budget.TryWithdraw() {
		return StopBudget, 0
	}
	return Again, delay
}

// nextDelay returns the delay before the next attempt: exponential backoff with full
// jitter.
func (r *Request) nextDelay() time.Duration {
	bound := r.policy.MaxDelay
	const maxShift = 30
	if shift := min(r.attempts-1, maxShift); r.policy.BaseDelay <= r.policy.MaxDelay>>shift {
		bound = r.policy.BaseDelay << shift
	}
	if bound <= 0 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(bound)))
}
