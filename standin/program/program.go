// Package program implements the command line of samphirehitch-standin. It serves the
// stand-in store or members of an emulated database group, so that the proxy can be run
// without the platform.
package program

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/standin/admin"
	"samphirehitch.example/samphirehitch/standin/group"
	"samphirehitch.example/samphirehitch/standin/kv"
)

type storeFlags struct {
	address     string
	watchWait   time.Duration
	instanceLag time.Duration
}

type groupFlags struct {
	adminAddress        string
	members             targetList
	remote              targetList
	firstPrimary        string
	slots               int
	maxConnections      int
	connectCost         time.Duration
	serviceTime         time.Duration
	user                string
	password            string
	scram               bool
	certificateFile     string
	keyFile             string
	reuseTransactionIDs bool
}

// targetList is a repeatable flag. Each value is a target as a JSON object.
type targetList []platform.Target

// Set implements kingpin.Value.
func (l *targetList) Set(value string) error {
	var target platform.Target
	if err := json.Unmarshal([]byte(value), &target); err != nil {
		return eris.Wrap(err, "parse the member's JSON object")
	}
	*l = append(*l, target)
	return nil
}

// String implements kingpin.Value.
func (l *targetList) String() string { return "" }

// IsCumulative reports to kingpin that the flag is repeatable.
func (l *targetList) IsCumulative() bool { return true }

// Run parses the arguments and serves until ctx is done or SIGINT or SIGTERM
// arrives. Once it serves, it prints its addresses to out as one line of JSON.
func Run(ctx context.Context, arguments []string, out io.Writer) error {
	app := kingpin.New("samphirehitch-standin", "Emulates the platform's services: the key-value store and database groups.")
	storeCommand := app.Command("store", "Serve the key-value store and the list of instances.")
	storeOptions := addStoreFlags(storeCommand)
	groupCommand := app.Command("group", "Serve members of one emulated database group.")
	groupOptions := addGroupFlags(groupCommand)
	command, err := app.Parse(arguments)
	if err != nil {
		return eris.Wrap(err, "parse the command line")
	}
	zapLogger, err := zap.NewProduction()
	if err != nil {
		return eris.Wrap(err, "create the logger")
	}
	log := zapr.NewLogger(zapLogger)
	if command == storeCommand.FullCommand() {
		return serveStore(ctx, storeOptions, log, out)
	}
	return serveGroup(ctx, groupOptions, log, out)
}

func addStoreFlags(command *kingpin.CmdClause) *storeFlags {
	flags := &storeFlags{}
	command.Flag("address", "Address to listen on, host:port.").Default("127.0.0.1:0").StringVar(&flags.address)
	command.Flag("watch-wait", "Time that a watch waits for a change before it responds without one.").Default("10s").DurationVar(&flags.watchWait)
	command.Flag("instance-lag", "Time after which readers of the list of instances see a change.").Default("0s").DurationVar(&flags.instanceLag)
	return flags
}

func addGroupFlags(command *kingpin.CmdClause) *groupFlags {
	flags := &groupFlags{}
	command.Flag("admin", "Address of the admin interface, host:port.").Default("127.0.0.1:0").StringVar(&flags.adminAddress)
	command.Flag("member", `A member to run, as {"id":"","address":"","control":"","failure_domain":""}; an empty address means a free port. Repeatable.`).Required().SetValue(&flags.members)
	command.Flag("remote", "A member that another process runs, in the same form. Repeatable.").SetValue(&flags.remote)
	command.Flag("first-primary", "ID of the member to promote at term 1.").StringVar(&flags.firstPrimary)
	command.Flag("slots", "Maximum number of statements that a member runs concurrently; 0 means no bound.").Default("0").IntVar(&flags.slots)
	command.Flag("connections", "Maximum number of sessions of a member; 0 means no bound.").Default("0").IntVar(&flags.maxConnections)
	command.Flag("connect-cost", "Time added to the login of a session.").Default("10ms").DurationVar(&flags.connectCost)
	command.Flag("service-time", "Time added to each statement, in which it holds its slot.").Default("0s").DurationVar(&flags.serviceTime)
	command.Flag("user", "User name that sessions must give when there is a password.").StringVar(&flags.user)
	command.Flag("password", "Password that sessions must give; empty disables authentication.").Envar("SAMPHIREHITCH_STANDIN_PASSWORD").StringVar(&flags.password)
	command.Flag("scram", "Authenticate by SCRAM-SHA-256 instead of a password in clear text.").BoolVar(&flags.scram)
	command.Flag("tls-certificate", "PEM file with the certificate for TLS; without it, encryption is refused.").StringVar(&flags.certificateFile)
	command.Flag("tls-key", "PEM file with the certificate's private key.").StringVar(&flags.keyFile)
	command.Flag("reuse-transaction-ids", "Continue transaction IDs after a promotion as PostgreSQL does, which may assign an ID again.").BoolVar(&flags.reuseTransactionIDs)
	return flags
}

