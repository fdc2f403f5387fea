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
	// shardCount is the number of shards that customers are distributed over, to
	// reduce lock contention. It is a power of two.
	shardCount = 16
	// decisionTimeout bounds the wait for a decision. The shard's ticks decide
	// within MaxAdmitWait; the timeout applies when ticks are late.
	decisionTimeout = MaxAdmitWait + 8*time.Millisecond
)

// Events of the ledger.
var (
	eventRefused           = event.Define(3000, event.Decision, "request refused: rate limit exceeded")
	eventWaited            = event.Define(3001, event.Decision, "request admitted after waiting for tokens")
	eventInvalidMessage    = event.Define(3002, event.Warning, "cannot decode ledger message")
	eventConnectionLimit   = event.Define(3003, event.Decision, "connection limit of target changed")
	eventRevokeConnections = event.Define(3004, event.Warning, "revoking connections in use above the limit")
)

// lockedShard is a shard with the lock that guards it.
type lockedShard struct {
	// wakeup triggers a tick of the shard's loop.
	wakeup chan struct{}

	mu struct {
		sync.Mutex
		state *RateShard
	}
}

// Driver runs the rate shards and the connection coordinator of one instance: it
// serializes access to them, drives their ticks and exchanges messages with
// peers. It is safe for concurrent use.
type Driver struct {
	peers  peer.Sender
	clock  clock.Clock
	logger logr.Logger
	shards [shardCount]lockedShard
	conns  connectionDriver
}

// New returns a driver without limits, which refuses every request. Incarnation
// must be higher than that of every earlier process of the instance, such as the
// wall-clock time at startup in nanoseconds, and must equal the one given to
// membership.
func New(incarnation uint64, peers peer.Sender, now clock.Clock, logger logr.Logger) *Driver {
	d := &Driver{peers: peers, clock: now, logger: logger}
	for i := range d.shards {
		d.shards[i].wakeup = make(chan struct{}, 1)
		d.shards[i].mu.state = NewRateShard(incarnation)
	}
	d.conns.init(incarnation, peers, now, logger)
	return d
}

func (d *Driver) shardOf(customer topology.CustomerID) *lockedShard {
	return &d.shards[shardIndex(customer)]
}

func shardIndex(customer topology.CustomerID) uint64 {
	return xxhash.Sum64String(string(customer)) & (shardCount - 1)
}

// SetRateLimits replaces the rate limits of all customers.
func (d *Driver) SetRateLimits(limits []RateLimit) {
	var byShard [shardCount][]RateLimit
	for _, limit := range limits {
		i := shardIndex(limit.Customer)
		byShard[i] = append(byShard[i], limit)
	}
	for i := range d.shards {
		d.update(&d.shards[i], func(now time.Duration, s *RateShard) { s.SetLimits(now, byShard[i]) })
	}
}

// MembershipChanged applies a new view of the fleet. It can be given to
// membership.Driver.Subscribe.
func (d *Driver) MembershipChanged(v membership.View) {
	slots := &SlotAssignment{Holders: v.Holders, Peers: v.Peers, Leases: make([]SlotLease, len(v.SlotLeases))}
	for i, lease := range v.SlotLeases {
		slots.Leases[i] = SlotLease{Index: lease.Index, Epoch: lease.Epoch, ExpiresAt: lease.ExpiresAt}
	}
	for i := range d.shards {
		d.update(&d.shards[i], func(now time.Duration, s *RateShard) { s.SetSlots(now, slots) })
	}
	d.conns.membershipChanged(v, slots)
}

// Admit waits, at most about MaxAdmitWait, until the customer's rate admits one
// more request. It returns a *Refusal when the request exceeds the rate, or the
// context's error; in both cases the request must not run.
func (d *Driver) Admit(ctx context.Context, customer topology.CustomerID) error {
	shard := d.shardOf(customer)
	var ticket *Ticket
	var refusal *Refusal
	d.update(shard, func(now time.Duration, s *RateShard) { ticket, refusal = s.Admit(now, customer) })
	if refusal != nil {
		return d.logRefusal(refusal)
	}
	if ticket == nil {
		return nil
	}
	return d.wait(ctx, shard, customer, ticket)
}

