// Package execute runs requests: it gates and admits them, settles their floor,
// chooses a target, exchanges the messages, confirms commits and resolves the
// ones whose answer was lost. It implements the Handler of package
// connection/caller.
package execute

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/upstream"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Events of this package.
var (
	eventRouted     = event.Define(6000, event.Decision, "request routed")
	eventWaiting    = event.Define(6001, event.Decision, "request waits for a primary")
	eventRetried    = event.Define(6002, event.Decision, "request goes to another target")
	eventRefused    = event.Define(6003, event.Decision, "request refused")
	eventUnknown    = event.Define(6004, event.Warning, "outcome of a commit is unknown")
	eventResolved   = event.Define(6005, event.Decision, "outcome of a commit resolved")
	eventInterrupt  = event.Define(6006, event.Decision, "request taken off a target that was replaced or does not answer")
	eventMovedWrite = event.Define(6007, event.Decision, "statement refused by a replica goes to the primary")
)

// Admitter counts requests against their customer's rate. The error says that
// the request must not run.
type Admitter interface {
	Admit(ctx context.Context, customer topology.CustomerID) error
}

// Gate tells whether the configuration is fresh enough to act on.
type Gate interface {
	Fresh() error
}

// Groups finds the view of a service's group.
type Groups interface {
	Watcher(service topology.ServiceID) (group.Watcher, bool)
}

// Lease is the right to use a target connection until Release.
// *pool.Lease[*upstream.Conn] implements it.
type Lease interface {
	Conn() *upstream.Conn
	Release(reuse bool)
}

// Pools leases target connections. An error means that nothing was sent to the
// target.
type Pools interface {
	Acquire(ctx context.Context, service topology.ServiceID, target topology.TargetID, customer topology.CustomerID) (Lease, error)
}

// Deps are what an Executor works with.
type Deps struct {
	// Directory returns the records in force.
	Directory func() session.Directory
	Gate      Gate
	Admitter  Admitter
	Groups    Groups
	Pools     Pools
	Clock     clock.Clock
	Logger    logr.Logger
}

// Config holds the bounds of an Executor. Zero fields take defaults.
type Config struct {
	// Own is the failure domain of the instance.
	Own topology.FailureDomain
	// FloorTimeout bounds the wait for a floor.
	FloorTimeout time.Duration
	// ReplicaTimeout bounds the wait for a replica to replay the floor before
	// the primary is asked.
	ReplicaTimeout time.Duration
	// PrimaryTimeout bounds the wait for a primary, and the time in which a
	// request is tried again after failures of targets.
	PrimaryTimeout time.Duration
	// CommitTimeout bounds the time from the sending of a commit until its
	// outcome is known.
	CommitTimeout time.Duration
	// RetryPause bounds the wait for another primary between two attempts.
	RetryPause time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// StallTimeout is how long a target that answers no status request may keep
	// a request.
	StallTimeout time.Duration
}

// Defaults of Config.
const (
	defaultFloorTimeout   = 4 * time.Second
	defaultReplicaTimeout = 20 * time.Millisecond
	defaultPrimaryTimeout = 10 * time.Second
	defaultCommitTimeout  = 15 * time.Second
	defaultRetryPause     = 250 * time.Millisecond
	defaultMaxAttempts    = 100
	defaultStallTimeout   = time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.FloorTimeout, defaultFloorTimeout)
	setDefault(&c.ReplicaTimeout, defaultReplicaTimeout)
	setDefault(&c.PrimaryTimeout, defaultPrimaryTimeout)
	setDefault(&c.CommitTimeout, defaultCommitTimeout)
	setDefault(&c.RetryPause, defaultRetryPause)
	setDefault(&c.MaxAttempts, defaultMaxAttempts)
	setDefault(&c.StallTimeout, defaultStallTimeout)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
