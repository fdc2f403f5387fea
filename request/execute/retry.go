package execute

import (
	"context"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Attempts after which a request waits for the group to change before the next.
// A read has several replicas to turn to first.
const (
	quickReads  = 4
	quickWrites = 2
)

// attempts bounds in time how often a request is tried.
type attempts struct {
	request *request
	// quick is how many attempts follow each other without a wait.
	quick    int
	deadline time.Duration
	count    int
}

func (r *request) newAttempts(quick int) *attempts {
	return &attempts{
		request:  r,
		quick:    quick,
		deadline: r.executor.deps.Clock() + r.executor.config.PrimaryTimeout,
	}
}

// again prepares another attempt after one that failed on a target. It reports
// false once the time is up.
func (a *attempts) again(target topology.TargetID, err error) bool {
	r := a.request
	r.out.discard()
	r.avoid(target, err)
	a.count++
	if r.executor.deps.Clock() >= a.deadline {
		return false
	}
	if a.count >= a.quick {
		a.awaitChange()
		r.failed = nil
	}
	return true
}

// awaitChange waits until the group has another primary or a new term, but not
// longer than the pause.
func (a *attempts) awaitChange() {
	r := a.request
	before := r.watcher.View()
	ctx, stop := context.WithTimeout(r.ctx, r.executor.config.RetryPause)
	defer stop()
	for {
		view, err := r.watcher.Refresh(ctx)
		if err != nil || view.Term != before.Term || view.Primary != before.Primary {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}
