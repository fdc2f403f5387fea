// Package platform declares the services of the platform that the proxy uses besides
// the key-value store: the control interface of database groups and the list of
// instances. Sub-packages implement them; only these know the platform's protocols.
package platform

import (
	"context"
	"errors"

	"samphirehitch.example/samphirehitch/process/topology"
)

// ErrTermRefused reports that a target refused the requested term: to fence, because
// it has already accepted a term that is not lower; to promote, because the term is
// not the one it has accepted or was used before. The request had no effect.
var ErrTermRefused = errors.New("target refused the term")

// TransactionOutcome is the state of a transaction as a target's log shows it.
type TransactionOutcome uint8

// Outcomes of a transaction.
const (
	// OutcomeUnknown means that the target does not know the outcome.
	OutcomeUnknown TransactionOutcome = iota
	OutcomeInProgress
	OutcomeCommitted
	OutcomeAborted
	// OutcomeAbsent means that the target's log up to its received point does not
	// contain the transaction.
	OutcomeAbsent
)

// TransactionReport is the response to a transaction status request, with the state
// of the target that sent it.
type TransactionReport struct {
	Outcome TransactionOutcome `json:"outcome"`
	// CommitPoint is the log point of the commit record when the outcome is
	// OutcomeCommitted; zero when the platform does not report it. After a promotion,
	// PostgreSQL continues to number transactions from the highest number in the log,
	// so a commit in a term other than that of the requested transaction may belong to
	// another transaction with the same number.
	CommitPoint topology.Point  `json:"commit"`
	Status      topology.Status `json:"status"`
}

// Target holds the addresses (host:port) of one member of a group.
type Target struct {
	ID topology.TargetID `json:"id"`
	// Address is where the target serves the PostgreSQL protocol.
	Address string `json:"address"`
	// Control is where the platform serves the control interface of the target.
	Control       string                 `json:"control"`
	FailureDomain topology.FailureDomain `json:"failure_domain"`
}

// Groups is the control interface of database groups. Every call addresses one
// member. Errors name the operation and the target. Implementations are safe for
// concurrent use and observe the context's deadline.
type Groups interface {
	// Status returns the member's state at some moment during the call.
	Status(ctx context.Context, target Target) (topology.Status, error)
	// Fence makes the member accept term and refuse lower ones from then on. It
	// returns ErrTermRefused unless term is higher than every term that the member has
	// accepted. A member that was primary stops accepting writes and aborts open
	// transactions. The returned status is from after the member accepted term.
	Fence(ctx context.Context, target Target, term topology.Term) (topology.Status, error)
	// Promote makes the member the primary of term. It returns ErrTermRefused unless
	// term is exactly the highest term that the member has accepted and the member has
	// not yet been promoted in it.
	Promote(ctx context.Context, target Target, term topology.Term) (topology.Status, error)
	// TransactionStatus returns the state of a transaction in the member's log. The
	// transaction ID is the number that PostgreSQL's pg_current_xact_id prints.
	TransactionStatus(ctx context.Context, target Target, transaction uint64) (TransactionReport, error)
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances. Peer is the address
// (host:port) at which other instances reach it.
type Instance struct {
	ID            topology.InstanceID    `json:"id"`
	Peer          string                 `json:"peer"`
	FailureDomain topology.FailureDomain `json:"failure_domain"`
	State         InstanceState          `json:"state"`
}

// Instances is the platform's list of instances. The list lags behind the actual
// instances by the platform's list lag: an instance that is no longer listed was
// removed at least that long ago.
type Instances interface {
	Instances(ctx context.Context) ([]Instance, error)
}
