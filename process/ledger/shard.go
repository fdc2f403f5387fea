package ledger

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Times between ticks of a shard.
const (
	waitingTick = 2 * time.Millisecond
	activeTick  = 10 * time.Millisecond
)

// Ticket is a request that waits for a token.
type Ticket struct {
	arrived   time.Duration
	abandoned bool
	// outcome receives nil or the refusal, once.
	outcome chan *Refusal
}

func (t *Ticket) resolve(r *Refusal) { t.outcome <- r }

// Outcome returns the channel that receives nil or the refusal, once.
func (t *Ticket) Outcome() <-chan *Refusal { return t.outcome }

// Shard decides for a set of customers. It is a plain state machine: the caller
// passes the time, delivers messages and takes the outgoing ones from Outbox.
type Shard struct {
	accounts map[topology.CustomerID]*account
	// active lists the accounts that ticks look at.
	active []*account
	owned  map[int]*ownership
	// holders is as in Slots.
	holders []topology.InstanceID
	outbox  map[topology.InstanceID]*Message
	lastID  uint64
	asks    []outgoingAsk
}

// NewShard returns a shard without customers. FirstID is higher than every
// number used by earlier processes of the same instance, such as the wall-clock
// time in nanoseconds.
func NewShard(firstID uint64) *Shard {
	return &Shard{
		accounts: make(map[topology.CustomerID]*account),
		owned:    make(map[int]*ownership),
		outbox:   make(map[topology.InstanceID]*Message),
		lastID:   firstID,
	}
}

func (s *Shard) nextID() uint64 {
	s.lastID++
	return s.lastID
}

// SetLimits replaces the limits of all customers of the shard. A customer
// without a limit is refused.
func (s *Shard) SetLimits(now time.Duration, limits []Limit) {
	kept := make(map[topology.CustomerID]bool, len(limits))
	for _, limit := range limits {
		kept[limit.Customer] = true
		a, known := s.accounts[limit.Customer]
		if !known {
			a = &account{}
			s.accounts[limit.Customer] = a
		}
		a.limit = limit
		s.place(now, a)
	}
	for customer, a := range s.accounts {
		if !kept[customer] {
			a.drop()
			delete(s.accounts, customer)
		}
	}
}

// drop refuses the waiters of a customer whose limit is gone.
func (a *account) drop() {
	for _, t := range a.waiters {
		if !t.abandoned {
			t.resolve(a.refusal(0))
		}
	}
	a.waiters, a.parts, a.sources = nil, nil, nil
}

// SetSlots takes over who holds which slot. Rights that were only renewed cost
// nothing more than the entry.
func (s *Shard) SetSlots(now time.Duration, slots *Slots) {
	changed := len(slots.Holders) != len(s.holders)
	for i, holder := range slots.Holders {
		changed = changed || s.holders[i] != holder
	}
	s.holders = slots.Holders
	held := make(map[int]bool, len(slots.Owned))
	for _, o := range slots.Owned {
		held[o.Index] = true
		own, known := s.owned[o.Index]
		if known && own.epoch == o.Epoch {
			own.until = o.Until
			continue
		}
		s.owned[o.Index] = &ownership{slot: o.Index, epoch: o.Epoch, until: o.Until}
		changed = true
	}
	for slot := range s.owned {
		if !held[slot] {
			delete(s.owned, slot)
			changed = true
		}
	}
	if !changed {
		return
	}
	for _, a := range s.accounts {
		s.place(now, a)
	}
}

// place gives an account the parts and sources that follow from the slots.
func (s *Shard) place(now time.Duration, a *account) {
	slots := partSlots(a.limit.Customer, len(s.holders))
	count := float64(len(slots))
	parts := make([]*part, 0, 1)
	sources := make([]*source, 0, len(slots))
	for _, slot := range slots {
		if own, mine := s.owned[slot]; mine {
			parts = append(parts, a.part(now, own, a.limit.Rate/count, a.limit.Burst/count))
			continue
		}
		sources = append(sources, a.source(slot, s.holders[slot]))
	}
	a.parts, a.sources = parts, sources
}

// part returns the account's part of an owned slot, a new one when the slot was
// not held in this epoch.
func (a *account) part(now time.Duration, own *ownership, rate, burst float64) *part {
	for _, p := range a.parts {
		if p.own == own {
			p.resize(now, rate, burst)
			return p
		}
	}
	return newPart(own, rate, burst, now)
}

// source returns the account's state of a slot held by another instance.
func (a *account) source(slot int, holder topology.InstanceID) *source {
	for _, s := range a.sources {
		if s.slot != slot {
			continue
		}
		if s.holder != holder {
			s.holder, s.pending, s.lost, s.nextAsk = holder, false, 0, 0
		}
		return s
	}
	return &source{slot: slot, holder: holder}
}

