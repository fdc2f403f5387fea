package group

import (
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/topology"
)

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
				d.promotion.HandleStatus(now, sent, status.Target, status, actions)
			})
		}
	}, func() {
		d.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
			d.rounds.Failed(now, ask.Sequence, out)
			d.promotion.HandleStatusFailure(now, sent, ask.Target.ID, actions)
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
	case promotion.ActionRequestObservations:
		for i, other := range s.daemons {
			if i != d.index {
				d.inquire(other, action.ObservationRequest)
			}
		}
	case promotion.ActionClaim:
		d.claim(action)
	case promotion.ActionReleaseClaim:
		if s.claimHolder == d.index {
			s.claimHolder = -1
		}
	case promotion.ActionFence:
		d.order(action, s.group.Fence, func(now time.Duration, status topology.Status, outcome promotion.ControlOutcome, actions *[]promotion.Action) {
			d.promotion.HandleFence(now, action.PhaseID, action.Target.ID, status, outcome, actions)
		})
	case promotion.ActionPromote:
		d.order(action, s.oracle.promote, func(now time.Duration, status topology.Status, outcome promotion.ControlOutcome, actions *[]promotion.Action) {
			d.promotion.HandlePromotion(now, action.PhaseID, status, outcome, actions)
		})
	case promotion.ActionCheckPromotion:
		nothing := func(*grouptest.Member, topology.Term) error { return nil }
		d.order(action, nothing, func(now time.Duration, status topology.Status, outcome promotion.ControlOutcome, actions *[]promotion.Action) {
			d.promotion.HandlePromotionCheck(now, action.PhaseID, status, outcome, actions)
		})
	case promotion.ActionReportGap:
		s.oracle.gaps = append(s.oracle.gaps, action.Gap)
	}
}

func (d *simDaemon) inquire(other *simDaemon, inquiry promotion.ObservationRequest) {
	s := d.sim
	s.message(d.name(), other.name(), func() {
		other.deliver(func() {
			opinion := promotion.ObservationResponse{Number: inquiry.Number, Observation: other.promotion.ObservePrimary(s.now, inquiry.Term)}
			s.message(other.name(), d.name(), func() {
				d.deliver(func() {
					d.step(func(now time.Duration, _ *Output, actions *[]promotion.Action) {
						d.promotion.HandleObservation(now, instanceOf(other.index), opinion, actions)
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
		outcome = promotion.ClaimHeldByOther
		if s.claimHolder < 0 || s.now >= s.claimUntil {
			s.claimHolder, s.claimUntil = d.index, s.now+2*time.Second
			outcome = promotion.ClaimGranted
		}
	}
	s.after(6*time.Millisecond, func() {
		d.deliver(func() {
			d.step(func(now time.Duration, _ *Output, actions *[]promotion.Action) {
				d.promotion.HandleClaim(now, action.PhaseID, outcome, actions)
			})
		})
	})
}

// order sends a fence, a promotion or a status request.
func (d *simDaemon) order(
	action promotion.Action,
	run func(*grouptest.Member, topology.Term) error,
	done func(time.Duration, topology.Status, promotion.ControlOutcome, *[]promotion.Action),
) {
	finish := func(status topology.Status, outcome promotion.ControlOutcome) func() {
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
	}, finish(topology.Status{}, promotion.ControlIndeterminate))
}
