package group

import (
	"fmt"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/group/grouptest"
	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// acknowledgement is an acknowledged write.
type acknowledgement struct {
	label          int
	acknowledgedAt time.Duration
	point          topology.Point
}

// oracle records which writes were acknowledged and which were reported as not run,
// and checks the guarantees: every acknowledged write is kept exactly once and visible
// to the reads that have to see it, no write that was reported as not run exists, and
// each term has one primary. Violations are collected in failures.
type oracle struct {
	sim             *simulation
	acknowledged    []acknowledgement
	notRun          []int
	unknownOutcomes int
	reads           int
	ageBounds       int
	resolvedCommits int
	promotedAt      map[topology.Term]time.Duration
	gaps            []promotion.FailoverGap
	failures        []string
}

func (o *oracle) failf(format string, args ...any) {
	o.failures = append(o.failures, fmt.Sprintf("at %v: ", o.sim.now)+fmt.Sprintf(format, args...))
}

// promote promotes a member. Unless a higher term has a primary already, it checks the
// member's log.
func (o *oracle) promote(m *grouptest.Member, term topology.Term) error {
	if err := o.sim.group.Promote(m, term); err != nil {
		return err
	}
	o.promotedAt[term] = o.sim.now
	if primaries := o.sim.group.Primaries[term]; len(primaries) > 1 {
		o.failf("term %d has primaries %v", term, primaries)
	}
	for other := range o.promotedAt {
		if other > term {
			return nil
		}
	}
	o.checkLog(m, "new primary")
	return nil
}

// checkLog checks that an authoritative log holds every acknowledged write exactly once
// and no write that was reported as not run.
func (o *oracle) checkLog(m *grouptest.Member, role string) {
	count := make(map[int]int)
	for _, entry := range m.Log {
		if entry.Transaction != 0 {
			count[entry.Label]++
		}
	}
	for _, a := range o.acknowledged {
		if count[a.label] != 1 {
			o.failf("%s %s holds acknowledged write %d %d times", role, m.ID, a.label, count[a.label])
		}
	}
	for _, label := range o.notRun {
		if count[label] != 0 {
			o.failf("%s %s holds write %d, which was reported as not run", role, m.ID, label)
		}
	}
}

// acknowledge records a write that was acknowledged after ConfirmCommit or, if resolved
// is set, after ResolveTransaction. A confirmation must not come from a primary that
// was replaced longer ago than MaxConfirmationAge.
func (o *oracle) acknowledge(label int, commit Commit, point topology.Point, resolved bool) {
	o.acknowledged = append(o.acknowledged, acknowledgement{label: label, acknowledgedAt: o.sim.now, point: point})
	if resolved {
		o.resolvedCommits++
		return
	}
	for term, at := range o.promotedAt {
		if term > commit.Term && at < o.sim.now-o.sim.roundsConfig.MaxConfirmationAge {
			o.failf("write %d acknowledged by %s of term %d, replaced at term %d since %v", label, commit.Target, commit.Term, term, at)
		}
	}
}

// write runs a write through an instance: it begins and commits a transaction, confirms
// the commit and, if that fails, resolves the transaction.
func (o *oracle) write(instance *simInstance) {
	s := o.sim
	view := instance.rounds.View()
	if view.Primary == "" {
		return
	}
	s.lastLabel++
	label, commit := s.lastLabel, Commit{Target: view.Primary, Term: view.Term}
	s.call(instance, commit.Target, func(m *grouptest.Member) func() {
		transaction := m.Begin()
		return func() {
			if transaction != nil {
				o.commit(instance, commit, transaction, label)
			}
		}
	}, func() {})
}

func (o *oracle) commit(instance *simInstance, commit Commit, transaction *grouptest.Transaction, label int) {
	o.sim.call(instance, commit.Target, func(m *grouptest.Member) func() {
		committed := m.Commit(transaction, label)
		return func() {
			if committed {
				o.confirm(instance, commit, transaction, label)
				return
			}
			o.resolve(instance, commit, transaction, label)
		}
	}, func() { o.resolve(instance, commit, transaction, label) })
}

func (o *oracle) confirm(instance *simInstance, commit Commit, transaction *grouptest.Transaction, label int) {
	resolve := func() { o.resolve(instance, commit, transaction, label) }
	instance.wait(Condition{Kind: ConditionCommit, Commit: commit}, time.Second, func(r WaitResult) {
		if r.Replaced {
			resolve()
			return
		}
		o.acknowledge(label, commit, r.Point, false)
	}, resolve)
}

func (o *oracle) resolve(instance *simInstance, commit Commit, transaction *grouptest.Transaction, label int) {
	condition := Condition{Kind: ConditionOutcome, Commit: commit, Transaction: transaction.ID}
	instance.wait(condition, 5*time.Second, func(r WaitResult) {
		switch r.Outcome {
		case platform.OutcomeCommitted:
			o.acknowledge(label, commit, r.Point, true)
		case platform.OutcomeAbsent, platform.OutcomeAborted:
			o.notRun = append(o.notRun, label)
		default:
			o.failf("write %d resolved to %d", label, r.Outcome)
		}
	}, func() { o.unknownOutcomes++ })
}

// read runs a read with a floor that is requested on arrival, on each member whose last
// status reaches it. It checks that the read sees every write that was acknowledged
// before it arrived.
func (o *oracle) read(instance *simInstance) {
	acknowledgedBefore := slices.Clone(o.acknowledged)
	instance.wait(Condition{Kind: ConditionFloor}, time.Second, func(r WaitResult) {
		for _, a := range acknowledgedBefore {
			if !r.Point.Reaches(a.point) {
				o.failf("floor %v is before acknowledged %v", r.Point, a.point)
			}
		}
		o.readAtFloor(instance, r.Point, acknowledgedBefore)
	}, func() {})
}

// readOwnWrite runs a read whose floor is the point of one acknowledged write, as a
// caller's token gives it.
func (o *oracle) readOwnWrite(instance *simInstance) {
	if len(o.acknowledged) > 0 {
		own := o.acknowledged[o.sim.random.IntN(len(o.acknowledged))]
		o.readAtFloor(instance, own.point, []acknowledgement{own})
	}
}

func (o *oracle) readAtFloor(instance *simInstance, floor topology.Point, visible []acknowledgement) {
	for _, target := range instance.rounds.View().Targets {
		if !target.Known || !target.Status.Replayed.Reaches(floor) {
			continue
		}
		o.sim.call(instance, target.ID, func(m *grouptest.Member) func() {
			o.reads++
			o.checkVisible(m, visible, "read at a floor")
			return func() {}
		}, func() {})
	}
}

// checkAgeBounds checks that each member shows every write that was acknowledged longer
// ago than the age bound in the instance's view.
func (o *oracle) checkAgeBounds(instance *simInstance) {
	view := instance.rounds.View()
	for _, m := range o.sim.group.Members {
		age, known := view.AgeBound(m.ID, o.sim.now)
		if !known {
			continue
		}
		o.ageBounds++
		expected := slices.DeleteFunc(slices.Clone(o.acknowledged), func(a acknowledgement) bool { return a.acknowledgedAt > o.sim.now-age })
		o.checkVisible(m, expected, fmt.Sprintf("read of age %v", age))
	}
}

func (o *oracle) checkVisible(m *grouptest.Member, visible []acknowledgement, what string) {
	for _, a := range visible {
		if !m.Holds(a.label, m.Replayed) {
			o.failf("%s on %s misses write %d at %v", what, m.ID, a.label, a.point)
		}
	}
}
