package ledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/membership"
	"samphirehitch.example/samphirehitch/process/topology"
)

// fleet runs the ledgers of several instances in virtual time, over a network
// that can lose, duplicate and delay messages. It panics when an instance admits
// a request above its customer's rate.
type fleet struct {
	now time.Duration
	rng *rand.Rand
	// queue holds the scheduled events; sequence numbers them, so that events at
	// the same time run in the order in which they were scheduled.
	queue     eventHeap
	sequence  int
	instances []*instance
	limits    []RateLimit
	// connectionLimits holds the limit of the fake pools' target.
	connectionLimits []ConnectionLimit
	// oracles decide, for each customer, whether an admission keeps its rate.
	oracles map[topology.CustomerID]*oracle
	// latency is the one-way delay of a message, to which a random time of up to
	// jitter is added.
	latency, jitter time.Duration
	// lossPercent and duplicatePercent are the probabilities for each message.
	lossPercent, duplicatePercent int
	messages                      int
	// onSend, when set, is called with every message sent.
	onSend func(*Message)
	// onOutcome, when set, is called with the decision on every request.
	onOutcome func(customer topology.CustomerID, arrivedAt time.Duration, admitted bool)
}

// instance is one instance of the fleet. A new process gets a new shard, so the
// shard also identifies the process.
type instance struct {
	id    topology.InstanceID
	shard *RateShard
	conns *ConnectionCoordinator
	pool  fakePool
	// membership is set when membership coordinators assign the slots.
	membership *membership.Coordinator
	// offset and drift make the instance's clock differ from the fleet's; drift
	// is per second.
	offset, drift time.Duration
	// paused and down are set while the process is suspended or killed.
	paused bool
	down   bool
	// slots is the assignment that the instance knows.
	slots      SlotAssignment
	nextTickAt time.Duration
	// waiting holds the requests without a decision, deferred the steps that run
	// once a paused process resumes.
	waiting  []waitingRequest
	deferred []func()
}

type waitingRequest struct {
	customer  topology.CustomerID
	arrivedAt time.Duration
	ticket    *Ticket
}

// oracle is a token bucket of a whole rate and burst that starts full.
// Admissions are within rate*w+burst in every window exactly when the bucket
// never runs empty.
type oracle struct {
	limit      RateLimit
	level      float64
	refilledAt time.Duration
}

// tokenTolerance allows for rounding errors in sums of tokens.
const tokenTolerance = 1e-6

func (o *oracle) refill(now time.Duration) {
	o.level = min(o.limit.Burst, o.level+o.limit.Rate*seconds(now-o.refilledAt))
	o.refilledAt = now
}

// admit takes one token and reports whether there was one.
func (o *oracle) admit(now time.Duration) bool {
	o.refill(now)
	if o.level < 1-tokenTolerance {
		return false
	}
	o.level--
	return true
}

type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventHeap orders events by time, then by sequence. It implements
// heap.Interface.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// newFleet returns a fleet of count instances that hold the slots in turn.
func newFleet(seed uint64, count, slots int, limits []RateLimit) *fleet {
	f := &fleet{
		rng:     rand.New(rand.NewPCG(seed, 0)),
		limits:  limits,
		oracles: make(map[topology.CustomerID]*oracle),
		latency: 1500 * time.Microsecond,
		jitter:  500 * time.Microsecond,
	}
	f.startOracles(0)
	for i := range count {
		f.instances = append(f.instances, &instance{id: topology.InstanceID(fmt.Sprintf("i%d", i))})
	}
	holders := make([]topology.InstanceID, slots)
	for slot := range slots {
		inst := f.instances[slot%count]
		holders[slot] = inst.id
		inst.slots.Leases = append(inst.slots.Leases, SlotLease{Index: slot, Epoch: uint64(slot + 1), ExpiresAt: noExpiry})
	}
	for _, inst := range f.instances {
		inst.slots.Holders = holders
		f.startLedger(inst)
	}
	return f
}

// startOracles replaces the oracles. Tokens refill by the clocks of the
// instances, so the admitted rate grows by as much as these run fast: drift, per
// second.
func (f *fleet) startOracles(drift time.Duration) {
	for _, limit := range f.limits {
		limit.Rate *= 1 + seconds(drift)
		f.oracles[limit.Customer] = &oracle{limit: limit, level: limit.Burst}
	}
}

// startLedger gives the instance a new process.
func (f *fleet) startLedger(inst *instance) {
	inst.down = false
	incarnation := uint64(f.now) + 1
	inst.shard, inst.conns, inst.pool = NewRateShard(incarnation), NewConnectionCoordinator(incarnation), fakePool{}
	now := inst.localTime(f.now)
	inst.conns.SetSlots(now, &inst.slots)
	inst.conns.SetLimits(now, f.connectionLimits)
	inst.shard.SetSlots(now, &inst.slots)
	inst.shard.SetLimits(now, f.limits)
	inst.nextTickAt = 0
	f.scheduleTick(inst, f.now)
}

// localTime converts fleet time to the instance's clock.
func (inst *instance) localTime(now time.Duration) time.Duration {
	return now + inst.offset + time.Duration(seconds(now)*float64(inst.drift))
}

