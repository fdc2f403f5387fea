// Package statement defines the protocol-neutral model of the statements that
// callers send and the responses that targets return. Codecs translate it to and
// from a wire protocol.
package statement

import "samphirehitch.example/samphirehitch/process/topology"

// Kind classifies a statement.
type Kind uint8

// Kinds of statements. Invalid marks text that the codec does not recognize.
const (
	Invalid Kind = iota
	Begin
	BeginReadOnly
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
	// Reset clears the session values and prepared statements of a connection to
	// a target.
	Reset
	// Status requests a target's role and log positions.
	Status
	// Pause stops a replica from receiving log entries of terms below Term.
	Pause
	// Resume lets a paused replica receive log entries again.
	Resume
	// Demote turns a primary of a term below Term into a replica.
	Demote
)

var kindNames = [...]string{
	"invalid", "begin", "begin read only", "commit", "rollback", "read", "write", "set",
	"prepare", "execute", "deallocate", "reset", "status", "pause", "resume", "demote",
}

// String returns the name of the kind for logs.
func (k Kind) String() string { return kindNames[k] }

// Exists reports whether there is such a kind. A number from another process may be of none.
func (k Kind) Exists() bool { return int(k) < len(kindNames) }

// UsesTarget reports whether a caller's statement of the kind runs on a target, now or with
// the statements that follow it.
func (k Kind) UsesTarget() bool {
	switch k {
	case Begin, BeginReadOnly, Commit, Read, Write, Execute:
		return true
	default:
		return false
	}
}

// Statement is one statement of a session. Fields that do not apply to its Kind
// are left zero. It is CBOR-encoded when one instance forwards it to another.
type Statement struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// ID is the caller's request ID; empty for statements that the instance issues
	// itself.
	ID string `cbor:"2,keyasint,omitempty"`
	// Text is the caller's original text, which only the codec interprets.
	Text string `cbor:"3,keyasint,omitempty"`
	// Name is the name of the session value for Set, or of the prepared statement
	// for Prepare, Execute and Deallocate.
	Name string `cbor:"4,keyasint,omitempty"`
	// Argument is the value for Set, the statement shape for Prepare, or the item
	// and data for Execute.
	Argument string `cbor:"5,keyasint,omitempty"`
	// Writes is set for Prepare when the prepared statement writes.
	Writes bool `cbor:"6,keyasint,omitempty"`
	// Term is the term bound of Pause and Demote.
	Term topology.Term `cbor:"7,keyasint,omitempty"`
	// MinPoint is the log point that the target must have replayed before it runs a
	// read or a Begin; zero for no requirement.
	MinPoint topology.Point `cbor:"8,keyasint"`
}

// TransactionState is the transaction state of a session after a response.
type TransactionState uint8

// Transaction states of a session.
const (
	// Idle means that no transaction is open.
	Idle TransactionState = iota + 1
	// Open means that a transaction is open and accepts statements.
	Open
	// Failed means that an open transaction has met an error and accepts only
	// Rollback.
	Failed
)

// Exists reports whether there is such a state. A number from another process may be of none.
func (s TransactionState) Exists() bool { return s >= Idle && s <= Failed }

// Code classifies the outcome of a statement. It is CBOR-encoded by its number.
type Code uint8

// Outcome codes. NotExecuted reports which of them guarantee that the statement
// did not run.
const (
	OK Code = iota
	// Busy means that the statement was not run for now and can be retried.
	Busy
	// Aborted means that the transaction was aborted without any effect.
	Aborted
	// Lagging means that the target's log does not reach the required point.
	Lagging
	// ReadOnly means that a write was refused by a replica or in a read-only
	// transaction.
	ReadOnly
	// Misrouted means that the addressed server is another target or not a member of
	// the service.
	Misrouted
	// ConnectionLimit means that the target accepts no further connections.
	ConnectionLimit
	// InDoubt means that it is unknown whether the statement took effect.
	InDoubt
	TimedOut
	ExecutionFailed
	// UnknownPrepared means that the prepared statement does not exist.
	UnknownPrepared
	// Malformed means that the statement is invalid, or is not allowed in the state of
	// the transaction.
	Malformed
	AuthenticationFailed
	UnknownDatabase
	// Unrecognized stands for a code from a target that the codec does not know.
	Unrecognized
)

var codeNames = [...]string{
	"ok", "busy", "aborted", "lagging", "read_only", "misrouted", "connection_limit", "in_doubt", "timed_out",
	"execution_failed", "unknown_prepared", "malformed", "authentication_failed", "unknown_database", "unrecognized",
}

// String returns the name of the code for logs and metrics.
func (c Code) String() string { return codeNames[c] }

// Exists reports whether there is such a code. A number from another process may be of none.
func (c Code) Exists() bool { return int(c) < len(codeNames) }

// NotExecuted reports whether a target that responds with the code has
// certainly not run the statement.
func (c Code) NotExecuted() bool {
	switch c {
	case Busy, UnknownPrepared, Lagging, ReadOnly, Misrouted, ConnectionLimit, Malformed:
		return true
	default:
		return false
	}
}

// Response is the complete response to a statement. It is CBOR-encoded when one
// instance returns it to the instance that forwarded the statement.
type Response struct {
	Rows []string `cbor:"1,keyasint,omitempty"`
	// Signature proves which target ran the statement; empty when the response
	// comes from the instance itself.
	Signature string `cbor:"2,keyasint,omitempty"`
	// Code is OK on success; otherwise Detail describes the error.
	Code   Code             `cbor:"3,keyasint,omitempty"`
	Detail string           `cbor:"4,keyasint,omitempty"`
	State  TransactionState `cbor:"5,keyasint,omitempty"`
	// LogEnd is the end of the target's log; zero when the target did not
	// report it.
	LogEnd topology.Point `cbor:"6,keyasint"`
}
