package execute

import "samphirehitch.example/samphirehitch/process/event"

// Events of this package.
var (
	eventRouted            = event.Define(6000, event.Decision, "request routed")
	eventWaitingForPrimary = event.Define(6001, event.Decision, "request waits for a primary")
	eventRetried           = event.Define(6002, event.Decision, "attempt failed on a target")
	eventRefused           = event.Define(6003, event.Decision, "request refused")
	eventOutcomeUnknown    = event.Define(6004, event.Warning, "request refused with unknown outcome")
	eventOutcomeResolved   = event.Define(6005, event.Decision, "outcome of an in-doubt commit resolved")
	eventInterrupted       = event.Define(6006, event.Decision, "request interrupted: its target was replaced or stopped responding")
	eventRerunAsWrite      = event.Define(6007, event.Decision, "statement classified as a read was refused as a write and runs on the primary")
)
