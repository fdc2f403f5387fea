package load

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/load/inject"
	"samphirehitch.example/samphirehitch/load/measure"
	"samphirehitch.example/samphirehitch/load/oracle"
	"samphirehitch.example/samphirehitch/load/workload"
)

const (
	// operationQueueSize is the capacity of a session's queue of due requests. When
	// the queue is full, requests are dropped, so that arrivals stay open-loop.
	operationQueueSize = 4096
	// setupTimeout bounds the seeding of a phase's rows, and the check of the final
	// state with its wait for a primary.
	setupTimeout = 30 * time.Second
	// pollInterval is the wait between two polls of the targets.
	pollInterval = 20 * time.Millisecond
)

// phase runs the load once, through the daemons or directly against the targets.
// All its times are offsets from origin.
type phase struct {
	name     string
	cfg      Config
	env      Env
	services []Service
	injector inject.Injector
	dialer   dialer
	// oracles holds one oracle for each service.
	oracles   []*oracle.Oracle
	collector *measure.Collector
	// idealLimiters holds one token bucket with the whole limit of each customer.
	// They decide which requests count as within rate.
	idealLimiters []*limiter
	// keyWithdrawnAt holds, for each customer, the time in nanoseconds at which its
	// key was withdrawn, or -1 while the key is valid.
	keyWithdrawnAt []atomic.Int64
	origin         time.Time
	// dropped counts the requests that found their session's queue full.
	dropped atomic.Int64

	mu struct {
		sync.Mutex
		faults []measure.FaultRecord
	}
}

func newPhase(cfg Config, env Env, name string, services []Service, injector inject.Injector) *phase {
	p := &phase{
		name:           name,
		cfg:            cfg,
		env:            env,
		services:       services,
		injector:       injector,
		collector:      measure.NewCollector(len(cfg.Load.Customers), len(services)),
		keyWithdrawnAt: make([]atomic.Int64, len(cfg.Load.Customers)),
	}
	for range services {
		p.oracles = append(p.oracles, oracle.New())
	}
	for i, customer := range cfg.Load.Customers {
		p.idealLimiters = append(p.idealLimiters, newLimiter(customer.LimitRate, customer.LimitBurst, p.now))
		p.keyWithdrawnAt[i].Store(-1)
	}
	return p
}

// now returns the time since origin.
func (p *phase) now() time.Duration { return time.Since(p.origin) }

// run seeds the rows, runs the load to its end, checks the final state and returns
// the measurements.
func (p *phase) run(ctx context.Context) (measure.Phase, error) {
	eventPhase.Log(p.env.Log, "phase", p.name, "customers", len(p.cfg.Load.Customers), "seed", p.cfg.Load.Seed)
	sessions := p.newSessions()
	if err := p.seedServices(ctx, sessions); err != nil {
		return measure.Phase{}, eris.Wrapf(err, "seed the rows of phase %s", p.name)
	}
	p.origin = time.Now()
	// Requests still queued when arrivals stop have two timeouts to complete.
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Load.Duration()+2*p.cfg.Load.Timeout())
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range sessions {
		wg.Go(func() { s.run(ctx) })
	}
	for i := range p.cfg.Load.Customers {
		wg.Go(func() { p.dispatchArrivals(ctx, i, sessions) })
	}
	if p.injector != nil {
		wg.Go(func() { p.injectFaults(ctx) })
	}
	wg.Wait()
	elapsed := p.now()
	if err := p.checkFinalState(); err != nil {
		return measure.Phase{}, eris.Wrapf(err, "check the final state of phase %s", p.name)
	}
	return p.summary(elapsed), nil
}

func (p *phase) newSessions() []*session {
	var sessions []*session
	for customer, customerLoad := range p.cfg.Load.Customers {
		for index := range customerLoad.Sessions {
			sessions = append(sessions, newSession(p, customer, index))
		}
	}
	return sessions
}

