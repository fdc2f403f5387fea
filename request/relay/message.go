// Package relay hands callers' operations to the homes of their service. The
// instance that a caller is connected to keeps the session and says truthfully
// what became of a statement when a home does not answer; the home runs it with
// its own engine.
package relay

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/perform"
)

// message is what crosses a link; exactly one field is set.
type message struct {
	Request *request `cbor:"1,keyasint,omitempty"`
	Reply   *reply   `cbor:"2,keyasint,omitempty"`
	// End gives up the open transaction of a session.
	End *sessionID `cbor:"3,keyasint,omitempty"`
	// Ping asks for a Pong with the same number.
	Ping uint64 `cbor:"4,keyasint,omitempty"`
	Pong uint64 `cbor:"5,keyasint,omitempty"`
	// Needs is the sender's demand by customer.
	Needs share.Needs `cbor:"6,keyasint,omitempty"`
	// Ask asks for a newer configuration, and Told is one.
	Ask  *ask  `cbor:"7,keyasint,omitempty"`
	Told *told `cbor:"8,keyasint,omitempty"`
	// Borrow asks to admit an operation on the receiver's part of a limit, and Lent
	// answers.
	Borrow *borrow `cbor:"9,keyasint,omitempty"`
	Lent   *lent   `cbor:"10,keyasint,omitempty"`
}

// borrow names the customer of an operation.
type borrow struct {
	ID       uint64              `cbor:"1,keyasint"`
	Customer topology.CustomerID `cbor:"2,keyasint"`
}

// lent answers a borrow with the same number.
type lent struct {
	ID uint64 `cbor:"1,keyasint"`
	OK bool   `cbor:"2,keyasint,omitempty"`
}

// ask asks a peer for its configuration if that is newer than a version.
type ask struct {
	Version uint64 `cbor:"1,keyasint"`
	// At is the asker's clock.
	At time.Duration `cbor:"2,keyasint"`
}

// told is a configuration as the store holds it.
type told struct {
	Revision store.Revision `cbor:"1,keyasint"`
	Value    []byte         `cbor:"2,keyasint"`
	// Age is how long ago the store was asked to confirm it, negative when it was
	// not. At repeats the question's.
	Age time.Duration `cbor:"3,keyasint"`
	At  time.Duration `cbor:"4,keyasint"`
}

// sessionID names a session of a process.
type sessionID struct {
	Born   int64  `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// opening says whether a request opens a transaction before its statement.
type opening uint8

const (
	openNone opening = iota
	openReadWrite
	openReadOnly
)

// request asks a home to run one statement.
type request struct {
	ID      uint64    `cbor:"1,keyasint"`
	Session sessionID `cbor:"2,keyasint"`
	// Within says that the statement belongs to the session's open transaction.
	Within bool    `cbor:"3,keyasint,omitempty"`
	Open   opening `cbor:"4,keyasint,omitempty"`
	// Version is the newest of the configurations that decided for the sender's
	// callers; a home with an older one declines.
	Version  uint64            `cbor:"5,keyasint"`
	Database string            `cbor:"6,keyasint"`
	Key      string            `cbor:"7,keyasint,omitempty"`
	Values   map[string]string `cbor:"8,keyasint,omitempty"`
	Prepared *client.Prepared  `cbor:"9,keyasint,omitempty"`
	Floor    topology.Point    `cbor:"10,keyasint"`
	// FloorAge is how long ago the floor was evident.
	FloorAge  time.Duration       `cbor:"11,keyasint,omitempty"`
	Statement statement.Statement `cbor:"12,keyasint"`
}

// placement says where and why a statement ran.
type placement struct {
	Target   topology.TargetID   `cbor:"1,keyasint,omitempty"`
	Primary  bool                `cbor:"2,keyasint,omitempty"`
	Waited   time.Duration       `cbor:"3,keyasint,omitempty"`
	Attempts int                 `cbor:"4,keyasint,omitempty"`
	Why      string              `cbor:"5,keyasint,omitempty"`
	FloorAge time.Duration       `cbor:"6,keyasint,omitempty"`
	Service  topology.ServiceID  `cbor:"7,keyasint,omitempty"`
	Customer topology.CustomerID `cbor:"8,keyasint,omitempty"`
}

func placementOf(o perform.Outcome) placement {
	return placement{Target: o.Target, Primary: o.Primary, Waited: o.Waited, Attempts: o.Attempts,
		Why: o.Reason, FloorAge: o.FloorAge, Service: o.Service, Customer: o.Customer}
}

// note copies the placement into an outcome.
func (p placement) note(o *perform.Outcome) {
	o.Target, o.Primary, o.Waited, o.Attempts = p.Target, p.Primary, p.Waited, p.Attempts
	o.Reason, o.FloorAge, o.Service, o.Customer = p.Why, p.FloorAge, p.Service, p.Customer
}

// reply answers a request.
type reply struct {
	ID     uint64           `cbor:"1,keyasint"`
	Answer statement.Answer `cbor:"2,keyasint"`
	// Declined says that the home has not begun to run the statement and another
	// instance should.
	Declined bool `cbor:"3,keyasint,omitempty"`
	// Unable says that the home declined only because it cannot use the primary.
	Unable bool `cbor:"10,keyasint,omitempty"`
	// Placement is for the log and the metrics of the instance that asked.
	Placement placement `cbor:"4,keyasint"`
	// Floor is the session's floor afterwards, FloorAge its age.
	Floor    topology.Point `cbor:"5,keyasint"`
	FloorAge time.Duration  `cbor:"6,keyasint,omitempty"`
	// Version is that of the configuration that decided.
	Version uint64 `cbor:"7,keyasint,omitempty"`
	// Confirmed is the revision of the home's configuration and ConfirmedAge how long
	// ago the home asked the store to confirm it; zero without a confirmation.
	Confirmed    store.Revision `cbor:"8,keyasint,omitempty"`
	ConfirmedAge time.Duration  `cbor:"9,keyasint,omitempty"`
}
