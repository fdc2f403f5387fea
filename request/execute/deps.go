package execute

import (
	"context"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/upstream"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Admitter counts requests against the rate of their customer.
type Admitter interface {
	// Admit may wait for the customer's share of the rate. After an error the
	// request must not run.
	Admit(ctx context.Context, customer topology.CustomerID) error
}

// ConfigurationGate keeps requests of keyed sessions from running on a stale
// configuration, which may lack the withdrawal of the key.
type ConfigurationGate interface {
	// CheckFresh returns an error when the configuration is too old to rely on.
	CheckFresh() error
}

// Groups finds the group of targets that serves a service.
type Groups interface {
	Watcher(service topology.ServiceID) (group.Watcher, bool)
}

// Lease is the exclusive use of a pooled target connection until Release.
// *pool.Lease[*upstream.Conn] implements it.
type Lease interface {
	Conn() *upstream.Conn
	// Release returns the connection to its pool, which closes it unless reuse
	// is set.
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
