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

// ack is an acknowledged write.
type ack struct {
	label int
	at    time.Duration
	point topology.Point
}

// oracle knows which writes were acknowledged or refused as not run, and checks
// the promises.
type oracle struct {
	sim        *sim
	acks       []ack
	notRun     []int
	unknown    int
	reads      int
	aged       int
	resolved   int
	promotedAt map[topology.Term]time.Duration
	gaps       []promotion.Gap
	failures   []string
}

func (o *oracle) failf(format string, args ...any) {
	o.failures = append(o.failures, fmt.Sprintf("at %v: ", o.sim.now)+fmt.Sprintf(format, args...))
}

// promote promotes a member and checks its log.
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

// checkLog checks that a log that speaks for the group has every acknowledged
// write once and none that was said not to have run.
func (o *oracle) checkLog(m *grouptest.Member, who string) {
	count := make(map[int]int)
	for _, entry := range m.Log {
		if entry.Transaction != 0 {
			count[entry.Label]++
		}
	}
	for _, a := range o.acks {
		if count[a.label] != 1 {
			o.failf("%s %s holds acknowledged write %d %d times", who, m.ID, a.label, count[a.label])
		}
	}
	for _, label := range o.notRun {
		if count[label] != 0 {
			o.failf("%s %s holds write %d, which was said not to have run", who, m.ID, label)
		}
	}
}

// acknowledge records an acknowledgement given by ConfirmCommit or, resolved, by
// ResolveTransaction.
func (o *oracle) acknowledge(label int, commit Commit, point topology.Point, resolved bool) {
	o.acks = append(o.acks, ack{label: label, at: o.sim.now, point: point})
	if resolved {
		o.resolved++
		return
	}
	for term, at := range o.promotedAt {
		if term > commit.Term && at < o.sim.now-o.sim.rounds.EvidenceWindow {
			o.failf("write %d acknowledged by %s of term %d, replaced at term %d since %v", label, commit.Target, commit.Term, term, at)
		}
	}
}

// write runs a write through a daemon: begin, commit, confirm, resolve.
func (o *oracle) write(d *simDaemon) {
	s := o.sim
	view := d.rounds.View()
	if view.Primary == "" {
		return
	}
	s.labels++
	label, commit := s.labels, Commit{Target: view.Primary, Term: view.Term}
	s.call(d, commit.Target, func(m *grouptest.Member) func() {
		transaction := m.Begin()
		return func() {
			if transaction != nil {
				o.commit(d, commit, transaction, label)
			}
		}
	}, func() {})
}

func (o *oracle) commit(d *simDaemon, commit Commit, transaction *grouptest.Transaction, label int) {
	o.sim.call(d, commit.Target, func(m *grouptest.Member) func() {
		committed := m.Commit(transaction, label)
		return func() {
			if committed {
				o.confirm(d, commit, transaction, label)
				return
			}
			o.resolve(d, commit, transaction, label)
		}
	}, func() { o.resolve(d, commit, transaction, label) })
}

func (o *oracle) confirm(d *simDaemon, commit Commit, transaction *grouptest.Transaction, label int) {
	resolve := func() { o.resolve(d, commit, transaction, label) }
	d.wait(Need{Kind: NeedCommit, Commit: commit}, time.Second, func(r Result) {
		if r.Replaced {
			resolve()
			return
		}
		o.acknowledge(label, commit, r.Point, false)
	}, resolve)
}

func (o *oracle) resolve(d *simDaemon, commit Commit, transaction *grouptest.Transaction, label int) {
	need := Need{Kind: NeedOutcome, Commit: commit, Transaction: transaction.ID}
	d.wait(need, 5*time.Second, func(r Result) {
		switch r.Outcome {
		case platform.OutcomeCommitted:
			o.acknowledge(label, commit, r.Point, true)
		case platform.OutcomeAbsent, platform.OutcomeAborted:
			o.notRun = append(o.notRun, label)
		default:
			o.failf("write %d resolved to %d", label, r.Outcome)
		}
	}, func() { o.unknown++ })
}

// read runs a read with an arrival floor on any member whose last answer reaches
// it, and checks that it sees what had been acknowledged before it arrived.
func (o *oracle) read(d *simDaemon) {
	arrived := slices.Clone(o.acks)
	d.wait(Need{Kind: NeedFloor}, time.Second, func(r Result) {
		for _, a := range arrived {
			if !r.Point.Reaches(a.point) {
				o.failf("floor %v is before acknowledged %v", r.Point, a.point)
			}
		}
		o.readAt(d, r.Point, arrived)
	}, func() {})
}

// readOwn runs a read whose floor is one acknowledged write, as a token gives it.
func (o *oracle) readOwn(d *simDaemon) {
	if len(o.acks) > 0 {
		own := o.acks[o.sim.random.IntN(len(o.acks))]
		o.readAt(d, own.point, []ack{own})
	}
}

func (o *oracle) readAt(d *simDaemon, floor topology.Point, visible []ack) {
	for _, target := range d.rounds.View().Targets {
		if !target.Known || !target.Status.Replayed.Reaches(floor) {
			continue
		}
		o.sim.call(d, target.ID, func(m *grouptest.Member) func() {
			o.reads++
			o.checkVisible(m, visible, "read at a floor")
			return func() {}
		}, func() {})
	}
}

// readAged checks the age bounds of a view against the members.
func (o *oracle) readAged(d *simDaemon) {
	view := d.rounds.View()
	for _, m := range o.sim.group.Members {
		age, known := view.AgeBound(m.ID, o.sim.now)
		if !known {
			continue
		}
		o.aged++
		old := slices.DeleteFunc(slices.Clone(o.acks), func(a ack) bool { return a.at > o.sim.now-age })
		o.checkVisible(m, old, fmt.Sprintf("read of age %v", age))
	}
}

func (o *oracle) checkVisible(m *grouptest.Member, visible []ack, what string) {
	for _, a := range visible {
		if !m.Holds(a.label, m.Replayed) {
			o.failf("%s on %s misses write %d at %v", what, m.ID, a.label, a.point)
		}
	}
}
