// Package command is the operators' command line: its commands, their output and
// their exit codes. The work is done by the packages beside it.
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

// Exit codes.
const (
	ExitOK = 0
	// ExitInvalid reports wrong usage or an invalid record. Nothing was written.
	ExitInvalid = 1
	// ExitConflict reports that a rival's version was found. Nothing was written.
	ExitConflict = 2
	// ExitUnavailable reports that the store did not answer. Nothing was written.
	ExitUnavailable = 3
	// ExitNotFound reports a record that does not exist.
	ExitNotFound = 4
	// ExitUnknown reports a write whose outcome is unknown.
	ExitUnknown = 5
	// ExitDiffers reports differences (diff), a fleet not in order (status), a
	// refusal (explain), or a change that is written and not yet in force.
	ExitDiffers = 6
)

// unknownAuthor signs changes of which neither --author nor USER tells the author.
const unknownAuthor = "unknown"

// defaultTimeout bounds a command.
const defaultTimeout = 30 * time.Second

// Environment is the world around a command.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Dial connects to the store and the list of instances at an address.
	Dial func(address string) (store.Store, platform.Instances)
	// NewID returns a fresh change id.
	NewID func() record.ChangeID
	// NewSecret returns a fresh secret for a key.
	NewSecret func() string
}

// System returns the environment of the process.
func System() *Environment {
	return &Environment{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
		Dial: func(address string) (store.Store, platform.Instances) {
			return httpstore.New(address), httpinstances.New(address)
		},
		NewID:     change.NewChangeID,
		NewSecret: record.NewSecret,
	}
}

// session is one run of the command line.
type session struct {
	*Environment
	address   string
	author    string
	output    string
	timeout   time.Duration
	store     store.Store
	instances platform.Instances
}

// errDiffers ends a command whose findings are on its output.
var errDiffers = errors.New("differs")

// parserExit carries the exit code out of the parser.
type parserExit struct{ code int }

// Run parses the arguments, runs a command and returns the exit code.
func Run(ctx context.Context, env *Environment, args []string) (code int) {
	s := &session{Environment: env}
	app := s.application(ctx)
	defer func() {
		if ended, ok := recover().(parserExit); ok {
			code = ended.code
		}
	}()
	if _, err := app.Parse(args); err != nil {
		return s.fail(err)
	}
	return ExitOK
}

func (s *session) application(ctx context.Context) *kingpin.Application {
	app := kingpin.New("samphirehitchctl", "Change and inspect the configuration of samphirehitch.")
	app.HelpFlag.Short('h')
	app.UsageWriter(s.Stdout)
	app.ErrorWriter(s.Stderr)
	app.Terminate(func(code int) { panic(parserExit{code: code}) })
	app.Flag("store", "Address of the platform's key-value service, host:port.").Envar("SAMPHIREHITCH_STORE").StringVar(&s.address)
	app.Flag("author", "Who makes the change.").Envar("USER").StringVar(&s.author)
	app.Flag("output", "Form of the output.").Default("text").EnumVar(&s.output, "text", "json")
	app.Flag("timeout", "Bound of the whole command.").Default(defaultTimeout.String()).DurationVar(&s.timeout)
	s.addRecords(ctx, app)
	s.addKeys(ctx, app)
	s.addInspection(ctx, app)
	return app
}

// action wraps a command that talks to the store.
func (s *session) action(ctx context.Context, run func(ctx context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if s.address == "" {
			return errors.New("the store's address is missing: give --store or SAMPHIREHITCH_STORE")
		}
		if s.author == "" {
			s.author = unknownAuthor
		}
		s.store, s.instances = s.Dial(s.address)
		ctx, cancel := context.WithTimeout(ctx, s.timeout)
		defer cancel()
		return run(ctx)
	}
}

// fail writes an error and returns its exit code.
func (s *session) fail(err error) int {
	code := exitCode(err)
	if !errors.Is(err, errDiffers) {
		s.report(err, code)
	}
	return code
}

func exitCode(err error) int {
	var unsettled *change.OutcomeUnknownError
	var conflict *change.ConflictError
	var missing *change.NotFoundError
	var late *notInForceError
	switch {
	case errors.Is(err, errDiffers), errors.As(err, &late):
		return ExitDiffers
	case errors.As(err, &unsettled):
		return ExitUnknown
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &missing):
		return ExitNotFound
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return ExitUnavailable
	default:
		return ExitInvalid
	}
}
