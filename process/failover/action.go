package failover

import (
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// View is the coordinator's input: the state of a service as the instance knows
// it at one time.
type View struct {
	// Record is the service's record as last read and Revision its revision in the
	// store, zero when there is no record yet.
	Record   Record
	Revision store.Revision
	// RecordSeenAt is when the instance first saw the record at that revision.
	RecordSeenAt time.Duration
	// Era is the era of the store.
	Era store.Era
	// Known are the latest records that users of the primary, and this leader, had verified
	// before the store was restored.
	Known []Record
	// LedThroughout is set if this leader led until the store was restored, had requested no
	// promotion that may still take effect, and a user confirms the record that the leader
	// knows. Then nobody has replaced the primary since.
	LedThroughout bool
	// PromotionsSettled is set once every promotion that was ordered before the store was
	// restored has taken effect.
	PromotionsSettled bool
	// Targets are the service's listed targets.
	Targets map[topology.TargetID]directory.Target
	// SynchronousReplicas is the number of replicas that must receive a commit before it is
	// acknowledged.
	SynchronousReplicas int
	// Declared is the operator's declaration of lost databases, and DeclaredAt its revision.
	Declared   LossDeclaration
	DeclaredAt store.Revision
	// InstanceCount is the number of instances that have declared the service, as
	// they may use its primary.
	InstanceCount int
	// OwnerCount is the number of owners of the service.
	OwnerCount int
	// SuspectCount is the number of instances that cannot reach the record's primary.
	SuspectCount int
	// FenceAcknowledged is set when every instance that may use the primary has
	// acknowledged the fence and stopped using it.
	FenceAcknowledged bool
	// AuthorityExpiresAt is when the last authority to use the fenced primary has
	// expired, zero while unknown.
	AuthorityExpiresAt time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	NoAction ActionKind = iota
	// PublishRecord writes Record to the store, provided that the stored record is
	// still at Revision.
	PublishRecord
	// RequestStatuses requests the status of every target in Targets.
	RequestStatuses
	// PromoteTarget requests the promotion of Target.
	PromoteTarget
	// DemoteReplaced makes Target a replica if its term is below Term. It is best
	// effort: the failover does not depend on it.
	DemoteReplaced
)

// Action is one I/O operation that the coordinator requests from its caller. The fields
// that are set depend on Kind. At most one action of a service runs at a time.
type Action struct {
	Kind     ActionKind
	Record   Record
	Revision store.Revision
	Targets  []directory.Target
	Target   directory.Target
	Term     topology.Term
	// Reason is logged with the action.
	Reason string
}

// Result is the outcome of an action.
type Result struct {
	Action Action
	// Statuses are the responses to RequestStatuses, without the targets that did
	// not respond.
	Statuses map[topology.TargetID]TargetStatus
	// Failed is set when the action did not succeed.
	Failed bool
	// Rejected is set when the platform rejected the successor.
	Rejected bool
}
