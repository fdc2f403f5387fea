// Command samphirehitchd is the entry daemon: it serves callers over the
// PostgreSQL protocol and reads its configuration from records in the platform's store.
package main

import (
	"fmt"
	"os"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/run"

	"samphirehitch.example/samphirehitch/daemon"
	"samphirehitch.example/samphirehitch/process/logging"
	"samphirehitch.example/samphirehitch/process/settings"
)

// Exit codes, documented in docs/CONFIGURATION.md.
const (
	exitSettings = 1
	exitRun      = 2
)

func main() {
	app := kingpin.New("samphirehitchd", "PostgreSQL proxy with session consistency.")
	app.HelpFlag.Short('h')
	check := app.Command("check", "Check a settings file and exit.")
	checkFile := check.Arg("file", "Settings file.").Required().String()
	serve := app.Command("serve", "Serve callers until SIGTERM, then drain and exit.")
	serveFile := serve.Arg("file", "Settings file.").Required().String()

	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case check.FullCommand():
		os.Exit(runCheck(*checkFile))
	case serve.FullCommand():
		os.Exit(runServe(*serveFile))
	}
}

// runCheck validates a settings file and returns the exit code of the program.
func runCheck(path string) int {
	if _, err := settings.Load(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	fmt.Println("settings are valid")
	return 0
}

// runServe runs the daemon until a signal arrives or a component fails, and returns the
// exit code of the program.
func runServe(path string) int {
	s, err := settings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	logger, flush := logging.New(os.Stderr, logging.Options{
		Decisions: s.Log.Decisions,
		Console:   s.Log.Format == "console",
	})
	defer flush()
	d, err := daemon.New(daemon.Options{Settings: s, Platform: daemon.Dial(s), Logger: logger})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitRun
	}
	var group run.Group
	group.Add(run.SignalHandler(d.Context(), syscall.SIGINT, syscall.SIGTERM))
	group.Add(d.Run, d.Stop)
	if err := group.Run(); err != nil && !daemon.IsStop(err) {
		fmt.Fprintln(os.Stderr, err)
		return exitRun
	}
	return 0
}
