package engine

import (
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

var (
	eventCompleted  = event.Define(6500, event.Decision, "statement completed")
	eventRetried    = event.Define(6501, event.Decision, "statement retried")
	eventRefused    = event.Define(6502, event.Decision, "operation refused")
	eventBorrowed   = event.Define(6503, event.Decision, "operation admitted with a token from another instance's share of the rate limit")
	eventOpenFailed = event.Define(6504, event.Decision, "connection for a statement could not be opened")
	eventPrimaryUse = event.Define(6505, event.Info, "use of a service's primary by this instance has started or ended")
)

// Outcome describes how one statement ran and what its caller received, for the log
// and metrics.
type Outcome struct {
	// StatementID is the caller's ID of the statement.
	StatementID string
	Kind        statement.Kind
	Code        statement.Code
	Service     topology.ServiceID
	Customer    topology.CustomerID
	Target      topology.TargetID
	Primary     bool
	// WaitTime is the time spent waiting for a connection, Duration the total time.
	WaitTime, Duration time.Duration
	Attempts           int
	// Reason says why the target was chosen, or why the statement failed.
	Reason string
	// FloorAge is the age of the observation from which the read's floor was taken;
	// negative without a floor.
	FloorAge      time.Duration
	ConfigVersion uint64
	// ForwardedTo is the instance that ran the statement, empty when this one did.
	ForwardedTo topology.InstanceID
}

func (o *Outcome) log(logger logr.Logger) {
	eventCompleted.Log(logger, "request", o.StatementID, "kind", o.Kind.String(), "code", o.Code.String(),
		"service", o.Service, "customer", o.Customer, "target", o.Target, "primary", o.Primary,
		"waited_us", o.WaitTime.Microseconds(), "took_us", o.Duration.Microseconds(), "attempts", o.Attempts,
		"why", o.Reason, "floor_age_ms", o.FloorAge.Milliseconds(), "version", o.ConfigVersion, "via", o.ForwardedTo)
}
