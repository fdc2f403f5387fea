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
	// backlog is how many requests may wait for a session.
	backlog = 4096
	// setupTimeout bounds the preparation of a phase, and the wait for a
	// primary at its end.
	setupTimeout = 30 * time.Second
	// pollInterval is the wait between two looks at the targets.
	pollInterval = 20 * time.Millisecond
)

// phase is one way through the load.
type phase struct {
	name      string
	cfg       Config
	env       Env
	services  []Service
	injector  inject.Injector
	dialer    dialer
	oracles   []*oracle.Oracle
	collector *measure.Collector
	// reference holds an ideal token bucket for each customer.
	reference []*limiter
	// withdrawn holds, for each customer, when its key was withdrawn, or a
	// negative time.
	withdrawn []atomic.Int64
	origin    time.Time
	dropped   atomic.Int64

	mu struct {
		sync.Mutex
		marks []measure.Mark
	}
}

func newPhase(cfg Config, env Env, name string, services []Service, injector inject.Injector) *phase {
	p := &phase{
		name:      name,
		cfg:       cfg,
		env:       env,
		services:  services,
		injector:  injector,
		collector: measure.New(len(cfg.Load.Customers), len(services)),
		withdrawn: make([]atomic.Int64, len(cfg.Load.Customers)),
	}
	for range services {
		p.oracles = append(p.oracles, oracle.New())
	}
	for i, customer := range cfg.Load.Customers {
		p.reference = append(p.reference, newLimiter(customer.LimitRate, customer.LimitBurst, p.now))
		p.withdrawn[i].Store(-1)
	}
	return p
}

func (p *phase) now() time.Duration { return time.Since(p.origin) }

// run prepares the rows, lets the load go by and checks the end state.
func (p *phase) run(ctx context.Context) (measure.Phase, error) {
	eventPhase.Log(p.env.Log, "phase", p.name, "customers", len(p.cfg.Load.Customers), "seed", p.cfg.Load.Seed)
	sessions := p.sessions()
	if err := p.prepare(ctx, sessions); err != nil {
		return measure.Phase{}, eris.Wrapf(err, "prepare phase %s", p.name)
	}
	p.origin = time.Now()
	// Requests that wait when the load is over have this long to end.
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Load.Duration()+2*p.cfg.Load.Timeout())
	defer cancel()
	var wait sync.WaitGroup
	for _, s := range sessions {
		wait.Go(func() { s.run(ctx) })
	}
	for i := range p.cfg.Load.Customers {
		wait.Go(func() { p.arrive(ctx, i, sessions) })
	}
	if p.injector != nil {
		wait.Go(func() { p.play(ctx) })
	}
	wait.Wait()
	length := p.now()
	if err := p.checkEnd(); err != nil {
		return measure.Phase{}, eris.Wrapf(err, "check the end of phase %s", p.name)
	}
	return p.summary(length), nil
}

func (p *phase) sessions() []*session {
	var sessions []*session
	for customer, load := range p.cfg.Load.Customers {
		for number := range load.Sessions {
			sessions = append(sessions, newSession(p, customer, number))
		}
	}
	return sessions
}

// arrive hands one customer's requests to its sessions when they are due.
func (p *phase) arrive(ctx context.Context, customer int, sessions []*session) {
	var own []*session
	for _, s := range sessions {
		if s.customer == customer {
			own = append(own, s)
			defer close(s.operations)
		}
	}
	generator := workload.NewGenerator(p.cfg.Load, customer)
	for op, more := generator.Next(); more; op, more = generator.Next() {
		if p.waitUntil(ctx, op.At) != nil {
			return
		}
		select {
		case own[op.Session].operations <- op:
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

// play carries out the script.
func (p *phase) play(ctx context.Context) {
	wait := func(at time.Duration) error { return p.waitUntil(ctx, at) }
	inject.NewPlayer(p.cfg.Script, p.injector).Play(ctx, wait, p.acted)
}

func (p *phase) acted(step inject.Step, err error) {
	mark := measure.Mark{AtMillis: p.now().Milliseconds(), Text: step.String()}
	if err != nil {
		mark.Error = err.Error()
		eventFaultFail.LogError(p.env.Log, err, "phase", p.name, "step", step.String())
	} else {
		eventFault.Log(p.env.Log, "phase", p.name, "step", step.String())
		p.noteKey(step)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.marks = append(p.mu.marks, mark)
}

func (p *phase) noteKey(step inject.Step) {
	switch step.Action {
	case inject.KeyWithdraw:
		p.withdrawn[step.Customer].Store(int64(p.now()))
	case inject.KeyRestore:
		p.withdrawn[step.Customer].Store(-1)
	}
}

func (p *phase) keyWithdrawn(customer int) bool { return p.withdrawn[customer].Load() >= 0 }

// keyExpired reports whether a withdrawn key should have stopped working before
// start.
func (p *phase) keyExpired(customer int, start time.Duration) bool {
	at := time.Duration(p.withdrawn[customer].Load())
	grace := time.Duration(p.cfg.Load.WithdrawalMillis) * time.Millisecond
	return at >= 0 && start > at+grace
}

func (p *phase) summary(length time.Duration) measure.Phase {
	result := p.collector.Summary(p.name, length)
	for _, o := range p.oracles {
		result.Violations = append(result.Violations, o.Violations()...)
	}
	for i, customer := range p.cfg.Load.Customers {
		limit := oracle.Limit{Rate: customer.LimitRate, Burst: customer.LimitBurst}
		found := oracle.CheckRate(fmt.Sprint(i), p.collector.Spans(i), limit)
		result.Violations = append(result.Violations, found...)
	}
	for _, v := range result.Violations {
		eventViolation.Log(p.env.Log, "phase", p.name, "rule", v.Rule, "key", v.Key, "detail", v.Detail)
	}
	result.Dropped = int(p.dropped.Load())
	p.mu.Lock()
	defer p.mu.Unlock()
	result.Faults = p.mu.marks
	return result
}

func (p *phase) sharedKey(n int) string { return fmt.Sprintf("%s/shared/%d", p.name, n) }

// ownsKey reports whether a row belongs to this phase.
func (p *phase) ownsKey(key string) bool { return strings.HasPrefix(key, p.name+"/") }
