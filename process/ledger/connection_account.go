package ledger

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Constants of the borrower's side of connection loans.
const (
	// connectionGrantTimeout is when a connection request without a grant counts
	// as lost.
	connectionGrantTimeout = 200 * time.Millisecond
	// minConnectionRequestInterval is the minimum time between requests to one
	// slot.
	minConnectionRequestInterval = 20 * time.Millisecond
	// connectionEmptyRetryInterval is the time until the next request to a slot
	// that had nothing to lend.
	connectionEmptyRetryInterval = 100 * time.Millisecond
	// connectionLoanRenewAge is the age at which a loan is renewed.
	connectionLoanRenewAge = ConnectionLoanTTL / 6
	// connectionReconcileInterval is the time between requests to a holder that
	// did not respond to the last one.
	connectionReconcileInterval = time.Second
	// connectionIdleTimeout is how long connections must be unneeded before they
	// are returned, and how long a holder must not have used the target before
	// it lends its last connection.
	connectionIdleTimeout = 3 * time.Second
	// minConnectionRecallInterval is the minimum time between recalls to one
	// borrower.
	minConnectionRecallInterval = 100 * time.Millisecond
)

// remoteShare is a share of a target's connections whose slot another instance
// holds, with the connections borrowed from it and the state of the requests to
// its holder.
type remoteShare struct {
	slot   int
	holder topology.InstanceID
	size   int

	// held is the number of connections borrowed under epoch, which may be open.
	// The loan's age counts from loanRequestedAt, when the last request that was
	// granted was sent.
	held            int
	epoch           uint64
	loanRequestedAt time.Duration
	// returning is the number of held connections that are returned once the
	// pool has closed them.
	returning int

	// pending is set while a request with requestID, sent at requestedAt for
	// requested additional connections, awaits its grant.
	pending bool
	// unconfirmed is set when the last request got no response: the lender may
	// have more than held on record.
	unconfirmed   bool
	requestID     uint64
	requestedAt   time.Duration
	requested     int
	nextRequestAt time.Duration
}

// usableConnections is how many held connections may be opened or given new
// work.
func (s *remoteShare) usableConnections(now time.Duration) int {
	if now-s.loanRequestedAt >= connectionDrainAge {
		return 0
	}
	return s.held - s.returning
}

// maxOpenConnections is how many held connections may stay open while in use.
func (s *remoteShare) maxOpenConnections(now time.Duration) int {
	if now-s.loanRequestedAt >= connectionRevokeAge {
		return 0
	}
	return s.held
}

// PoolUsage is a consistent snapshot of a target's pool.
type PoolUsage struct {
	// Limit is the limit that the pool applies, Open the number of connections
	// that the target may see, and Demand the number that would serve all
	// callers at the same time.
	Limit, Open, Demand int
	// AppliedSequence is the Sequence of the last LimitChange that had been
	// applied when the state was read.
	AppliedSequence uint64
}

// connectionAccount is the state of one target's connections on one instance.
type connectionAccount struct {
	target topology.TargetID
	// total is the target's limit over the whole fleet.
	total int
	// readded is set when the target's limit was removed and set again:
	// connections lent before may still be open.
	readded bool
	local   []*localShare
	remote  []*remoteShare
	usage   PoolUsage
	// lastDemandAt is when the pool last had demand.
	lastDemandAt time.Duration
	// peak is the highest demand since peakSince, lastPeak the highest in the
	// preceding period of connectionIdleTimeout.
	peak, lastPeak int
	peakSince      time.Duration
	// firstRemote is the index of the remote share that the next planRequests
	// starts with, so that requests rotate over the lenders.
	firstRemote int
	// lastSequence and lastLimit belong to the last LimitChange emitted.
	lastSequence uint64
	lastLimit    int
	// handovers are those of given up shares whose connections may still be open.
	handovers []ConnectionHandover
}

// limit is how many connections the pool may open.
func (a *connectionAccount) limit(now time.Duration) int {
	return max(a.localLimit(now)+a.borrowed(now), 0)
}

// localLimit is how many connections of the local shares are not lent, or had been
// borrowed of shares that are not usable yet.
func (a *connectionAccount) localLimit(now time.Duration) int {
	count := 0
	for _, s := range a.local {
		if s.usable(now) {
			count += max(s.unlent(), 0)
		} else if s.keepsBorrowed(now) {
			count += s.borrowed
		}
	}
	return count
}

// borrowed is how many borrowed connections are usable.
func (a *connectionAccount) borrowed(now time.Duration) int {
	count := 0
	for _, s := range a.remote {
		count += s.usableConnections(now)
	}
	return count
}

