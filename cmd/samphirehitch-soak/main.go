// Command samphirehitch-soak runs the fault soak with one seed after the other.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"samphirehitch.example/samphirehitch/soak"
)

func main() {
	app := kingpin.New("samphirehitch-soak", "Runs entry daemons against stand-ins with faults from outside and checks the promises.")
	program := app.Flag("program", "Executable of the entry daemon.").Required().ExistingFile()
	directory := app.Flag("directory", "Directory for settings and logs.").Required().ExistingDir()
	seed := app.Flag("seed", "First seed.").Default("1").Uint64()
	runs := app.Flag("runs", "Number of seeds.").Default("1").Uint64()
	length := app.Flag("length", "How long things go wrong in a run.").Default("15s").Duration()
	daemons := app.Flag("daemons", "Entry daemons.").Default("5").Int()
	callers := app.Flag("callers", "Callers.").Default("24").Int()
	lanes := app.Flag("lanes", "Faults that overlap.").Default("3").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	failed := 0
	for number := *seed; number < *seed+*runs; number++ {
		broken, err := run(*program, *directory, number, *length, *daemons, *callers, *lanes)
		if err != nil {
			fmt.Fprintln(os.Stderr, "samphirehitch-soak:", err)
			os.Exit(2)
		}
		if len(broken) > 0 {
			failed++
		}
		fmt.Printf("seed %d: %d promises broken\n", number, len(broken))
		for _, b := range broken {
			fmt.Println("  " + b)
		}
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// run makes one run, whose settings and logs go to a directory of its own.
func run(program, directory string, seed uint64, length time.Duration, daemons, callers, lanes int) ([]string, error) {
	own := filepath.Join(directory, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(own, 0o700); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(own, "faults.log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	return soak.Run(soak.Options{Program: program, Directory: own, Seed: seed, Length: length,
		Daemons: daemons, Callers: callers, Lanes: lanes, Out: out})
}
