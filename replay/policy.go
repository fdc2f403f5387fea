package replay

import (
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/dispatch"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Policy decides on the arrivals of one run.
type Policy interface {
	// Name is shown in tables.
	Name() string
	// begin prepares a run; outcome is told once for each arrival.
	begin(w *world, p Pattern, outcome func(Arrival, Outcome))
	submit(a Arrival)
}

// Outcome is what became of an arrival.
type Outcome struct {
	Served bool
	At     time.Duration
	// Primary reports that the primary served it.
	Primary bool
}

// Policies returns the product's decisions and the baselines.
func Policies() []Policy { return []Policy{&dispatcher{}, &fifo{bound: fifoBound}} }

// dispatcher is process/dispatch with a driver in virtual time.
type dispatcher struct {
	world   *world
	d       *dispatch.Dispatcher
	outcome func(Arrival, Outcome)
	waiting []waiter
}

type waiter struct {
	request *dispatch.Request
	arrival Arrival
}

// Name implements Policy.
func (*dispatcher) Name() string { return "dispatch" }

// offset keeps ages of seconds positive in the dispatcher's time.
const offset = time.Minute

func (p *dispatcher) now() time.Duration { return p.world.now + offset }

func (p *dispatcher) begin(w *world, pattern Pattern, outcome func(Arrival, Outcome)) {
	p.world, p.outcome, p.waiting = w, outcome, nil
	p.d = dispatch.New(dispatch.Config{Service: "s", FailureDomain: "x"})
	targets := make(map[topology.TargetID]directory.Target)
	for _, t := range pattern.Targets {
		targets[t.ID] = directory.Target{ID: t.ID, Service: "s", FailureDomain: "x", Slots: t.Slots}
	}
	p.d.SetTargets(p.now(), targets)
	p.d.SetPrimary(p.now(), pattern.Targets[0].ID)
	p.d.SetConnectionLimit(p.now(), pattern.Connections)
}

func (p *dispatcher) submit(a Arrival) {
	p.ask(a, &dispatch.Request{Customer: a.Customer, Session: a.Session, NeedsPrimary: a.Kind == Primary,
		FloorSentAt: a.At - a.FloorAge + offset, DueAt: a.At + a.Objective + offset, ExpiresAt: a.At + a.Deadline + offset, Priority: a.Priority})
}

func (p *dispatcher) ask(a Arrival, r *dispatch.Request) {
	lease, verdict := p.d.Submit(p.now(), r)
	switch verdict {
	case dispatch.Granted:
		p.start(a, r, lease)
	case dispatch.Queued:
		p.waiting = append(p.waiting, waiter{r, a})
		p.world.at(r.ExpiresAt-offset, func() { p.expire(r) })
	default:
		p.outcome(a, Outcome{At: p.world.now})
	}
}

func (p *dispatcher) start(a Arrival, r *dispatch.Request, lease *dispatch.Lease) {
	opening := lease.Conn == nil
	if opening {
		p.d.Opened(p.now(), lease, new(int))
	}
	p.world.execute(lease.Target, a, opening, lease.Primary, func(said answer) {
		p.d.EndStatement(p.now(), lease)
		if said == lagging {
			p.d.ObserveLagRefusal(p.now(), lease, r)
			r.Excluded = append(r.Excluded, lease.Target)
		}
		p.d.Release(p.now(), lease)
		p.d.TakeEvicted()
		if said == done {
			p.outcome(a, Outcome{Served: true, At: p.world.now, Primary: lease.Primary})
		} else {
			p.ask(a, r)
		}
		p.collect()
	})
}

// collect starts what was granted meanwhile.
func (p *dispatcher) collect() {
	var rest, granted []waiter
	var leases []*dispatch.Lease
	for _, w := range p.waiting {
		select {
		case lease := <-w.request.Granted():
			granted, leases = append(granted, w), append(leases, lease)
		default:
			rest = append(rest, w)
		}
	}
	p.waiting = rest
	for i, w := range granted {
		if leases[i] == nil {
			p.outcome(w.arrival, Outcome{At: p.world.now})
			continue
		}
		p.start(w.arrival, w.request, leases[i])
	}
}

func (p *dispatcher) expire(r *dispatch.Request) {
	for i, w := range p.waiting {
		if w.request != r {
			continue
		}
		p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
		if lease := p.d.Abandon(r); lease != nil {
			p.start(w.arrival, r, lease)
			return
		}
		p.outcome(w.arrival, Outcome{At: p.world.now})
		return
	}
}

// fifoBound is how many requests wait before more are refused.
const fifoBound = 256

// fifo is the baseline: one queue in order of arrival with a fixed bound, targets in
// turn, as many statements in flight as slots, no refusal before the deadline.
type fifo struct {
	bound   int
	world   *world
	pattern Pattern
	outcome func(Arrival, Outcome)
	queue   []fifoJob
	running map[topology.TargetID]int
	next    int
}

// fifoJob is an arrival, for the primary alone after a replica lacked its floor.
type fifoJob struct {
	Arrival
	primaryOnly bool
}

// Name implements Policy.
func (*fifo) Name() string { return "fifo" }

func (p *fifo) begin(w *world, pattern Pattern, outcome func(Arrival, Outcome)) {
	p.world, p.pattern, p.outcome, p.queue, p.next = w, pattern, outcome, nil, 0
	p.running = make(map[topology.TargetID]int)
}

func (p *fifo) submit(a Arrival) {
	if len(p.queue) >= p.bound {
		p.outcome(a, Outcome{At: p.world.now})
		return
	}
	p.queue = append(p.queue, fifoJob{a, a.Kind == Primary})
	p.pump()
}

func (p *fifo) pump() {
	for len(p.queue) > 0 {
		a := p.queue[0]
		if p.world.now >= a.At+a.Deadline {
			p.queue = p.queue[1:]
			p.outcome(a.Arrival, Outcome{At: p.world.now})
			continue
		}
		at, ok := p.choose(a)
		if !ok {
			return
		}
		p.queue = p.queue[1:]
		p.running[at]++
		primary := at == p.pattern.Targets[0].ID
		p.world.execute(at, a.Arrival, false, primary, func(said answer) {
			p.running[at]--
			switch said {
			case done:
				p.outcome(a.Arrival, Outcome{Served: true, At: p.world.now, Primary: primary})
			default:
				a.primaryOnly = true
				p.queue = append([]fifoJob{a}, p.queue...)
			}
			p.pump()
		})
	}
}

// choose takes the targets in turn.
func (p *fifo) choose(a fifoJob) (topology.TargetID, bool) {
	targets := p.pattern.Targets
	if a.primaryOnly {
		return targets[0].ID, p.running[targets[0].ID] < targets[0].Slots
	}
	for range targets {
		p.next++
		if t := targets[p.next%len(targets)]; p.running[t.ID] < t.Slots {
			return t.ID, true
		}
	}
	return "", false
}
