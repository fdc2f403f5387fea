// Package load drives a deployment with open-loop requests while failures are
// injected, checks every answer by an oracle and measures how callers fared. It
// runs the same load a second time against targets without a proxy, as a
// baseline. The deployment itself belongs to the caller.
package load

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/load/inject"
	"samphirehitch.example/samphirehitch/load/measure"
	"samphirehitch.example/samphirehitch/load/oracle"
	"samphirehitch.example/samphirehitch/load/workload"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store/memstore"
)

// Events of a run.
var (
	eventPhase     = event.Define(9001, event.Info, "load phase started")
	eventFault     = event.Define(9002, event.Info, "fault injected")
	eventFaultFail = event.Define(9003, event.Warning, "fault could not be injected")
	eventViolation = event.Define(9004, event.Failure, "violation found")
)

// Config is what to run.
type Config struct {
	Load   workload.Config `json:"load"`
	Script inject.Script   `json:"script"`
}

// Login is a user name with its secret.
type Login struct {
	User     string `json:"user"`
	Password string `json:"password"`
}

// Service is a database service.
type Service struct {
	// Database is the name that callers connect to.
	Database string            `json:"database"`
	Targets  []platform.Target `json:"targets"`
	// TargetDatabase and TargetLogin serve to reach the targets themselves, for
	// the starting rows, the check of the end state and the baseline.
	TargetDatabase string `json:"target_database"`
	TargetLogin    Login  `json:"target_login"`
}

// Env is the deployment under load.
type Env struct {
	// Entries are the callers' addresses of the daemons, host:port.
	Entries []string `json:"entries"`
	// Logins holds the key of each customer.
	Logins   []Login   `json:"logins"`
	Services []Service `json:"services"`
	// Baseline, when not empty, holds services that no daemon watches.
	Baseline []Service `json:"baseline"`
	// Injector carries out the script; nil leaves the script out.
	Injector inject.Injector `json:"-"`
	// BaselineInjector does so for the baseline.
	BaselineInjector inject.Injector `json:"-"`
	// Audit, when not nil, is asked for further violations after the phase with
	// the daemons.
	Audit func() []oracle.Violation `json:"-"`
	// StoreCounts, when not nil, reads the calls that the store has taken.
	StoreCounts func(context.Context) (memstore.Counts, error) `json:"-"`
	// Groups reads the targets' roles.
	Groups platform.Groups `json:"-"`
	Log    logr.Logger     `json:"-"`
}

// Report is the outcome of a run.
type Report struct {
	Config Config `json:"config"`
	// Proxied went through the daemons.
	Proxied measure.Phase `json:"proxied"`
	// Store is how many calls the store took during the proxied phase, and
	// StoreSeconds how long that was; both are zero when nobody counts.
	Store        memstore.Counts `json:"store"`
	StoreSeconds float64         `json:"store_seconds"`
	// Baseline went straight to the primaries, with each customer's rate split
	// evenly over as many limiters as there are daemons.
	Baseline *measure.Phase `json:"baseline,omitempty"`
}

// Names of the phases.
const (
	phaseProxied  = "proxied"
	phaseBaseline = "baseline"
)

// Run drives the deployment, and the baseline after it. It returns an error when
// the load could not be run; violations are in the report.
func Run(ctx context.Context, cfg Config, env Env) (*Report, error) {
	if err := cfg.Load.Validate(); err != nil {
		return nil, eris.Wrap(err, "check the load")
	}
	if len(env.Logins) < len(cfg.Load.Customers) || len(env.Entries) == 0 || len(env.Services) == 0 {
		return nil, eris.New("the environment has too few logins, entries or services")
	}
	report := &Report{Config: cfg}
	proxied := newPhase(cfg, env, phaseProxied, env.Services, env.Injector)
	proxied.dialer = &proxyDialer{entries: env.Entries, logins: env.Logins, age: cfg.Load.Age()}
	if err := report.runProxied(ctx, proxied); err != nil {
		return nil, err
	}
	if env.Audit != nil {
		report.Proxied.Violations = append(report.Proxied.Violations, env.Audit()...)
	}
	if len(env.Baseline) == 0 {
		return report, nil
	}
	baseline := newPhase(cfg, env, phaseBaseline, env.Baseline, env.BaselineInjector)
	baseline.dialer = newDirectDialer(cfg.Load, len(env.Entries), baseline.now)
	measured, err := baseline.run(ctx)
	if err != nil {
		return nil, err
	}
	report.Baseline = &measured
	return report, nil
}

func (r *Report) runProxied(ctx context.Context, p *phase) error {
	before, err := p.env.storeCounts(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	if r.Proxied, err = p.run(ctx); err != nil {
		return err
	}
	if p.env.StoreCounts != nil {
		r.StoreSeconds = time.Since(start).Seconds()
	}
	after, err := p.env.storeCounts(ctx)
	r.Store = after.Since(before)
	return err
}

func (e *Env) storeCounts(ctx context.Context) (memstore.Counts, error) {
	if e.StoreCounts == nil {
		return memstore.Counts{}, nil
	}
	counts, err := e.StoreCounts(ctx)
	return counts, eris.Wrap(err, "read the counts of the store")
}
