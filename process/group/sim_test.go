package group

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/topology"
)

// event is a step of the simulation.
type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim runs the coordinators of several daemons against one group, in virtual
// time and in one goroutine, so that a seed gives one run.
type sim struct {
	now     time.Duration
	queue   simQueue
	order   int
	random  *rand.Rand
	group   *grouptest.Group
	daemons []*simDaemon
	oracle  oracle
	// cut holds severed links, each in one direction.
	cut map[string]bool
	// lossy and slow are chances, in percent, that a message is lost, or takes
	// up to slowDelay.
	lossy, slow, doubled int
	storeDown            bool
	stopped              map[topology.TargetID]bool
	// claim is the store's entry.
	claimHolder int
	claimUntil  time.Duration
	labels      int
	rounds      RoundsConfig
	promotion   promotion.Config
}

const (
	simDaemons   = 4
	simTimeout   = 200 * time.Millisecond
	simSlowDelay = 1500 * time.Millisecond
	storeName    = "store"
)

func newSim(seed uint64) *sim {
	s := &sim{
		random:      rand.New(rand.NewPCG(seed, 7)),
		group:       grouptest.New("a", "b", "c"),
		cut:         make(map[string]bool),
		stopped:     make(map[topology.TargetID]bool),
		claimHolder: -1,
		rounds:      DefaultRoundsConfig(),
		promotion:   promotion.DefaultConfig("", ""),
	}
	s.oracle.sim = s
	s.oracle.promotedAt = make(map[topology.Term]time.Duration)
	return s
}

func (s *sim) start() {
	for i := range simDaemons {
		s.daemons = append(s.daemons, newSimDaemon(s, i))
	}
	s.after(time.Millisecond, s.replicate)
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now + d, order: s.order, run: run})
}

// advance runs the events of the next d.
func (s *sim) advance(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = event.at
		event.run()
	}
	s.now = end
}

func (s *sim) chance(percent int) bool { return s.random.IntN(100) < percent }

// message carries run over a link, or loses, delays or doubles it.
func (s *sim) message(from, to string, run func()) {
	copies := 1
	if s.chance(s.doubled) {
		copies = 2
	}
	for range copies {
		if s.cut[from+">"+to] || s.chance(s.lossy) {
			continue
		}
		delay := 500*time.Microsecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
		if s.chance(s.slow) {
			delay += time.Duration(s.random.Int64N(int64(simSlowDelay)))
		}
		s.after(delay, func() {
			if !s.cut[from+">"+to] {
				run()
			}
		})
	}
}

// call runs a request on a member and hands its answer to done, or false once
// the timeout has passed. The request may take effect later than that.
func (s *sim) call(d *simDaemon, id topology.TargetID, serve func(m *grouptest.Member) func(), lost func()) {
	generation, open := d.generation, true
	finish := func(run func()) {
		d.deliver(func() {
			if open && d.generation == generation {
				open = false
				run()
			}
		})
	}
	s.message(d.name(), string(id), func() {
		if s.stopped[id] {
			return
		}
		answer := serve(s.group.Member(id))
		s.message(string(id), d.name(), func() { finish(answer) })
	})
	s.after(simTimeout, func() { finish(lost) })
}

// replicate streams a little from every primary, and replays.
func (s *sim) replicate() {
	for _, from := range s.group.Members {
		for _, to := range s.group.Members {
			severed := s.cut[string(from.ID)+">"+string(to.ID)] || s.stopped[from.ID] || s.stopped[to.ID]
			if !severed && s.chance(60) {
				s.group.Replicate(from, to, 1+s.random.IntN(3))
			}
		}
		if s.chance(40) && !s.stopped[from.ID] {
			from.Replay(1 + s.random.IntN(3))
		}
	}
	s.after(time.Duration(1+s.random.IntN(8))*time.Millisecond, s.replicate)
}

// simDaemon is one daemon: the coordinators and the glue that Driver has in
// production.
type simDaemon struct {
	sim         *sim
	index       int
	generation  int
	rounds      *Rounds
	promotion   *promotion.Coordinator
	waiters     map[WaiterID]func(Result)
	next        WaiterID
	armed       time.Duration
	pausedUntil time.Duration
}

