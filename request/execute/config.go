package execute

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Config configures an Executor. Zero fields take defaults.
type Config struct {
	// OwnDomain is the failure domain of the instance.
	OwnDomain topology.FailureDomain
	// FloorTimeout bounds the status round that determines a read floor, and
	// the one that checks whether a target is still the primary.
	FloorTimeout time.Duration
	// ReplicaTimeout bounds how long a read waits for a replica to replay its
	// floor before it is routed to the primary.
	ReplicaTimeout time.Duration
	// PrimaryTimeout bounds the wait for a primary. It is also the period after
	// the first failed attempt in which a request is retried.
	PrimaryTimeout time.Duration
	// CommitTimeout bounds the wait for the response to COMMIT, and again the
	// wait until the outcome of the commit is known.
	CommitTimeout time.Duration
	// MaxRetryBackoff bounds the wait between two attempts. A new primary ends
	// the wait early.
	MaxRetryBackoff time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// StallTimeout is how long a target may fail to respond to status requests
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
