package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/membership"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// shardCount is the number of shards that customers are spread over. It is a
	// power of two.
	shardCount = 16
	// admitGuard bounds the wait for a decision that the shard's ticks should
	// have given before.
	admitGuard = MaxAdmitWait + 8*time.Millisecond
)

// Events of the ledger.
var (
	eventRefused = event.Define(3000, event.Decision, "request refused: over rate")
	eventWaited  = event.Define(3001, event.Decision, "request admitted after waiting for tokens")
	eventMessage = event.Define(3002, event.Warning, "ledger message not understood")
	eventShare   = event.Define(3003, event.Decision, "connection share changed")
	eventRevoke  = event.Define(3004, event.Warning, "connection share ended while in use")
)

// rateShard is a shard with its lock.
type rateShard struct {
	// kick makes the shard's loop tick soon.
	kick chan struct{}

	mu struct {
		sync.Mutex
		state *Shard
	}
}

// Driver runs the rate shards and the connection coordinator of one instance.
// It is safe for concurrent use.
type Driver struct {
	peers  peer.Sender
	clock  clock.Clock
	logger logr.Logger
	shards [shardCount]rateShard
	conns  connectionDriver
}

// New returns a driver without limits, which refuses every request. FirstID is
// higher than for every earlier process of the instance, such as the wall-clock
// time at start in nanoseconds, and the same as membership's.
func New(firstID uint64, peers peer.Sender, now clock.Clock, logger logr.Logger) *Driver {
	d := &Driver{peers: peers, clock: now, logger: logger}
	for i := range d.shards {
		d.shards[i].kick = make(chan struct{}, 1)
		d.shards[i].mu.state = NewShard(firstID)
	}
	d.conns.init(firstID, peers, now, logger)
	return d
}

func (d *Driver) shard(customer topology.CustomerID) *rateShard {
	return &d.shards[shardIndex(customer)]
}

func shardIndex(customer topology.CustomerID) uint64 {
	return xxhash.Sum64String(string(customer)) & (shardCount - 1)
}

// SetLimits replaces the limits of all customers.
func (d *Driver) SetLimits(limits []Limit) {
	var split [shardCount][]Limit
	for _, limit := range limits {
		i := shardIndex(limit.Customer)
		split[i] = append(split[i], limit)
	}
	for i := range d.shards {
		d.update(&d.shards[i], func(now time.Duration, s *Shard) { s.SetLimits(now, split[i]) })
	}
}

// MembershipChanged takes a view of the fleet over. It fits
// membership.Driver.Subscribe.
func (d *Driver) MembershipChanged(v membership.View) {
	slots := &Slots{Holders: v.Holders, Owned: make([]OwnedSlot, len(v.Rights))}
	for i, right := range v.Rights {
		slots.Owned[i] = OwnedSlot{Index: right.Index, Epoch: right.Epoch, Until: right.Until}
	}
	for i := range d.shards {
		d.update(&d.shards[i], func(now time.Duration, s *Shard) { s.SetSlots(now, slots) })
	}
	d.conns.membershipChanged(v, slots)
}

// Admit waits until the customer's rate admits one more request, at most
// MaxAdmitWait. It returns *Refusal when the request is over the rate, or the
// context's error; in both cases the request must not run.
func (d *Driver) Admit(ctx context.Context, customer topology.CustomerID) error {
	shard := d.shard(customer)
	var ticket *Ticket
	var refusal *Refusal
	d.update(shard, func(now time.Duration, s *Shard) { ticket, refusal = s.Admit(now, customer) })
	if refusal != nil {
		return d.refused(refusal)
	}
	if ticket == nil {
		return nil
	}
	return d.wait(ctx, shard, customer, ticket)
}

// wait waits for the outcome of a ticket.
func (d *Driver) wait(ctx context.Context, shard *rateShard, customer topology.CustomerID, ticket *Ticket) error {
	shard.wake()
	guard := time.NewTimer(admitGuard)
	defer guard.Stop()
	select {
	case refusal := <-ticket.Outcome():
		if refusal != nil {
			return d.refused(refusal)
		}
		eventWaited.Log(d.logger, "customer", customer, "waited", d.clock()-ticket.arrived)
		return nil
	case <-ctx.Done():
		d.update(shard, func(_ time.Duration, s *Shard) { s.Abandon(ticket) })
		return eris.Wrapf(ctx.Err(), "admit request of %s", customer)
	case <-guard.C:
		d.update(shard, func(_ time.Duration, s *Shard) { s.Abandon(ticket) })
		return d.refused(&Refusal{Customer: customer, RetryAfter: MaxAdmitWait})
	}
}

func (d *Driver) refused(refusal *Refusal) error {
	eventRefused.Log(d.logger, "customer", refusal.Customer, "retry_after", refusal.RetryAfter)
	return refusal
}

// Receive takes a message of a peer's ledger. It is a peer.Receiver.
func (d *Driver) Receive(from topology.InstanceID, payload []byte) {
	var m Message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		eventMessage.LogError(d.logger, eris.Wrapf(err, "decode ledger message of %s", from), "peer", from)
		return
	}
	for i, part := range m.split() {
		if part != nil {
			d.update(&d.shards[i], func(now time.Duration, s *Shard) { s.Receive(now, from, part) })
			d.shards[i].wake()
		}
	}
	if len(m.ConnectionAsks)+len(m.ConnectionGrants)+len(m.ConnectionRecalls) > 0 {
		d.conns.receive(from, &m)
	}
}

// split divides the rate entries of a message by shard.
func (m *Message) split() [shardCount]*Message {
	var parts [shardCount]*Message
	part := func(customer topology.CustomerID) *Message {
		i := shardIndex(customer)
		if parts[i] == nil {
			parts[i] = &Message{}
		}
		return parts[i]
	}
	for _, a := range m.Asks {
		p := part(a.Customer)
		p.Asks = append(p.Asks, a)
	}
	for _, g := range m.Grants {
		p := part(g.Customer)
		p.Grants = append(p.Grants, g)
	}
	for _, r := range m.Recalls {
		p := part(r.Customer)
		p.Recalls = append(p.Recalls, r)
	}
	return parts
}

// Run works until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range d.shards {
		group.Go(func() error { return d.runShard(ctx, &d.shards[i]) })
	}
	group.Go(func() error { return d.conns.run(ctx) })
	return group.Wait()
}

func (d *Driver) runShard(ctx context.Context, shard *rateShard) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-shard.kick:
		}
		var pause time.Duration
		d.update(shard, func(now time.Duration, s *Shard) { pause = s.Tick(now) })
		timer.Reset(pause)
	}
}

// wake makes the shard's loop tick soon.
func (s *rateShard) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// update applies an event to a shard and sends what it has to say.
func (d *Driver) update(shard *rateShard, apply func(now time.Duration, s *Shard)) {
	shard.mu.Lock()
	apply(d.clock(), shard.mu.state)
	out := shard.mu.state.Outbox()
	shard.mu.Unlock()
	for to, m := range out {
		d.peers.Send(to, peer.KindLedger, m)
	}
}
