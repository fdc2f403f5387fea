package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelMaxPromotion is the longest time that a promotion takes in the model.
const modelMaxPromotion = 1200 * time.Millisecond

// newLateGroup returns a service of three databases in use, whose primary has just crashed. The
// promotion that is ordered first takes modelMaxPromotion.
func newLateGroup(t *testing.T) *modelGroup {
	g := newModelGroup(3, 0)
	g.lostResponses = make(map[ActionKind]int)
	g.advance(time.Second)
	g.commit()
	g.advance(time.Second)
	g.promotionTime = taking(modelMaxPromotion)
	g.setSilent(g.current, true, false)
	for g.now < 10*time.Second && len(g.orders) == 0 {
		g.advance(modelStep)
	}
	if len(g.orders) != 1 {
		t.Fatalf("no promotion is ordered: record %+v", g.view.Record)
	}
	g.promotionTime = taking(modelPromotion)
	return g
}

// replaceLeader has another leader begin. Actions under way take effect without it, but for writes
// of the record, whose condition is the leader's key.
func (g *modelGroup) replaceLeader() { g.replaceLeaderBy(modelLeader{beginsAt: g.now}) }

// expectPrimary checks that nothing went wrong and that the record names the group's primary.
func (g *modelGroup) expectPrimary(t *testing.T) {
	t.Helper()
	if g.problem != "" {
		t.Fatal(g.problem)
	}
	if g.view.Record.Fenced || g.view.Record.Primary != g.current.id || g.view.Record.Term != g.term {
		t.Fatalf("record %+v, primary %s of term %d", g.view.Record, g.current.id, g.term)
	}
}

// Guards against two primaries: the next leader chooses another successor, because that of the
// leader before is silent, and its promotion takes effect while the other one is in use.
func TestOrderOfAnEarlierLeaderTakesEffectLate(t *testing.T) {
	g := newLateGroup(t)
	g.replaceLeader()
	g.setSilent(g.orders[0].successor, false, true)
	g.advance(6 * time.Second)
	g.expectPrimary(t)
}

// Guards against the same after a leader that has chosen anew and ended before its own order.
func TestOrderOfALeaderBeforeTheLastTakesEffectLate(t *testing.T) {
	g := newLateGroup(t)
	ordered := g.orders[0].successor
	g.replaceLeader()
	g.setSilent(ordered, false, true)
	g.advance(450 * time.Millisecond)
	g.replaceLeader()
	g.advance(6 * time.Second)
	g.expectPrimary(t)
}

// Guards against the same within one leadership: the successor is not listed any more after
// its promotion was accepted.
func TestOrderOfASuccessorThatWasGivenUpTakesEffectLate(t *testing.T) {
	g := newLateGroup(t)
	ordered := g.orders[0].successor
	g.setSilent(ordered, false, true)
	ordered.silentSince = g.now - modelListing
	g.advance(6 * time.Second)
	g.expectPrimary(t)
}

// Guards against the same with an order whose response was lost, before the platform rejects
// another one for the same successor.
func TestOrderWithoutAResponseTakesEffectAfterARejection(t *testing.T) {
	g := newLateGroup(t)
	g.orders = nil
	g.replaceLeader()
	g.promotionTime = taking(modelMaxPromotion)
	g.lostResponses[PromoteTarget] = 1
	for len(g.orders) == 0 {
		g.advance(modelStep)
	}
	ordered := g.orders[0].successor
	g.promotionTime = taking(modelPromotion)
	g.setSilent(ordered, true, false)
	g.advance(500 * time.Millisecond)
	g.setSilent(ordered, false, false)
	g.advance(6 * time.Second)
	g.expectPrimary(t)
}

// replaceLeaderThatLags has another leader begin that does not know the last write of the record.
func (g *modelGroup) replaceLeaderThatLags() {
	g.replaceLeader()
	known := g.overwritten
	g.mirrored, g.mirroredUntil = &known, g.now+modelMirrorLag
}

// Guards against the same if the mirror of the next leader lacks the order, so that it writes its
// own over that once it knows it.
func TestOrderThatTheNextLeaderDoesNotKnowTakesEffectLate(t *testing.T) {
	g := newLateGroup(t)
	g.replaceLeaderThatLags()
	g.setSilent(g.orders[0].successor, false, true)
	g.advance(6 * time.Second)
	g.expectPrimary(t)
}

// Guards against the same if the next leader chooses the same successor, so that it takes the order
// for its own, and the platform rejects its request.
func TestOrderThatEqualsThatOfTheNextLeaderTakesEffectLate(t *testing.T) {
	g := newLateGroup(t)
	ordered := g.orders[0].successor
	g.orders[0].effectAt = g.now + orderSettleTime - modelMirrorLag/4
	g.replaceLeaderThatLags()
	g.advance(100 * time.Millisecond)
	g.setSilent(ordered, true, false)
	g.advance(500 * time.Millisecond)
	g.setSilent(ordered, false, false)
	g.advance(6 * time.Second)
	g.expectPrimary(t)
}

