// Package platform declares what samphirehitch needs from the platform beside
// its key-value service: the control interface of the database groups and the
// list of instances. Adapters live in sub-packages; the real shape of the
// platform is confined to them.
package platform

import (
	"context"
	"errors"

	"samphirehitch.example/samphirehitch/process/topology"
)

// ErrTermRefused reports that a target has already promised a term that is not
// lower than the requested one. The request had no effect.
var ErrTermRefused = errors.New("target refused the term")

// TransactionOutcome is what a target knows of a transaction.
type TransactionOutcome uint8

// Outcomes of a transaction.
const (
	OutcomeUnknown TransactionOutcome = iota
	OutcomeInProgress
	OutcomeCommitted
	OutcomeAborted
	// OutcomeAbsent means that the target's log, up to its received point,
	// holds no trace of the transaction.
	OutcomeAbsent
)

// TransactionReport is an answer to a transaction status request, together
// with the state of the target that gave it.
type TransactionReport struct {
	Outcome TransactionOutcome `json:"outcome"`
	// Commit is the point of the transaction's commit record when the outcome
	// is OutcomeCommitted, or zero when the platform does not say. PostgreSQL
	// numbers transactions on from the highest number in the log after a
	// promotion, so a commit of another term than the asked transaction's may
	// be another transaction of the same number.
	Commit topology.Point  `json:"commit"`
	Status topology.Status `json:"status"`
}

// Target addresses one member of a group.
type Target struct {
	ID topology.TargetID `json:"id"`
	// Address is where the target speaks the PostgreSQL protocol, host:port.
	Address string `json:"address"`
	// Control is where the platform answers for the target, host:port.
	Control       string                 `json:"control"`
	FailureDomain topology.FailureDomain `json:"failure_domain"`
}

// Groups is the control interface of database groups. Every call names one
// member. Errors carry the step and the target. Implementations are safe for
// concurrent use and honour the context's deadline.
type Groups interface {
	// Status returns the member's state as of some moment during the call.
	Status(ctx context.Context, target Target) (topology.Status, error)
	// Fence makes the member promise term, when term is higher than what it has
	// promised before; otherwise it returns ErrTermRefused. A member that was
	// primary stops accepting writes and ends open transactions. The returned
	// status was taken after the promise.
	Fence(ctx context.Context, target Target, term topology.Term) (topology.Status, error)
	// Promote makes the member primary of term, when term is exactly what it
	// has promised and no promotion at that term happened on it; otherwise it
	// returns ErrTermRefused.
	Promote(ctx context.Context, target Target, term topology.Term) (topology.Status, error)
	// TransactionStatus returns what the member's log says of a transaction id
	// as PostgreSQL's pg_current_xact_id prints it.
	TransactionStatus(ctx context.Context, target Target, transaction uint64) (TransactionReport, error)
}

// InstanceState is an instance's state in the platform's list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	ID            topology.InstanceID    `json:"id"`
	Peer          string                 `json:"peer"`
	FailureDomain topology.FailureDomain `json:"failure_domain"`
	State         InstanceState          `json:"state"`
}

// Instances is the platform's list of instances. The list lags behind the
// truth; an instance that it omits has been gone for the platform's list lag.
type Instances interface {
	Instances(ctx context.Context) ([]Instance, error)
}
