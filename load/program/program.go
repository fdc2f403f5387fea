// Package program implements the command line of samphirehitch-load.
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

// ErrViolations is returned by Run when the proxied phase violated a rule of the
// oracle.
var ErrViolations = eris.New("the run found violations")

// Deployment is the content of the deployment file: the environment of the load and
// the admin addresses of its stand-ins.
type Deployment struct {
	load.Env
	// StoreAdmin is the admin address of the stand-in store. When it is empty, the
	// store's faults cannot be set and its calls are not counted.
	StoreAdmin string `json:"store"`
	// GroupAdmins and BaselineAdmins are the admin addresses of the stand-in groups,
	// in the order of Services and Baseline.
	GroupAdmins    []string `json:"group_admins"`
	BaselineAdmins []string `json:"baseline_admins"`
}

type options struct {
	deployment string
	loadFile   string
	script     string
	outputDir  string
	duration   time.Duration
	seed       uint64
	rate       float64
	faults     int
	verbose    bool
}

// Run parses the arguments, runs the load and writes the report as text to out. With
// --out it also writes the report files and plots to that directory. SIGINT and SIGTERM
// abort the run.
func Run(ctx context.Context, arguments []string, out io.Writer) error {
	var opts options
	app := kingpin.New("samphirehitch-load", "Drives a deployment with open-loop load, injects faults, checks every response and measures the service that callers receive.")
	app.Flag("deployment", "JSON file with entries, logins, services, baseline, store, group_admins and baseline_admins.").Required().StringVar(&opts.deployment)
	app.Flag("load", "JSON file with the load; by default there is one customer for each login, and the last one exceeds its rate.").StringVar(&opts.loadFile)
	app.Flag("script", "JSON file with the fault script.").StringVar(&opts.script)
	app.Flag("faults", "Number of random faults, drawn from the seed, to inject instead of a script.").IntVar(&opts.faults)
	app.Flag("out", "Directory to which report.json, report.txt and the plots are written.").StringVar(&opts.outputDir)
	app.Flag("duration", "Time during which requests arrive; overrides the load file.").DurationVar(&opts.duration)
	app.Flag("seed", "Seed of the arrivals and of random faults; overrides the load file.").Uint64Var(&opts.seed)
	app.Flag("rate", "Arrivals per second of each customer in the default load.").Default("100").Float64Var(&opts.rate)
	app.Flag("verbose", "Log to standard error.").BoolVar(&opts.verbose)
	if _, err := app.Parse(arguments); err != nil {
		return eris.Wrap(err, "parse the command line")
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return opts.run(ctx, out)
}

func (opts *options) run(ctx context.Context, out io.Writer) error {
	deployment, err := readJSON[Deployment](opts.deployment)
	if err != nil {
		return err
	}
	cfg, err := opts.config(len(deployment.Logins))
	if err != nil {
		return err
	}
	if opts.faults > 0 {
		cfg.Script = opts.randomScript(cfg.Load, deployment.Services)
	}
	log, err := opts.logger()
	if err != nil {
		return err
	}
	groups := httpgroup.New()
	defer groups.Close()
	deployment.Groups = groups
	deployment.Log = log
	deployment.setInjectors()
	result, err := load.Run(ctx, cfg, deployment.Env)
	if err != nil {
		return err
	}
	if err := writeReports(opts.outputDir, out, result); err != nil {
		return err
	}
	if len(result.Proxied.Violations) > 0 {
		return ErrViolations
	}
	return nil
}

// randomScript draws faults of targets and the store. It leaves out keys and daemons,
// which this program cannot change.
func (opts *options) randomScript(cfg workload.Config, services []load.Service) inject.Script {
	randomConfig := inject.RandomConfig{Seed: cfg.Seed, Duration: cfg.Duration(), FaultCount: opts.faults}
	for _, service := range services {
		var targetIDs []topology.TargetID
		for _, target := range service.Targets {
			targetIDs = append(targetIDs, target.ID)
		}
		randomConfig.Targets = append(randomConfig.Targets, targetIDs)
	}
	return inject.RandomScript(randomConfig)
}

func (opts *options) logger() (logr.Logger, error) {
	if !opts.verbose {
		return logr.Discard(), nil
	}
	logger, err := zap.NewProduction()
	return zapr.NewLogger(logger), eris.Wrap(err, "create the logger")
}

// config reads the load and script files and applies the flags that override them.
func (opts *options) config(customers int) (load.Config, error) {
	cfg := load.Config{Load: workload.Default(max(1, customers), opts.rate)}
	var err error
	if opts.loadFile != "" {
		if cfg.Load, err = readJSON[workload.Config](opts.loadFile); err != nil {
			return cfg, err
		}
	}
	if opts.duration != 0 {
		cfg.Load.DurationMillis = int(opts.duration.Milliseconds())
	}
	if opts.seed != 0 {
		cfg.Load.Seed = opts.seed
	}
	if opts.script != "" {
		cfg.Script, err = readJSON[inject.Script](opts.script)
	}
	return cfg, err
}

// readJSON decodes a JSON file into a value. Unknown fields are errors.
func readJSON[T any](name string) (T, error) {
	var value T
	file, err := os.Open(name)
	if err != nil {
		return value, eris.Wrap(err, "open input file")
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return value, eris.Wrapf(decoder.Decode(&value), "decode %s", name)
}

// setInjectors sets the injectors of both phases, and counts the store's calls if its
// address is known.
func (d *Deployment) setInjectors() {
	proxied := inject.Remote{Operator: inject.NoOperator{}, Groups: groupClients(d.GroupAdmins)}
	baseline := inject.Remote{Operator: inject.NoOperator{}, Groups: groupClients(d.BaselineAdmins)}
	if d.StoreAdmin != "" {
		proxied.Store = admin.NewStoreClient(d.StoreAdmin)
		d.StoreCounts = proxied.Store.Counts
	}
	d.Injector = proxied
	d.BaselineInjector = baseline
}

func groupClients(addresses []string) []*admin.GroupClient {
	var clients []*admin.GroupClient
	for _, address := range addresses {
		clients = append(clients, admin.NewGroupClient(address))
	}
	return clients
}

// writeReports writes the text to out and, if there is a directory, all files into it.
func writeReports(directory string, out io.Writer, result *load.Report) error {
	if err := report.WriteText(out, result); err != nil {
		return err
	}
	if directory == "" {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return eris.Wrap(err, "create the report directory")
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
		return eris.Wrap(err, "create the report file")
	}
	if err := writeTo(file, result); err != nil {
		file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "close the report file")
}