// schedule runs an event after a delay.
func (f *fleet) schedule(delay time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, scheduledEvent{at: f.now + delay, sequence: f.sequence, run: run})
}

// runUntil runs the events up to a time.
func (f *fleet) runUntil(limit time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= limit {
		e := heap.Pop(&f.queue).(scheduledEvent)
		f.now = e.at
		e.run()
	}
	f.now = limit
}

// deliver runs a step of an instance's process and sends the resulting messages.
// It defers the step while the process is paused and drops it when the process
// was killed or replaced.
func (f *fleet) deliver(inst *instance, process *RateShard, step func()) {
	if inst.down || inst.shard != process {
		return
	}
	if inst.paused {
		inst.deferred = append(inst.deferred, func() { f.deliver(inst, process, step) })
		return
	}
	step()
	f.collect(inst)
}

// scheduleTick ticks the instance at the given time unless an earlier tick is
// scheduled.
func (f *fleet) scheduleTick(inst *instance, at time.Duration) {
	if inst.nextTickAt > f.now && inst.nextTickAt <= at {
		return
	}
	inst.nextTickAt = at
	process := inst.shard
	f.schedule(at-f.now, func() {
		if inst.nextTickAt != at {
			return
		}
		f.deliver(inst, process, func() {
			inst.nextTickAt = 0
			f.scheduleTick(inst, f.now+process.Tick(inst.localTime(f.now)))
		})
	})
}

// sendRequest sends a customer's request to an instance.
func (f *fleet) sendRequest(inst *instance, customer topology.CustomerID) {
	arrivedAt := f.now
	f.deliver(inst, inst.shard, func() {
		ticket, refusal := inst.shard.Admit(inst.localTime(f.now), customer)
		if ticket == nil {
			f.recordOutcome(customer, arrivedAt, refusal == nil)
			return
		}
		inst.waiting = append(inst.waiting, waitingRequest{customer: customer, arrivedAt: arrivedAt, ticket: ticket})
		f.scheduleTick(inst, f.now+waiterTickInterval)
	})
}

// recordOutcome checks an admission by the customer's oracle.
func (f *fleet) recordOutcome(customer topology.CustomerID, arrivedAt time.Duration, admitted bool) {
	if admitted && !f.oracles[customer].admit(f.now) {
		panic(fmt.Sprintf("customer %s exceeds its rate at %v", customer, f.now))
	}
	if f.onOutcome != nil {
		f.onOutcome(customer, arrivedAt, admitted)
	}
}

// collect records the decisions on waiting requests and sends the messages in
// the outboxes.
func (f *fleet) collect(inst *instance) {
	undecided := inst.waiting[:0]
	for _, w := range inst.waiting {
		select {
		case refusal := <-w.ticket.Outcome():
			f.recordOutcome(w.customer, w.arrivedAt, refusal == nil)
		default:
			undecided = append(undecided, w)
		}
	}
	inst.waiting = undecided
	f.sendAll(inst, inst.shard.TakeOutbox())
	f.sendAll(inst, inst.conns.TakeOutbox())
}

// sendAll sends in the order of the instances, so that a run is reproducible.
func (f *fleet) sendAll(inst *instance, outbox map[topology.InstanceID]*Message) {
	for _, to := range f.instances {
		if m := outbox[to.id]; m != nil {
			f.send(inst, to, m)
		}
	}
}

// send delivers the message after the network's delay, or loses or duplicates
// it.
func (f *fleet) send(from, to *instance, m *Message) {
	copies := 1
	if f.rng.IntN(100) < f.lossPercent {
		copies = 0
	}
	if f.rng.IntN(100) < f.duplicatePercent {
		copies++
	}
	f.messages++
	if f.onSend != nil {
		f.onSend(m)
	}
	for range copies {
		delay := f.latency + time.Duration(f.rng.Int64N(int64(f.jitter)+1))
		f.schedule(delay, func() {
			f.deliver(to, to.shard, func() {
				to.shard.Receive(to.localTime(f.now), from.id, m)
				to.conns.Receive(to.localTime(f.now), from.id, m)
			})
		})
	}
}

// checkTokens panics when the tokens of a slot's part that its holder or
// borrowers can still spend exceed the part's burst.
func (f *fleet) checkTokens() {
	for _, limit := range f.limits {
		spendable := map[int]float64{}
		for _, inst := range f.instances {
			if inst.down {
				continue
			}
			a := inst.shard.accounts[limit.Customer]
			a.availableTokens(inst.localTime(f.now))
			for _, p := range a.local {
				if p.leaseValid(inst.localTime(f.now)) {
					spendable[p.lease.slot] += p.level
				}
			}
			for _, part := range a.remote {
				spendable[part.slot] += part.level
			}
		}
		for slot, tokens := range spendable {
			burst := limit.Burst / float64(min(len(f.instances[0].slots.Holders), MaxParts))
			if tokens > burst+tokenTolerance {
				panic(fmt.Sprintf("slot %d of customer %s has %.4f spendable tokens, burst %.4f, at %v", slot, limit.Customer, tokens, burst, f.now))
			}
		}
	}
}
