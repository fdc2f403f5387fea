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
	// RequestTimeout bounds each control request to a member.
	RequestTimeout time.Duration
	Promotion      promotion.Config
	// ClaimTTL is the lease of a claim.
	ClaimTTL time.Duration
}

// DefaultConfig returns the configuration of a service's group for an instance.
func DefaultConfig(service topology.ServiceID, self topology.InstanceID, domain topology.FailureDomain) Config {
	return Config{
		Service:        service,
		Rounds:         DefaultRoundsConfig(),
		RequestTimeout: 200 * time.Millisecond,
		Promotion:      promotion.DefaultConfig(self, domain),
		ClaimTTL:       2 * time.Second,
	}
}

// Dependencies are what a driver works with.
type Dependencies struct {
	Groups platform.Groups
	Store  store.Store
	Sender peer.Sender
	Clock  clock.Clock
	Log    logr.Logger
	// Random makes jitter. It is used under the driver's lock only.
	Random *rand.Rand
	// OnGap, when set, is told of each promotion that this instance finished.
	// It is called with the driver's lock held.
	OnGap func(topology.ServiceID, promotion.Gap)
}

// Driver runs the rounds of one group against its members and implements
// Watcher.
type Driver struct {
	Dependencies
	config   Config
	claimant promotion.Claimant

	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	wake   chan struct{}
	view   atomic.Pointer[View]

	mu struct {
		sync.Mutex
		rounds    *Rounds
		promotion *promotion.Coordinator
		phase     promotion.Phase
		lease     store.LeaseID
		out       Output
		actions   []promotion.Action
		waiters   map[WaiterID]chan Result
		next      WaiterID
		armed     time.Duration
		closed    bool
	}
}

var _ Watcher = (*Driver)(nil)

// NewDriver returns the driver of a group without members. SetTargets gives it
// members and Run its heartbeats.
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
	d.mu.waiters = make(map[WaiterID]chan Result)
	d.mu.armed = never
	d.view.Store(d.mu.rounds.View())
	return d
}

// Run sends heartbeats until ctx ends. It then ends every wait and returns once
// no request is in flight.
func (d *Driver) Run(ctx context.Context) error {
	d.step(d.tick)
	timer := time.NewTimer(d.arm())
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
	now := d.Clock()
	d.mu.armed = d.deadline(now)
	return max(minSleep, d.mu.armed-now)
}

// minSleep bounds how often Run wakes up.
const minSleep = 100 * time.Microsecond

func (d *Driver) deadline(now time.Duration) time.Duration {
	deadline := d.mu.rounds.Deadline(now)
	if at, due := d.mu.promotion.Deadline(now); due {
		deadline = min(deadline, at)
	}
	return deadline
}

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
		d.publish()
	})
}

// SetWatchers tells which instances watch the group, in order of rank: those ask
// its members while no request uses it, and promote.
func (d *Driver) SetWatchers(watchers []promotion.Peer) {
	watching := slices.ContainsFunc(watchers, func(p promotion.Peer) bool { return p.ID == d.config.Promotion.Self })
	d.step(func(now time.Duration, out *Output) {
		d.mu.promotion.SetWatchers(watchers)
		d.mu.rounds.SetWatching(now, watching, out)
	})
}

// step runs one event of the coordinator and starts what it asks for.
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
	d.start(out)
	d.startPromotion(d.mu.actions)
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
	sent := d.Clock()
	status, err := d.Groups.Status(ctx, ask.Target)
	err = identify(err, "status", ask.Target, status)
	d.step(func(now time.Duration, out *Output) {
		if err != nil {
			d.mu.rounds.Failed(now, ask.Sequence, out)
			d.mu.promotion.HandleStatusFailure(now, sent, ask.Target.ID, &d.mu.actions)
		} else {
			d.mu.rounds.Answered(now, ask.Sequence, status, out)
			d.mu.promotion.HandleStatus(now, sent, ask.Target.ID, status, &d.mu.actions)
		}
		d.logReach(ask.Target.ID, err)
		d.publish()
	})
}

// query asks for a transaction and hands the report to the coordinator.
func (d *Driver) query(query Query) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.RequestTimeout)
	defer cancel()
	report, err := d.Groups.TransactionStatus(ctx, query.Target, query.Transaction)
	err = identify(err, "transaction status", query.Target, report.Status)
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
		eventPrimaryChanged.Log(d.Log, "primary", view.Primary, "term", view.Term, "previous", old.Primary, "previousTerm", old.Term)
	}
}

// logReach logs that a member began or ceased to answer. The lock is held and
// the view is the one from before the answer.
func (d *Driver) logReach(id topology.TargetID, err error) {
	target := d.view.Load().Target(id)
	switch {
	case target == nil:
	case err != nil && target.Reachable:
		eventTargetUnreachable.Log(d.Log, "target", id, "error", err.Error())
	case err == nil && !target.Reachable:
		eventTargetReachable.Log(d.Log, "target", id)
	}
}
