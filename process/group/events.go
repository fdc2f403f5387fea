package group

import "samphirehitch.example/samphirehitch/process/event"

// Events of the group driver.
var (
	eventPrimaryChanged    = event.Define(4001, event.Decision, "group has another primary")
	eventTargetUnreachable = event.Define(4002, event.Warning, "target does not answer status requests")
	eventTargetReachable   = event.Define(4003, event.Info, "target answers status requests again")
	eventOutcomeResolved   = event.Define(4004, event.Decision, "outcome of a transaction resolved")

	eventPhase           = event.Define(4010, event.Decision, "promotion enters a phase")
	eventFence           = event.Define(4011, event.Decision, "target is being fenced")
	eventPromote         = event.Define(4012, event.Decision, "target is being promoted")
	eventPromoted        = event.Define(4013, event.Info, "promotion finished")
	eventClaimNotGranted = event.Define(4014, event.Warning, "claim of a promotion was not granted")
	eventOrderFailed     = event.Define(4015, event.Warning, "target did not carry out a control request")
	eventMessageUnread   = event.Define(4016, event.Warning, "peer's message about a group is unreadable")
)
