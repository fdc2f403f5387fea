package failover

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Figures of the model.
const (
	modelStep             = 5 * time.Millisecond
	modelPromotion        = 300 * time.Millisecond
	modelDetection        = 500 * time.Millisecond
	modelListing          = 3600 * time.Millisecond
	modelRequestTimeout   = 400 * time.Millisecond
	modelDemotionInterval = time.Second
	modelMirrorLag        = time.Second
)

// modelDatabase is a database of a modelGroup.
type modelDatabase struct {
	id  topology.TargetID
	log []topology.Point
	// term is that of the primary that it is or follows.
	term    topology.Term
	primary bool
	// down: it does not run. dark: it runs and reaches nobody. deaf: it receives nothing.
	// cut: only the other databases reach it. lost: it is down for good, with its log.
	down, dark, deaf, cut, lost bool
	// incarnation is that of its process.
	incarnation int64
	silentSince time.Duration
	demoteAt    time.Duration
}

func (d *modelDatabase) received() topology.Point {
	if len(d.log) == 0 {
		return topology.Point{}
	}
	return d.log[len(d.log)-1]
}

func (d *modelDatabase) responds() bool { return !d.down && !d.dark }

func (d *modelDatabase) address() string { return "host-" + string(d.id) }

// reachable reports whether daemons and the platform reach the database.
func (d *modelDatabase) reachable() bool { return d.responds() && !d.cut }

// modelGroup is a service with the platform's replication, and the daemons' use of its
// primary. Its coordinator is the code under test.
type modelGroup struct {
	*fixture
	databases []*modelDatabase
	current   *modelDatabase
	// orders are the promotions that were ordered and have not taken effect. promotionTime returns
	// how long the next one takes.
	orders        []modelOrder
	promotionTime func() time.Duration
	// requests are the promotion requests under way, and requestTime returns how long the next one is.
	requests    []modelRequest
	requestTime func() time.Duration
	leader      modelLeader
	term        topology.Term
	// resultAt is when the action under way ends.
	resultAt time.Duration
	result   *Result
	// acknowledged holds the commits that callers were told of, dropped those that the service
	// has left, by publishing a primary without them, and dropping those that the latest
	// promotion lacks: nobody uses a primary whose promotion is not known to have succeeded.
	acknowledged, dropped, dropping map[topology.Point]bool
	partitioned                     bool
	problem                         string
	// overwritten is the stored record before the last write of one, and mirrored what the leader
	// knows until mirroredUntil instead of the stored one, nil if it knows that.
	overwritten   storedModelRecord
	mirrored      *storedModelRecord
	mirroredUntil time.Duration
	// delayed is a write of the record that is executed at delayedUntil, if its condition holds then.
	// delayNext has the next write delayed, and reported as failed.
	delayed      *Action
	delayedUntil time.Duration
	delayNext    time.Duration
	// settledAt is when promotions from before a restore of the store have taken effect.
	settledAt time.Duration
	// earlier are the records that have been overwritten.
	earlier []Record
	// known is the latest verified record before the last restore.
	known Record
}

// storedModelRecord is a record with its revision.
type storedModelRecord struct {
	record   Record
	revision store.Revision
}

// modelOrder is a promotion that takes effect at a time.
type modelOrder struct {
	successor *modelDatabase
	effectAt  time.Duration
}

