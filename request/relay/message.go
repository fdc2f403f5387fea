// Package relay forwards callers' operations to the owners of their service. The
// instance to which a caller is connected keeps the session; an owner runs the
// operations with its own engine. When an owner does not respond, the forwarding
// instance reports writes and commits as in doubt and open transactions as aborted.
package relay

import (
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

// message is the message between the relays of two instances. Exactly one field is
// set, except that Excess, ReportSentAt, Grant and
// Incarnation go with Demand.
type message struct {
	Request  *forwardRequest  `cbor:"1,keyasint,omitempty"`
	Response *forwardResponse `cbor:"2,keyasint,omitempty"`
	// Abort rolls back a transaction of a session.
	Abort *sessionID `cbor:"3,keyasint,omitempty"`
	// Ping requests a Pong with the same number.
	Ping uint64 `cbor:"4,keyasint,omitempty"`
	Pong uint64 `cbor:"5,keyasint,omitempty"`
	// Demand is the sender's demand for the rate of each customer.
	Demand share.Demands `cbor:"6,keyasint,omitempty"`
	// Excess, sent with Demand, holds the operations that the sender has admitted in excess
	// of its shares of the rates.
	Excess map[topology.CustomerID]float64 `cbor:"13,keyasint,omitempty"`
	// ReportSentAt is when the report of demand was sent, on the sender's clock, Grant what
	// the sender grants the receiver, and Incarnation that of the sender's process.
	ReportSentAt time.Duration `cbor:"14,keyasint,omitempty"`
	Grant        *share.Grant  `cbor:"15,keyasint,omitempty"`
	Incarnation  int64         `cbor:"16,keyasint,omitempty"`
	// ConfigurationResponse is sent only when the configuration is newer than the
	// requested one.
	ConfigurationRequest  *configurationRequest  `cbor:"7,keyasint,omitempty"`
	ConfigurationResponse *configurationResponse `cbor:"8,keyasint,omitempty"`
	// LoanRequest requests a token from the receiver's share of a customer's rate
	// limit.
	LoanRequest  *loanRequest  `cbor:"9,keyasint,omitempty"`
	LoanResponse *loanResponse `cbor:"10,keyasint,omitempty"`
	// FollowRequest requests what the receiver knows of the store's state.
	FollowRequest  *followRequest  `cbor:"11,keyasint,omitempty"`
	FollowResponse *followResponse `cbor:"12,keyasint,omitempty"`
}

// followRequest requests the changes of registrations after a revision, and the version
// of the configuration.
type followRequest struct {
	Since store.Revision `cbor:"1,keyasint"`
	// SentAt is a time on the sender's clock.
	SentAt time.Duration `cbor:"2,keyasint"`
}

// followResponse is the response to a followRequest.
type followResponse struct {
	// Changes are the changes of registrations after the requested revision, up to Until.
	// Until is zero when the sender does not watch the store.
	Changes []store.Change `cbor:"1,keyasint,omitempty"`
	Until   store.Revision `cbor:"2,keyasint,omitempty"`
	// ConfirmedVersion is the version of the sender's configuration, ConfirmationAge the
	// time since the sender requested the store's confirmation of it. Both are zero
	// without a confirmation.
	ConfirmedVersion uint64        `cbor:"6,keyasint,omitempty"`
	ConfirmationAge  time.Duration `cbor:"4,keyasint,omitempty"`
	// RequestSentAt is the SentAt of the request.
	RequestSentAt time.Duration `cbor:"5,keyasint"`
	// Complete says that Changes are all registrations, because the requested revision
	// precedes a restore of the store.
	Complete bool `cbor:"7,keyasint,omitempty"`
}

// loanRequest requests a token for one operation of a customer.
type loanRequest struct {
	ID       uint64              `cbor:"1,keyasint"`
	Customer topology.CustomerID `cbor:"2,keyasint"`
}

// loanResponse is the response to the loan request with the same ID.
type loanResponse struct {
	ID      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
}

// configurationRequest requests a peer's configuration if it is newer than Version.
type configurationRequest struct {
	Version uint64 `cbor:"1,keyasint"`
	// SentAt is a time on the sender's clock.
	SentAt time.Duration `cbor:"2,keyasint"`
}

// configurationResponse is a configuration in its stored form.
type configurationResponse struct {
	Revision store.Revision `cbor:"1,keyasint"`
	Value    []byte         `cbor:"2,keyasint"`
	// ConfirmationAge is the time since the sender requested the store's
	// confirmation of it, negative without a confirmation.
	ConfirmationAge time.Duration `cbor:"3,keyasint"`
	// RequestSentAt is the SentAt of the request.
	RequestSentAt time.Duration `cbor:"4,keyasint"`
}

// sessionID identifies a caller's session on an instance. The incarnation
// distinguishes the processes of the instance.
type sessionID struct {
	Incarnation int64  `cbor:"1,keyasint"`
	Number      uint64 `cbor:"2,keyasint"`
	// Transaction is the number of the transaction that a request or an abort belongs to. It
	// grows within a session. It is zero outside of transactions, and always from instances of
	// earlier versions.
	Transaction uint64 `cbor:"3,keyasint,omitempty"`
}

// beginMode says whether a request opens a transaction before its statement.
type beginMode uint8

const (
	beginNone beginMode = iota
	beginReadWrite
	beginReadOnly
)

// forwardRequest requests an instance to run one statement.
type forwardRequest struct {
	ID      uint64    `cbor:"1,keyasint"`
	Session sessionID `cbor:"2,keyasint"`
	// InTransaction says that the statement belongs to a transaction that is open.
	InTransaction bool      `cbor:"3,keyasint,omitempty"`
	Begin         beginMode `cbor:"4,keyasint,omitempty"`
	// ConfigVersion is the newest version of a configuration under which operations of
	// the sender's callers were decided. A receiver that cannot get one as new
	// declines.
	ConfigVersion uint64                    `cbor:"5,keyasint"`
	Database      string                    `cbor:"6,keyasint"`
	Key           string                    `cbor:"7,keyasint,omitempty"`
	Values        map[string]string         `cbor:"8,keyasint,omitempty"`
	Prepared      *client.PreparedStatement `cbor:"9,keyasint,omitempty"`
	Floor         topology.Point            `cbor:"10,keyasint"`
	// FloorAge is the time since the floor was observed.
	FloorAge  time.Duration       `cbor:"11,keyasint,omitempty"`
	Statement statement.Statement `cbor:"12,keyasint"`
	// DeclineUnlessOwner says that an instance which, by the registrations that it knows, does not
	// own the service should decline, unless it is a backup owner with a free connection: another
	// one may own it.
	DeclineUnlessOwner bool `cbor:"13,keyasint,omitempty"`
}

// placement is the part of a statement's outcome that describes where and why it ran
// there.
type placement struct {
	Target   topology.TargetID   `cbor:"1,keyasint,omitempty"`
	Primary  bool                `cbor:"2,keyasint,omitempty"`
	WaitTime time.Duration       `cbor:"3,keyasint,omitempty"`
	Attempts int                 `cbor:"4,keyasint,omitempty"`
	Reason   string              `cbor:"5,keyasint,omitempty"`
	FloorAge time.Duration       `cbor:"6,keyasint,omitempty"`
	Service  topology.ServiceID  `cbor:"7,keyasint,omitempty"`
	Customer topology.CustomerID `cbor:"8,keyasint,omitempty"`
}

func placementOf(o engine.Outcome) placement {
	return placement{Target: o.Target, Primary: o.Primary, WaitTime: o.WaitTime, Attempts: o.Attempts,
		Reason: o.Reason, FloorAge: o.FloorAge, Service: o.Service, Customer: o.Customer}
}

// copyTo copies the placement into an outcome.
func (p placement) copyTo(o *engine.Outcome) {
	o.Target, o.Primary, o.WaitTime, o.Attempts = p.Target, p.Primary, p.WaitTime, p.Attempts
	o.Reason, o.FloorAge, o.Service, o.Customer = p.Reason, p.FloorAge, p.Service, p.Customer
}

// forwardResponse is the response to a forwardRequest.
type forwardResponse struct {
	ID     uint64             `cbor:"1,keyasint"`
	Result statement.Response `cbor:"2,keyasint"`
	// Declined says that the statement has not begun to run and another instance
	// should run it.
	Declined bool `cbor:"3,keyasint,omitempty"`
	// NoPrimary says that the instance declined only because it cannot use the
	// primary.
	NoPrimary bool `cbor:"10,keyasint,omitempty"`
	// NotOwner says that, by the registrations that the responding instance knows, it
	// neither owns the service nor is a backup owner, or that it declined as a backup owner
	// without a free connection.
	NotOwner bool `cbor:"11,keyasint,omitempty"`
	// Placement is for the log and the metrics of the requesting instance.
	Placement placement `cbor:"4,keyasint"`
	// Floor is the session's floor after the statement, FloorAge the time since it was
	// observed.
	Floor    topology.Point `cbor:"5,keyasint"`
	FloorAge time.Duration  `cbor:"6,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration under which the operation was
	// decided.
	ConfigVersion uint64 `cbor:"7,keyasint,omitempty"`
	// ConfirmedVersion is the version of the owner's configuration, ConfirmationAge the
	// time since the owner requested the store's confirmation of it. Both are zero without
	// a confirmation.
	ConfirmedVersion uint64        `cbor:"12,keyasint,omitempty"`
	ConfirmationAge  time.Duration `cbor:"9,keyasint,omitempty"`
}