// Admit decides on one request. It returns a ticket when the request has to
// wait and otherwise nil or the refusal.
func (s *Shard) Admit(now time.Duration, customer topology.CustomerID) (*Ticket, *Refusal) {
	a, known := s.accounts[customer]
	if !known {
		return nil, &Refusal{Customer: customer, RetryAfter: time.Second}
	}
	a.demand.add(now)
	s.activate(a)
	if len(a.waiters) == 0 && a.settle(now) >= 1 {
		a.spend(now)
		return nil, nil
	}
	tokens := a.serve(now)
	if len(a.waiters) >= a.maxWaiters() {
		return nil, a.refusal(tokens)
	}
	t := &Ticket{arrived: now, outcome: make(chan *Refusal, 1)}
	a.waiters = append(a.waiters, t)
	s.attend(now, a)
	return t, nil
}

// Abandon withdraws a ticket whose caller has gone.
func (s *Shard) Abandon(t *Ticket) { t.abandoned = true }

// activate makes ticks look at the account.
func (s *Shard) activate(a *account) {
	if !a.active {
		a.active = true
		s.active = append(s.active, a)
	}
}

// attend serves waiters and asks for what is missing. It reports whether the
// account stays active.
func (s *Shard) attend(now time.Duration, a *account) bool {
	tokens := a.serve(now)
	var busy bool
	s.asks, busy = a.plan(now, tokens, s.nextID, s.asks[:0])
	for i := range s.asks {
		m := s.message(s.asks[i].to)
		m.Asks = append(m.Asks, s.asks[i].ask)
	}
	return busy
}

// Tick attends to the active accounts and returns the time until the next tick
// is due.
func (s *Shard) Tick(now time.Duration) time.Duration {
	pause := time.Second
	kept := s.active[:0]
	for _, a := range s.active {
		if !s.attend(now, a) {
			a.active = false
			continue
		}
		kept = append(kept, a)
		pause = min(pause, activeTick)
		if len(a.waiters) > 0 {
			pause = waitingTick
		}
	}
	clear(s.active[len(kept):])
	s.active = kept
	return pause
}

// Receive takes a message from a peer.
func (s *Shard) Receive(now time.Duration, from topology.InstanceID, m *Message) {
	for i := range m.Asks {
		s.receiveAsk(now, from, &m.Asks[i])
	}
	for i := range m.Grants {
		s.receiveGrant(now, from, &m.Grants[i])
	}
	for i := range m.Recalls {
		s.receiveRecall(now, from, &m.Recalls[i])
	}
}

func (s *Shard) receiveAsk(now time.Duration, from topology.InstanceID, ask *Ask) {
	a, known := s.accounts[ask.Customer]
	if !known {
		return
	}
	for _, p := range a.parts {
		if p.own.slot != ask.Slot {
			continue
		}
		g, answer := p.ask(now, from, ask, a.demand.rate(now))
		if !answer {
			return
		}
		m := s.message(from)
		m.Grants = append(m.Grants, g)
		if g.Tokens < ask.Tokens/2 {
			s.recall(now, from, ask, p)
		}
		return
	}
}

// recall asks other borrowers to renew their loans by their present needs.
func (s *Shard) recall(now time.Duration, from topology.InstanceID, ask *Ask, p *part) {
	for _, b := range p.recalls(now, from) {
		m := s.message(b.id)
		m.Recalls = append(m.Recalls, Recall{Customer: ask.Customer, Slot: ask.Slot, Loan: b.loan})
	}
}

func (s *Shard) receiveGrant(now time.Duration, from topology.InstanceID, g *Grant) {
	a, known := s.accounts[g.Customer]
	if !known {
		return
	}
	for _, source := range a.sources {
		if source.slot == g.Slot && source.holder == from && source.grant(now, g) {
			s.activate(a)
			s.attend(now, a)
		}
	}
}

func (s *Shard) receiveRecall(now time.Duration, from topology.InstanceID, r *Recall) {
	a, known := s.accounts[r.Customer]
	if !known {
		return
	}
	for _, source := range a.sources {
		if source.slot == r.Slot && source.holder == from && source.loan != (LoanID{}) && source.loan == r.Loan {
			source.recalled = true
			s.activate(a)
			s.attend(now, a)
		}
	}
}

func (s *Shard) message(to topology.InstanceID) *Message {
	m, known := s.outbox[to]
	if !known {
		m = &Message{}
		s.outbox[to] = m
	}
	return m
}

// Outbox returns the messages to send since the last call.
func (s *Shard) Outbox() map[topology.InstanceID]*Message {
	if len(s.outbox) == 0 {
		return nil
	}
	out := s.outbox
	s.outbox = make(map[topology.InstanceID]*Message)
	return out
}