func taking(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

func newModelGroup(size, synchronous int) *modelGroup {
	g := &modelGroup{fixture: &fixture{}, term: 1, promotionTime: taking(modelPromotion), requestTime: taking(0), acknowledged: make(map[topology.Point]bool), dropped: make(map[topology.Point]bool)}
	for i := range size {
		g.databases = append(g.databases, &modelDatabase{id: topology.TargetID(fmt.Sprintf("d%d", i)), term: 1, primary: i == 0})
	}
	g.current = g.databases[0]
	g.view = View{InstanceCount: 7, OwnerCount: 2, PromotionsSettled: true, SynchronousReplicas: synchronous, FenceAcknowledged: true}
	return g
}

// list returns what the directory lists.
func (g *modelGroup) list() map[topology.TargetID]directory.Target {
	listed := make(map[topology.TargetID]directory.Target)
	for _, d := range g.databases {
		if !d.reachable() && g.now-d.silentSince > modelListing {
			continue
		}
		role := topology.RoleReplica
		if d.primary {
			role = topology.RolePrimary
		}
		listed[d.id] = directory.Target{ID: d.id, Address: d.address(), Role: role, Incarnation: d.incarnation}
	}
	return listed
}

func (g *modelGroup) find(id topology.TargetID) *modelDatabase {
	for _, d := range g.databases {
		if d.id == id {
			return d
		}
	}
	return nil
}

// follow has the replicas receive the log of the primary of the newest term.
func (g *modelGroup) follow(d *modelDatabase) {
	if d != g.current && d.primary && d.responds() && g.current.responds() && d.demoteAt != 0 && g.now >= d.demoteAt {
		d.primary = false
	}
	if d.primary || d.deaf || !d.responds() || !g.current.responds() || g.partitioned {
		return
	}
	same := 0
	for same < min(len(d.log), len(g.current.log)) && d.log[same] == g.current.log[same] {
		same++
	}
	d.log, d.term = append(d.log[:same:same], g.current.log[same:]...), g.current.term
}

// inUse reports whether the record allows the use of its primary.
func (g *modelGroup) inUse() bool { return g.view.verified() && !g.view.Record.Fenced }

// commit has daemons write to the record's primary, which answers once enough replicas have
// received the commit.
func (g *modelGroup) commit() {
	primary := g.find(g.view.Record.Primary)
	if primary == nil || !g.inUse() || !primary.primary || !primary.reachable() {
		return
	}
	number := topology.Position(len(primary.log) + 1)
	primary.log = append(primary.log, topology.Point{Term: primary.term, Position: number})
}

// acknowledge tells callers of the commits that enough replicas of the newest primary hold.
// Daemons forward no response of a primary that they may not use any more.
func (g *modelGroup) acknowledge() {
	if !g.current.reachable() || !g.inUse() || g.view.Record.Primary != g.current.id {
		return
	}
	for i := len(g.current.log) - 1; i >= 0 && !g.acknowledged[g.current.log[i]]; i-- {
		holders := 0
		for _, d := range g.databases {
			if d != g.current && len(d.log) > i && d.log[i] == g.current.log[i] {
				holders++
			}
		}
		if holders >= g.view.SynchronousReplicas {
			g.acknowledged[g.current.log[i]] = true
		}
	}
}

// completePromotions completes the promotions that take effect now.
func (g *modelGroup) completePromotions() {
	var pending []modelOrder
	for _, o := range g.orders {
		if g.now >= o.effectAt {
			g.completePromotion(o.successor)
		} else {
			pending = append(pending, o)
		}
	}
	g.orders = pending
}

// completePromotion has the designated database lead the next term with its log.
func (g *modelGroup) completePromotion(next *modelDatabase) {
	if next.down || next == g.current {
		return
	}
	if record := g.view.Record; g.inUse() && record.Primary != next.id {
		g.problem = fmt.Sprintf("ONE: %s is promoted while %s is in use", next.id, record.Primary)
	}
	holds := make(map[topology.Point]bool)
	for _, p := range next.log {
		holds[p] = true
		if g.dropped[p] {
			g.problem = fmt.Sprintf("%s: entry %s is back, which the service had left", next.id, p)
		}
	}
	for p := range g.acknowledged {
		if !holds[p] {
			if g.view.SynchronousReplicas > 0 && g.survives(p) {
				g.problem = fmt.Sprintf("%s: the acknowledged commit %s is missing", next.id, p)
			}
			delete(g.acknowledged, p)
		}
	}
	g.dropping = make(map[topology.Point]bool)
	for _, d := range g.databases {
		for _, p := range d.log {
			if !holds[p] {
				g.dropping[p] = true
			}
		}
	}
	g.term++
	g.current.demoteAt = g.now + modelDemotionInterval
	g.current, next.primary, next.term, next.demoteAt = next, true, g.term, 0
}

// survives reports whether a database that is not lost holds an entry. Without lost ones nothing may be
// missing, whoever holds it.
func (g *modelGroup) survives(p topology.Point) bool {
	left := g.left()
	return len(left) == len(g.databases) || slices.ContainsFunc(left, func(d *modelDatabase) bool { return slices.Contains(d.log, p) })
}

// advance steps the model and the coordinator for a duration.
func (g *modelGroup) advance(duration time.Duration) {
	for end := g.now + duration; g.now < end && g.problem == ""; g.now += modelStep {
		g.deliverRequests()
		g.completePromotions()
		if g.delayed != nil && g.now >= g.delayedUntil {
			g.publish(*g.delayed)
			g.delayed = nil
		}
		for _, d := range g.databases {
			g.follow(d)
		}
		g.acknowledge()
		g.view.Targets, g.view.SuspectCount = g.list(), 0
		g.view.PromotionsSettled = g.now >= g.settledAt
		if primary := g.find(g.view.Record.Primary); primary != nil && (!primary.reachable() && g.now-primary.silentSince > modelDetection || !primary.primary) {
			g.view.SuspectCount = 2
		}
		action := Action{}
		switch {
		case g.now < g.leader.beginsAt:
		case g.result == nil:
			action = g.coordinator.Step(g.leaderClock(), g.leaderView())
		case g.now >= g.resultAt:
			result := *g.result
			g.result = nil
			action = g.coordinator.HandleResult(g.leaderClock(), g.leaderView(), result)
		}
		if action.Kind != NoAction {
			g.start(action)
		}
	}
}

// publish writes a record if the stored one is as the action expects. A conflict tells the leader
// the stored one.
func (g *modelGroup) publish(a Action) (conflict bool) {
	g.mirrored = nil
	if a.Revision != g.view.Revision {
		return true
	}
	if !a.Record.Fenced && a.Record.Primary != g.current.id {
		g.problem = fmt.Sprintf("ONE: %s is published although %s leads", a.Record.Primary, g.current.id)
	}
	g.overwritten = storedModelRecord{record: g.view.Record, revision: g.view.Revision}
	if g.view.Revision != 0 {
		g.earlier = append(g.earlier, g.view.Record)
	}
	if g.view.Record = a.Record; !a.Record.Fenced && a.Record.Term == g.term {
		maps.Copy(g.dropped, g.dropping)
	}
	g.view.Revision++
	g.view.RecordSeenAt = g.now
	return false
}

// start performs an action, whose result arrives later.
func (g *modelGroup) start(a Action) {
	r := Result{Action: a}
	g.resultAt = g.now + 2*modelStep
	switch a.Kind {
	case PublishRecord:
		if g.delayNext > 0 {
			g.delayed, g.delayedUntil, g.delayNext = &a, g.now+g.delayNext, 0
			r.Failed, g.resultAt = true, g.now+modelRequestTimeout
			break
		}
		r.Failed = g.publish(a)
		if g.lostResponses[a.Kind] > 0 {
			g.lostResponses[a.Kind]--
			r.Failed = true
		}
	case RequestStatuses:
		r.Statuses = make(map[topology.TargetID]TargetStatus)
		for _, t := range a.Targets {
			d := g.find(t.ID)
			if !d.reachable() {
				g.resultAt = g.now + modelRequestTimeout
				continue
			}
			role := topology.RoleReplica
			if d.primary {
				role = topology.RolePrimary
			}
			r.Statuses[t.ID] = TargetStatus{Role: role, Term: d.term, Received: d.received()}
		}
	case PromoteTarget:
		request := modelRequest{successor: g.find(a.Target.ID), deliveredAt: g.now + g.requestTime(), result: &r}
		g.requests, g.resultAt = append(g.requests, request), request.deliveredAt+2*modelStep
		g.deliverRequests()
	case DemoteReplaced:
		if d := g.find(a.Target.ID); d.reachable() && d != g.current && d.term < a.Term {
			d.primary = false
		}
	}
	g.result = &r
}

// setSilent changes whether a database runs or reaches others. One that starts again is a
// primary only if no other was promoted.
func (g *modelGroup) setSilent(d *modelDatabase, down, dark bool) {
	if down = down || d.lost; d.reachable() && (down || dark) {
		d.silentSince = g.now
	}
	if d.down && !down && d != g.current {
		d.primary = false
	}
	d.down, d.dark = down, dark
}

// disturb draws one event.
func (g *modelGroup) disturb(t *rapid.T) {
	d := rapid.SampledFrom(g.databases).Draw(t, "database")
	switch rapid.SampledFrom([]string{"commit", "commit", "commit", "primary", "down", "dark", "deaf", "partition", "back", "wait"}).Draw(t, "event") {
	case "commit":
		g.commit()
	case "primary":
		g.setSilent(g.current, rapid.Bool().Draw(t, "down"), true)
	case "down":
		g.setSilent(d, true, d.dark)
	case "dark":
		g.setSilent(d, d.down, true)
	case "deaf":
		d.deaf = !d.deaf
	case "partition":
		g.partitioned = !g.partitioned
	case "back":
		g.setSilent(d, false, false)
	}
	g.advance(time.Duration(rapid.SampledFrom([]int{0, 5, 40, 600, 4000}).Draw(t, "ms")) * time.Millisecond)
}
