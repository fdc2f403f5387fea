package group

import (
	"errors"
	"fmt"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// ErrReplaced reports that the target is not primary of the commit's term any
// more. The outcome of the commit is unknown.
var ErrReplaced = errors.New("primary was replaced")

// ErrNoEvidence reports that the wait ended before a majority of the group had
// answered as needed. The outcome of a commit is unknown.
var ErrNoEvidence = errors.New("no evidence from a majority of the group")

// WrongTargetError reports an answer of another target than was asked, as when
// two members are configured with one control address. Counted as two members,
// it would make a majority of one.
type WrongTargetError struct {
	Step  string
	Asked topology.TargetID
	Got   topology.TargetID
}

// Error names the step and both targets.
func (e *WrongTargetError) Error() string {
	return fmt.Sprintf("%s of target %s was answered by target %q", e.Step, e.Asked, e.Got)
}

// identify returns err, or an error when the status is not the target's.
func identify(err error, step string, target platform.Target, status topology.Status) error {
	if err != nil || status.Target == target.ID {
		return err
	}
	return &WrongTargetError{Step: step, Asked: target.ID, Got: status.Target}
}

// TargetConfig is one member as the service's record lists it.
type TargetConfig struct {
	platform.Target
	// Leaving is set when the record says that the member is leaving.
	Leaving bool
}

// WaiterID names a wait on Rounds. The caller picks it, unique among the waits
// that are open.
type WaiterID uint64

// NeedKind is what a waiter waits for.
type NeedKind uint8

// Kinds of needs.
const (
	// NeedView waits until the members were asked after the join and a majority
	// with the primary, or every member, answered or failed.
	NeedView NeedKind = iota + 1
	// NeedFloor waits for the answers of a majority.
	NeedFloor
	// NeedCommit waits for the evidence that acknowledges a commit.
	NeedCommit
	// NeedOutcome waits for the final outcome of a transaction.
	NeedOutcome
)

// Need describes a wait.
type Need struct {
	Kind NeedKind
	// Commit is meaningful for NeedCommit and NeedOutcome.
	Commit Commit
	// Transaction is meaningful for NeedOutcome.
	Transaction uint64
}

// Result ends a wait.
type Result struct {
	Waiter WaiterID
	// Point is the floor, or covers the commit.
	Point topology.Point
	// Outcome is meaningful for NeedOutcome.
	Outcome platform.TransactionOutcome
	// Replaced is set when a NeedCommit ended as in ErrReplaced.
	Replaced bool
}

// Ask is a status request to send now. Its answer is handed to Answered or
// Failed with the same sequence.
type Ask struct {
	Sequence uint64
	Target   platform.Target
}

// Query is a transaction status request to send now on behalf of a waiter. Its
// answer is handed to Reported or QueryFailed.
type Query struct {
	Waiter      WaiterID
	Target      platform.Target
	Transaction uint64
}

// Output collects what a Rounds call asks its driver to do.
type Output struct {
	Asks    []Ask
	Queries []Query
	Results []Result
}

// Reset empties the output and keeps its memory.
func (o *Output) Reset() {
	o.Asks = o.Asks[:0]
	o.Queries = o.Queries[:0]
	o.Results = o.Results[:0]
}

// RoundsConfig holds the intervals of Rounds.
type RoundsConfig struct {
	// Heartbeat is the interval of status requests while nobody waits.
	Heartbeat time.Duration
	// MinGap is the least interval between two requests to a member.
	MinGap time.Duration
	// RetryGap is the interval after a request that failed.
	RetryGap time.Duration
	// EvidenceWindow bounds the age of the answers that acknowledge a commit,
	// counted from when they were requested.
	EvidenceWindow time.Duration
	// IdleAfter is how long after the last wait heartbeats go on when the
	// instance is not among the group's watchers.
	IdleAfter time.Duration
}

// DefaultRoundsConfig returns the intervals for round trips of a few
// milliseconds.
func DefaultRoundsConfig() RoundsConfig {
	return RoundsConfig{
		Heartbeat:      150 * time.Millisecond,
		MinGap:         time.Millisecond,
		RetryGap:       50 * time.Millisecond,
		EvidenceWindow: 200 * time.Millisecond,
		IdleAfter:      5 * time.Second,
	}
}
