package ledger

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Durations of connection loans.
const (
	// ConnectionLoanTTL is how long a connection loan lasts, counted from when
	// the borrower sent the last request that was granted.
	ConnectionLoanTTL = 30 * time.Second
	// connectionTakeoverDelay is how long a new holder waits before it uses or
	// lends a slot's connections. By then the loans of the previous holder have
	// expired, or their borrowers have reported them to the new one.
	connectionTakeoverDelay = ConnectionLoanTTL + ConnectionLoanTTL/16
	// firstEpoch is the epoch of the first lease on a slot.
	firstEpoch = 1
	// connectionDrainAge is the age from which a loan's connections are closed
	// as they become idle.
	connectionDrainAge = ConnectionLoanTTL / 2
	// connectionRevokeAge is the age from which a loan's connections are closed
	// even while in use.
	connectionRevokeAge = ConnectionLoanTTL - 2*time.Second
)

// connectionBorrower is what a lender knows of an instance that has sent
// requests.
type connectionBorrower struct {
	id            topology.InstanceID
	lastRequestID uint64
	lent          int
	// reserved connections are lent once this instance has closed as many.
	reserved int
	// request is the last request.
	request    ConnectionRequest
	recalledAt time.Duration
}

// localShare is a slot's share of a target's connections, on the instance that
// holds the slot. Lent connections come back only when the borrower confirms it
// or its process is known to be gone, never by time alone: a connection can stay
// open after the loan has expired by the borrower's clock.
type localShare struct {
	lease      *slotLease
	size       int
	usableFrom time.Duration
	// borrowed is how many connections this instance had borrowed of the share when it acquired
	// the slot. It goes on with them until the share is usable.
	borrowed int
	// handedOver is set once the holder before has handed over all loans, under whatever epoch
	// they were granted.
	handedOver bool
	borrowers  []*connectionBorrower
}

// usable reports whether the holder may use and lend the share.
func (s *localShare) usable(now time.Duration) bool {
	return now >= s.usableFrom && now < s.lease.expiresAt
}

// keepsBorrowed reports whether the holder may only use what it had borrowed.
func (s *localShare) keepsBorrowed(now time.Duration) bool {
	return now < s.usableFrom && now < s.lease.expiresAt
}

// lentOrReserved counts the connections that are lent or reserved for borrowers.
func (s *localShare) lentOrReserved() int {
	count := 0
	for _, b := range s.borrowers {
		count += b.lent + b.reserved
	}
	return count
}

// unlent is how many connections the holder may have open itself. It is negative
// while loans exceed a share that was reduced.
func (s *localShare) unlent() int { return s.size - s.lentOrReserved() }

// borrower returns the record of an instance and creates it when missing.
func (s *localShare) borrower(id topology.InstanceID) *connectionBorrower {
	for _, b := range s.borrowers {
		if b.id == id {
			return b
		}
	}
	b := &connectionBorrower{id: id}
	s.borrowers = append(s.borrowers, b)
	return b
}

// handleRequest processes a request. Lendable is how many connections the holder
// can do without; they are reserved up to the number requested. The result
// reports whether the grant is due now, which it is when nothing was reserved.
func (s *localShare) handleRequest(now time.Duration, from topology.InstanceID, r *ConnectionRequest, lendable int) (grantNow bool) {
	b := s.borrower(from)
	if r.ID <= b.lastRequestID {
		return false
	}
	b.lastRequestID, b.request, b.reserved = r.ID, *r, 0
	s.reconcileKept(now, b, r)
	if s.usable(now) {
		b.reserved = max(0, min(r.Additional, lendable, s.unlent()))
	}
	return b.reserved == 0
}

// reconcileKept reduces the loan on record to what the borrower keeps. While a
// new holder does not use the share yet, it adopts the loans of the previous
// holder as borrowers report them.
func (s *localShare) reconcileKept(now time.Duration, b *connectionBorrower, r *ConnectionRequest) {
	kept := max(r.Kept, 0)
	switch {
	case r.Epoch == s.lease.epoch || s.handedOver:
		b.lent = min(b.lent, kept)
	case s.keepsBorrowed(now):
		b.lent = 0
		b.lent = min(kept, max(s.unlent()-s.borrowed, 0))
	default:
		b.lent = 0
	}
}

// grant turns the reservation into a loan and returns the response to the
// borrower's last request.
func (s *localShare) grant(now time.Duration, b *connectionBorrower) ConnectionGrant {
	b.lent += b.reserved
	b.reserved = 0
	g := ConnectionGrant{Target: b.request.Target, Slot: b.request.Slot, ID: b.request.ID}
	if now < s.lease.expiresAt {
		g.Epoch, g.Lent = s.lease.epoch, b.lent
	}
	return g
}

// clearLoansBefore clears what was lent to earlier processes of an instance,
// whose request IDs are below incarnation. Their requests that arrive later are
// ignored.
func (s *localShare) clearLoansBefore(id topology.InstanceID, incarnation uint64) {
	for _, b := range s.borrowers {
		if b.id == id && b.lastRequestID < incarnation {
			b.lastRequestID, b.lent, b.reserved = incarnation-1, 0, 0
		}
	}
}

// removeBorrower clears what was lent to an instance that was removed.
func (s *localShare) removeBorrower(id topology.InstanceID) {
	s.borrowers = slices.DeleteFunc(s.borrowers, func(b *connectionBorrower) bool { return b.id == id })
}
