package ledger

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// connectionHandoverTTL bounds how long a handover is kept for a lease that is not known yet.
// After that the next holder waits, as it does without a handover.
const connectionHandoverTTL = connectionTakeoverDelay

// shareID identifies a share of a target's connections.
type shareID struct {
	target topology.TargetID
	slot   int
}

// receivedShare is the last handover of a share that arrived.
type receivedShare struct {
	handover   ConnectionHandover
	receivedAt time.Duration
	// used is set once a share has been restored from it.
	used bool
}

// endLease removes the lease on a slot. Shares that this instance gives up while the lease is
// valid are handed over once their connections are closed. From now on nothing of them is
// used or lent here.
func (c *ConnectionCoordinator) endLease(now time.Duration, lease *slotLease) {
	delete(c.leases, lease.slot)
	if now >= lease.expiresAt {
		return
	}
	for _, a := range c.accounts {
		for _, s := range a.local {
			if s.lease == lease && s.usable(now) {
				a.handovers = append(a.handovers, s.handover(a.target))
			}
		}
	}
}

// handover returns the loans of the share. Reserved connections were never granted.
func (s *localShare) handover(target topology.TargetID) ConnectionHandover {
	h := ConnectionHandover{Target: target, Slot: s.lease.slot, Epoch: s.lease.epoch}
	for _, b := range s.borrowers {
		if b.lent > 0 {
			h.Loans = append(h.Loans, HandedOverLoan{Borrower: b.id, LastRequestID: b.lastRequestID, Lent: b.lent})
		}
	}
	return h
}

// sendHandovers hands over the shares that the account has given up. The caller has checked that
// their connections are closed. Each peer may acquire the slot next. A lost message costs what it
// did before: the next holder waits for connectionTakeoverDelay.
func (c *ConnectionCoordinator) sendHandovers(a *connectionAccount) {
	if len(a.handovers) == 0 {
		return
	}
	for _, id := range c.peers {
		m := c.messageTo(id)
		m.ConnectionHandovers = append(m.ConnectionHandovers, a.handovers...)
	}
	a.handovers = nil
}

// receiveHandover keeps a handover for the next lease on its slot, and applies it if this
// instance has that lease already.
func (c *ConnectionCoordinator) receiveHandover(now time.Duration, h *ConnectionHandover) {
	id := shareID{h.Target, h.Slot}
	if c.handovers[id].handover.Epoch >= h.Epoch {
		return
	}
	if a, known := c.accounts[h.Target]; known {
		c.handovers[id] = receivedShare{handover: *h, receivedAt: now}
		c.assignShares(now, a)
		c.refresh(now, a)
	}
}

// restoreShare lets this instance use a share from now on if the holder of the slot before its
// lease has handed over the loans. Each handover is used once, and none for a target that was
// removed meanwhile.
func (c *ConnectionCoordinator) restoreShare(now time.Duration, a *connectionAccount, s *localShare) {
	id := shareID{a.target, s.lease.slot}
	received, known := c.handovers[id]
	h := &received.handover
	fresh := now-received.receivedAt < connectionHandoverTTL && now < s.usableFrom
	if !known || received.used || !fresh || a.readded || h.Epoch+1 != s.lease.epoch {
		return
	}
	received.used = true
	c.handovers[id] = received
	s.usableFrom, s.handedOver = now, true
	for _, loan := range h.Loans {
		// What this instance borrowed itself is part of the share now. A process that has been
		// replaced has none.
		if loan.Borrower != c.self && loan.LastRequestID >= c.incarnations[loan.Borrower] {
			s.borrower(loan.Borrower).adopt(loan)
		}
	}
}

// adopt records a loan of the holder before, of which the borrower may have returned a part since.
func (b *connectionBorrower) adopt(loan HandedOverLoan) {
	b.lent = loan.Lent
	if b.lastRequestID > loan.LastRequestID {
		b.lent = min(b.lent, max(b.request.Kept, 0))
		return
	}
	b.lastRequestID = loan.LastRequestID
}

// SetClosed records that this instance has no connection open to any target and opens no more. It
// returns all that is borrowed, whatever requests are outstanding, since this process may be gone
// by the time of a response; and it hands over shares as soon as it gives them up. It cannot be
// undone.
func (c *ConnectionCoordinator) SetClosed(now time.Duration) {
	c.closed = true
	for _, a := range c.accounts {
		for _, s := range a.remote {
			owes := s.held > 0 || s.pending || s.unconfirmed
			s.held, s.returning = 0, 0
			if owes && s.holder != "" {
				c.sendRequest(now, a, s, 0)
			}
		}
	}
	c.refreshAll(now)
}

// isReplaced reports whether an instance's process with an incarnation is newer than any known
// before, and records it.
func (c *ConnectionCoordinator) isReplaced(id topology.InstanceID, incarnation uint64) bool {
	if incarnation <= c.incarnations[id] {
		return false
	}
	c.incarnations[id] = incarnation
	return true
}

// otherInstances returns the instances other than self of two lists, each once.
func otherInstances(self topology.InstanceID, holders, peers []topology.InstanceID) []topology.InstanceID {
	others := slices.Concat(holders, peers)
	slices.Sort(others)
	return slices.DeleteFunc(slices.Compact(others), func(id topology.InstanceID) bool { return id == "" || id == self })
}
