// Command samphirehitch-capacity works out what the system costs at the size that
// is expected in two years, from benchmark output, and writes the tables and plots
// of docs/CAPACITY.md. capacity.sh runs the benchmarks and this program.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"samphirehitch.example/samphirehitch/capacity"
)

func main() {
	app := kingpin.New("samphirehitch-capacity", "Writes the tables and plots of the capacity page from benchmark output.")
	page := app.Flag("page", "Page whose tables are replaced.").Default("docs/CAPACITY.md").String()
	plots := app.Flag("plots", "Directory for the plots.").Default("docs/plots").String()
	results := app.Arg("results", "File with the output of the benchmarks.").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*results, *page, *plots); err != nil {
		fmt.Fprintln(os.Stderr, "samphirehitch-capacity:", err)
		os.Exit(1)
	}
}

func run(results, page, plots string) error {
	file, err := os.Open(results)
	if err != nil {
		return err
	}
	defer file.Close()
	measured, err := capacity.ReadResults(file)
	if err != nil {
		return err
	}
	model, err := capacity.NewModel(measured)
	if err != nil {
		return err
	}
	if err := model.WritePage(page, capacity.InTwoYears()); err != nil {
		return err
	}
	return model.WritePlots(plots)
}
