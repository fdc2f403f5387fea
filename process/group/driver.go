package group

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Config configures the driver of one group.
type Config struct {
	Service topology.ServiceID
	Rounds  RoundsConfig
	// RequestTimeout bounds each control request to a member.
	RequestTimeout time.Duration
}

// Driver runs the rounds of one group against its members and implements
// Watcher.
type Driver struct {
	config Config
	groups platform.Groups
	clock  clock.Clock
	log    logr.Logger

	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	wake   chan struct{}
	view   atomic.Pointer[View]

	mu struct {
		sync.Mutex
		rounds  *Rounds
		out     Output
		waiters map[WaiterID]chan Result
		next    WaiterID
		// suspicion is the wait that Suspect opened last.
		suspicion WaiterID
		armed     time.Duration
		closed    bool
	}
}

var _ Watcher = (*Driver)(nil)

// NewDriver returns the driver of a group without members. SetTargets gives it
// members and Run its heartbeats.
func NewDriver(config Config, groups platform.Groups, clock clock.Clock, log logr.Logger) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		config: config,
		groups: groups,
		clock:  clock,
		log:    log.WithValues("service", config.Service),
		ctx:    ctx,
		cancel: cancel,
		wake:   make(chan struct{}, 1),
	}
	d.mu.rounds = NewRounds(config.Service, config.Rounds)
	d.mu.waiters = make(map[WaiterID]chan Result)
	d.mu.armed = never
	d.view.Store(d.mu.rounds.View())
	return d
}

// Run sends heartbeats until ctx ends. It then ends every wait and returns once
// no request is in flight.
func (d *Driver) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.close()
			return nil
		case <-timer.C:
			d.step(d.tick)
		case <-d.wake:
		}
		timer.Reset(d.arm())
	}
}

func (d *Driver) close() {
	d.mu.Lock()
	d.mu.closed = true
	d.mu.Unlock()
	d.cancel()
	d.calls.Wait()
}

// arm returns how long Run may sleep.
func (d *Driver) arm() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	d.mu.armed = d.deadline(now)
	return max(0, d.mu.armed-now)
}

func (d *Driver) deadline(now time.Duration) time.Duration {
	return d.mu.rounds.Deadline(now)
}

func (d *Driver) tick(now time.Duration, out *Output) { d.mu.rounds.Tick(now, out) }

// SetTargets replaces the members of the group.
func (d *Driver) SetTargets(targets []TargetConfig) {
	d.step(func(now time.Duration, out *Output) {
		d.mu.rounds.SetTargets(now, targets, out)
		d.publish()
	})
}

// SetWatching tells whether this instance sends heartbeats also while no request
// uses the group.
func (d *Driver) SetWatching(watching bool) {
	d.step(func(now time.Duration, out *Output) { d.mu.rounds.SetWatching(now, watching, out) })
}

// step runs one event of the coordinator and starts what it asks for.
func (d *Driver) step(event func(now time.Duration, out *Output)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.closed {
		return
	}
	now := d.clock()
	out := &d.mu.out
	out.Reset()
	event(now, out)
	d.start(out)
	if d.deadline(now) < d.mu.armed {
		d.signal()
	}
}

func (d *Driver) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// start executes an output. The lock is held; nothing in it blocks.
func (d *Driver) start(out *Output) {
	for _, ask := range out.Asks {
		d.calls.Go(func() { d.ask(ask) })
	}
	for _, query := range out.Queries {
		d.calls.Go(func() { d.query(query) })
	}
	for _, result := range out.Results {
		if done, open := d.mu.waiters[result.Waiter]; open {
			delete(d.mu.waiters, result.Waiter)
			done <- result
		}
	}
}

// ask sends a status request and hands its answer to the coordinator.
func (d *Driver) ask(ask Ask) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	status, err := d.groups.Status(ctx, ask.Target)
	d.step(func(now time.Duration, out *Output) {
		if err != nil {
			d.mu.rounds.Failed(now, ask.Sequence, out)
		} else {
			d.mu.rounds.Answered(now, ask.Sequence, status, out)
		}
		d.logReach(ask.Target.ID, err)
		d.publish()
	})
}

// query asks for a transaction and hands the report to the coordinator.
func (d *Driver) query(query Query) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	report, err := d.groups.TransactionStatus(ctx, query.Target, query.Transaction)
	d.step(func(now time.Duration, out *Output) {
		if err != nil {
			d.mu.rounds.QueryFailed(now, query.Waiter, out)
			return
		}
		d.mu.rounds.Reported(now, query.Waiter, report, out)
	})
}

// publish makes the coordinator's state the view. The lock is held.
func (d *Driver) publish() {
	old := d.view.Load()
	view := d.mu.rounds.View()
	d.view.Store(view)
	if view.Primary != old.Primary || view.Term != old.Term {
		eventPrimaryChanged.Log(d.log, "primary", view.Primary, "term", view.Term, "previous", old.Primary, "previousTerm", old.Term)
	}
}

// logReach logs that a member began or ceased to answer. The lock is held and
// the view is the one from before the answer.
func (d *Driver) logReach(id topology.TargetID, err error) {
	target := d.view.Load().Target(id)
	switch {
	case target == nil:
	case err != nil && target.Reachable:
		eventTargetUnreachable.Log(d.log, "target", id, "error", err.Error())
	case err == nil && !target.Reachable:
		eventTargetReachable.Log(d.log, "target", id)
	}
}
