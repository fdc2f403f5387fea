// Package program is the command line of the load tool.
package program

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"samphirehitch.example/samphirehitch/load"
	"samphirehitch.example/samphirehitch/load/inject"
	"samphirehitch.example/samphirehitch/load/report"
	"samphirehitch.example/samphirehitch/load/workload"
	"samphirehitch.example/samphirehitch/process/platform/httpgroup"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/admin"
)

// ErrViolations reports that the run found a broken property.
var ErrViolations = eris.New("the run found violations")

// Deployment is the file that describes what to drive.
type Deployment struct {
	load.Env
	// Store is the admin address of the stand-in store, or empty.
	Store string `json:"store"`
	// GroupAdmins and BaselineAdmins are the admin addresses of the services'
	// group stand-ins, in the services' order.
	GroupAdmins    []string `json:"group_admins"`
	BaselineAdmins []string `json:"baseline_admins"`
}

type flags struct {
	deployment string
	loadFile   string
	script     string
	out        string
	duration   time.Duration
	seed       uint64
	rate       float64
	faults     int
	verbose    bool
}

// Run parses the arguments, drives the deployment and writes the report. Text
// goes to out.
func Run(ctx context.Context, arguments []string, out io.Writer) error {
	var f flags
	app := kingpin.New("samphirehitch-load", "Drives a deployment with open-loop load and failures, checks every answer and measures.")
	app.Flag("deployment", "JSON file with entries, logins, services, baseline, store, group_admins and baseline_admins.").Required().StringVar(&f.deployment)
	app.Flag("load", "JSON file with the load; the default has one customer for each login, the last one over its rate.").StringVar(&f.loadFile)
	app.Flag("script", "JSON file with the script of failures.").StringVar(&f.script)
	app.Flag("faults", "How many random faults to inject, from the seed; instead of a script.").IntVar(&f.faults)
	app.Flag("out", "Directory for report.json, report.txt and the plots.").StringVar(&f.out)
	app.Flag("duration", "How long requests arrive; overrides the load file.").DurationVar(&f.duration)
	app.Flag("seed", "Seed of the arrivals; overrides the load file.").Uint64Var(&f.seed)
	app.Flag("rate", "Arrivals per second of each customer in the default load.").Default("100").Float64Var(&f.rate)
	app.Flag("verbose", "Log to standard error.").BoolVar(&f.verbose)
	if _, err := app.Parse(arguments); err != nil {
		return eris.Wrap(err, "parse the command line")
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return f.run(ctx, out)
}

func (f *flags) run(ctx context.Context, out io.Writer) error {
	deployment, err := readFile[Deployment](f.deployment)
	if err != nil {
		return err
	}
	cfg, err := f.config(len(deployment.Logins))
	if err != nil {
		return err
	}
	if f.faults > 0 {
		cfg.Script = f.randomScript(cfg.Load, deployment.Services)
	}
	log, err := f.logger()
	if err != nil {
		return err
	}
	groups := httpgroup.New()
	defer groups.Close()
	deployment.Groups = groups
	deployment.Log = log
	deployment.connectInjectors()
	result, err := load.Run(ctx, cfg, deployment.Env)
	if err != nil {
		return err
	}
	if err := write(f.out, out, result); err != nil {
		return err
	}
	if len(result.Proxied.Violations) > 0 {
		return ErrViolations
	}
	return nil
}

// randomScript leaves keys and daemons alone, which this program can't change.
func (f *flags) randomScript(cfg workload.Config, services []load.Service) inject.Script {
	plan := inject.Plan{Seed: cfg.Seed, Duration: cfg.Duration(), Faults: f.faults}
	for _, service := range services {
		var names []topology.TargetID
		for _, target := range service.Targets {
			names = append(names, target.ID)
		}
		plan.Targets = append(plan.Targets, names)
	}
	return inject.Random(plan)
}

func (f *flags) logger() (logr.Logger, error) {
	if !f.verbose {
		return logr.Discard(), nil
	}
	logger, err := zap.NewProduction()
	return zapr.NewLogger(logger), eris.Wrap(err, "set up the log")
}

// config reads the load and the script and applies the flags.
func (f *flags) config(customers int) (load.Config, error) {
	cfg := load.Config{Load: workload.Default(max(1, customers), f.rate)}
	var err error
	if f.loadFile != "" {
		if cfg.Load, err = readFile[workload.Config](f.loadFile); err != nil {
			return cfg, err
		}
	}
	if f.duration != 0 {
		cfg.Load.DurationMillis = int(f.duration.Milliseconds())
	}
	if f.seed != 0 {
		cfg.Load.Seed = f.seed
	}
	if f.script != "" {
		cfg.Script, err = readFile[inject.Script](f.script)
	}
	return cfg, err
}

// readFile decodes a JSON file. Unknown fields are errors.
func readFile[T any](name string) (T, error) {
	var value T
	file, err := os.Open(name)
	if err != nil {
		return value, eris.Wrap(err, "open settings")
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return value, eris.Wrapf(decoder.Decode(&value), "read %s", name)
}

func (d *Deployment) connectInjectors() {
	proxied := inject.Remote{Operator: inject.NoOperator{}, Groups: callers(d.GroupAdmins)}
	baseline := inject.Remote{Operator: inject.NoOperator{}, Groups: callers(d.BaselineAdmins)}
	if d.Store != "" {
		proxied.Store = admin.NewStoreClient(d.Store)
		d.StoreCounts = proxied.Store.Counts
	}
	d.Injector = proxied
	d.BaselineInjector = baseline
}

func callers(addresses []string) []*admin.GroupClient {
	var list []*admin.GroupClient
	for _, address := range addresses {
		list = append(list, admin.NewGroupClient(address))
	}
	return list
}

func write(directory string, out io.Writer, result *load.Report) error {
	if err := report.WriteText(out, result); err != nil {
		return err
	}
	if directory == "" {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return eris.Wrap(err, "make the directory of the report")
	}
	writers := map[string]func(io.Writer, *load.Report) error{
		"report.json": report.WriteJSON,
		"report.txt":  report.WriteText,
	}
	for name, writeTo := range writers {
		if err := writeFile(filepath.Join(directory, name), result, writeTo); err != nil {
			return err
		}
	}
	_, err := report.WritePlots(directory, result)
	return err
}

func writeFile(name string, result *load.Report, writeTo func(io.Writer, *load.Report) error) error {
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "create the report")
	}
	if err := writeTo(file, result); err != nil {
		file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "write the report")
}
