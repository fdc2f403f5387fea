package execute

import (
	"context"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/retry"
)

// Attempts after which a request waits for the group to change before the next.
// A read has several replicas to turn to first.
const (
	quickReads  = 4
	quickWrites = 2
)

// Budget of the instance's retries: a share of its requests, and how many can be
// saved up for a failover.
const (
	retryShare = 0.2
	retryBurst = 2000
)

// attempts decides how often a request is tried.
type attempts struct {
	request *request
	retries retry.Request
	// quick is how many attempts follow each other without a wait.
	quick int
	count int
}

// newAttempts returns the attempts of a request whose failures, as far as it is
// tried again, have had no effect or may be repeated.
func (r *request) newAttempts(quick int) *attempts {
	return &attempts{request: r, quick: quick}
}

// begin is called at the first failure, since most requests have none.
func (a *attempts) begin() {
	x := a.request.executor
	policy := retry.DefaultPolicy()
	policy.MaxAttempts = x.config.MaxAttempts
	policy.MaxDelay = x.config.RetryPause
	random := rand.New(rand.NewPCG(x.turn.Add(1), uint64(a.request.session.ID)))
	a.retries = retry.NewRequest(policy, x.budget, random, x.deps.Clock()+x.config.PrimaryTimeout, true)
}

// again prepares another attempt after one that failed on a target. It reports
// false once there is none left.
func (a *attempts) again(target topology.TargetID, err error) bool {
	r := a.request
	if a.count == 0 {
		a.begin()
	}
	a.count++
	decision, delay := a.retries.Failed(r.executor.deps.Clock(), retry.EffectNone)
	r.out.discard()
	r.avoid(target, err, decision)
	if decision != retry.Again {
		return false
	}
	if a.count >= a.quick {
		a.awaitChange(delay)
		r.failed = nil
	}
	return true
}

// awaitChange waits for the delay, or until the group has another primary or a
// new term.
func (a *attempts) awaitChange(delay time.Duration) {
	r := a.request
	before := r.watcher.View()
	ctx, stop := context.WithTimeout(r.ctx, delay)
	defer stop()
	for ctx.Err() == nil {
		view, err := r.watcher.Refresh(ctx)
		if err != nil || view.Term != before.Term || view.Primary != before.Primary {
			return
		}
	}
}
