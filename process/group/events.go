package group

import "samphirehitch.example/samphirehitch/process/event"

// Events of the group driver.
var (
	eventPrimaryChanged    = event.Define(4001, event.Decision, "group has another primary")
	eventTargetUnreachable = event.Define(4002, event.Warning, "target does not answer status requests")
	eventTargetReachable   = event.Define(4003, event.Info, "target answers status requests again")
	eventOutcomeResolved   = event.Define(4004, event.Decision, "outcome of a transaction resolved")
)
