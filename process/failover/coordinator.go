package failover

import (
	"math"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Times of a failover.
const (
	// catchUpLimit bounds the wait for a replica to hold a live primary's log.
	// Replicas trail by tens of milliseconds; one that trails further is not
	// worth the unavailability.
	catchUpLimit = 1500 * time.Millisecond
	// probeInterval is the pause between status requests during a failover. Each
	// takes a slot of the target.
	probeInterval = 60 * time.Millisecond
	// promotionLimit is how long a promoted target may take to lead before
	// another one is chosen; targets take 300 to 600 ms.
	promotionLimit = 4 * time.Second
	// retryInterval is the pause after a failed action.
	retryInterval = 150 * time.Millisecond
	// suspectShare is the share of instances whose connections must fail before
	// a primary is replaced, unless all homes of its service say so. Below it the
	// failure is more likely to lie with the instances.
	suspectShare = 0.3
	// missingGrace is how long a primary's entry may be missing before it counts
	// as gone: entries that lapsed in an outage of the store are back within two
	// seconds.
	missingGrace = 2500 * time.Millisecond
)

// View is what the coordinator knows at one moment.
type View struct {
	// Record and Revision are the service's record as last read; Revision is
	// zero without one.
	Record   Record
	Revision store.Revision
	// Targets are the service's targets by id.
	Targets map[topology.TargetID]directory.Target
	// Instances counts the registered instances.
	Instances int
	// Homes counts the instances that hold most connections to the service.
	Homes int
	// Suspects counts the instances that cannot reach the record's primary.
	Suspects int
	// Acknowledged reports that every instance that may hold a right to the
	// primary has given it up.
	Acknowledged bool
	// RightsEnd is when the last right to the fenced primary ends, zero while
	// unknown.
	RightsEnd time.Duration
}

// ActionKind tells what the driver does.
type ActionKind uint8

// Kinds of actions.
const (
	None ActionKind = iota
	// Publish writes Record at Revision.
	Publish
	// AskAll asks every target in Targets for its status.
	AskAll
	// Order promotes Target.
	Order
	// DemoteOld demotes Target at Term, best effort.
	DemoteOld
)

// Action is one step of I/O. At most one runs at a time for a service.
type Action struct {
	Kind     ActionKind
	Record   Record
	Revision store.Revision
	Targets  []directory.Target
	Target   directory.Target
	Term     topology.Term
	// Reason is for the log.
	Reason string
}

// Result is the outcome of an action.
type Result struct {
	Action   Action
	Statuses map[topology.TargetID]TargetStatus
	// Failed reports that the action did not succeed.
	Failed bool
	// Rejected reports that the platform rejects the successor.
	Rejected bool
}

type phase uint8

const (
	steady phase = iota
	fenced
	choosing
	ordering
	confirming
)

// Coordinator drives the failover of one service. It is not safe for concurrent
// use.
type Coordinator struct {
	phase   phase
	running bool
	// notBefore is when the next action may start.
	notBefore time.Duration
	// since is when the phase began.
	since time.Duration
	// missingSince is when the primary's entry was first missing.
	missingSince time.Duration
	missing      bool
	successor    topology.TargetID
	rejected     map[topology.TargetID]time.Duration
	// old is the primary that was replaced; it is demoted at term demote, zero
	// for none.
	old    topology.TargetID
	demote topology.Term
}

func (c *Coordinator) enter(now time.Duration, p phase) {
	c.phase, c.since, c.notBefore = p, now, now
}

// Busy reports that a failover is under way.
func (c *Coordinator) Busy() bool { return c.phase != steady || c.running }

// Step returns the next action, or one of kind None.
func (c *Coordinator) Step(now time.Duration, v View) Action {
	if c.running || now < c.notBefore {
		return Action{}
	}
	action := c.next(now, v)
	c.running = action.Kind != None
	return action
}

func (c *Coordinator) next(now time.Duration, v View) Action {
	if v.Revision == 0 {
		return c.bootstrap(v)
	}
	if v.Record.Fenced && c.phase == steady {
		c.enter(now, fenced)
	}
	if !v.Record.Fenced && c.phase != steady {
		c.enter(now, steady)
		if c.successor != "" && v.Record.Primary == c.successor {
			c.demote = v.Record.Term // the answer to its publication was lost
		}
	}
	switch c.phase {
	case fenced:
		if !v.Acknowledged && (v.RightsEnd == 0 || now < v.RightsEnd) {
			return Action{}
		}
		c.enter(now, choosing)
		return c.ask(now, v)
	case choosing:
		return c.ask(now, v)
	case ordering:
		target, known := v.Targets[c.successor]
		if !known {
			c.enter(now, choosing)
			return c.ask(now, v)
		}
		return Action{Kind: Order, Target: target, Reason: "the replica with the longest log"}
	case confirming:
		target, known := v.Targets[c.successor]
		if !known || now-c.since > promotionLimit {
			c.enter(now, choosing)
			return c.ask(now, v)
		}
		return Action{Kind: AskAll, Targets: []directory.Target{target}, Reason: "wait for the promotion"}
	default:
		return c.watch(now, v)
	}
}

// bootstrap publishes the first record once a target says that it leads.
func (c *Coordinator) bootstrap(v View) Action {
	var leading []directory.Target
	for _, t := range v.Targets {
		if t.Role == topology.RolePrimary && !t.Draining {
			leading = append(leading, t)
		}
	}
	if len(leading) == 0 {
		return Action{}
	}
	return Action{Kind: AskAll, Targets: leading, Reason: "first record"}
}

// watch decides whether the primary is to be replaced.
func (c *Coordinator) watch(now time.Duration, v View) Action {
	if c.demote != 0 {
		old, known := v.Targets[c.old]
		term := c.demote
		c.demote = 0
		if known && c.old != v.Record.Primary && old.Role == topology.RolePrimary {
			return Action{Kind: DemoteOld, Target: old, Term: term, Reason: "a later term leads"}
		}
	}
	reason := c.reason(now, v)
	if reason == "" || !hasCandidate(v) {
		return Action{}
	}
	record := v.Record
	record.Fenced = true
	record.Sequence++
	return Action{Kind: Publish, Record: record, Revision: v.Revision, Reason: reason}
}

// reason says why the primary is to be replaced, empty when it is not.
func (c *Coordinator) reason(now time.Duration, v View) string {
	primary, listed := v.Targets[v.Record.Primary]
	if !listed {
		if !c.missing {
			c.missing, c.missingSince = true, now
		}
		switch {
		case successorLeads(v):
			return "another target leads in its place"
		case now-c.missingSince >= missingGrace || v.Suspects >= suspectsNeeded(v):
			return "its entry is gone"
		default:
			return ""
		}
	}
	c.missing = false
	switch {
	case primary.Draining:
		return "it leaves"
	case v.Suspects >= suspectsNeeded(v):
		return "instances cannot reach it"
	default:
		return ""
	}
}

// successorLeads reports whether a listed target other than the record's primary
// says that it leads: a primary may come back under another id.
func successorLeads(v View) bool {
	for id, t := range v.Targets {
		if id != v.Record.Primary && t.Role == topology.RolePrimary && !t.Draining {
			return true
		}
	}
	return false
}

// suspectsNeeded is how many instances must find the primary unreachable.
func suspectsNeeded(v View) int {
	needed := int(math.Ceil(float64(v.Instances) * suspectShare))
	if v.Homes > 0 {
		needed = min(needed, v.Homes)
	}
	return max(1, needed)
}

// hasCandidate reports whether a replica could take over.
func hasCandidate(v View) bool {
	for id, t := range v.Targets {
		if id != v.Record.Primary && !t.Draining {
			return true
		}
	}
	return false
}

// ask asks the candidates, and the old primary while it may still answer.
func (c *Coordinator) ask(now time.Duration, v View) Action {
	var targets []directory.Target
	for id, t := range v.Targets {
		if id == v.Record.Primary || (!t.Draining && !c.isRejected(now, id)) {
			targets = append(targets, t)
		}
	}
	if len(targets) == 0 {
		c.notBefore = now + retryInterval
		return Action{}
	}
	return Action{Kind: AskAll, Targets: targets, Reason: "choose a successor"}
}

// rejectionTerm is how long a rejected successor is left out.
const rejectionTerm = time.Second

func (c *Coordinator) isRejected(now time.Duration, id topology.TargetID) bool {
	at, rejected := c.rejected[id]
	return rejected && now-at < rejectionTerm
}

// Done takes the result of the action that Step returned.
func (c *Coordinator) Done(now time.Duration, v View, r Result) Action {
	c.running = false
	switch r.Action.Kind {
	case Publish:
		if r.Failed {
			c.notBefore = now + retryInterval
			return Action{}
		}
		if !r.Action.Record.Fenced {
			c.demote = r.Action.Record.Term
			c.enter(now, steady)
		}
	case AskAll:
		return c.asked(now, v, r)
	case Order:
		c.ordered(now, r)
	}
	return Action{}
}

func (c *Coordinator) ordered(now time.Duration, r Result) {
	switch {
	case r.Rejected:
		if c.rejected == nil {
			c.rejected = make(map[topology.TargetID]time.Duration)
		}
		c.rejected[r.Action.Target.ID] = now
		c.enter(now, choosing)
	case r.Failed:
		c.notBefore = now + retryInterval
	default:
		c.enter(now, confirming)
	}
}

// asked evaluates statuses. It may return an action to run at once.
func (c *Coordinator) asked(now time.Duration, v View, r Result) Action {
	c.notBefore = now + probeInterval
	if v.Revision == 0 {
		return c.follow(c.first(r))
	}
	if c.phase == confirming {
		status, answered := r.Statuses[c.successor]
		if !answered || status.Role != topology.RolePrimary || status.Term < v.Record.Term {
			return Action{}
		}
		return c.follow(c.publish(v, status))
	}
	if c.phase != choosing {
		return Action{}
	}
	successor, status, found := best(v, r.Statuses)
	if !found {
		return Action{}
	}
	if status.Role == topology.RolePrimary && status.Term >= v.Record.Term {
		c.successor = successor
		return c.follow(c.publish(v, status))
	}
	if old, alive := r.Statuses[v.Record.Primary]; alive && now-c.since < catchUpLimit &&
		successor != v.Record.Primary && !status.Received.Reaches(old.Received) {
		return Action{}
	}
	c.successor = successor
	c.enter(now, ordering)
	return Action{}
}

// follow marks an action returned by Done as running.
func (c *Coordinator) follow(a Action) Action {
	c.running = a.Kind != None
	return a
}

// first publishes the target that leads the newest term: one that was replaced may call
// itself primary for a while.
func (c *Coordinator) first(r Result) Action {
	var newest Action
	for id, status := range r.Statuses {
		if status.Role == topology.RolePrimary && status.Term > newest.Record.Term {
			newest = Action{Kind: Publish, Record: Record{Primary: id, Term: status.Term, Start: status.Received}, Reason: "first record"}
		}
	}
	return newest
}

func (c *Coordinator) publish(v View, status TargetStatus) Action {
	c.old = v.Record.Primary
	return Action{
		Kind: Publish, Revision: v.Revision, Reason: "the successor leads",
		Record: Record{Primary: c.successor, Term: status.Term, Start: status.Received, Sequence: v.Record.Sequence},
	}
}

// best returns the candidate with the longest log. A target that already leads
// wins: an order whose answer was lost has taken effect, or the primary came back
// with its log under another id.
func best(v View, statuses map[topology.TargetID]TargetStatus) (topology.TargetID, TargetStatus, bool) {
	var id topology.TargetID
	var chosen TargetStatus
	for candidate, status := range statuses {
		t := v.Targets[candidate]
		if t.Draining {
			continue
		}
		if candidate == v.Record.Primary {
			continue
		}
		if status.Role == topology.RolePrimary && status.Term >= v.Record.Term {
			return candidate, status, true
		}
		longer := status.Received.Compare(chosen.Received)
		if id == "" || longer > 0 || (longer == 0 && candidate < id) {
			id, chosen = candidate, status
		}
	}
	return id, chosen, id != ""
}
