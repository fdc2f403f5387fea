package ledger

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Intervals between ticks of a shard.
const (
	// waiterTickInterval applies while requests wait for tokens.
	waiterTickInterval = 2 * time.Millisecond
	// activeTickInterval applies while some account has demand, a loan or a
	// pending request.
	activeTickInterval = 10 * time.Millisecond
)

// Ticket is a request that waits for a token.
type Ticket struct {
	arrivedAt time.Duration
	canceled  bool
	// outcome receives one value: nil when the request is admitted, else the
	// refusal.
	outcome chan *Refusal
}

func (t *Ticket) resolve(r *Refusal) { t.outcome <- r }

// Outcome returns the channel that receives one value: nil when the request is
// admitted, else the refusal.
func (t *Ticket) Outcome() <-chan *Refusal { return t.outcome }

// RateShard enforces the rates of a subset of the customers. It is a state
// machine without lock, clock or network: the caller passes the time, delivers
// messages of peers and sends those that TakeOutbox returns. It is not safe for
// concurrent use.
type RateShard struct {
	accounts map[topology.CustomerID]*rateAccount
	// active lists the accounts that Tick refreshes.
	active []*rateAccount
	// leases holds the leases of this instance by slot.
	leases map[int]*slotLease
	// holders names the holder of each slot, empty when none is known.
	holders []topology.InstanceID
	// peers lists the other instances that may run.
	peers  []topology.InstanceID
	outbox map[topology.InstanceID]*Message
	// lastRequestID is the ID of the last token request to any slot.
	lastRequestID uint64
	// handovers holds the last handover of each part that arrived.
	handovers map[partID]receivedHandover
	// requests is a buffer that refresh reuses.
	requests []outgoingRequest
}

// NewRateShard returns a shard without customers. The IDs of its token requests
// start after incarnation, which must be higher than every request ID of earlier
// processes of the instance, such as the wall-clock time at startup in
// nanoseconds.
func NewRateShard(incarnation uint64) *RateShard {
	return &RateShard{
		accounts:      make(map[topology.CustomerID]*rateAccount),
		leases:        make(map[int]*slotLease),
		outbox:        make(map[topology.InstanceID]*Message),
		lastRequestID: incarnation,
		handovers:     make(map[partID]receivedHandover),
	}
}

func (s *RateShard) nextRequestID() uint64 {
	s.lastRequestID++
	return s.lastRequestID
}

// SetLimits replaces the limits of all customers of the shard. Requests of a
// customer without a limit are refused.
func (s *RateShard) SetLimits(now time.Duration, limits []RateLimit) {
	listed := make(map[topology.CustomerID]bool, len(limits))
	for _, limit := range limits {
		listed[limit.Customer] = true
		a, known := s.accounts[limit.Customer]
		if !known {
			a = &rateAccount{}
			s.accounts[limit.Customer] = a
		}
		a.limit = limit
		s.assignParts(now, a)
	}
	for customer, a := range s.accounts {
		if !listed[customer] {
			a.close()
			delete(s.accounts, customer)
		}
	}
}

// close refuses the waiting requests of a customer whose limit was removed.
func (a *rateAccount) close() {
	for _, t := range a.waiters {
		if !t.canceled {
			t.resolve(a.newRefusal(0))
		}
	}
	a.waiters, a.local, a.remote = nil, nil, nil
}

