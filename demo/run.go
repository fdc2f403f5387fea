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

// readyTimeout bounds the wait for the daemons' first configuration.
const readyTimeout = 20 * time.Second

// Options say what a demonstration does.
type Options struct {
	Shape    Shape
	Duration time.Duration
	// Rate is the arrivals of each customer in requests per second; the last
	// customer sends several times its limit.
	Rate   float64
	Seed   uint64
	Script inject.Script
	// Baseline runs the same load a second time without daemons.
	Baseline bool
	Logger   logr.Logger
}

// FailoverScript kills the primary of the first service in the middle of a run
// and restarts it later.
func FailoverScript(duration time.Duration) inject.Script {
	at := func(share float64) int64 { return int64(share * float64(duration.Milliseconds())) }
	return inject.Script{Steps: []inject.Step{
		{AtMillis: at(0.4), Action: inject.MemberKill, Service: 0, Target: inject.Primary},
		{AtMillis: at(0.8), Action: inject.MemberRestart, Service: 0, Target: inject.Same},
	}}
}

// Run starts a deployment, drives it with load and returns the report.
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
	env := d.loadEnv(o.Logger)
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

// loadEnv describes the deployment to the load tool.
func (d *Deployment) loadEnv(logger logr.Logger) load.Env {
	env := load.Env{Services: d.loadServices(d.Groups), Injector: d.injector(), Groups: httpgroup.New(), Log: logger}
	for _, e := range d.Daemons {
		env.Entries = append(env.Entries, e.Daemon.CallerAddress().String())
	}
	for i, secret := range d.Secrets {
		env.Logins = append(env.Logins, load.Login{User: string(d.Shape.KeyID(i)), Password: secret})
	}
	return env
}

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