// Guards against the same if the next leader knows the record of an earlier failover: a request
// has no condition in the store.
func TestOrderInAnOutdatedRecordIsNotRequested(t *testing.T) {
	g := newLateGroup(t)
	outdated := storedModelRecord{record: g.view.Record, revision: g.view.Revision}
	ordered := g.orders[0].successor
	g.orders = nil
	g.replaceLeader()
	g.setSilent(ordered, false, true)
	g.advance(6 * time.Second)
	g.expectPrimary(t)
	g.setSilent(ordered, false, false)
	g.setSilent(g.current, false, true)
	g.replaceLeader()
	g.mirrored, g.mirroredUntil = &outdated, g.now+modelMirrorLag
	g.advance(modelMirrorLag)
	if g.problem != "" || len(g.orders) > 0 {
		t.Fatalf("%s, promotions that were ordered: %v", g.problem, g.orders)
	}
}

// A promotion that takes longer than any is known to take leaves two primaries. The one that
// leads the later term becomes the record's.
func TestPrimaryOfALaterTermThanTheRecordReplacesIt(t *testing.T) {
	g := newLateGroup(t)
	g.orders[0].effectAt = g.now + 5*time.Second
	g.setSilent(g.orders[0].successor, false, true)
	g.advance(5500 * time.Millisecond)
	if g.problem == "" {
		t.Fatalf("record %+v, primary %s", g.view.Record, g.current.id)
	}
	g.problem = ""
	g.setSilent(g.current, false, false)
	g.advance(500 * time.Millisecond)
	g.expectPrimary(t)
}

// No promotion takes effect while the record has another primary in use, whatever happens to
// databases, leaders and responses; and the service is served again when all is calm.
func TestFuzzLatePromotions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		newModelGroup(rapid.IntRange(2, 4).Draw(t, "databases"), 0).drawFailovers(t, failoverEvents)
	})
}

// drawDelays draws how long requests and promotions take.
func (g *modelGroup) drawDelays(t *rapid.T) {
	g.lostResponses = make(map[ActionKind]int)
	g.promotionTime = func() time.Duration {
		return time.Duration(rapid.IntRange(100, int(modelMaxPromotion.Milliseconds())).Draw(t, "promotion ms")) * time.Millisecond
	}
	g.requestTime = func() time.Duration {
		return max(0, time.Duration(rapid.IntRange(-int(modelMaxRequest.Milliseconds()), int(modelMaxRequest.Milliseconds())).Draw(t, "request ms"))*time.Millisecond)
	}
}

// drawFailovers draws failovers with events of the given kinds, and checks that nothing goes wrong
// and that the service is served again in the end.
func (g *modelGroup) drawFailovers(t *rapid.T, kinds []string) {
	g.drawDelays(t)
	g.advance(time.Second)
	for range rapid.IntRange(1, 25).Draw(t, "events") {
		if g.problem == "" {
			g.disturbFailover(t, kinds)
		}
	}
	for _, d := range g.databases {
		d.deaf = false
		g.setSilent(d, false, false)
	}
	g.partitioned = false
	g.advance(15 * time.Second)
	if g.problem != "" {
		t.Fatal(g.problem)
	}
	if g.view.Record.Fenced || g.view.Record.Primary != g.current.id {
		t.Fatalf("record %+v, primary %s of term %d", g.view.Record, g.current.id, g.term)
	}
}

// failoverEvents are the kinds of events of disturbFailover that concern databases, leaders and
// responses.
var failoverEvents = []string{"leader", "lagging leader", "other leader", "series", "lost", "lost record", "delayed record", "dark", "down", "deaf", "back", "unlisted", "commit"}