// SetSlots replaces the assignment of slots. When leases were only renewed, it
// updates their expiry and leaves the accounts alone.
func (s *RateShard) SetSlots(now time.Duration, slots *SlotAssignment) {
	changed := len(slots.Holders) != len(s.holders)
	for i, holder := range slots.Holders {
		changed = changed || s.holders[i] != holder
	}
	previousHolders := s.holders
	s.holders, s.peers = slots.Holders, slots.Peers
	leased := make(map[int]bool, len(slots.Leases))
	for _, next := range slots.Leases {
		leased[next.Index] = true
		lease, known := s.leases[next.Index]
		if known && lease.epoch == next.Epoch {
			lease.expiresAt = next.ExpiresAt
			continue
		}
		s.leases[next.Index] = &slotLease{slot: next.Index, epoch: next.Epoch, expiresAt: next.ExpiresAt}
		changed = true
	}
	for slot, lease := range s.leases {
		if !leased[slot] {
			s.handOver(now, lease, previousHolders[slot])
			delete(s.leases, slot)
			changed = true
		}
	}
	if !changed {
		return
	}
	for _, a := range s.accounts {
		s.assignParts(now, a)
	}
}

// assignParts sets the local and remote parts of an account by the assignment of
// slots. Parts that stay where they were keep their state.
func (s *RateShard) assignParts(now time.Duration, a *rateAccount) {
	slots := partSlots(a.limit.Customer, len(s.holders))
	count := float64(len(slots))
	local := make([]*localPart, 0, 1)
	remote := make([]*remotePart, 0, len(slots))
	for _, slot := range slots {
		if lease, holding := s.leases[slot]; holding {
			p := a.localPart(now, lease, a.limit.Rate/count, a.limit.Burst/count)
			s.restorePart(now, a, p)
			local = append(local, p)
			continue
		}
		remote = append(remote, a.remotePart(slot, s.holders[slot]))
	}
	a.local, a.remote = local, remote
}

// localPart returns the account's part of a slot that this instance holds. It is
// a new, empty part when the slot was not held under this lease before.
func (a *rateAccount) localPart(now time.Duration, lease *slotLease, rate, burst float64) *localPart {
	for _, p := range a.local {
		if p.lease == lease {
			p.resize(now, rate, burst)
			return p
		}
	}
	return newLocalPart(lease, rate, burst, now)
}

// remotePart returns the account's state for a slot held by another instance.
// When the holder changes, a pending request is dropped; a loan stays until it
// expires, since the new holder waits for that.
func (a *rateAccount) remotePart(slot int, holder topology.InstanceID) *remotePart {
	for _, p := range a.remote {
		if p.slot != slot {
			continue
		}
		if p.holder != holder {
			p.holder, p.pending, p.timeouts, p.nextRequestAt = holder, false, 0, 0
		}
		return p
	}
	return &remotePart{slot: slot, holder: holder}
}

// Admit decides on one request. It returns a ticket when the request has to wait
// for a token, nil twice when it is admitted, and otherwise the refusal.
func (s *RateShard) Admit(now time.Duration, customer topology.CustomerID) (*Ticket, *Refusal) {
	a, known := s.accounts[customer]
	if !known {
		return nil, &Refusal{Customer: customer, RetryAfter: time.Second}
	}
	a.demand.recordRequest(now)
	s.activate(a)
	if len(a.waiters) == 0 && a.availableTokens(now) >= 1 {
		a.spendToken(now)
		return nil, nil
	}
	tokens := a.admitWaiters(now)
	if len(a.waiters) >= a.maxWaiters() {
		return nil, a.newRefusal(tokens)
	}
	t := &Ticket{arrivedAt: now, outcome: make(chan *Refusal, 1)}
	a.waiters = append(a.waiters, t)
	s.refresh(now, a)
	return t, nil
}

// Cancel withdraws a ticket whose caller no longer waits.
func (s *RateShard) Cancel(t *Ticket) { t.canceled = true }

// activate adds the account to those that Tick refreshes.
func (s *RateShard) activate(a *rateAccount) {
	if !a.active {
		a.active = true
		s.active = append(s.active, a)
	}
}

// refresh admits waiting requests and sends the token requests that are due. It
// reports whether the account stays active.
func (s *RateShard) refresh(now time.Duration, a *rateAccount) bool {
	tokens := a.admitWaiters(now)
	var active bool
	s.requests, active = a.planRequests(now, tokens, s.nextRequestID, s.requests[:0])
	for i := range s.requests {
		m := s.messageTo(s.requests[i].to)
		m.TokenRequests = append(m.TokenRequests, s.requests[i].request)
	}
	return active
}

