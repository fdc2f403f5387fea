package relay

import (
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/topology"
)

var (
	eventPending      = event.Define(1323, event.Warning, "forwarded statement has no response when the process exits")
	eventResponseLost = event.Define(1324, event.Warning, "response to a forwarded statement cannot be sent: no link to its instance")
)

// LogPending logs the forwarded requests without a response.
func (r *Relay) LogPending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pending := range r.pending {
		silent := false
		if l, known := r.liveness[pending.to]; known {
			silent = l.silent
		}
		eventPending.Log(r.Log, "request", pending.statementID, "peer", pending.to,
			"age_ms", (r.Clock() - pending.sentAt).Milliseconds(), "linked", r.Link.Reachable(pending.to), "silent", silent)
	}
}

// respond sends a response to the instance that forwarded the statement. It returns
// peer.ErrTooLarge if the response fits no link.
func (s *server) respond(to topology.InstanceID, statementID string, resp *forwardResponse) error {
	if !s.relay.Link.Reachable(to) {
		eventResponseLost.Log(s.relay.Log, "request", statementID, "peer", to, "code", resp.Result.Code.String())
	}
	return s.relay.trySend(to, &message{Response: resp})
}