// dispatchArrivals queues one customer's requests at its sessions when they are
// due. It closes the sessions' queues when it returns.
func (p *phase) dispatchArrivals(ctx context.Context, customer int, sessions []*session) {
	var customerSessions []*session
	for _, s := range sessions {
		if s.customer == customer {
			customerSessions = append(customerSessions, s)
			defer close(s.operations)
		}
	}
	generator := workload.NewGenerator(p.cfg.Load, customer)
	for op, ok := generator.Next(); ok; op, ok = generator.Next() {
		if p.waitUntil(ctx, op.ArrivesAt) != nil {
			return
		}
		select {
		case customerSessions[op.Session].operations <- op:
		default:
			p.dropped.Add(1)
		}
	}
}

func (p *phase) waitUntil(ctx context.Context, at time.Duration) error {
	delay := at - p.now()
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// injectFaults runs the fault script.
func (p *phase) injectFaults(ctx context.Context) {
	waitUntil := func(at time.Duration) error { return p.waitUntil(ctx, at) }
	inject.NewScriptRunner(p.cfg.Script, p.injector).Run(ctx, waitUntil, p.recordFault)
}

// recordFault logs a step of the script and adds it to the report. It may be called
// concurrently.
func (p *phase) recordFault(step inject.Step, err error) {
	fault := measure.FaultRecord{AtMillis: p.now().Milliseconds(), Description: step.String()}
	if err != nil {
		fault.Error = err.Error()
		eventFaultFailed.LogError(p.env.Log, err, "phase", p.name, "step", step.String())
	} else {
		eventFault.Log(p.env.Log, "phase", p.name, "step", step.String())
		p.recordKeyChange(step)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.faults = append(p.mu.faults, fault)
}

// recordKeyChange updates keyWithdrawnAt after a step that withdraws or restores a key.
func (p *phase) recordKeyChange(step inject.Step) {
	switch step.Action {
	case inject.KeyWithdraw:
		p.keyWithdrawnAt[step.Customer].Store(int64(p.now()))
	case inject.KeyRestore:
		p.keyWithdrawnAt[step.Customer].Store(-1)
	}
}

func (p *phase) keyWithdrawn(customer int) bool { return p.keyWithdrawnAt[customer].Load() >= 0 }

// keyMustBeRejected reports whether a request sent at start must fail, because the
// customer's key was withdrawn longer ago than the load's grace period.
func (p *phase) keyMustBeRejected(customer int, start time.Duration) bool {
	at := time.Duration(p.keyWithdrawnAt[customer].Load())
	grace := time.Duration(p.cfg.Load.WithdrawalGraceMillis) * time.Millisecond
	return at >= 0 && start > at+grace
}

// summary combines the measurements with the oracles' violations and the rate check.
func (p *phase) summary(elapsed time.Duration) measure.Phase {
	result := p.collector.Summary(p.name, elapsed)
	for _, o := range p.oracles {
		result.Violations = append(result.Violations, o.Violations()...)
	}
	for i, customer := range p.cfg.Load.Customers {
		limit := oracle.RateLimit{Rate: customer.LimitRate, Burst: customer.LimitBurst}
		violations := oracle.CheckRate(fmt.Sprint(i), p.collector.ConfirmedIntervals(i), limit)
		result.Violations = append(result.Violations, violations...)
	}
	for _, v := range result.Violations {
		eventViolation.Log(p.env.Log, "phase", p.name, "rule", v.Rule, "key", v.Key, "detail", v.Detail)
	}
	result.Dropped = int(p.dropped.Load())
	p.mu.Lock()
	defer p.mu.Unlock()
	result.Faults = p.mu.faults
	return result
}

func (p *phase) sharedCounterKey(n int) string { return fmt.Sprintf("%s/shared/%d", p.name, n) }

// ownsKey reports whether this phase wrote the row of the key.
func (p *phase) ownsKey(key string) bool { return strings.HasPrefix(key, p.name+"/") }
