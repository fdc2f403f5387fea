package group

// WaiterID identifies a waiter of Rounds. The caller chooses an ID that no other
// open waiter has.
type WaiterID uint64

// ConditionKind is the kind of result that a waiter waits for.
type ConditionKind uint8

// Kinds of conditions. Only responses to requests that were sent after the waiter
// was added count.
const (
	// ConditionView: a majority that includes the primary has responded, or the
	// requests to all members have completed or failed.
	ConditionView ConditionKind = iota + 1
	// ConditionFloor: a majority has responded.
	ConditionFloor
	// ConditionCommit: a majority confirms a commit, so that it can be acknowledged.
	ConditionCommit
	// ConditionOutcome: the final outcome of a transaction is known.
	ConditionOutcome
)

// Condition is what a waiter waits for.
type Condition struct {
	Kind ConditionKind
	// Commit is valid for ConditionCommit and ConditionOutcome.
	Commit Commit
	// Transaction is valid for ConditionOutcome.
	Transaction uint64
}
