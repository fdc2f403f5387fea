// Command samphirehitch-soak runs the soak test of package soak with consecutive seeds.
// It exits with 1 if a run found violations and with 2 if a run could not be made.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"samphirehitch.example/samphirehitch/soak"
)

func main() {
	app := kingpin.New("samphirehitch-soak", "Runs entry daemons against stand-ins under fault injection and checks the guarantees.")
	program := app.Flag("program", "Executable of the entry daemon.").Required().ExistingFile()
	otherProgram := app.Flag("other-program", "Executable of every other entry daemon, such as one of an earlier version.").ExistingFile()
	directory := app.Flag("directory", "Directory for the daemons' settings and the logs, with a subdirectory for each seed.").Required().ExistingDir()
	seed := app.Flag("seed", "First seed.").Default("1").Uint64()
	runs := app.Flag("runs", "Number of seeds.").Default("1").Uint64()
	length := app.Flag("length", "Duration of the fault injection in a run.").Default("15s").Duration()
	daemons := app.Flag("daemons", "Entry daemons.").Default("5").Int()
	callers := app.Flag("callers", "Callers.").Default("24").Int()
	faultInjectors := app.Flag("lanes", "Number of concurrent fault injectors.").Default("3").Int()
	restores := app.Flag("restores", "Restore the store from older copies, beside the other faults.").Bool()
	plannedStops := app.Flag("planned-stops", "Terminate and restart the daemons in series instead of injecting faults.").Bool()
	synchronousReplicas := app.Flag("synchronous-replicas", "Replicas that must have received a commit before it is acknowledged.").Int()
	logFaults := app.Flag("log-faults", "Add faults of replication to the others.").Bool()
	promotionFaults := app.Flag("promotion-faults", "Have promotions take effect late, and end the failover leaders that order them.").Bool()
	plainValues := app.Flag("plain-values", "Have callers send letters and digits only, for daemons that cannot carry all bytes.").Bool()
	stutter := app.Flag("stutter", "Have targets send some responses twice.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	failedRuns := 0
	for current := *seed; current < *seed+*runs; current++ {
		report, err := run(*program, *directory, current, soak.Options{OtherProgram: *otherProgram, FaultDuration: *length, Daemons: *daemons, Callers: *callers, FaultInjectors: *faultInjectors, Restores: *restores, PlannedStopsOnly: *plannedStops, SynchronousReplicas: *synchronousReplicas, LogFaults: *logFaults, PromotionFaults: *promotionFaults, PlainValues: *plainValues, Stutter: *stutter})
		if err != nil {
			fmt.Fprintln(os.Stderr, "samphirehitch-soak:", err)
			os.Exit(2)
		}
		if len(report.Violations) > 0 {
			failedRuns++
		}
		fmt.Printf("seed %d: %d promises broken\n", current, len(report.Violations))
		for _, violation := range report.Violations {
			fmt.Println("  " + violation)
		}
		fmt.Println("  " + report.Summary)
	}
	if failedRuns > 0 {
		os.Exit(1)
	}
}

// run runs the soak test with one seed and the given sizes, with settings and logs in a
// subdirectory, and returns its result.
func run(program, directory string, seed uint64, options soak.Options) (soak.Report, error) {
	runDirectory := filepath.Join(directory, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(runDirectory, 0o700); err != nil {
		return soak.Report{}, err
	}
	faultLog, err := os.Create(filepath.Join(runDirectory, "faults.log"))
	if err != nil {
		return soak.Report{}, err
	}
	defer faultLog.Close()
	options.Program, options.Directory, options.Seed, options.FaultLog = program, runDirectory, seed, faultLog
	return soak.Run(options)
}
