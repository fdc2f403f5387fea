// Command samphirehitch-edge is the entry daemon of the users' platform: it
// serves callers over the platform's line protocol.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"samphirehitch.example/samphirehitch/edge"
	"samphirehitch.example/samphirehitch/platform"
	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/logging"
)

// Exit codes, documented in docs/OPERATIONS.md.
const (
	exitSettings = 1
	exitRun      = 2
)

func main() {
	app := kingpin.New("samphirehitch-edge", "Database proxy with session consistency, for the users' platform.")
	app.HelpFlag.Short('h')
	file := app.Flag("settings", "Settings file.").Envar(platform.SettingsVariable).Required().String()
	check := app.Command("check", "Check the settings file and exit.")
	app.Command("serve", "Serve callers until SIGTERM, then leave.").Default()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	settings, err := platform.LoadSettings(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if command == check.FullCommand() {
		fmt.Println("settings are valid")
		return
	}
	os.Exit(serve(settings, *file))
}

func serve(settings entrysettings.Settings, file string) int {
	output := logging.NewAsyncWriter(os.Stdout)
	defer output.Close()
	logger, flush := logging.New(output, logging.Options{Decisions: true})
	defer flush()
	client := platform.NewStore(settings.StoreAddress)
	daemon := edge.New(edge.Options{
		Settings: settings,
		Store:    client,
		Promoter: platform.NewPromotionClient(settings.PromotionAddress, settings.Instance),
		Dialer:   platform.TargetDialer{},
		Adapter: edge.Adapter{
			ConfigurationKey: platform.ConfigurationKey,
			TargetPrefix:     platform.TargetPrefix,
			DecodeCatalog:    platform.DecodeCatalog,
			DecodeTarget:     platform.DecodeTarget,
			DecodeStatus:     platform.DecodeStatus,
			Accept:           func(conn net.Conn) edge.CallerCodec { return platform.NewCallerConn(conn) },
			DialPeer:         platform.DialPeer,
			Readiness:        platform.ReadinessHandler,
		},
		Log:        logger,
		Dropped:    output.Dropped,
		CountCalls: client.CountCalls,
	})
	go reloadOnHangup(daemon, file)
	if err := daemon.Run(); err != nil {
		logger.Error(err, "entry daemon failed")
		return exitRun
	}
	return 0
}

// reloadOnHangup reads the settings file again on SIGHUP.
func reloadOnHangup(daemon *edge.Daemon, file string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		settings, err := platform.LoadSettings(file)
		if err != nil {
			daemon.ReloadFailed(err)
			continue
		}
		daemon.Reloaded(settings)
	}
}