// wait waits for the decision on a ticket.
func (d *Driver) wait(ctx context.Context, shard *lockedShard, customer topology.CustomerID, ticket *Ticket) error {
	shard.wake()
	timer := time.NewTimer(decisionTimeout)
	defer timer.Stop()
	select {
	case refusal := <-ticket.Outcome():
		if refusal != nil {
			return d.logRefusal(refusal)
		}
		eventWaited.Log(d.logger, "customer", customer, "waited", d.clock()-ticket.arrivedAt)
		return nil
	case <-ctx.Done():
		d.update(shard, func(_ time.Duration, s *RateShard) { s.Cancel(ticket) })
		return eris.Wrapf(ctx.Err(), "wait for rate limit of customer %s", customer)
	case <-timer.C:
		d.update(shard, func(_ time.Duration, s *RateShard) { s.Cancel(ticket) })
		return d.logRefusal(&Refusal{Customer: customer, RetryAfter: MaxAdmitWait})
	}
}

// logRefusal logs a refusal and returns it as an error.
func (d *Driver) logRefusal(refusal *Refusal) error {
	eventRefused.Log(d.logger, "customer", refusal.Customer, "retry_after", refusal.RetryAfter)
	return refusal
}

// Receive processes an encoded Message of a peer. It is a peer.Receiver.
func (d *Driver) Receive(from topology.InstanceID, payload []byte) {
	var m Message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		eventInvalidMessage.LogError(d.logger, eris.Wrapf(err, "decode ledger message from %s", from), "peer", from)
		return
	}
	for i, shardMessage := range m.splitByShard() {
		if shardMessage != nil {
			d.update(&d.shards[i], func(now time.Duration, s *RateShard) { s.Receive(now, from, shardMessage) })
			d.shards[i].wake()
		}
	}
	if len(m.ConnectionRequests)+len(m.ConnectionGrants)+len(m.ConnectionRecalls)+len(m.ConnectionHandovers) > 0 {
		d.conns.receive(from, &m)
	}
}

// splitByShard divides the rate entries of a message by shard. Entries for
// connections are left out.
func (m *Message) splitByShard() [shardCount]*Message {
	var byShard [shardCount]*Message
	messageFor := func(customer topology.CustomerID) *Message {
		i := shardIndex(customer)
		if byShard[i] == nil {
			byShard[i] = &Message{}
		}
		return byShard[i]
	}
	for _, r := range m.TokenRequests {
		part := messageFor(r.Customer)
		part.TokenRequests = append(part.TokenRequests, r)
	}
	for _, g := range m.TokenGrants {
		part := messageFor(g.Customer)
		part.TokenGrants = append(part.TokenGrants, g)
	}
	for _, r := range m.TokenRecalls {
		part := messageFor(r.Customer)
		part.TokenRecalls = append(part.TokenRecalls, r)
	}
	for _, h := range m.TokenHandovers {
		part := messageFor(h.Customer)
		part.TokenHandovers = append(part.TokenHandovers, h)
	}
	return byShard
}

// Run runs the loops of the shards and of the connections until the context
// is done.
func (d *Driver) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i := range d.shards {
		group.Go(func() error { return d.runShard(ctx, &d.shards[i]) })
	}
	group.Go(func() error { return d.conns.run(ctx) })
	return group.Wait()
}

func (d *Driver) runShard(ctx context.Context, shard *lockedShard) error {
	// The first tick does not wait for a timer that is due at once: the race detector of Go 1.26
	// crashes when goroutines of a synctest bubble receive from such timers at the same time.
	timer := time.NewTimer(d.tick(shard))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-shard.wakeup:
		}
		timer.Reset(d.tick(shard))
	}
}

// tick applies a tick to a shard and returns the time to the next one.
func (d *Driver) tick(shard *lockedShard) (interval time.Duration) {
	d.update(shard, func(now time.Duration, s *RateShard) { interval = s.Tick(now) })
	return interval
}

// wake makes the shard's loop tick soon. It never blocks.
func (s *lockedShard) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// update applies an event to a shard and sends the resulting messages after it
// has released the lock.
func (d *Driver) update(shard *lockedShard, apply func(now time.Duration, s *RateShard)) {
	shard.mu.Lock()
	apply(d.clock(), shard.mu.state)
	messages := shard.mu.state.TakeOutbox()
	shard.mu.Unlock()
	for to, m := range messages {
		d.peers.Send(to, peer.KindLedger, m)
	}
}
