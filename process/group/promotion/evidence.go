package promotion

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// opinion is the last opinion of a peer.
type opinion struct {
	sight Sight
	// askedAt is when the inquiry was sent: the opinion is at least as young.
	askedAt time.Duration
}

// evidence collects the peers' opinions during a suspicion.
type evidence struct {
	number   uint64
	askedAt  time.Duration
	began    time.Duration
	opinions map[topology.InstanceID]opinion
}

// inquire sends the next inquiry.
func (c *Coordinator) inquire(now time.Duration, out *[]Action) {
	e := &c.evidence
	e.number++
	e.askedAt = now
	*out = append(*out, Action{
		Kind:    ActionInquire,
		Inquiry: Inquiry{Number: e.number, Term: c.topTerm()},
	})
}

// Heard takes a peer's opinion. Only answers to the latest inquiry count, so
// that a delayed one cannot support a later suspicion.
func (c *Coordinator) Heard(now time.Duration, from topology.InstanceID, answer Opinion, out *[]Action) {
	e := &c.evidence
	if c.phase != PhaseSuspecting || answer.Number != e.number {
		return
	}
	e.opinions[from] = opinion{sight: answer.Sight, askedAt: e.askedAt}
	c.Tick(now, out)
}

// supported reports whether more failure domains miss the primary than see it,
// and at least two miss it. An instance that has waited AloneAfter acts without
// support when no domain sees a primary.
func (c *Coordinator) supported(now time.Duration) bool {
	sights := map[topology.FailureDomain]Sight{c.config.Domain: SightNoPrimary}
	for _, peer := range c.peers {
		o, heard := c.evidence.opinions[peer.ID]
		if !heard || o.askedAt < now-c.config.EvidenceWindow || o.sight == SightUnclear {
			continue
		}
		if o.sight == SightPrimary || sights[peer.Domain] == SightUnclear {
			sights[peer.Domain] = o.sight
		}
	}
	missing, seeing := 0, 0
	for _, sight := range sights {
		switch sight {
		case SightNoPrimary:
			missing++
		case SightPrimary:
			seeing++
		}
	}
	const leastDomains = 2
	if missing >= leastDomains && missing > seeing {
		return true
	}
	return seeing == 0 && now-c.evidence.began >= c.config.AloneAfter
}
