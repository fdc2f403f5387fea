// Package refusal defines how a caller learns that its request was not served: the
// SQLSTATE, whether the request ran, and the step and the peer at which the refusal
// arose. docs/ERRORS.md lists the kinds.
package refusal

import (
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"samphirehitch.example/samphirehitch/connection/sqlstate"
)

// Outcome says whether a refused request ran.
type Outcome uint8

// Outcomes.
const (
	// NotRun means that the request did not run and will not run.
	NotRun Outcome = iota + 1
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome's text in messages to callers.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Unknown:
		return "outcome unknown"
	default:
		return "undefined"
	}
}

// Step is a step in the processing of a request, at which it can be refused.
type Step string

// Steps in the order in which a request passes them.
const (
	StepLogin    Step = "login"
	StepDecode   Step = "decode"
	StepClassify Step = "classify"
	StepGate     Step = "gate" // checks the session's key and the age of the configuration
	StepAdmit    Step = "admit"
	StepFloor    Step = "floor"
	StepRoute    Step = "route"
	StepAcquire  Step = "acquire"
	StepExchange Step = "exchange" // sends statements to the target and forwards its responses
	StepCommit   Step = "commit"
	StepConfirm  Step = "confirm"
	StepResolve  Step = "resolve"  // determines the outcome of a commit that was not confirmed
	StepBoundary Step = "boundary" // between two transactions of a session
)

// Kind is a kind of refusal. Callers receive its texts.
type Kind struct {
	Code    sqlstate.Code
	Outcome Outcome
	// Text describes the cause.
	Text string
	// Advice is what the caller should do; it becomes the message's hint.
	Advice string
	// Steps are the steps at which the kind arises.
	Steps []Step
}

// stepNames formats the steps as docs/ERRORS.md lists them.
func (k Kind) stepNames() string {
	names := make([]string, len(k.Steps))
	for i, step := range k.Steps {
		names[i] = string(step)
	}
	return strings.Join(names, ", ")
}

// The kinds of refusal.
var (
	StaleConfiguration = Kind{sqlstate.CannotConnectNow, NotRun, "the configuration is stale", "retry after a second, on another connection", []Step{StepGate}}
	NoPrimary          = Kind{sqlstate.CannotConnectNow, NotRun, "the service has no primary now", "retry after a second", []Step{StepRoute}}
	NoFloor            = Kind{sqlstate.CannotConnectNow, NotRun, "a majority of the group does not answer", "retry after a second, or state an age", []Step{StepFloor}}
	UnknownService     = Kind{sqlstate.CannotConnectNow, NotRun, "the service is not known here", "retry after a second", []Step{StepRoute}}
	RateExceeded       = Kind{sqlstate.ConfigurationLimitExceeded, NotRun, "the customer is over its rate", "retry after the time in the detail", []Step{StepAdmit}}
	Busy               = Kind{sqlstate.TooManyConnections, NotRun, "no target connection came free in time", "retry with a growing delay", []Step{StepAcquire}}
	TargetUnreachable  = Kind{sqlstate.ConnectionFailure, NotRun, "the target cannot be reached", "retry", []Step{StepAcquire, StepExchange}}
	ReadLost           = Kind{sqlstate.ConnectionFailure, NotRun, "the connection to the target was lost during a read", "retry; the read changed nothing", []Step{StepExchange}}
	TransactionLost    = Kind{sqlstate.SerializationFailure, NotRun, "the transaction was lost before its commit", "retry the whole transaction", []Step{StepExchange, StepCommit}}
	NotCommitted       = Kind{sqlstate.SerializationFailure, NotRun, "the primary was replaced and the transaction did not commit", "retry the whole transaction", []Step{StepResolve}}
	ReplicaRefused     = Kind{sqlstate.SerializationFailure, NotRun, "a replica refused the statement as a write after a part of the answer was sent", "retry; the statement then goes to the primary", []Step{StepExchange}}
	OutcomeUnknown     = Kind{sqlstate.TransactionResolutionUnknown, Unknown, "the commit could not be confirmed", "look up whether the change is there before a retry", []Step{StepExchange, StepCommit, StepConfirm, StepResolve}}
	Unsupported        = Kind{sqlstate.FeatureNotSupported, NotRun, "the feature needs a session of its own on the target", "do without the feature, or connect to the target", []Step{StepClassify}}
	FailedTransaction  = Kind{sqlstate.InFailedTransaction, NotRun, "the transaction has failed", "send ROLLBACK", []Step{StepClassify}}
	UnknownStatement   = Kind{sqlstate.InvalidStatementName, NotRun, "the prepared statement does not exist", "prepare it again", []Step{StepClassify}}
	DuplicateStatement = Kind{sqlstate.DuplicateStatement, NotRun, "the prepared statement exists already", "close it first", []Step{StepClassify}}
	InvalidSetting     = Kind{sqlstate.InvalidParameterValue, NotRun, "the value of the setting is not valid", "correct the value", []Step{StepClassify}}
	TooManyStatements  = Kind{sqlstate.ProgramLimitExceeded, NotRun, "the session holds too many prepared statements", "deallocate some", []Step{StepClassify}}
	Canceled           = Kind{sqlstate.QueryCanceled, NotRun, "canceled on the caller's request", "none", []Step{StepAdmit, StepFloor, StepRoute, StepAcquire, StepExchange, StepCommit}}
	AccessRevoked      = Kind{sqlstate.InvalidAuthorization, NotRun, "the session is no longer allowed", "connect with a valid key", []Step{StepLogin, StepGate}}
	Draining           = Kind{sqlstate.AdminShutdown, NotRun, "the instance is leaving", "connect again", []Step{StepLogin, StepBoundary}}
	ProtocolViolation  = Kind{sqlstate.ProtocolViolation, NotRun, "the message has no place here", "none: a fault of the driver", []Step{StepDecode}}
)