// maxOpen is how many connections may stay open while in use. Local shares still
// count for connectionDrainAge after their lease has expired: a new holder waits
// for connectionTakeoverDelay before it uses them.
func (a *connectionAccount) maxOpen(now time.Duration) int {
	count := 0
	for _, s := range a.local {
		if now >= s.usableFrom && now-connectionDrainAge < s.lease.expiresAt {
			count += max(s.unlent(), 0)
		} else if s.keepsBorrowed(now) {
			count += s.borrowed
		}
	}
	for _, s := range a.remote {
		count += s.maxOpenConnections(now)
	}
	return count
}

// lendable is how many connections the instance can lend. Unless it drains, an
// instance that used the target within connectionIdleTimeout keeps one
// connection.
func (a *connectionAccount) lendable(now time.Duration, draining bool) int {
	needed := a.usage.Demand
	if !draining && now-a.lastDemandAt < connectionIdleTimeout {
		needed = max(needed, 1)
	}
	return max(0, min(a.localLimit(now), a.limit(now)-needed))
}

// poolInSync reports whether the pool has applied the last limit change and is
// within the limit, so that connections reserved for borrowers or marked for
// return are certain to be closed.
func (a *connectionAccount) poolInSync(now time.Duration) bool {
	limit := a.limit(now)
	return a.usage.AppliedSequence == a.lastSequence && a.usage.Limit <= limit && a.usage.Open <= limit
}

// recordUsage records the state of the pool.
func (a *connectionAccount) recordUsage(now time.Duration, u PoolUsage) {
	a.usage = u
	if u.Demand > 0 {
		a.lastDemandAt = now
	}
	if now-a.peakSince >= connectionIdleTimeout {
		a.peakSince, a.lastPeak, a.peak = now, a.peak, 0
	}
	a.peak = max(a.peak, u.Demand)
}

// expireLoans drops expired loans. Their connections were closed when the loan
// reached connectionRevokeAge.
func (a *connectionAccount) expireLoans(now time.Duration) {
	for _, s := range a.remote {
		if s.held > 0 && now-s.loanRequestedAt >= ConnectionLoanTTL {
			s.held, s.returning, s.unconfirmed = 0, 0, true
		}
	}
}

// markReturns marks borrowed connections that have not been needed for a while,
// or any unneeded ones when draining, for return.
func (a *connectionAccount) markReturns(now time.Duration, draining bool) {
	needed := max(a.peak, a.lastPeak)
	if draining {
		needed = a.usage.Demand
	}
	excess := a.limit(now) - needed
	for _, s := range a.remote {
		count := min(excess, s.held-s.returning)
		if count > 0 {
			s.returning += count
			excess -= count
		}
	}
}

// shortfall is how many connections the pool needs beyond its limit and pending
// requests.
func (a *connectionAccount) shortfall(now time.Duration) int {
	missing := a.usage.Demand - a.limit(now)
	for _, s := range a.remote {
		if s.pending {
			missing -= s.requested
		}
	}
	return missing
}

// planRequests calls sendRequest for each remote share that has connections to
// request, renew or return, or whose loan is unconfirmed.
func (a *connectionAccount) planRequests(now time.Duration, draining bool, sendRequest func(*remoteShare, int)) {
	missing := a.shortfall(now)
	inSync := a.poolInSync(now)
	for i := range a.remote {
		s := a.remote[(a.firstRemote+i)%len(a.remote)]
		if s.pending && now-s.requestedAt >= connectionGrantTimeout {
			s.pending, s.unconfirmed = false, true
			s.nextRequestAt = now + connectionReconcileInterval
		}
		if s.pending || s.holder == "" || now < s.nextRequestAt {
			continue
		}
		additional := 0
		if !draining && missing > 0 {
			additional = min(missing, s.size-s.held)
		}
		renew := s.held > 0 && now-s.loanRequestedAt >= connectionLoanRenewAge
		returnHeld := s.returning > 0 && inSync
		if additional <= 0 && !renew && !returnHeld && !s.unconfirmed {
			continue
		}
		if returnHeld {
			s.held -= s.returning
			s.returning = 0
		}
		missing -= max(additional, 0)
		sendRequest(s, max(additional, 0))
	}
	if len(a.remote) > 0 {
		a.firstRemote = (a.firstRemote + 1) % len(a.remote)
	}
}

// applyGrant processes the grant for the pending request and ignores any other.
// A grant that arrives after the loan's expiry, or does not cover what is held,
// leaves the loan as it was.
func (s *remoteShare) applyGrant(now time.Duration, g *ConnectionGrant) {
	if !s.pending || g.ID != s.requestID {
		return
	}
	s.pending, s.unconfirmed = false, false
	s.nextRequestAt = now + minConnectionRequestInterval
	if s.requested > 0 && g.Lent <= s.held {
		s.nextRequestAt = now + connectionEmptyRetryInterval
	}
	if g.Epoch == 0 || g.Lent < s.held || now-s.requestedAt >= ConnectionLoanTTL {
		return
	}
	s.held, s.epoch, s.loanRequestedAt = g.Lent, g.Epoch, s.requestedAt
}
