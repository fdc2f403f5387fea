package group

import "samphirehitch.example/samphirehitch/process/event"

// Events of the group drivers.
var (
	eventPrimaryChanged    = event.Define(4001, event.Decision, "primary of the group changed")
	eventTargetUnreachable = event.Define(4002, event.Warning, "target does not respond to status requests")
	eventTargetReachable   = event.Define(4003, event.Info, "target responds to status requests again")
	eventOutcomeResolved   = event.Define(4004, event.Decision, "outcome of an in-doubt transaction resolved")

	eventPhaseEntered    = event.Define(4010, event.Decision, "promotion entered a phase")
	eventFencing         = event.Define(4011, event.Decision, "fencing target")
	eventPromoting       = event.Define(4012, event.Decision, "promoting target")
	eventPromoted        = event.Define(4013, event.Info, "promotion finished")
	eventClaimNotGranted = event.Define(4014, event.Warning, "promotion claim not granted")
	eventControlFailed   = event.Define(4015, event.Warning, "control request to target failed")
	eventMessageInvalid  = event.Define(4016, event.Warning, "group message from peer cannot be decoded")
)
