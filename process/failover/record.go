// Package failover replaces the primaries of services. One instance holds the
// duty; it fences a primary in the store, waits until no instance can use it any
// more, orders the promotion of the most advanced replica and publishes the
// result. The coordinator is a plain state machine; the driver runs its actions.
package failover

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// ErrRejected reports that the platform rejects the successor: it does not run.
var ErrRejected = errors.New("successor rejected")

// Token orders the holders of the duty: a later holder has a higher one.
type Token uint64

// ErrDutyEnded reports an order that was not sent, since the duty had ended before.
var ErrDutyEnded = errors.New("the promotion duty has ended")

// PromotionOrder names the target that is to lead its service.
type PromotionOrder struct {
	Service   topology.ServiceID
	Successor topology.TargetID
	Token     Token
	// Held reports that the duty is held for certain. It is asked right before the
	// order is sent, which a pause or a slow connection may delay.
	Held func() bool
}

// Orders takes promotion orders.
type Orders interface {
	// Promote is idempotent: for the present primary it changes nothing.
	Promote(ctx context.Context, order PromotionOrder) error
}

// TargetStatus is what a target says of its log.
type TargetStatus struct {
	Role     topology.Role
	Term     topology.Term
	Received topology.Point
	Lag      time.Duration
}

// Prober asks and commands targets.
type Prober interface {
	Status(ctx context.Context, target directory.Target) (TargetStatus, error)
	// Demote makes a primary of a term below the given one a replica.
	Demote(ctx context.Context, target directory.Target, term topology.Term) error
}

// Record is the durable state of a service's primary.
type Record struct {
	Primary topology.TargetID `json:"primary"`
	Term    topology.Term     `json:"term"`
	// Start is the end of the primary's log when the record was published. A log
	// of the term reaches it.
	Start topology.Point `json:"start"`
	// Fenced forbids the use of the primary until the record is published anew.
	Fenced bool `json:"fenced,omitempty"`
	// Sequence counts the fences of the service.
	Sequence uint64 `json:"sequence"`
}

// Encode returns the record as the store holds it.
func (r Record) Encode() []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic("a record cannot be encoded: " + err.Error())
	}
	return encoded
}

// DecodeRecord reads a record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(value, &r)
	return r, eris.Wrap(err, "decode record of a primary")
}