func newSimDaemon(s *sim, index int) *simDaemon {
	d := &simDaemon{sim: s, index: index}
	d.restart()
	return d
}

// restart replaces the daemon's process: it keeps nothing.
func (d *simDaemon) restart() {
	s := d.sim
	d.generation++
	d.waiters = make(map[WaiterID]func(Result))
	d.armed = never
	d.rounds = NewRounds("ledger", s.rounds)
	config := s.promotion
	config.Self, config.Domain = instanceOf(d.index), domainOf(d.index)
	d.promotion = promotion.New(config, rand.New(rand.NewPCG(s.random.Uint64(), 1)))
	var peers []promotion.Peer
	for i := range simDaemons {
		peers = append(peers, promotion.Peer{ID: instanceOf(i), Domain: domainOf(i)})
	}
	d.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
		targets := testTargets("a", "b", "c")
		d.rounds.SetTargets(now, targets, out)
		d.rounds.SetWatching(now, true, out)
		var members []promotion.Target
		for _, target := range targets {
			members = append(members, promotion.Target(target))
		}
		d.promotion.SetTargets(members)
		d.promotion.SetWatchers(promotion.NewRing(peers).Watchers("ledger"))
	})
}

func (d *simDaemon) name() string { return string(instanceOf(d.index)) }

// deliver runs an event on the daemon, after its pause if it is paused.
func (d *simDaemon) deliver(run func()) {
	if d.pausedUntil > d.sim.now {
		d.sim.after(d.pausedUntil-d.sim.now, func() { d.deliver(run) })
		return
	}
	run()
}

func (d *simDaemon) step(run func(now time.Duration, out *Output, actions *[]promotion.Action)) {
	var out Output
	var actions []promotion.Action
	now := d.sim.now
	run(now, &out, &actions)
	for _, ask := range out.Asks {
		d.ask(ask)
	}
	for _, query := range out.Queries {
		d.query(query)
	}
	for _, result := range out.Results {
		if done, open := d.waiters[result.Waiter]; open {
			delete(d.waiters, result.Waiter)
			done(result)
		}
	}
	for _, action := range actions {
		d.act(action)
	}
	d.arm(now)
}

func (d *simDaemon) arm(now time.Duration) {
	deadline := d.rounds.Deadline(now)
	if at, due := d.promotion.Deadline(now); due {
		deadline = min(deadline, at)
	}
	if deadline >= d.armed {
		return
	}
	d.armed = deadline
	generation := d.generation
	d.sim.after(max(deadline-now, 100*time.Microsecond), func() {
		d.deliver(func() {
			if d.generation != generation || d.armed != deadline {
				return
			}
			d.armed = never
			d.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
				d.rounds.Tick(now, out)
				d.promotion.Tick(now, actions)
			})
		})
	})
}

// wait joins the rounds and leaves them after the limit.
func (d *simDaemon) wait(need Need, limit time.Duration, done func(Result), expired func()) {
	d.next++
	id := d.next
	d.waiters[id] = done
	d.step(func(now time.Duration, out *Output, _ *[]promotion.Action) { d.rounds.Join(now, id, need, out) })
	generation := d.generation
	d.sim.after(limit, func() {
		d.deliver(func() {
			if _, open := d.waiters[id]; open && d.generation == generation {
				delete(d.waiters, id)
				d.rounds.Leave(id)
				expired()
			}
		})
	})
}

func (d *simDaemon) ask(ask Ask) {
	sent := d.sim.now
	d.sim.call(d, ask.Target.ID, func(m *grouptest.Member) func() {
		status := m.Status()
		return func() {
			d.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
				d.rounds.Answered(now, ask.Sequence, status, out)
				d.promotion.Answered(now, sent, status.Target, status, actions)
			})
		}
	}, func() {
		d.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
			d.rounds.Failed(now, ask.Sequence, out)
			d.promotion.Missed(now, sent, ask.Target.ID, actions)
		})
	})
}

