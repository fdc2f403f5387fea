// Command samphirehitch-edge is the entry daemon for platforms whose callers use the
// line protocol of package platform. It assembles the edge daemon with the platform's
// store, promotion service and codecs.
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
	app := kingpin.New("samphirehitch-edge", "Database proxy with session consistency for callers of the platform's line protocol.")
	app.HelpFlag.Short('h')
	file := app.Flag("settings", "Settings file.").Envar(platform.SettingsVariable).Required().String()
	check := app.Command("check", "Check the settings file and exit.")
	app.Command("serve", "Serve callers until SIGTERM, then drain and exit.").Default()
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

// serve runs the entry daemon and returns the exit code of the program. The log goes to
// standard output through a bounded buffer, which drops lines when the reader stalls.
func serve(settings entrysettings.Settings, settingsPath string) int {
	output := logging.NewAsyncWriter(os.Stdout)
	defer output.Close()
	logger, flush := logging.New(output, logging.Options{Decisions: true})
	defer flush()
	storeClient := platform.NewStore(settings.StoreAddress)
	dialer := &platform.TargetDialer{}
	daemon := edge.New(edge.Options{
		Settings: settings,
		Store:    storeClient,
		Promoter: platform.NewPromotionClient(settings.PromotionAddress, settings.Instance),
		Dialer:   dialer,
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
		CountCalls: storeClient.CountCalls,
		ObserveEra: storeClient.ObserveEra,

		ObserveDepartures: dialer.ObserveDepartures,
	})
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before serving, or SIGHUP would end the process
	go reloadOnHangup(daemon, settingsPath, hangups)
	if err := daemon.Run(); err != nil {
		logger.Error(err, "entry daemon failed")
		return exitRun
	}
	return 0
}

// reloadOnHangup reloads the settings file on each SIGHUP.
func reloadOnHangup(daemon *edge.Daemon, settingsPath string, hangups <-chan os.Signal) {
	for range hangups {
		settings, err := platform.LoadSettings(settingsPath)
		if err != nil {
			daemon.ReloadFailed(err)
			continue
		}
		daemon.Reloaded(settings)
	}
}
