// Package statement holds the protocol-neutral model of what callers ask and
// what targets answer. Codecs translate it to and from a wire.
package statement

import "samphirehitch.example/samphirehitch/process/topology"

// Kind classifies a statement.
type Kind uint8

// Kinds of statements. Invalid stands for text that no kind matches.
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
	// Reset drops the values and prepared statements of a target's connection.
	Reset
	// Status asks a target for its role and log positions.
	Status
	// Pause stops a replica from receiving the log of terms below Term.
	Pause
	// Resume undoes Pause.
	Resume
	// Demote makes a primary of a term below Term a replica.
	Demote
)

var kindNames = [...]string{
	"invalid", "begin", "begin read only", "commit", "rollback", "read", "write", "set",
	"prepare", "execute", "deallocate", "reset", "status", "pause", "resume", "demote",
}

// String names the kind.
func (k Kind) String() string { return kindNames[k] }

// Statement is one statement of a session. Only the fields of its kind are set.
type Statement struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// ID is the caller's request id; empty for statements of the daemon itself.
	ID string `cbor:"2,keyasint,omitempty"`
	// Text is what the caller wrote, opaque to everything but the codec.
	Text string `cbor:"3,keyasint,omitempty"`
	// Name is the session value's name of Set, or the prepared statement's name.
	Name string `cbor:"4,keyasint,omitempty"`
	// Argument is the value of Set, the shape of Prepare, or the item and data of
	// Execute.
	Argument string `cbor:"5,keyasint,omitempty"`
	// Writes reports a Prepare of a statement that writes.
	Writes bool `cbor:"6,keyasint,omitempty"`
	// Term is the argument of Pause and Demote.
	Term topology.Term `cbor:"7,keyasint,omitempty"`
	// After is the log position that a read or a Begin requires; zero for none.
	After topology.Point `cbor:"8,keyasint"`
}

// TransactionState is the state of a session after an answer.
type TransactionState uint8

// States of a session.
const (
	Idle TransactionState = iota + 1
	Open
	Failed
)

// Code classifies an error.
type Code uint8

// Codes of errors. NotExecuted tells which of them rule out that the statement
// ran.
const (
	OK Code = iota
	Busy
	Aborted
	Lagging
	ReadOnly
	Misrouted
	ConnectionLimit
	InDoubt
	TimedOut
	ExecutionFailed
	UnknownPrepared
	Malformed
	AuthenticationFailed
	UnknownDatabase
	// Unrecognized is a code of a target that the codec does not know.
	Unrecognized
)

var codeNames = [...]string{
	"ok", "busy", "aborted", "lagging", "read_only", "misrouted", "connection_limit", "in_doubt", "timed_out",
	"execution_failed", "unknown_prepared", "malformed", "authentication_failed", "unknown_database", "unrecognized",
}

// String names the code as logs and metrics do.
func (c Code) String() string { return codeNames[c] }

// NotExecuted reports whether a target that answers with the code has not run
// the statement.
func (c Code) NotExecuted() bool {
	switch c {
	case Busy, UnknownPrepared, Lagging, ReadOnly, Misrouted, ConnectionLimit, Malformed:
		return true
	default:
		return false
	}
}

// Answer is the complete answer to a statement.
type Answer struct {
	Rows []string `cbor:"1,keyasint,omitempty"`
	// Signature proves which target ran the statement; empty when the daemon
	// answers itself.
	Signature string `cbor:"2,keyasint,omitempty"`
	// Code is OK on success.
	Code   Code             `cbor:"3,keyasint,omitempty"`
	Detail string           `cbor:"4,keyasint,omitempty"`
	State  TransactionState `cbor:"5,keyasint,omitempty"`
	// Position is the end of the target's log, zero when not told.
	Position topology.Point `cbor:"6,keyasint"`
}