func (d *simDaemon) query(query Query) {
	d.sim.call(d, query.Target.ID, func(m *grouptest.Member) func() {
		report := m.TransactionStatus(query.Transaction)
		return func() {
			d.step(func(now time.Duration, out *Output, _ *[]promotion.Action) {
				d.rounds.Reported(now, query.Waiter, report, out)
			})
		}
	}, func() {
		d.step(func(now time.Duration, out *Output, _ *[]promotion.Action) {
			d.rounds.QueryFailed(now, query.Waiter, out)
		})
	})
}

func (d *simDaemon) act(action promotion.Action) {
	s := d.sim
	switch action.Kind {
	case promotion.ActionInquire:
		for i, other := range s.daemons {
			if i != d.index {
				d.inquire(other, action.Inquiry)
			}
		}
	case promotion.ActionClaim:
		d.claim(action)
	case promotion.ActionRelease:
		if s.claimHolder == d.index {
			s.claimHolder = -1
		}
	case promotion.ActionFence:
		d.order(action, s.group.Fence, func(now time.Duration, status topology.Status, outcome promotion.Outcome, actions *[]promotion.Action) {
			d.promotion.Fenced(now, action.Attempt, action.Target.ID, status, outcome, actions)
		})
	case promotion.ActionPromote:
		d.order(action, s.oracle.promote, func(now time.Duration, status topology.Status, outcome promotion.Outcome, actions *[]promotion.Action) {
			d.promotion.Promoted(now, action.Attempt, status, outcome, actions)
		})
	case promotion.ActionSettle:
		nothing := func(*grouptest.Member, topology.Term) error { return nil }
		d.order(action, nothing, func(now time.Duration, status topology.Status, outcome promotion.Outcome, actions *[]promotion.Action) {
			d.promotion.Settled(now, action.Attempt, status, outcome, actions)
		})
	case promotion.ActionReport:
		s.oracle.gaps = append(s.oracle.gaps, action.Gap)
	}
}

func (d *simDaemon) inquire(other *simDaemon, inquiry promotion.Inquiry) {
	s := d.sim
	s.message(d.name(), other.name(), func() {
		other.deliver(func() {
			opinion := promotion.Opinion{Number: inquiry.Number, Sight: other.promotion.Sight(s.now, inquiry.Term)}
			s.message(other.name(), d.name(), func() {
				d.deliver(func() {
					d.step(func(now time.Duration, _ *Output, actions *[]promotion.Action) {
						d.promotion.Heard(now, instanceOf(other.index), opinion, actions)
					})
				})
			})
		})
	})
}

// claim asks the simulated store, which may be down and may lose its answer.
func (d *simDaemon) claim(action promotion.Action) {
	s := d.sim
	outcome := promotion.ClaimUnavailable
	if !s.storeDown {
		outcome = promotion.ClaimHeld
		if s.claimHolder < 0 || s.now >= s.claimUntil {
			s.claimHolder, s.claimUntil = d.index, s.now+2*time.Second
			outcome = promotion.ClaimGranted
		}
	}
	s.after(6*time.Millisecond, func() {
		d.deliver(func() {
			d.step(func(now time.Duration, _ *Output, actions *[]promotion.Action) {
				d.promotion.Claimed(now, action.Attempt, outcome, actions)
			})
		})
	})
}

// order sends a fence, a promotion or a status request.
func (d *simDaemon) order(
	action promotion.Action,
	run func(*grouptest.Member, topology.Term) error,
	done func(time.Duration, topology.Status, promotion.Outcome, *[]promotion.Action),
) {
	finish := func(status topology.Status, outcome promotion.Outcome) func() {
		return func() {
			d.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
				done(now, status, outcome, actions)
				d.rounds.Poll(now, out)
			})
		}
	}
	d.sim.call(d, action.Target.ID, func(m *grouptest.Member) func() {
		err := run(m, action.Term)
		return finish(m.Status(), orderOutcome(err))
	}, finish(topology.Status{}, promotion.OutcomeLost))
}
