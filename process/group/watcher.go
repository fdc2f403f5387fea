package group

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// View returns the latest view without waiting.
func (d *Driver) View() *View { return d.view.Load() }

// Refresh implements Watcher. It fails with ErrNoQuorum when ctx is done first.
func (d *Driver) Refresh(ctx context.Context) (*View, error) {
	if _, err := d.wait(ctx, Condition{Kind: ConditionView}); err != nil {
		return nil, eris.Wrapf(err, "refresh the view of %s", d.config.Service)
	}
	return d.View(), nil
}

// ReadFloor implements Watcher. It fails with ErrNoQuorum when ctx is done first.
func (d *Driver) ReadFloor(ctx context.Context) (topology.Point, error) {
	result, err := d.wait(ctx, Condition{Kind: ConditionFloor})
	if err != nil {
		return topology.Point{}, eris.Wrapf(err, "read the floor of %s", d.config.Service)
	}
	return result.Point, nil
}

// ConfirmCommit implements Watcher. It also fails with ErrNoQuorum when the driver
// is closed.
func (d *Driver) ConfirmCommit(ctx context.Context, commit Commit) (topology.Point, error) {
	result, err := d.wait(ctx, Condition{Kind: ConditionCommit, Commit: commit})
	if err == nil && result.Replaced {
		err = ErrPrimaryReplaced
	}
	if err != nil {
		return topology.Point{}, eris.Wrapf(err, "confirm a commit on %s at term %d", commit.Target, commit.Term)
	}
	return result.Point, nil
}

// ResolveTransaction implements Watcher. It fails with ErrNoQuorum when ctx
// is done first; the outcome is then unknown.
func (d *Driver) ResolveTransaction(ctx context.Context, commit Commit, transaction uint64) (platform.TransactionOutcome, topology.Point, error) {
	result, err := d.wait(ctx, Condition{Kind: ConditionOutcome, Commit: commit, Transaction: transaction})
	if err != nil {
		return platform.OutcomeUnknown, topology.Point{}, eris.Wrapf(err, "resolve a transaction of %s at term %d", commit.Target, commit.Term)
	}
	eventOutcomeResolved.Log(d.Log, "target", commit.Target, "term", commit.Term, "outcome", result.Outcome)
	return result.Outcome, result.Point, nil
}

// ReportFailure implements Watcher. It polls all members immediately.
func (d *Driver) ReportFailure(topology.TargetID) {
	d.step(func(now time.Duration, out *Output) { d.mu.rounds.Poll(now, out) })
}

// wait adds a waiter and waits for its result. It returns ErrNoQuorum if ctx is
// done or the driver is closed first.
func (d *Driver) wait(ctx context.Context, condition Condition) (WaitResult, error) {
	done := make(chan WaitResult, 1)
	var id WaiterID
	d.step(func(now time.Duration, out *Output) {
		d.mu.lastWaiterID++
		id = d.mu.lastWaiterID
		d.mu.waiters[id] = done
		d.mu.rounds.AddWaiter(now, id, condition, out)
	})
	select {
	case result := <-done:
		return result, nil
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	d.step(func(time.Duration, *Output) {
		delete(d.mu.waiters, id)
		d.mu.rounds.RemoveWaiter(id)
	})
	return WaitResult{}, ErrNoQuorum
}
