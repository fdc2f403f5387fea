package ledger

import (
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Times of connection loans.
const (
	// ConnectionTerm is how long borrowed connections may be used after the ask
	// that the lender answered last.
	ConnectionTerm = 30 * time.Second
	// connectionDelay is how long a new holder waits before it uses a slot's
	// connections, so that loans of the former holder have ended or are known.
	connectionDelay = ConnectionTerm + ConnectionTerm/16
	// firstEpoch is the epoch of a slot's first holder.
	firstEpoch = 1
	// connectionSoftEnd is the age of a loan from which its connections are
	// closed as they come free.
	connectionSoftEnd = ConnectionTerm / 2
	// connectionHardEnd is the age of a loan at which its connections are closed
	// even while in use.
	connectionHardEnd = ConnectionTerm - 2*time.Second
)

// connectionBorrower is what a lender knows of an instance that has asked.
type connectionBorrower struct {
	id      topology.InstanceID
	lastAsk uint64
	lent    int
	// promised connections are lent once as many are closed here.
	promised int
	ask      ConnectionAsk
	recalled time.Duration
}

// share is a slot's part of a target's connections, on the instance that holds
// the slot. Lent connections come back only when the borrower confirms it, or
// its process is known to be gone: a connection can outlive its user's clock.
type share struct {
	own        *ownership
	units      int
	usableFrom time.Duration
	borrowers  []*connectionBorrower
}

// usable reports whether the holder may use and lend the share.
func (s *share) usable(now time.Duration) bool {
	return now >= s.usableFrom && now < s.own.until
}

// out counts connections lent or promised.
func (s *share) out() int {
	count := 0
	for _, b := range s.borrowers {
		count += b.lent + b.promised
	}
	return count
}

// rest is what the holder may have open itself. It is negative while loans
// exceed a share that was reduced.
func (s *share) rest() int { return s.units - s.out() }

func (s *share) borrower(id topology.InstanceID) *connectionBorrower {
	for _, b := range s.borrowers {
		if b.id == id {
			return b
		}
	}
	b := &connectionBorrower{id: id}
	s.borrowers = append(s.borrowers, b)
	return b
}

// ask takes an ask. Spare is how many connections the holder can do without.
// The answer is due at once unless connections were promised.
func (s *share) ask(now time.Duration, from topology.InstanceID, a *ConnectionAsk, spare int) (answer bool) {
	b := s.borrower(from)
	if a.ID <= b.lastAsk {
		return false
	}
	b.lastAsk, b.ask, b.promised = a.ID, *a, 0
	s.settleKept(now, b, a)
	if s.usable(now) {
		b.promised = max(0, min(a.Wanted, spare, s.rest()))
	}
	return b.promised == 0
}

// settleKept takes over what the borrower keeps. A new holder adopts loans of
// the former one as long as it does not use the share itself.
func (s *share) settleKept(now time.Duration, b *connectionBorrower, a *ConnectionAsk) {
	kept := max(a.Kept, 0)
	switch {
	case a.Epoch == s.own.epoch:
		b.lent = min(b.lent, kept)
	case now < s.usableFrom && now < s.own.until:
		b.lent = 0
		b.lent = min(kept, max(s.rest(), 0))
	default:
		b.lent = 0
	}
}

// grant returns the answer to the borrower's last ask and turns the promise into
// a loan.
func (s *share) grant(now time.Duration, b *connectionBorrower) ConnectionGrant {
	b.lent += b.promised
	b.promised = 0
	g := ConnectionGrant{Target: b.ask.Target, Slot: b.ask.Slot, ID: b.ask.ID}
	if now < s.own.until {
		g.Epoch, g.Lent = s.own.epoch, b.lent
	}
	return g
}

// restarted ends what was lent to processes of an instance that are gone: those
// whose asks have numbers below firstID.
func (s *share) restarted(id topology.InstanceID, firstID uint64) {
	for _, b := range s.borrowers {
		if b.id == id && b.lastAsk < firstID {
			b.lastAsk, b.lent, b.promised = firstID-1, 0, 0
		}
	}
}

// forget ends what was lent to an instance that is gone.
func (s *share) forget(id topology.InstanceID) {
	s.borrowers = slices.DeleteFunc(s.borrowers, func(b *connectionBorrower) bool { return b.id == id })
}
