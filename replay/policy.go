package replay

import (
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/dispatch"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Policy queues, refuses and places the arrivals of a simulation. A value serves one run
// at a time.
type Policy interface {
	// Name returns the policy's name in tables and plots.
	Name() string
	// begin resets the policy for a run. It must call outcome once for each arrival.
	begin(sim *simulation, p Pattern, outcome func(Arrival, Outcome))
	// submit passes an arrival to the policy, at the simulation's time.
	submit(a Arrival)
}

// Outcome is the result of an arrival: served, or refused, which includes requests that
// expired in a queue.
type Outcome struct {
	Served bool
	// At is when the response or the refusal came.
	At time.Duration
	// Primary says that the primary served the request.
	Primary bool
}

// Policies returns the product's policy, followed by the baseline.
func Policies() []Policy { return []Policy{&dispatchPolicy{}, &fifoPolicy{queueLimit: fifoQueueLimit}} }

// dispatchPolicy runs the product's dispatcher, process/dispatch, in virtual time. It
// stands in for the request engine: it opens connections, executes statements and waits
// for grants.
type dispatchPolicy struct {
	sim        *simulation
	dispatcher *dispatch.Dispatcher
	outcome    func(Arrival, Outcome)
	queued     []queuedRequest
}

// queuedRequest is a request that the dispatcher has queued and not yet granted.
type queuedRequest struct {
	request *dispatch.Request
	arrival Arrival
}

// Name implements Policy.
func (*dispatchPolicy) Name() string { return "dispatch" }

// lateResponseWait is how long the request engine keeps a connection whose statement has
// timed out, and tickInterval the interval at which it has the queue processed again.
const (
	lateResponseWait = 5 * time.Second
	tickInterval     = 50 * time.Millisecond
)

// clockOffset is the dispatcher's time at the start of a simulation. It keeps the times of
// floors that are older than the simulation positive.
const clockOffset = time.Minute

func (p *dispatchPolicy) now() time.Duration { return p.sim.now + clockOffset }

func (p *dispatchPolicy) begin(sim *simulation, pattern Pattern, outcome func(Arrival, Outcome)) {
	p.sim, p.outcome, p.queued = sim, outcome, nil
	p.dispatcher = dispatch.New(dispatch.Config{Service: "s", FailureDomain: "x"})
	targets := make(map[topology.TargetID]directory.Target)
	for _, t := range pattern.Targets {
		targets[t.ID] = directory.Target{ID: t.ID, Service: "s", FailureDomain: "x", Slots: t.Slots}
	}
	p.dispatcher.SetTargets(p.now(), targets)
	p.dispatcher.SetPrimary(p.now(), pattern.Targets[0].ID)
	p.dispatcher.SetConnectionLimit(p.now(), pattern.ConnectionsPerTarget)
	if len(pattern.Arrivals) > 0 {
		p.tick(pattern.Arrivals[len(pattern.Arrivals)-1].At + requestDeadline)
	}
}

// tick has the dispatcher process its queue periodically until a time.
func (p *dispatchPolicy) tick(until time.Duration) {
	p.dispatcher.DispatchQueue(p.now())
	p.startGranted()
	if p.sim.now < until {
		p.sim.schedule(p.sim.now+tickInterval, func() { p.tick(until) })
	}
}

func (p *dispatchPolicy) submit(a Arrival) {
	p.submitRequest(a, &dispatch.Request{Customer: a.Customer, Session: a.Session, NeedsPrimary: a.Kind == PrimaryOnly,
		FloorSentAt: a.At - a.FloorAge + clockOffset, DueAt: a.At + a.Objective + clockOffset, ExpiresAt: a.At + a.Deadline + clockOffset, Priority: a.Priority})
}

// submitRequest submits a new request, or one that a target refused to run.
func (p *dispatchPolicy) submitRequest(a Arrival, r *dispatch.Request) {
	lease, decision := p.dispatcher.Submit(p.now(), r)
	switch decision {
	case dispatch.Granted:
		p.runOnLease(a, r, lease)
	case dispatch.Queued:
		p.queued = append(p.queued, queuedRequest{r, a})
		p.sim.schedule(r.ExpiresAt-clockOffset, func() { p.expire(r) })
	default:
		p.outcome(a, Outcome{At: p.sim.now})
	}
}

// runOnLease executes a statement on the leased connection. If the target refuses it, the
// request is submitted again; a target that lacks its floor is then excluded.
func (p *dispatchPolicy) runOnLease(a Arrival, r *dispatch.Request, lease *dispatch.Lease) {
	newConn := lease.Conn == nil
	if newConn {
		p.dispatcher.Opened(p.now(), lease, new(int))
	}
	p.sim.execute(lease.Target, a, newConn, lease.Primary, func(result targetResult) {
		if result == timedOut {
			p.dispatcher.AbandonStatement(p.now(), lease)
			p.sim.schedule(p.sim.now+lateResponseWait, func() { p.dispatcher.Drop(p.now(), lease, false) })
			p.outcome(a, Outcome{At: p.sim.now})
			p.startGranted()
			return
		}
		p.dispatcher.EndStatement(p.now(), lease)
		if result == floorMissing {
			p.dispatcher.ObserveLagRefusal(p.now(), lease, r)
			r.Excluded = append(r.Excluded, lease.Target)
		}
		p.dispatcher.Release(p.now(), lease)
		p.dispatcher.TakeEvicted()
		if result == completed {
			p.outcome(a, Outcome{Served: true, At: p.sim.now, Primary: lease.Primary})
		} else {
			p.submitRequest(a, r)
		}
		p.startGranted()
	})
}

// startGranted starts the queued requests that the dispatcher has granted, and reports as
// refused those that it cannot serve before they expire.
func (p *dispatchPolicy) startGranted() {
	var stillQueued, granted []queuedRequest
	var leases []*dispatch.Lease
	for _, q := range p.queued {
		select {
		case lease := <-q.request.Granted():
			granted, leases = append(granted, q), append(leases, lease)
		default:
			stillQueued = append(stillQueued, q)
		}
	}
	p.queued = stillQueued
	for i, q := range granted {
		if leases[i] == nil {
			p.outcome(q.arrival, Outcome{At: p.sim.now})
			continue
		}
		p.runOnLease(q.arrival, q.request, leases[i])
	}
}

// expire removes a request from the queue at its deadline. If it was granted meanwhile, it
// runs on its lease.
func (p *dispatchPolicy) expire(r *dispatch.Request) {
	for i, q := range p.queued {
		if q.request != r {
			continue
		}
		p.queued = append(p.queued[:i:i], p.queued[i+1:]...)
		if lease := p.dispatcher.Abandon(r); lease != nil {
			p.runOnLease(q.arrival, r, lease)
			return
		}
		p.outcome(q.arrival, Outcome{At: p.sim.now})
		return
	}
}

// fifoQueueLimit is the number of queued requests at which further ones are refused.
const fifoQueueLimit = 256

// fifoPolicy is the baseline: one bounded queue in order of arrival. It selects targets
// round-robin, runs at most as many statements on each as it has slots, and drops queued
// requests only at their deadline.
type fifoPolicy struct {
	queueLimit int
	sim        *simulation
	pattern    Pattern
	outcome    func(Arrival, Outcome)
	queue      []fifoRequest
	// running counts the statements in progress at each target.
	running map[topology.TargetID]int
	// lastTarget counts the targets that the round-robin has tried. Modulo the number of
	// targets it is the index of the one tried last.
	lastTarget int
}

// fifoRequest is a queued arrival. It is restricted to the primary by its kind, or after a
// replica that lacked its floor refused it.
type fifoRequest struct {
	Arrival
	primaryOnly bool
}

// Name implements Policy.
func (*fifoPolicy) Name() string { return "fifo" }

func (p *fifoPolicy) begin(sim *simulation, pattern Pattern, outcome func(Arrival, Outcome)) {
	p.sim, p.pattern, p.outcome, p.queue, p.lastTarget = sim, pattern, outcome, nil, 0
	p.running = make(map[topology.TargetID]int)
}

func (p *fifoPolicy) submit(a Arrival) {
	if len(p.queue) >= p.queueLimit {
		p.outcome(a, Outcome{At: p.sim.now})
		return
	}
	p.queue = append(p.queue, fifoRequest{a, a.Kind == PrimaryOnly})
	p.startQueued()
}

// startQueued starts requests from the head of the queue until the first one has no target.
func (p *fifoPolicy) startQueued() {
	for len(p.queue) > 0 {
		request := p.queue[0]
		if p.sim.now >= request.At+request.Deadline {
			p.queue = p.queue[1:]
			p.outcome(request.Arrival, Outcome{At: p.sim.now})
			continue
		}
		target, ok := p.selectTarget(request)
		if !ok {
			return
		}
		p.queue = p.queue[1:]
		p.running[target]++
		primary := target == p.pattern.Targets[0].ID
		p.sim.execute(target, request.Arrival, false, primary, func(result targetResult) {
			p.running[target]--
			switch result {
			case completed:
				p.outcome(request.Arrival, Outcome{Served: true, At: p.sim.now, Primary: primary})
			case timedOut:
				p.outcome(request.Arrival, Outcome{At: p.sim.now})
			default:
				request.primaryOnly = true
				p.queue = append([]fifoRequest{request}, p.queue...)
			}
			p.startQueued()
		})
	}
}

// selectTarget returns the next target in turn that has a free slot, or the primary if the
// request must run there and it has one. It returns false if there is none.
func (p *fifoPolicy) selectTarget(request fifoRequest) (topology.TargetID, bool) {
	targets := p.pattern.Targets
	if request.primaryOnly {
		return targets[0].ID, p.running[targets[0].ID] < targets[0].Slots
	}
	for range targets {
		p.lastTarget++
		if t := targets[p.lastTarget%len(targets)]; p.running[t.ID] < t.Slots {
			return t.ID, true
		}
	}
	return "", false
}
