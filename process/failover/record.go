// Package failover replaces the primaries of services. One instance at a time is
// the failover leader. It fences a primary by writing its record to the store,
// waits until no instance may use the primary any more, requests the promotion of
// the replica with the longest log and publishes the new primary's record.
//
// The Coordinator is a state machine without I/O; package edge runs its actions.
package failover

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// ErrRejected reports that the platform rejected the successor because the target
// does not run.
var ErrRejected = errors.New("successor rejected")

// FencingToken orders the terms of the failover leadership: a later leader has a
// higher token. It is sent with every promotion request.
type FencingToken uint64

// ErrLeadershipLost reports a promotion request that was not sent because the
// failover leadership had been lost.
var ErrLeadershipLost = errors.New("promotion not requested: failover leadership lost")

// PromotionRequest requests the promotion of a target to primary of its service.
type PromotionRequest struct {
	Service   topology.ServiceID
	Successor topology.TargetID
	Token     FencingToken
	// HoldsLeadership reports whether the sender is certain to be the failover leader
	// still. It is checked immediately before the request is sent, since a suspended
	// process or a slow connection may have delayed it.
	HoldsLeadership func() bool
}

// Promoter requests promotions from the platform.
type Promoter interface {
	// Promote requests a promotion. It is idempotent: if the successor is the
	// primary already, nothing changes.
	Promote(ctx context.Context, request PromotionRequest) error
}

// TargetStatus is a target's response to a status request.
type TargetStatus struct {
	Role topology.Role
	Term topology.Term
	// Received is the end of the log that the target holds.
	Received topology.Point
	// Lag is how far the target trails the primary.
	Lag time.Duration
}

// Prober requests the status of targets and demotes them.
type Prober interface {
	Status(ctx context.Context, target directory.Target) (TargetStatus, error)
	// Demote makes the target a replica if it is a primary of a lower term.
	Demote(ctx context.Context, target directory.Target, term topology.Term) error
}

// Record names a service's primary. It is stored as JSON under the service's key.
type Record struct {
	Primary topology.TargetID `json:"primary"`
	Term    topology.Term     `json:"term"`
	// TermStart is the end of the primary's log when the record was published. Every
	// log of the term extends at least to it.
	TermStart topology.Point `json:"start"`
	// Terms holds the begins of the latest terms, up to this one, the latest last. They tell
	// which logs the service has left.
	Terms []TermBegin `json:"terms,omitempty"`
	// Databases is the greatest number of databases that were listed at the same time while
	// replicas had to acknowledge commits.
	Databases int `json:"databases,omitempty"`
	// Names are the addresses of the databases that were listed then, sorted. They may be more than
	// Databases, after one has replaced another at another address, and fewer in a record of an
	// earlier version.
	Names []string `json:"names,omitempty"`
	// Lost are those of them that an operator has declared lost, sorted. They count until the others
	// hold everything; see releaseLost.
	Lost []string `json:"lost,omitempty"`
	// Accepted is the declaration that was accepted last.
	Accepted AcceptedLoss `json:"accepted,omitzero"`
	// Fenced forbids the use of the primary until a record without a fence is
	// published.
	Fenced bool `json:"fenced,omitempty"`
	// Order is the promotion that has been requested, or is about to be, and that may still take
	// effect; nil if there is none.
	Order *Order `json:"order,omitempty"`
	// Waiting is why no successor can be promoted while the primary is fenced, for callers;
	// empty while one is expected soon.
	Waiting string `json:"waiting,omitempty"`
	// FenceSequence rises with each fence of the service. Acknowledgements name the fence
	// by it. It is unique across restores of the store, see NextFenceSequence, and deletions of the
	// record, see publishFence.
	FenceSequence uint64 `json:"sequence"`
	// Era is the era of the store in which the record was written or verified. After a
	// restore of the store the record may be older than the state of the service, and does
	// not allow the use of the primary until it is verified.
	Era store.Era `json:"era,omitempty"`
}

// NextFenceSequence returns the sequence of the record's next fence in an era. It is above
// all sequences of earlier eras, whose fences the restored record may lack and whose
// acknowledgements may still arrive.
func (r Record) NextFenceSequence(era store.Era) uint64 {
	return max(r.FenceSequence, uint64(store.FirstRevision(era))) + 1
}

// Later reports whether the record describes a later state of the service than another.
func (r Record) Later(other Record) bool {
	return cmp.Or(cmp.Compare(r.Term, other.Term), cmp.Compare(r.FenceSequence, other.FenceSequence)) > 0
}

// Ordered returns the target of the record's order, empty if there is none.
func (r Record) Ordered() topology.TargetID {
	if r.Order == nil {
		return ""
	}
	return r.Order.Successor
}

// Encode returns the record's stored form.
func (r Record) Encode() []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic("encode record of a primary: " + err.Error())
	}
	return encoded
}

// DecodeRecord parses a record's stored form.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, eris.Wrap(err, "decode record of a primary")
}
