// Command samphirehitch-demo runs a whole deployment in one process on embedded
// stand-ins, kills a primary during a load test and prints the measurements next to
// those of a baseline that runs the same load without the proxy.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/demo"
	"samphirehitch.example/samphirehitch/load"
	"samphirehitch.example/samphirehitch/load/report"
	"samphirehitch.example/samphirehitch/process/logging"
)

// Exit codes.
const (
	exitFailed     = 1
	exitViolations = 2
)

func main() {
	app := kingpin.New("samphirehitch-demo", "Runs a load test with a failover against a deployment on embedded stand-ins.")
	shape := app.Flag("shape", "Deployment to run.").Default("kuttanad").Enum("kuttanad", "lampa")
	duration := app.Flag("duration", "Duration of the load.").Default("15s").Duration()
	rate := app.Flag("rate", "Requests per second of each customer; the last customer sends several times its limit.").Default("15").Float64()
	seed := app.Flag("seed", "Seed of the request arrivals.").Default("1").Uint64()
	out := app.Flag("out", "Directory for the report and its plots.").String()
	log := app.Flag("log", "File for the log of the daemons.").String()
	baseline := app.Flag("baseline", "Also run the same load without the proxy.").Default("true").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	o := demo.Options{Shape: demo.Kuttanad(), Duration: *duration, Rate: *rate, Seed: *seed, Baseline: *baseline, Logger: logr.Discard()}
	if *shape == "lampa" {
		o.Shape = demo.Lampa()
	}
	o.Script = demo.FailoverScript(*duration)
	os.Exit(run(ctx, o, *out, *log))
}

// run runs the demonstration and writes the report to standard output and, if outDir is
// not empty, to files. It returns the exit code of the program.
func run(ctx context.Context, o demo.Options, outDir, logPath string) int {
	if logPath != "" {
		file, err := os.Create(logPath)
		if err != nil {
			return fail(err)
		}
		defer file.Close()
		logger, flush := logging.New(file, logging.Options{Decisions: true})
		defer flush()
		o.Logger = logger
	}
	result, err := demo.Run(ctx, o)
	if err != nil {
		return fail(err)
	}
	if err := report.WriteText(os.Stdout, result); err != nil {
		return fail(err)
	}
	if outDir != "" {
		if err := writeReport(outDir, result); err != nil {
			return fail(err)
		}
	}
	if len(result.Proxied.Violations) > 0 {
		return exitViolations
	}
	return 0
}

// writeReport writes report.json and the plots into a directory.
func writeReport(directory string, result *load.Report) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(directory, "report.json"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := report.WriteJSON(file, result); err != nil {
		return err
	}
	_, err = report.WritePlots(directory, result)
	return err
}

// fail prints an error and returns the exit code for it.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, "samphirehitch-demo:", err)
	return exitFailed
}