func serveStore(ctx context.Context, flags *storeFlags, log logr.Logger, out io.Writer) error {
	server, err := kv.Start(kv.Config{
		Address:     flags.address,
		Store:       memstore.Config{WatchWait: flags.watchWait},
		InstanceLag: flags.instanceLag,
		Log:         log,
	})
	if err != nil {
		return err
	}
	defer server.Close()
	if err := printAddresses(out, listenAddresses{Store: server.Address()}); err != nil {
		return err
	}
	return waitForSignal(ctx)
}

func serveGroup(ctx context.Context, flags *groupFlags, log logr.Logger, out io.Writer) error {
	cfg := group.Config{
		Members:             flags.members,
		Remote:              flags.remote,
		FirstPrimary:        topology.TargetID(flags.firstPrimary),
		Slots:               flags.slots,
		MaxConnections:      flags.maxConnections,
		ConnectCost:         flags.connectCost,
		ServiceTime:         flags.serviceTime,
		User:                flags.user,
		Password:            flags.password,
		SCRAM:               flags.scram,
		ReuseTransactionIDs: flags.reuseTransactionIDs,
		Log:                 log,
	}
	if flags.certificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(flags.certificateFile, flags.keyFile)
		if err != nil {
			return eris.Wrap(err, "load the TLS certificate")
		}
		cfg.TLS = &tls.Config{Certificates: []tls.Certificate{certificate}}
	}
	g, err := group.Start(cfg)
	if err != nil {
		return err
	}
	defer g.Close()
	listener, err := net.Listen("tcp", flags.adminAddress)
	if err != nil {
		return eris.Wrapf(err, "listen for admin requests at %s", flags.adminAddress)
	}
	server := &http.Server{Handler: admin.GroupHandler(g)}
	defer server.Close()
	if err := printAddresses(out, listenAddresses{Admin: listener.Addr().String(), Members: g.Targets()}); err != nil {
		return err
	}
	var actors run.Group
	actors.Add(func() error { return server.Serve(listener) }, func(error) { server.Close() })
	addSignalHandler(ctx, &actors)
	return ignoreShutdown(actors.Run())
}

// listenAddresses is the line that the program prints when it serves. Programs that
// start it parse the line.
type listenAddresses struct {
	Store   string            `json:"store,omitempty"`
	Admin   string            `json:"admin,omitempty"`
	Members []platform.Target `json:"members,omitempty"`
}

func printAddresses(out io.Writer, listening listenAddresses) error {
	line, err := json.Marshal(listening)
	if err != nil {
		return eris.Wrap(err, "print the addresses")
	}
	_, err = fmt.Fprintln(out, string(line))
	return eris.Wrap(err, "print the addresses")
}

// waitForSignal returns when ctx is done or a signal to stop arrives.
func waitForSignal(ctx context.Context) error {
	var actors run.Group
	addSignalHandler(ctx, &actors)
	return ignoreShutdown(actors.Run())
}

func addSignalHandler(ctx context.Context, actors *run.Group) {
	actors.Add(run.SignalHandler(ctx, syscall.SIGINT, syscall.SIGTERM))
}

// ignoreShutdown returns nil for the errors with which actors stop after a signal or when
// ctx is done.
func ignoreShutdown(err error) error {
	if eris.Is(err, run.ErrSignal) || eris.Is(err, context.Canceled) || eris.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}
