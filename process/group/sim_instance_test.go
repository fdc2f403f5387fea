package group

import (
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/topology"
)

// simInstance is one simulated instance. It drives Rounds and the promotion
// coordinator as Driver does in production. generation counts its restarts.
type simInstance struct {
	sim          *simulation
	index        int
	generation   int
	rounds       *Rounds
	promotion    *promotion.Coordinator
	waiters      map[WaiterID]func(WaitResult)
	lastWaiterID WaiterID
	wakeAt       time.Duration
	pausedUntil  time.Duration
}

func newSimInstance(s *simulation, index int) *simInstance {
	instance := &simInstance{sim: s, index: index}
	instance.restart()
	return instance
}

// restart replaces the instance by a new process without any state.
func (instance *simInstance) restart() {
	s := instance.sim
	instance.generation++
	instance.waiters = make(map[WaiterID]func(WaitResult))
	instance.wakeAt = never
	instance.rounds = NewRounds("ledger", s.roundsConfig)
	config := s.promotionConfig
	config.Self, config.Domain = instanceOf(instance.index), domainOf(instance.index)
	instance.promotion = promotion.New(config, rand.New(rand.NewPCG(s.random.Uint64(), 1)))
	var peers []promotion.Peer
	for i := range simInstances {
		peers = append(peers, promotion.Peer{ID: instanceOf(i), Domain: domainOf(i)})
	}
	instance.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
		targets := testTargets("a", "b", "c")
		instance.rounds.SetTargets(now, targets, out)
		instance.rounds.SetWatching(now, true, out)
		var members []promotion.Target
		for _, target := range targets {
			members = append(members, promotion.Target(target))
		}
		instance.promotion.SetTargets(members)
		instance.promotion.SetWatchers(promotion.NewRing(peers).Watchers("ledger"))
	})
}

func (instance *simInstance) name() string { return string(instanceOf(instance.index)) }

// deliver runs an event on the instance. If the instance is paused, the event runs
// after the pause.
func (instance *simInstance) deliver(run func()) {
	if instance.pausedUntil > instance.sim.now {
		instance.sim.schedule(instance.pausedUntil-instance.sim.now, func() { instance.deliver(run) })
		return
	}
	run()
}

// step runs an event and carries out the requests and actions that it issues.
func (instance *simInstance) step(run func(now time.Duration, out *Output, actions *[]promotion.Action)) {
	var out Output
	var actions []promotion.Action
	now := instance.sim.now
	run(now, &out, &actions)
	for _, request := range out.StatusRequests {
		instance.requestStatus(request)
	}
	for _, query := range out.TransactionQueries {
		instance.queryTransaction(query)
	}
	for _, result := range out.Results {
		if done, open := instance.waiters[result.Waiter]; open {
			delete(instance.waiters, result.Waiter)
			done(result)
		}
	}
	for _, action := range actions {
		instance.execute(action)
	}
	instance.scheduleTick(now)
}

// scheduleTick schedules the next tick, unless an earlier one is scheduled already.
func (instance *simInstance) scheduleTick(now time.Duration) {
	deadline := instance.rounds.Deadline(now)
	if at, due := instance.promotion.Deadline(now); due {
		deadline = min(deadline, at)
	}
	if deadline >= instance.wakeAt {
		return
	}
	instance.wakeAt = deadline
	generation := instance.generation
	instance.sim.schedule(max(deadline-now, 100*time.Microsecond), func() {
		instance.deliver(func() {
			if instance.generation != generation || instance.wakeAt != deadline {
				return
			}
			instance.wakeAt = never
			instance.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
				instance.rounds.Tick(now, out)
				instance.promotion.Tick(now, actions)
			})
		})
	})
}

// wait adds a waiter to the rounds. After the limit it removes the waiter and runs
// expired.
func (instance *simInstance) wait(condition Condition, limit time.Duration, done func(WaitResult), expired func()) {
	instance.lastWaiterID++
	id := instance.lastWaiterID
	instance.waiters[id] = done
	instance.step(func(now time.Duration, out *Output, _ *[]promotion.Action) {
		instance.rounds.AddWaiter(now, id, condition, out)
	})
	generation := instance.generation
	instance.sim.schedule(limit, func() {
		instance.deliver(func() {
			if _, open := instance.waiters[id]; open && instance.generation == generation {
				delete(instance.waiters, id)
				instance.rounds.RemoveWaiter(id)
				expired()
			}
		})
	})
}

func (instance *simInstance) requestStatus(request StatusRequest) {
	requestedAt := instance.sim.now
	instance.sim.call(instance, request.Target.ID, func(m *grouptest.Member) func() {
		status := m.Status()
		return func() {
			instance.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
				instance.rounds.HandleStatus(now, request.Sequence, status, out)
				instance.promotion.HandleStatus(now, requestedAt, status.Target, status, actions)
			})
		}
	}, func() {
		instance.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
			instance.rounds.HandleStatusFailure(now, request.Sequence, out)
			instance.promotion.HandleStatusFailure(now, requestedAt, request.Target.ID, actions)
		})
	})
}

