package group

import (
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// StatusRequest is a status request that has to be sent now. Its result is passed to
// HandleStatus or HandleStatusFailure with the same sequence.
type StatusRequest struct {
	Sequence uint64
	Target   platform.Target
}

// TransactionQuery is a transaction status request that has to be sent now for a
// waiter. Its result is passed to HandleReport or HandleReportFailure.
type TransactionQuery struct {
	Waiter      WaiterID
	Target      platform.Target
	Transaction uint64
}

// WaitResult completes a wait.
type WaitResult struct {
	Waiter WaiterID
	// Point is the read floor of a ConditionFloor, or a point that covers the commit
	// of a ConditionCommit or ConditionOutcome.
	Point topology.Point
	// Outcome is valid for ConditionOutcome.
	Outcome platform.TransactionOutcome
	// Replaced is set when a ConditionCommit can no longer be met, for the reason
	// that ErrPrimaryReplaced gives.
	Replaced bool
}

// Output collects the requests that a call of Rounds requires its driver to send,
// and the results of completed waits.
type Output struct {
	StatusRequests     []StatusRequest
	TransactionQueries []TransactionQuery
	Results            []WaitResult
}

// Reset empties the output and keeps its memory.
func (o *Output) Reset() {
	o.StatusRequests = o.StatusRequests[:0]
	o.TransactionQueries = o.TransactionQueries[:0]
	o.Results = o.Results[:0]
}
