// Package load drives a deployment with open-loop requests while it injects
// faults, checks every response against an oracle and measures the service that
// callers received. It can run the same load a second time against targets without
// a proxy, as a baseline. The deployment is started and stopped by the caller.
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

// Events that a run logs.
var (
	eventPhase       = event.Define(9001, event.Info, "load phase started")
	eventFault       = event.Define(9002, event.Info, "fault injected")
	eventFaultFailed = event.Define(9003, event.Warning, "fault could not be injected")
	eventViolation   = event.Define(9004, event.Failure, "oracle found a violation")
)

// Config describes the load and the faults of a run.
type Config struct {
	Load   workload.Config `json:"load"`
	Script inject.Script   `json:"script"`
}

// Login is a user name and its password.
type Login struct {
	User     string `json:"user"`
	Password string `json:"password"`
}

// Service is a database service with its group of targets.
type Service struct {
	// Database is the name that callers connect to.
	Database string            `json:"database"`
	Targets  []platform.Target `json:"targets"`
	// TargetDatabase and TargetLogin are used on direct connections to the
	// targets: to write the initial rows, to read the final state and for the
	// baseline.
	TargetDatabase string `json:"target_database"`
	TargetLogin    Login  `json:"target_login"`
}

// Env describes the deployment under load and provides access to it.
type Env struct {
	// DaemonAddresses are the addresses, host:port, at which the daemons accept callers.
	DaemonAddresses []string `json:"entries"`
	// Logins holds one key for each customer, in the order of the load's customers.
	Logins   []Login   `json:"logins"`
	Services []Service `json:"services"`
	// Baseline holds the services of the baseline phase, whose targets no daemon
	// watches. When it is empty, the baseline is skipped.
	Baseline []Service `json:"baseline"`
	// Injector applies the script's faults; when it is nil, the script is skipped.
	Injector inject.Injector `json:"-"`
	// BaselineInjector applies the same script during the baseline phase.
	BaselineInjector inject.Injector `json:"-"`
	// Audit, when not nil, is called after the proxied phase and returns further
	// violations, which are added to the report.
	Audit func() []oracle.Violation `json:"-"`
	// StoreCounts, when not nil, returns how many calls the store has served.
	StoreCounts func(context.Context) (memstore.Counts, error) `json:"-"`
	// Groups reads the targets' roles and terms.
	Groups platform.Groups `json:"-"`
	Log    logr.Logger     `json:"-"`
}

// Report is the outcome of a run.
type Report struct {
	Config Config `json:"config"`
	// Proxied is the phase whose requests went through the daemons.
	Proxied measure.Phase `json:"proxied"`
	// Store counts the calls that the store served during the proxied phase, and
	// StoreSeconds is the length of that phase. Both are zero without
	// Env.StoreCounts.
	Store        memstore.Counts `json:"store"`
	StoreSeconds float64         `json:"store_seconds"`
	// Baseline is the phase whose requests went directly to the primaries, with
	// each customer's rate split evenly over as many limiters as there are daemons.
	Baseline *measure.Phase `json:"baseline,omitempty"`
}

// Names of the phases, in reports and as the prefix of the rows' keys.
const (
	phaseProxied  = "proxied"
	phaseBaseline = "baseline"
)

// Run drives the deployment and then the baseline. It returns an error only when
// the load could not be run; violations are part of the report.
func Run(ctx context.Context, cfg Config, env Env) (*Report, error) {
	if err := cfg.Load.Validate(); err != nil {
		return nil, eris.Wrap(err, "validate the load")
	}
	if len(env.Logins) < len(cfg.Load.Customers) || len(env.DaemonAddresses) == 0 || len(env.Services) == 0 {
		return nil, eris.New("the environment has too few logins, entries or services")
	}
	report := &Report{Config: cfg}
	proxied := newPhase(cfg, env, phaseProxied, env.Services, env.Injector)
	proxied.dialer = &proxyDialer{addresses: env.DaemonAddresses, logins: env.Logins, maxAge: cfg.Load.MaxAge()}
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
	baseline.dialer = newDirectDialer(cfg.Load, len(env.DaemonAddresses), baseline.now)
	result, err := baseline.run(ctx)
	if err != nil {
		return nil, err
	}
	report.Baseline = &result
	return report, nil
}

// runProxied runs the proxied phase and counts the store's calls meanwhile.
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
	return counts, eris.Wrap(err, "read the call counts of the store")
}