func (instance *simInstance) queryTransaction(query TransactionQuery) {
	instance.sim.call(instance, query.Target.ID, func(m *grouptest.Member) func() {
		report := m.TransactionStatus(query.Transaction)
		return func() {
			instance.step(func(now time.Duration, out *Output, _ *[]promotion.Action) {
				instance.rounds.HandleReport(now, query.Waiter, report, out)
			})
		}
	}, func() {
		instance.step(func(now time.Duration, out *Output, _ *[]promotion.Action) {
			instance.rounds.HandleReportFailure(now, query.Waiter, out)
		})
	})
}

func (instance *simInstance) execute(action promotion.Action) {
	s := instance.sim
	switch action.Kind {
	case promotion.ActionRequestObservations:
		for i, other := range s.instances {
			if i != instance.index {
				instance.requestObservation(other, action.ObservationRequest)
			}
		}
	case promotion.ActionClaim:
		instance.requestClaim(action)
	case promotion.ActionReleaseClaim:
		if s.claimHolder == instance.index {
			s.claimHolder = -1
		}
	case promotion.ActionFence:
		instance.sendControlRequest(action, s.group.Fence, func(now time.Duration, status topology.Status, outcome promotion.ControlOutcome, actions *[]promotion.Action) {
			instance.promotion.HandleFence(now, action.PhaseID, action.Target.ID, status, outcome, actions)
		})
	case promotion.ActionPromote:
		instance.sendControlRequest(action, s.oracle.promote, func(now time.Duration, status topology.Status, outcome promotion.ControlOutcome, actions *[]promotion.Action) {
			instance.promotion.HandlePromotion(now, action.PhaseID, status, outcome, actions)
		})
	case promotion.ActionCheckPromotion:
		requestStatusOnly := func(*grouptest.Member, topology.Term) error { return nil }
		instance.sendControlRequest(action, requestStatusOnly, func(now time.Duration, status topology.Status, outcome promotion.ControlOutcome, actions *[]promotion.Action) {
			instance.promotion.HandlePromotionCheck(now, action.PhaseID, status, outcome, actions)
		})
	case promotion.ActionReportGap:
		s.oracle.gaps = append(s.oracle.gaps, action.Gap)
	}
}

func (instance *simInstance) requestObservation(other *simInstance, request promotion.ObservationRequest) {
	s := instance.sim
	s.send(instance.name(), other.name(), func() {
		other.deliver(func() {
			response := promotion.ObservationResponse{Number: request.Number, Observation: other.promotion.ObservePrimary(s.now, request.Term)}
			s.send(other.name(), instance.name(), func() {
				instance.deliver(func() {
					instance.step(func(now time.Duration, _ *Output, actions *[]promotion.Action) {
						instance.promotion.HandleObservation(now, instanceOf(other.index), response, actions)
					})
				})
			})
		})
	})
}

// requestClaim attempts the claim in the simulated store, which may be unavailable.
func (instance *simInstance) requestClaim(action promotion.Action) {
	s := instance.sim
	outcome := promotion.ClaimUnavailable
	if !s.storeUnavailable {
		outcome = promotion.ClaimHeldByOther
		if s.claimHolder < 0 || s.now >= s.claimUntil {
			s.claimHolder, s.claimUntil = instance.index, s.now+2*time.Second
			outcome = promotion.ClaimGranted
		}
	}
	s.schedule(6*time.Millisecond, func() {
		instance.deliver(func() {
			instance.step(func(now time.Duration, _ *Output, actions *[]promotion.Action) {
				instance.promotion.HandleClaim(now, action.PhaseID, outcome, actions)
			})
		})
	})
}

// sendControlRequest sends a fence, promotion or status request to a member and passes
// the result to done.
func (instance *simInstance) sendControlRequest(
	action promotion.Action,
	run func(*grouptest.Member, topology.Term) error,
	done func(time.Duration, topology.Status, promotion.ControlOutcome, *[]promotion.Action),
) {
	finish := func(status topology.Status, outcome promotion.ControlOutcome) func() {
		return func() {
			instance.step(func(now time.Duration, out *Output, actions *[]promotion.Action) {
				done(now, status, outcome, actions)
				instance.rounds.Poll(now, out)
			})
		}
	}
	instance.sim.call(instance, action.Target.ID, func(m *grouptest.Member) func() {
		err := run(m, action.Term)
		return finish(m.Status(), controlOutcome(err))
	}, finish(topology.Status{}, promotion.ControlIndeterminate))
}
