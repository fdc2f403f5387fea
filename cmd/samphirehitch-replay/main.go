// Command samphirehitch-replay simulates arrival patterns under the proxy's queueing,
// load shedding and placement policy and under baseline policies, and prints a table
// of the results.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"samphirehitch.example/samphirehitch/replay"
)

func main() {
	app := kingpin.New("samphirehitch-replay", "Simulates arrival patterns under several scheduling policies and prints the results.")
	name := app.Flag("pattern", "Name of the pattern to replay; all patterns by default.").String()
	plots := app.Flag("plots", "Directory for a plot of each pattern.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*name, *plots); err != nil {
		fmt.Fprintln(os.Stderr, "samphirehitch-replay:", err)
		os.Exit(1)
	}
}

// run replays the named pattern, or all patterns if the name is empty, and writes plots
// if plotsDir is not empty.
func run(name, plotsDir string) error {
	patterns, err := replay.Patterns()
	if err != nil {
		return err
	}
	var results []*replay.Result
	for _, pattern := range patterns {
		if name != "" && pattern.Name != name {
			continue
		}
		var patternResults []*replay.Result
		for _, policy := range replay.Policies() {
			patternResults = append(patternResults, replay.Run(pattern, policy))
		}
		results = append(results, patternResults...)
		if plotsDir != "" {
			if err := replay.WritePlot(plotsDir, pattern, patternResults); err != nil {
				return err
			}
		}
	}
	if len(results) == 0 {
		return fmt.Errorf("pattern %q does not exist", name)
	}
	return replay.WriteTable(os.Stdout, results)
}
