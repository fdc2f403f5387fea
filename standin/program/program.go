// Package program is the command line of the stand-ins: a key-value service and
// database groups, for trials of the proxy on one machine.
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
	admin        string
	members      targetList
	remote       targetList
	firstPrimary string
	slots        int
	connections  int
	connectCost  time.Duration
	serviceTime  time.Duration
	user         string
	password     string
	scram        bool
	certificate  string
	key          string
	reuseIDs     bool
}

// targetList is a repeatable flag whose values are JSON objects.
type targetList []platform.Target

// Set implements kingpin.Value.
func (l *targetList) Set(value string) error {
	var target platform.Target
	if err := json.Unmarshal([]byte(value), &target); err != nil {
		return eris.Wrap(err, "read member")
	}
	*l = append(*l, target)
	return nil
}

// String implements kingpin.Value.
func (l *targetList) String() string { return "" }

// IsCumulative tells kingpin that the flag may be repeated.
func (l *targetList) IsCumulative() bool { return true }

// Run parses the arguments and serves until ctx ends or a signal asks to stop.
// Addresses go to out, one line each, as JSON.
func Run(ctx context.Context, arguments []string, out io.Writer) error {
	app := kingpin.New("samphirehitch-standin", "Stand-ins for the platform: a key-value service and database groups.")
	storeCommand := app.Command("store", "Serve a key-value service and the list of instances.")
	storeSettings := addStoreFlags(storeCommand)
	groupCommand := app.Command("group", "Serve members of one database group.")
	groupSettings := addGroupFlags(groupCommand)
	command, err := app.Parse(arguments)
	if err != nil {
		return eris.Wrap(err, "parse the command line")
	}
	zapLogger, err := zap.NewProduction()
	if err != nil {
		return eris.Wrap(err, "set up the log")
	}
	log := zapr.NewLogger(zapLogger)
	if command == storeCommand.FullCommand() {
		return serveStore(ctx, storeSettings, log, out)
	}
	return serveGroup(ctx, groupSettings, log, out)
}

func addStoreFlags(command *kingpin.CmdClause) *storeFlags {
	flags := &storeFlags{}
	command.Flag("address", "Where to listen, host:port.").Default("127.0.0.1:0").StringVar(&flags.address)
	command.Flag("watch-wait", "How long a watch waits for a change.").Default("10s").DurationVar(&flags.watchWait)
	command.Flag("instance-lag", "How long a change of the list of instances stays invisible.").Default("0s").DurationVar(&flags.instanceLag)
	return flags
}

func addGroupFlags(command *kingpin.CmdClause) *groupFlags {
	flags := &groupFlags{}
	command.Flag("admin", "Where the admin calls are served, host:port.").Default("127.0.0.1:0").StringVar(&flags.admin)
	command.Flag("member", `A member to run, as {"id":"","address":"","control":"","failure_domain":""}; an empty address means a free port. Repeatable.`).Required().SetValue(&flags.members)
	command.Flag("remote", "A member that another process runs, in the same form. Repeatable.").SetValue(&flags.remote)
	command.Flag("first-primary", "The member to promote at term 1.").StringVar(&flags.firstPrimary)
	command.Flag("slots", "How many statements a member runs at once; 0 means no bound.").Default("0").IntVar(&flags.slots)
	command.Flag("connections", "How many sessions a member takes; 0 means no bound.").Default("0").IntVar(&flags.connections)
	command.Flag("connect-cost", "How long a new session takes.").Default("10ms").DurationVar(&flags.connectCost)
	command.Flag("service-time", "How long a statement keeps its slot.").Default("0s").DurationVar(&flags.serviceTime)
	command.Flag("user", "The user that sessions log in as.").StringVar(&flags.user)
	command.Flag("password", "The password of the user; none is asked for when it is empty.").Envar("SAMPHIREHITCH_STANDIN_PASSWORD").StringVar(&flags.password)
	command.Flag("scram", "Ask for a proof of the password by SCRAM-SHA-256.").BoolVar(&flags.scram)
	command.Flag("tls-certificate", "File with the certificate for encrypted sessions, PEM.").StringVar(&flags.certificate)
	command.Flag("tls-key", "File with the certificate's private key, PEM.").StringVar(&flags.key)
	command.Flag("reuse-transaction-ids", "Number transactions after a promotion as PostgreSQL does.").BoolVar(&flags.reuseIDs)
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
	if err := printAddresses(out, addresses{Store: server.Address()}); err != nil {
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
		Connections:         flags.connections,
		ConnectCost:         flags.connectCost,
		ServiceTime:         flags.serviceTime,
		User:                flags.user,
		Password:            flags.password,
		SCRAM:               flags.scram,
		ReuseTransactionIDs: flags.reuseIDs,
		Log:                 log,
	}
	if flags.certificate != "" {
		pair, err := tls.LoadX509KeyPair(flags.certificate, flags.key)
		if err != nil {
			return eris.Wrap(err, "load the certificate")
		}
		cfg.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	}
	g, err := group.Start(cfg)
	if err != nil {
		return err
	}
	defer g.Close()
	listener, err := net.Listen("tcp", flags.admin)
	if err != nil {
		return eris.Wrapf(err, "serve the admin calls at %s", flags.admin)
	}
	server := &http.Server{Handler: admin.GroupHandler(g)}
	defer server.Close()
	if err := printAddresses(out, addresses{Admin: listener.Addr().String(), Members: g.Targets()}); err != nil {
		return err
	}
	var actors run.Group
	actors.Add(func() error { return server.Serve(listener) }, func(error) { server.Close() })
	addSignalHandler(ctx, &actors)
	return ignoreShutdown(actors.Run())
}

// addresses is where a stand-in listens.
type addresses struct {
	Store   string            `json:"store,omitempty"`
	Admin   string            `json:"admin,omitempty"`
	Members []platform.Target `json:"members,omitempty"`
}

func printAddresses(out io.Writer, listening addresses) error {
	line, err := json.Marshal(listening)
	if err != nil {
		return eris.Wrap(err, "report the addresses")
	}
	_, err = fmt.Fprintln(out, string(line))
	return eris.Wrap(err, "report the addresses")
}

func waitForSignal(ctx context.Context) error {
	var actors run.Group
	addSignalHandler(ctx, &actors)
	return ignoreShutdown(actors.Run())
}

func addSignalHandler(ctx context.Context, actors *run.Group) {
	actors.Add(run.SignalHandler(ctx, syscall.SIGINT, syscall.SIGTERM))
}

// ignoreShutdown drops the error that only says how the stand-in was asked to stop.
func ignoreShutdown(err error) error {
	if eris.Is(err, run.ErrSignal) || eris.Is(err, context.Canceled) || eris.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}
