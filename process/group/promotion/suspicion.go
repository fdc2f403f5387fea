package promotion

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// peerObservation is a peer's last observation.
type peerObservation struct {
	observation Observation
	// requestedAt is when the request was sent; the observation is not older.
	requestedAt time.Duration
}

// suspicion collects the peers' observations of a primary that this instance
// suspects. requestNumber grows over all suspicions.
type suspicion struct {
	requestNumber uint64
	requestedAt   time.Duration
	startedAt     time.Duration
	observations  map[topology.InstanceID]peerObservation
}

// requestObservations requests an observation from every peer.
func (c *Coordinator) requestObservations(now time.Duration, out *[]Action) {
	s := &c.suspicion
	s.requestNumber++
	s.requestedAt = now
	*out = append(*out, Action{
		Kind:               ActionRequestObservations,
		ObservationRequest: ObservationRequest{Number: s.requestNumber, Term: c.maxTerm()},
	})
}

// HandleObservation processes a peer's observation. Only responses to the latest
// request count, so that a delayed response cannot support a later suspicion.
func (c *Coordinator) HandleObservation(now time.Duration, from topology.InstanceID, response ObservationResponse, out *[]Action) {
	s := &c.suspicion
	if c.phase != PhaseSuspecting || response.Number != s.requestNumber {
		return
	}
	s.observations[from] = peerObservation{observation: response.Observation, requestedAt: s.requestedAt}
	c.Tick(now, out)
}

// isSupported reports whether the suspicion justifies a promotion: at least two
// failure domains, this instance's own included, observe no primary, and they
// outnumber the domains that observe one. A domain counts as observing a primary if
// any of its instances does. After UnsupportedTimeout it is enough that no domain
// observes a primary.
func (c *Coordinator) isSupported(now time.Duration) bool {
	byDomain := map[topology.FailureDomain]Observation{c.config.Domain: ObservationNoPrimary}
	for _, peer := range c.peers {
		o, exists := c.suspicion.observations[peer.ID]
		if !exists || o.requestedAt < now-c.config.MaxObservationAge || o.observation == ObservationInconclusive {
			continue
		}
		if o.observation == ObservationPrimaryResponds || byDomain[peer.Domain] == ObservationInconclusive {
			byDomain[peer.Domain] = o.observation
		}
	}
	withoutPrimary, withPrimary := 0, 0
	for _, observation := range byDomain {
		switch observation {
		case ObservationNoPrimary:
			withoutPrimary++
		case ObservationPrimaryResponds:
			withPrimary++
		}
	}
	const minDomains = 2
	if withoutPrimary >= minDomains && withoutPrimary > withPrimary {
		return true
	}
	return withPrimary == 0 && now-c.suspicion.startedAt >= c.config.UnsupportedTimeout
}
