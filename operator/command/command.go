// Package command implements samphirehitchctl, the command line for operators: parsing
// of arguments, output as text or JSON, and exit codes. The commands themselves use the
// packages change, history, fleet and explain.
//
// Results go to standard output. Errors, warnings and progress go to standard error, so
// that scripts can parse the output.
package command

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"samphirehitch.example/samphirehitch/operator/change"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/platform/httpinstances"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/httpstore"
	"samphirehitch.example/samphirehitch/version/record"
)

// Exit codes. "Nothing was written" is about the record that failed: apply prints the
// records that it wrote before a failure.
const (
	ExitOK = 0
	// ExitInvalid is for wrong usage or an invalid record. Nothing was written.
	ExitInvalid = 1
	// ExitConflict is for a record that another change has replaced in the meantime.
	// Nothing was written.
	ExitConflict = 2
	// ExitUnavailable is for a store that did not respond in time. Nothing was written.
	ExitUnavailable = 3
	// ExitNotFound is for a record that does not exist.
	ExitNotFound = 4
	// ExitOutcomeUnknown is for a write that may or may not have taken effect.
	ExitOutcomeUnknown = 5
	// ExitCheckFailed is for a command that worked and found differences (diff), an
	// unhealthy fleet (status) or a statement that would be refused (explain), or whose
	// change was written and did not come into force in time.
	ExitCheckFailed = 6
)

// unknownAuthor is the author of changes when neither --author nor USER is set.
const unknownAuthor = "unknown"

const defaultTimeout = 30 * time.Second

// Environment holds what a command uses of its process and of other systems. Tests
// replace it.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Dial returns clients of the store and of the platform's list of instances, which
	// are served at the same address.
	Dial func(address string) (store.Store, platform.Instances)
	// NewChangeID returns a unique change ID.
	NewChangeID func() record.ChangeID
	// NewSecret returns a random secret for a key.
	NewSecret func() string
}

// System returns the environment of the process: its standard streams, clients over
// HTTP, and random IDs and secrets.
func System() *Environment {
	return &Environment{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
		Dial: func(address string) (store.Store, platform.Instances) {
			return httpstore.New(address), httpinstances.New(address)
		},
		NewChangeID: change.NewChangeID,
		NewSecret:   record.NewSecret,
	}
}

// invocation is the state of one run of the command line.
type invocation struct {
	*Environment

	// Global flags, set by the parser.
	address string
	author  string
	output  string
	timeout time.Duration

	// Clients, set by storeAction.
	store     store.Store
	instances platform.Instances
}

// errCheckFailed makes the exit code ExitCheckFailed without an error message: the
// command has printed what it found.
var errCheckFailed = errors.New("differs")

// parserTermination is the panic by which the parser terminates, after --help for
// example. Run recovers it.
type parserTermination struct{ code int }

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, env *Environment, args []string) (code int) {
	inv := &invocation{Environment: env}
	app := inv.application(ctx)
	defer func() {
		switch p := recover().(type) {
		case nil:
		case parserTermination:
			code = p.code
		default:
			panic(p)
		}
	}()
	if _, err := app.Parse(args); err != nil {
		return inv.handleError(err)
	}
	return ExitOK
}

// application returns the parser with all commands. Parsing runs the chosen command.
func (inv *invocation) application(ctx context.Context) *kingpin.Application {
	app := kingpin.New("samphirehitchctl", "Change and inspect the configuration of samphirehitch.")
	app.HelpFlag.Short('h')
	app.UsageWriter(inv.Stdout)
	app.ErrorWriter(inv.Stderr)
	app.Terminate(func(code int) { panic(parserTermination{code: code}) })
	app.Flag("store", "Address of the platform's key-value service, host:port.").Envar("SAMPHIREHITCH_STORE").StringVar(&inv.address)
	app.Flag("author", "Author of the changes.").Envar("USER").StringVar(&inv.author)
	app.Flag("output", "Output format.").Default("text").EnumVar(&inv.output, "text", "json")
	app.Flag("timeout", "Timeout of the whole command.").Default(defaultTimeout.String()).DurationVar(&inv.timeout)
	inv.addRecordCommands(ctx, app)
	inv.addKeyCommands(ctx, app)
	inv.addInspectionCommands(ctx, app)
	return app
}

// storeAction returns the action of a command that uses the store: it connects the
// clients and applies the timeout.
func (inv *invocation) storeAction(ctx context.Context, run func(ctx context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if inv.address == "" {
			return errors.New("the store's address is missing: give --store or SAMPHIREHITCH_STORE")
		}
		if inv.author == "" {
			inv.author = unknownAuthor
		}
		inv.store, inv.instances = inv.Dial(inv.address)
		ctx, cancel := context.WithTimeout(ctx, inv.timeout)
		defer cancel()
		return run(ctx)
	}
}

// handleError prints an error and returns its exit code.
func (inv *invocation) handleError(err error) int {
	code := exitCode(err)
	if !errors.Is(err, errCheckFailed) {
		inv.printError(err, code)
	}
	return code
}

func exitCode(err error) int {
	var outcomeUnknown *change.OutcomeUnknownError
	var conflict *change.ConflictError
	var notFound *change.NotFoundError
	var notInForce *notInForceError
	switch {
	case errors.Is(err, errCheckFailed), errors.As(err, &notInForce):
		return ExitCheckFailed
	case errors.As(err, &outcomeUnknown):
		return ExitOutcomeUnknown
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &notFound):
		return ExitNotFound
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return ExitUnavailable
	default:
		return ExitInvalid
	}
}
