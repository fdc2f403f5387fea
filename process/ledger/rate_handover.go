package ledger

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// partID identifies a part of a customer's rate.
type partID struct {
	customer topology.CustomerID
	slot     int
}

// handoverTTL bounds how long a handover is kept for a lease that is not known yet.
const handoverTTL = 2 * time.Second

// receivedHandover is the last handover of a part that arrived.
type receivedHandover struct {
	handover   TokenHandover
	receivedAt time.Duration
	// used is set once a part has been restored from it.
	used bool
}

// handOver sends the state of the parts under a lease that this instance gives up while it is
// valid to the other instances, one of which will acquire the slot. From
// then on nothing of the parts is spent or lent here. A lost message costs what it did
// before: the next holder starts with empty buckets.
func (s *RateShard) handOver(now time.Duration, lease *slotLease, self topology.InstanceID) {
	if now >= lease.expiresAt {
		return
	}
	var handovers []TokenHandover
	for customer, a := range s.accounts {
		for _, p := range a.local {
			if p.lease == lease {
				p.advance(now)
				handovers = append(handovers, TokenHandover{Customer: customer, Slot: lease.slot, Epoch: lease.epoch, Level: p.level, Lent: p.lent})
			}
		}
	}
	if len(handovers) == 0 {
		return
	}
	for _, id := range otherInstances(self, s.holders, s.peers) {
		m := s.messageTo(id)
		m.TokenHandovers = append(m.TokenHandovers, handovers...)
	}
}

// receiveHandover keeps a handover for the next lease on its slot, and applies it if this
// instance has that lease already.
func (s *RateShard) receiveHandover(now time.Duration, h *TokenHandover) {
	a, known := s.accounts[h.Customer]
	id := partID{h.Customer, h.Slot}
	if !known || s.handovers[id].handover.Epoch >= h.Epoch {
		return
	}
	s.handovers[id] = receivedHandover{handover: *h, receivedAt: now}
	for _, p := range a.local {
		if p.lease.slot == h.Slot {
			s.restorePart(now, a, p)
		}
	}
}

// restorePart gives a part the tokens that the holder of the slot before this lease handed
// over, and starts its refills, unless these have begun. Each handover is used once. What was
// lent counts as lent until the loans have expired.
func (s *RateShard) restorePart(now time.Duration, a *rateAccount, p *localPart) {
	id := partID{a.limit.Customer, p.lease.slot}
	received, known := s.handovers[id]
	h := &received.handover
	fresh := now-received.receivedAt < handoverTTL && now < p.refilledAt
	if !known || received.used || !fresh || h.Epoch+1 != p.lease.epoch {
		return
	}
	received.used = true
	s.handovers[id] = received
	p.refilledAt = now
	if h.Lent > 0 {
		expiresAt := now + lenderRateLoanTTL
		p.borrowers = append(p.borrowers, &rateBorrower{
			loan: LoanID{Epoch: h.Epoch, Number: 1}, lent: h.Lent, expiresAt: expiresAt, grantedOrRecalledAt: expiresAt,
		})
		p.recomputeLent()
	}
	p.level = min(max(h.Level, 0), p.maxLevel())
	s.activate(a)
}
