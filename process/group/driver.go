package group

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Config configures the driver of one group.
type Config struct {
	Service topology.ServiceID
	Rounds  RoundsConfig
	// RequestTimeout is the timeout of each control request to a member.
	RequestTimeout time.Duration
	Promotion      promotion.Config
	// ClaimTTL is the TTL of a claim's lease.
	ClaimTTL time.Duration
}

// DefaultConfig returns the default configuration of the driver that an instance runs
// for a service's group.
func DefaultConfig(service topology.ServiceID, self topology.InstanceID, domain topology.FailureDomain) Config {
	return Config{
		Service:        service,
		Rounds:         DefaultRoundsConfig(),
		RequestTimeout: 200 * time.Millisecond,
		Promotion:      promotion.DefaultConfig(self, domain),
		ClaimTTL:       2 * time.Second,
	}
}

// Dependencies are the components that a driver uses.
type Dependencies struct {
	Groups platform.Groups
	Store  store.Store
	Sender peer.Sender
	Clock  clock.Clock
	Log    logr.Logger
	// Random supplies jitter. It is used with the driver's lock held.
	Random *rand.Rand
	// OnPromotion, if set, is called for each promotion that this instance has finished,
	// with the driver's lock held.
	OnPromotion func(topology.ServiceID, promotion.FailoverGap)
}

// Driver runs the status rounds and the promotions of one group and implements
// Watcher. It calls Rounds and the promotion coordinator with its lock held and
// sends the requests that they issue in goroutines of their own. Driver is safe for
// concurrent use.
type Driver struct {
	Dependencies
	config   Config
	claimant promotion.Claimant

	// ctx is canceled when the driver is closed, which aborts every request and every
	// wait.
	ctx    context.Context
	cancel context.CancelFunc
	// requests counts the requests in flight.
	requests sync.WaitGroup
	// wake interrupts the sleep of Run when an earlier deadline was set.
	wake chan struct{}
	view atomic.Pointer[View]

	mu struct {
		sync.Mutex
		rounds    *Rounds
		promotion *promotion.Coordinator
		// phase is the promotion phase that was logged last.
		phase promotion.Phase
		// claimLease is the lease of the claim, or zero.
		claimLease store.LeaseID
		// out and actions are reused by step.
		out          Output
		actions      []promotion.Action
		waiters      map[WaiterID]chan WaitResult
		lastWaiterID WaiterID
		// wakeAt is when Run wakes up by itself.
		wakeAt time.Duration
		closed bool
	}
}

var _ Watcher = (*Driver)(nil)

// NewDriver returns the driver of a group without members. SetTargets sets the
// members. Heartbeats and retries are sent only while Run runs.
func NewDriver(config Config, deps Dependencies) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	deps.Log = deps.Log.WithValues("service", config.Service)
	d := &Driver{
		Dependencies: deps,
		config:       config,
		claimant: promotion.Claimant{
			Store: deps.Store, Service: config.Service, Self: config.Promotion.Self, TTL: config.ClaimTTL,
		},
		ctx:    ctx,
		cancel: cancel,
		wake:   make(chan struct{}, 1),
	}
	d.mu.promotion = promotion.New(config.Promotion, deps.Random)
	d.mu.rounds = NewRounds(config.Service, config.Rounds)
	d.mu.waiters = make(map[WaiterID]chan WaitResult)
	d.mu.wakeAt = never
	d.view.Store(d.mu.rounds.View())
	return d
}

// Run sends the requests that are due, such as heartbeats, until ctx is done. It then
// closes the driver, so that every wait fails, and returns once no request is in
// flight.
func (d *Driver) Run(ctx context.Context) error {
	d.step(d.tick)
	timer := time.NewTimer(d.nextSleep())
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
		timer.Reset(d.nextSleep())
	}
}

// close makes every wait fail and waits for the requests in flight.
func (d *Driver) close() {
	d.mu.Lock()
	d.mu.closed = true
	d.mu.Unlock()
	d.cancel()
	d.requests.Wait()
}

// nextSleep returns how long Run may sleep and records the time at which it wakes up.
func (d *Driver) nextSleep() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	d.mu.wakeAt = d.deadline(now)
	return max(minSleep, d.mu.wakeAt-now)
}

// minSleep is the minimum sleep of Run, so that it does not spin.
const minSleep = 100 * time.Microsecond

// deadline returns when tick has to be called next. The caller holds d.mu.
func (d *Driver) deadline(now time.Duration) time.Duration {
	deadline := d.mu.rounds.Deadline(now)
	if at, due := d.mu.promotion.Deadline(now); due {
		deadline = min(deadline, at)
	}
	return deadline
}

