// Command samphirehitch-demo runs a whole deployment in one process on embedded
// stand-ins, kills a primary in the middle of a load and prints the four
// measures beside those of a baseline without the proxy.
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
	app := kingpin.New("samphirehitch-demo", "Serves a deployment on embedded stand-ins through a failover.")
	shape := app.Flag("shape", "Deployment to serve.").Default("kuttanad").Enum("kuttanad", "lampa")
	duration := app.Flag("duration", "How long requests arrive.").Default("15s").Duration()
	rate := app.Flag("rate", "Requests per second of each customer; the last one sends several times its limit.").Default("15").Float64()
	seed := app.Flag("seed", "Seed of the arrivals.").Default("1").Uint64()
	out := app.Flag("out", "Directory for the report and its plots.").String()
	log := app.Flag("log", "File for the daemons' log.").String()
	baseline := app.Flag("baseline", "Run the same load without the proxy as well.").Default("true").Bool()
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

func run(ctx context.Context, o demo.Options, out, log string) int {
	if log != "" {
		file, err := os.Create(log)
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
	if out != "" {
		if err := writeFiles(out, result); err != nil {
			return fail(err)
		}
	}
	if len(result.Proxied.Violations) > 0 {
		return exitViolations
	}
	return 0
}

// writeFiles writes report.json and the plots into a directory.
func writeFiles(directory string, result *load.Report) error {
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

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "samphirehitch-demo:", err)
	return exitFailed
}
