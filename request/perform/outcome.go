package perform

import (
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

var (
	eventAnswered = event.Define(6500, event.Decision, "statement answered")
	eventRetried  = event.Define(6501, event.Decision, "statement retried")
	eventRefused  = event.Define(6502, event.Decision, "operation refused")
	eventBorrowed = event.Define(6503, event.Decision, "operation admitted on another instance's part of the limit")
	eventUnopened = event.Define(6504, event.Decision, "connection for a statement could not be opened")
)

// Outcome describes the answer to one statement.
type Outcome struct {
	// Request is the caller's number of the statement.
	Request  string
	Kind     statement.Kind
	Code     statement.Code
	Service  topology.ServiceID
	Customer topology.CustomerID
	Target   topology.TargetID
	Primary  bool
	// Waited is the time until a connection was granted, Took the whole time.
	Waited, Took time.Duration
	Attempts     int
	// Why is the reason for the placement or the refusal.
	Why string
	// FloorAge is how old the evidence of the log position was that the read
	// required; negative without one.
	FloorAge time.Duration
	Version  uint64
	// Via is the home that ran the statement, empty when this instance did.
	Via topology.InstanceID
}

func (o *Outcome) log(logger logr.Logger) {
	eventAnswered.Log(logger, "request", o.Request, "kind", o.Kind.String(), "code", o.Code.String(),
		"service", o.Service, "customer", o.Customer, "target", o.Target, "primary", o.Primary,
		"waited_us", o.Waited.Microseconds(), "took_us", o.Took.Microseconds(), "attempts", o.Attempts,
		"why", o.Why, "floor_age_ms", o.FloorAge.Milliseconds(), "version", o.Version, "via", o.Via)
}
