package demo

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/load"
	"samphirehitch.example/samphirehitch/load/inject"
	"samphirehitch.example/samphirehitch/load/workload"
	"samphirehitch.example/samphirehitch/process/platform/httpgroup"
	"samphirehitch.example/samphirehitch/standin/group"
)

// readyTimeout bounds the wait until all daemons are ready.
const readyTimeout = 20 * time.Second

// Options are the parameters of a demonstration.
type Options struct {
	Shape    Shape
	Duration time.Duration
	// Rate is the request rate of each customer in requests per second. The last
	// customer sends several times its rate limit.
	Rate float64
	// Seed determines the arrivals of requests.
	Seed uint64
	// Script lists the faults to inject.
	Script inject.Script
	// Baseline runs the same load a second time, directly against targets.
	Baseline bool
	Logger   logr.Logger
}

// FailoverScript returns a script that kills the primary of the first service after 40 %
// of the duration and restarts that member after 80 %.
func FailoverScript(duration time.Duration) inject.Script {
	at := func(fraction float64) int64 { return int64(fraction * float64(duration.Milliseconds())) }
	return inject.Script{Steps: []inject.Step{
		{AtMillis: at(0.4), Action: inject.MemberKill, Service: 0, Target: inject.CurrentPrimary},
		{AtMillis: at(0.8), Action: inject.MemberRestart, Service: 0, Target: inject.PreviousTarget},
	}}
}

// Run starts a deployment, runs the load with the script's faults against it, and against
// a baseline of fresh groups if requested, and returns the report. The load determines
// the customers' rate limits.
func Run(ctx context.Context, o Options) (*load.Report, error) {
	cfg := load.Config{Load: workload.Default(o.Shape.Customers, o.Rate), Script: o.Script}
	cfg.Load.DurationMillis = int(o.Duration.Milliseconds())
	cfg.Load.Seed = o.Seed
	o.Shape.Rate = cfg.Load.Customers[0].LimitRate
	o.Shape.Burst = cfg.Load.Customers[0].LimitBurst
	d, err := Start(ctx, o.Shape, o.Logger)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if err := d.AwaitReady(ctx, readyTimeout); err != nil {
		return nil, err
	}
	env := d.loadEnvironment(o.Logger)
	if o.Baseline {
		baseline, err := startGroups(d)
		if err != nil {
			return nil, err
		}
		defer closeGroups(baseline)
		env.Baseline = d.loadServices(baseline)
		env.BaselineInjector = inject.Local{Operator: inject.NoOperator{}, Groups: baseline}
	}
	return load.Run(ctx, cfg, env)
}

// loadEnvironment describes the deployment for package load.
func (d *Deployment) loadEnvironment(logger logr.Logger) load.Env {
	env := load.Env{Services: d.loadServices(d.Groups), Injector: d.injector(), Groups: httpgroup.New(), Log: logger}
	for _, r := range d.Daemons {
		env.DaemonAddresses = append(env.DaemonAddresses, r.Daemon.CallerAddress().String())
	}
	for i, secret := range d.Secrets {
		env.Logins = append(env.Logins, load.Login{User: string(d.Shape.KeyID(i)), Password: secret})
	}
	return env
}

// loadServices describes services, with the given groups as their targets, for package
// load.
func (d *Deployment) loadServices(groups []*group.Group) []load.Service {
	var services []load.Service
	for i, g := range groups {
		services = append(services, load.Service{
			Database: string(d.Shape.ServiceID(i)), Targets: g.Targets(), TargetDatabase: databaseName,
			TargetLogin: load.Login{User: targetUser, Password: targetPassword},
		})
	}
	return services
}

func closeGroups(groups []*group.Group) {
	for _, g := range groups {
		g.Close()
	}
}