// tick advances the rounds and the promotion to the current time. The caller holds
// d.mu.
func (d *Driver) tick(now time.Duration, out *Output) {
	d.mu.rounds.Tick(now, out)
	d.mu.promotion.Tick(now, &d.mu.actions)
}

// SetTargets replaces the members of the group.
func (d *Driver) SetTargets(targets []TargetConfig) {
	d.step(func(now time.Duration, out *Output) {
		d.mu.rounds.SetTargets(now, targets, out)
		members := make([]promotion.Target, 0, len(targets))
		for _, target := range targets {
			members = append(members, promotion.Target(target))
		}
		d.mu.promotion.SetTargets(members)
		d.publishView()
	})
}

// SetWatchers sets the instances that watch the group, in order of rank. Watchers
// poll the members even while no request uses the group, and promote primaries.
func (d *Driver) SetWatchers(watchers []promotion.Peer) {
	watching := slices.ContainsFunc(watchers, func(p promotion.Peer) bool { return p.ID == d.config.Promotion.Self })
	d.step(func(now time.Duration, out *Output) {
		d.mu.promotion.SetWatchers(watchers)
		d.mu.rounds.SetWatching(now, watching, out)
	})
}

// step runs an event with the lock held and starts the requests that it issues. It
// wakes Run if the next deadline is now earlier. After close it does nothing.
func (d *Driver) step(event func(now time.Duration, out *Output)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.closed {
		return
	}
	now := d.Clock()
	out := &d.mu.out
	out.Reset()
	d.mu.actions = d.mu.actions[:0]
	event(now, out)
	d.execute(out)
	d.executePromotion(d.mu.actions)
	if d.deadline(now) < d.mu.wakeAt {
		d.wakeRun()
	}
}

// wakeRun makes Run determine its next deadline again. It never blocks.
func (d *Driver) wakeRun() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// execute starts the requests of an output and passes results to their waiters. It
// never blocks. The caller holds d.mu.
func (d *Driver) execute(out *Output) {
	for _, request := range out.StatusRequests {
		d.requests.Go(func() { d.requestStatus(request) })
	}
	for _, query := range out.TransactionQueries {
		d.requests.Go(func() { d.queryTransaction(query) })
	}
	for _, result := range out.Results {
		if done, open := d.mu.waiters[result.Waiter]; open {
			delete(d.mu.waiters, result.Waiter)
			done <- result
		}
	}
}

// requestStatus sends a status request and passes the result to the rounds and the
// promotion coordinator.
func (d *Driver) requestStatus(request StatusRequest) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	requestedAt := d.Clock()
	status, err := d.Groups.Status(ctx, request.Target)
	err = verifyResponder(err, "status", request.Target, status)
	d.step(func(now time.Duration, out *Output) {
		if err != nil {
			d.mu.rounds.HandleStatusFailure(now, request.Sequence, out)
			d.mu.promotion.HandleStatusFailure(now, requestedAt, request.Target.ID, &d.mu.actions)
		} else {
			d.mu.rounds.HandleStatus(now, request.Sequence, status, out)
			d.mu.promotion.HandleStatus(now, requestedAt, request.Target.ID, status, &d.mu.actions)
		}
		d.logReachability(request.Target.ID, err)
		d.publishView()
	})
}

// queryTransaction queries a transaction and passes the result to the rounds.
func (d *Driver) queryTransaction(query TransactionQuery) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	report, err := d.Groups.TransactionStatus(ctx, query.Target, query.Transaction)
	err = verifyResponder(err, "transaction status", query.Target, report.Status)
	d.step(func(now time.Duration, out *Output) {
		if err != nil {
			d.mu.rounds.HandleReportFailure(now, query.Waiter, out)
			return
		}
		d.mu.rounds.HandleReport(now, query.Waiter, report, out)
	})
}

// publishView replaces the view by one of the current state. The caller holds d.mu.
func (d *Driver) publishView() {
	old := d.view.Load()
	view := d.mu.rounds.View()
	d.view.Store(view)
	if view.Primary != old.Primary || view.Term != old.Term {
		eventPrimaryChanged.Log(d.Log, "primary", view.Primary, "term", view.Term, "previous", old.Primary, "previousTerm", old.Term)
	}
}

// logReachability logs that a member began or ceased to respond. It compares with the
// published view, so it has to be called before publishView. The caller holds d.mu.
func (d *Driver) logReachability(id topology.TargetID, err error) {
	target := d.view.Load().Target(id)
	switch {
	case target == nil:
	case err != nil && target.Reachable:
		eventTargetUnreachable.Log(d.Log, "target", id, "error", err.Error())
	case err == nil && !target.Reachable:
		eventTargetReachable.Log(d.Log, "target", id)
	}
}