// disturbFailover has the primary crash and draws what happens during its replacement.
func (g *modelGroup) disturbFailover(t *rapid.T, kinds []string) {
	g.setSilent(g.current, rapid.Bool().Draw(t, "down"), true)
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		d := rapid.SampledFrom(g.databases).Draw(t, "database")
		switch rapid.SampledFrom(kinds).Draw(t, "kind") {
		case "leader":
			g.replaceLeader()
		case "lagging leader":
			g.replaceLeaderThatLags()
		case "other leader":
			g.replaceLeaderBy(g.drawLeader(t))
		case "series":
			g.drawSeries(t)
		case "lost":
			g.lostResponses[PromoteTarget] = rapid.IntRange(1, 2).Draw(t, "responses")
		case "lost record":
			g.lostResponses[PublishRecord] = 1
		case "delayed record":
			g.delayNext = time.Duration(rapid.IntRange(1, 3000).Draw(t, "delay ms")) * time.Millisecond
		case "dark":
			g.setSilent(d, d.down, true)
		case "down":
			g.setSilent(d, true, d.dark)
		case "deaf":
			d.deaf = !d.deaf
		case "back":
			g.setSilent(d, false, false)
		case "unlisted":
			if !d.responds() {
				d.silentSince = g.now - modelListing
			}
		case "commit":
			g.commit()
		case "restart":
			g.restart(d)
		case "restore":
			g.drawRestore(t)
		}
		g.advance(time.Duration(rapid.SampledFrom([]int{0, 20, 100, 300, 700}).Draw(t, "wait")) * time.Millisecond)
	}
	g.disturb(t)
}

// Guards against a wait for an order that has settled long ago: it stays in the record if its
// response was lost, and each leader that begins with a failover waits for it.
func TestSettledOrderDelaysNoLaterFailover(t *testing.T) {
	var outages [2]time.Duration
	for lost := range outages {
		g := newModelGroup(3, 0)
		g.lostResponses = map[ActionKind]int{PromoteTarget: lost}
		first := g.current
		g.advance(time.Second)
		g.setSilent(first, true, false)
		g.advance(10 * time.Second)
		g.setSilent(first, false, false)
		g.advance(time.Minute)
		g.expectPrimary(t)
		crashedAt, crashed := g.now, g.current
		g.setSilent(crashed, true, false)
		g.replaceLeader()
		for g.problem == "" && (g.view.Record.Fenced || g.view.Record.Primary == crashed.id) {
			g.advance(modelStep)
		}
		outages[lost] = g.now - crashedAt
	}
	if outages[1] > outages[0] {
		t.Fatalf("the service is without a primary for %s, and for %s without the earlier order", outages[1], outages[0])
	}
}

// Guards against a primary that is replaced and leads a later term all the same, such as by an order
// of somebody else, unnoticed until the record's primary follows it.
func TestReplacedPrimaryThatLeadsALaterTermIsNoticed(t *testing.T) {
	g := newLateGroup(t)
	replaced := g.current
	g.advance(10 * time.Second)
	g.expectPrimary(t)
	g.setSilent(replaced, false, false)
	g.advance(10 * time.Second)
	g.completePromotion(replaced)
	g.problem = ""
	g.advance(modelDemotionInterval - modelStep)
	g.expectPrimary(t)
}

// Guards against a wait without end: each leader of a series waits anew for an order of which none of
// them has sent a request.
func TestSeriesOfLeadersEndsTheWaitForAnOrder(t *testing.T) {
	g := newLateGroup(t)
	g.setSilent(g.orders[0].successor, true, false)
	begin := g.now
	for g.view.Record.Fenced && g.now < begin+time.Minute {
		g.replaceLeader()
		g.advance(orderSettleTime - modelRequestTimeout)
	}
	if waited := g.now - begin; waited > 3*orderSettleTime {
		t.Fatalf("the service waits for %s", waited)
	}
}

// Guards against a reason that is not true any more: callers are told that a promotion may take
// effect after it has settled.
func TestSettledOrderIsNoReasonToWait(t *testing.T) {
	g := newLateGroup(t)
	g.replaceLeader()
	for _, d := range g.databases {
		g.setSilent(d, true, false)
	}
	g.advance(time.Second)
	if g.view.Record.Waiting != waitingForOrder {
		t.Fatalf("record %+v", g.view.Record)
	}
	g.advance(2 * orderSettleTime)
	if g.view.Record.Waiting == waitingForOrder {
		t.Fatalf("after %s callers are told: %s", 2*orderSettleTime, g.view.Record.Waiting)
	}
}

// Guards against two primaries: the promotions of two targets in a row have taken effect, the later
// primary does not respond, and the earlier one is back.
func TestEarlierOfTwoPromotedTargetsIsNotPublished(t *testing.T) {
	g := newLateGroup(t)
	first := g.orders[0].successor
	g.setSilent(first, false, true)
	for end := g.now + 10*time.Second; g.now < end && g.view.Record.Ordered() == first.id; {
		g.advance(modelStep)
	}
	second := g.find(g.view.Record.Ordered())
	for end := g.now + time.Second; g.now < end && len(g.orders) == 0; {
		g.advance(modelStep)
	}
	g.setSilent(second, false, true)
	g.advance(promotionTimeout)
	if first == second || g.current != second {
		t.Fatalf("%s leads after orders of %s and %s", g.current.id, first.id, second.id)
	}
	g.setSilent(first, false, false)
	g.advance(10 * time.Second)
	g.expectPrimary(t)
}