// All returns all kinds of refusal.
func All() []Kind {
	return []Kind{
		StaleConfiguration, NoPrimary, NoFloor, UnknownService, RateExceeded, Busy, TargetUnreachable,
		ReadLost, TransactionLost, NotCommitted, ReplicaRefused, OutcomeUnknown, Unsupported,
		FailedTransaction, UnknownStatement, DuplicateStatement, InvalidSetting, TooManyStatements,
		Canceled, AccessRevoked, Draining, ProtocolViolation,
	}
}

// Refusal is the refusal of one request. As an error it carries details for logs that
// the caller does not receive.
type Refusal struct {
	Kind Kind
	Step Step
	// Peer names the target or the instance at which the refusal arose; it may be empty.
	Peer string
	// Reason is appended to the kind's text. It may be empty and must not contain
	// secrets.
	Reason string
	// RetryAfter is the time until a retry can succeed; zero when unknown.
	RetryAfter time.Duration
	// Err is the cause. It is logged and not sent to the caller.
	Err error
}

// New returns a refusal without a reason and without a time for a retry.
func New(kind Kind, step Step, peer string, err error) *Refusal {
	return &Refusal{Kind: kind, Step: step, Peer: peer, Err: err}
}

// Error returns the refusal and its cause, for logs.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s at step %s, peer %q: %s", r.Kind.Code, r.Step, r.Peer, r.message())
	if r.Err != nil {
		text += ": " + r.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// message returns the kind's text, the reason and the outcome.
func (r *Refusal) message() string {
	text := r.Kind.Text
	if r.Reason != "" {
		text += ": " + r.Reason
	}
	return text + "; " + r.Kind.Outcome.String()
}

// Detail returns the step, the peer and, if known, the time until a retry.
func (r *Refusal) Detail() string {
	detail := fmt.Sprintf("step=%s peer=%s", r.Step, r.Peer)
	if r.RetryAfter > 0 {
		detail += fmt.Sprintf(" retry_after=%v", r.RetryAfter)
	}
	return detail
}

// Message returns the message for the caller, which states the outcome.
func (r *Refusal) Message() string { return r.message() }

// Response returns the protocol message for the caller.
func (r *Refusal) Response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                string(r.Kind.Code),
		Message:             r.message(),
		Detail:              r.Detail(),
		Hint:                r.Kind.Advice,
	}
}
