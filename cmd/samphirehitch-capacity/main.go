// Command samphirehitch-capacity extrapolates benchmark results to the deployment size
// that is expected in two years and writes the tables and plots of docs/CAPACITY.md.
// The script capacity.sh runs the benchmarks and then this program.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"samphirehitch.example/samphirehitch/capacity"
)

func main() {
	app := kingpin.New("samphirehitch-capacity", "Extrapolates benchmark results and writes the tables and plots of the capacity page.")
	page := app.Flag("page", "Markdown file whose tables are replaced.").Default("docs/CAPACITY.md").String()
	plots := app.Flag("plots", "Directory for the plots.").Default("docs/plots").String()
	results := app.Arg("results", "File with the output of the benchmarks.").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*results, *page, *plots); err != nil {
		fmt.Fprintln(os.Stderr, "samphirehitch-capacity:", err)
		os.Exit(1)
	}
}

// run reads the benchmark output at resultsPath, replaces the tables of the page and
// writes the plots.
func run(resultsPath, pagePath, plotsDir string) error {
	file, err := os.Open(resultsPath)
	if err != nil {
		return err
	}
	defer file.Close()
	results, err := capacity.ReadResults(file)
	if err != nil {
		return err
	}
	model, err := capacity.NewModel(results)
	if err != nil {
		return err
	}
	if err := model.WritePage(pagePath, capacity.InTwoYears()); err != nil {
		return err
	}
	return model.WritePlots(plotsDir)
}