// Tick refreshes the active accounts and returns the time until the next tick is
// due.
func (s *RateShard) Tick(now time.Duration) time.Duration {
	interval := time.Second
	kept := s.active[:0]
	for _, a := range s.active {
		if !s.refresh(now, a) {
			a.active = false
			continue
		}
		kept = append(kept, a)
		interval = min(interval, activeTickInterval)
		if len(a.waiters) > 0 {
			interval = waiterTickInterval
		}
	}
	clear(s.active[len(kept):])
	s.active = kept
	return interval
}

// Receive processes a message of a peer.
func (s *RateShard) Receive(now time.Duration, from topology.InstanceID, m *Message) {
	for i := range m.TokenRequests {
		s.receiveRequest(now, from, &m.TokenRequests[i])
	}
	for i := range m.TokenGrants {
		s.receiveGrant(now, from, &m.TokenGrants[i])
	}
	for i := range m.TokenHandovers {
		s.receiveHandover(now, &m.TokenHandovers[i])
	}
	for i := range m.TokenRecalls {
		s.receiveRecall(now, from, &m.TokenRecalls[i])
	}
}

// receiveRequest responds to a token request, when this instance holds the slot,
// and recalls loans of others when it grants less than half of the tokens.
func (s *RateShard) receiveRequest(now time.Duration, from topology.InstanceID, request *TokenRequest) {
	a, known := s.accounts[request.Customer]
	if !known {
		return
	}
	for _, p := range a.local {
		if p.lease.slot != request.Slot {
			continue
		}
		g, needsGrant := p.handleRequest(now, from, request, a.demand.rate(now))
		if !needsGrant {
			return
		}
		m := s.messageTo(from)
		m.TokenGrants = append(m.TokenGrants, g)
		if g.Tokens < request.Tokens/2 {
			s.recallLoans(now, from, request, p)
		}
		return
	}
}

// recallLoans requests that other borrowers return what they do not need, on
// behalf of the sender of a request that was not met.
func (s *RateShard) recallLoans(now time.Duration, from topology.InstanceID, request *TokenRequest, p *localPart) {
	for _, b := range p.loansToRecall(now, from) {
		m := s.messageTo(b.id)
		m.TokenRecalls = append(m.TokenRecalls, TokenRecall{Customer: request.Customer, Slot: request.Slot, Loan: b.loan})
	}
}

func (s *RateShard) receiveGrant(now time.Duration, from topology.InstanceID, g *TokenGrant) {
	a, known := s.accounts[g.Customer]
	if !known {
		return
	}
	for _, part := range a.remote {
		if part.slot == g.Slot && part.holder == from && part.applyGrant(now, g) {
			s.activate(a)
			s.refresh(now, a)
		}
	}
}

func (s *RateShard) receiveRecall(now time.Duration, from topology.InstanceID, r *TokenRecall) {
	a, known := s.accounts[r.Customer]
	if !known {
		return
	}
	for _, part := range a.remote {
		if part.slot == r.Slot && part.holder == from && part.loan != (LoanID{}) && part.loan == r.Loan {
			part.recalled = true
			s.activate(a)
			s.refresh(now, a)
		}
	}
}

// messageTo returns the message to a peer that is being assembled in the outbox.
func (s *RateShard) messageTo(to topology.InstanceID) *Message {
	m, known := s.outbox[to]
	if !known {
		m = &Message{}
		s.outbox[to] = m
	}
	return m
}

// TakeOutbox returns the messages assembled since the last call and empties the
// outbox.
func (s *RateShard) TakeOutbox() map[topology.InstanceID]*Message {
	if len(s.outbox) == 0 {
		return nil
	}
	messages := s.outbox
	s.outbox = make(map[topology.InstanceID]*Message)
	return messages
}
