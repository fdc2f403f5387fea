package execute

import (
	"context"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/retry"
)

// Failed attempts after which a request waits before the next one. A read can
// try several replicas before that.
const (
	immediateReadAttempts  = 4
	immediateWriteAttempts = 2
)

// Budget for the retries of the instance.
const (
	// retryBudgetFraction is the number of retries that each request adds.
	retryBudgetFraction = 0.2
	// retryBudgetBurst is the number of retries that can accumulate, for use in
	// a failover.
	retryBudgetBurst = 2000
)

// retrier decides whether a request is tried again after a failed attempt. The
// first retries are immediate. Later ones wait for a backoff, or until the
// group has a new primary.
type retrier struct {
	request *request
	// state is valid after the first failure.
	state retry.Request
	// immediateAttempts is the number of attempts without a wait between them.
	immediateAttempts int
	// failures counts the failed attempts.
	failures int
}

// newRetrier returns the retrier of a request. Its prepareRetry may be called
// only for attempts that had no effect or whose effect may be repeated.
func (r *request) newRetrier(immediateAttempts int) *retrier {
	return &retrier{request: r, immediateAttempts: immediateAttempts}
}

// initState starts the retry state. It is called at the first failure, since
// most requests have none.
func (t *retrier) initState() {
	executor := t.request.executor
	policy := retry.DefaultPolicy()
	policy.MaxAttempts = executor.config.MaxAttempts
	policy.MaxDelay = executor.config.MaxRetryBackoff
	random := rand.New(rand.NewPCG(executor.routeCounter.Add(1), uint64(t.request.session.ID)))
	t.state = retry.NewRequest(policy, executor.retryBudget, random, executor.deps.Clock()+executor.config.PrimaryTimeout, true)
}

// prepareRetry drops the response of an attempt that failed on the target and
// excludes the target from the next attempt. It reports whether another
// attempt is allowed, after the wait before it. After a wait all targets are
// tried again.
func (t *retrier) prepareRetry(target topology.TargetID, err error) bool {
	r := t.request
	if t.failures == 0 {
		t.initState()
	}
	t.failures++
	decision, delay := t.state.AttemptFailed(r.executor.deps.Clock(), retry.EffectNone)
	r.response.discard()
	r.avoidTarget(target, err, decision)
	if decision != retry.Again {
		return false
	}
	if t.failures >= t.immediateAttempts {
		t.awaitPrimaryChange(delay)
		r.failedTargets = nil
	}
	return true
}

// awaitPrimaryChange waits for the delay, or until the group has another
// primary or a new term.
func (t *retrier) awaitPrimaryChange(delay time.Duration) {
	r := t.request
	before := r.watcher.View()
	ctx, cancel := context.WithTimeout(r.ctx, delay)
	defer cancel()
	for ctx.Err() == nil {
		view, err := r.watcher.Refresh(ctx)
		if err != nil || view.Term != before.Term || view.Primary != before.Primary {
			return
		}
	}
}
