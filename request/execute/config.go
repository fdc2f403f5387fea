// Package execute runs the requests of PostgreSQL sessions with transaction
// pooling. A request is one batch of messages: a Query, or extended query
// messages up to a Sync or Flush. For each batch the package checks the session's
// access and the customer's rate, determines the read floor, chooses a target,
// and forwards the messages and the response.
//
// A write outside of a transaction runs in a transaction of its own whose id is
// known before COMMIT is sent. A commit is acknowledged only after the group has
// confirmed it. When its response is lost, its outcome is resolved by the
// transaction id.
//
// Inside of a transaction, the session is pinned to one target connection.
//
// The package implements the Handler of package connection/caller.
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
	eventRouted            = event.Define(6000, event.Decision, "request routed")
	eventWaitingForPrimary = event.Define(6001, event.Decision, "request waits for a primary")
	eventRetried           = event.Define(6002, event.Decision, "attempt failed on a target")
	eventRefused           = event.Define(6003, event.Decision, "request refused")
	eventOutcomeUnknown    = event.Define(6004, event.Warning, "request refused with unknown outcome")
	eventOutcomeResolved   = event.Define(6005, event.Decision, "outcome of an in-doubt commit resolved")
	eventInterrupted       = event.Define(6006, event.Decision, "request interrupted: its target was replaced or stopped responding")
	eventRerunAsWrite      = event.Define(6007, event.Decision, "statement classified as a read was refused as a write and runs on the primary")
)

// Admitter counts requests against the rate of their customer.
type Admitter interface {
	// Admit may wait for the customer's share of the rate. After an error the
	// request must not run.
	Admit(ctx context.Context, customer topology.CustomerID) error
}

// ConfigurationGate keeps requests of keyed sessions from running on a stale
// configuration, in which the key may have been withdrawn meanwhile.
type ConfigurationGate interface {
	// Fresh returns an error when the configuration is too old to rely on.
	Fresh() error
}

// Groups finds the group of targets that serves a service.
type Groups interface {
	Watcher(service topology.ServiceID) (group.Watcher, bool)
}

// Lease is the exclusive use of a pooled target connection until Release.
// *pool.Lease[*upstream.Conn] implements it.
type Lease interface {
	Conn() *upstream.Conn
	// Release returns the connection to its pool, which closes it unless reuse is
	// set.
	Release(reuse bool)
}

// Pools leases target connections.
type Pools interface {
	// Acquire waits for a free connection to the target. After an error nothing
	// was sent to the target for the request.
	Acquire(ctx context.Context, service topology.ServiceID, target topology.TargetID, customer topology.CustomerID) (Lease, error)
}

// Deps are the dependencies of an Executor.
type Deps struct {
	// Directory returns the keys and routes of the current configuration.
	Directory func() session.Directory
	Gate      ConfigurationGate
	Admitter  Admitter
	Groups    Groups
	Pools     Pools
	Clock     clock.Clock
	Logger    logr.Logger
}

// Config configures an Executor. Zero fields take defaults.
type Config struct {
	// Own is the failure domain of the instance.
	Own topology.FailureDomain
	// FloorTimeout bounds the status round that determines a read floor, and the
	// one that checks whether a target is still the primary.
	FloorTimeout time.Duration
	// ReplicaTimeout bounds how long a read waits for a replica to replay its
	// floor before it is routed to the primary.
	ReplicaTimeout time.Duration
	// PrimaryTimeout bounds the wait for a primary. It is also the period after
	// the first failed attempt in which a request is retried.
	PrimaryTimeout time.Duration
	// CommitTimeout bounds the wait for the response to COMMIT, and again the wait
	// until the outcome of the commit is known.
	CommitTimeout time.Duration
	// MaxRetryBackoff bounds the wait between two attempts. A new primary ends the
	// wait early.
	MaxRetryBackoff time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// StallTimeout is how long a target may leave status requests unanswered
	// before the requests that run on it are interrupted.
	StallTimeout time.Duration
}

// Defaults of Config.
const (
	defaultFloorTimeout    = 4 * time.Second
	defaultReplicaTimeout  = 20 * time.Millisecond
	defaultPrimaryTimeout  = 10 * time.Second
	defaultCommitTimeout   = 15 * time.Second
	defaultMaxRetryBackoff = 250 * time.Millisecond
	defaultMaxAttempts     = 100
	defaultStallTimeout    = time.Second
)

// withDefaults returns the configuration with defaults for its zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.FloorTimeout, defaultFloorTimeout)
	setDefault(&c.ReplicaTimeout, defaultReplicaTimeout)
	setDefault(&c.PrimaryTimeout, defaultPrimaryTimeout)
	setDefault(&c.CommitTimeout, defaultCommitTimeout)
	setDefault(&c.MaxRetryBackoff, defaultMaxRetryBackoff)
	setDefault(&c.MaxAttempts, defaultMaxAttempts)
	setDefault(&c.StallTimeout, defaultStallTimeout)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
