package failover

import (
	"testing"
	"time"
)

// newSeries returns a service that waits for the order of a leader that has ended, whose target is
// dark and whose promotion never takes effect. The order has been quiet for a while.
func newSeries(t *testing.T, quiet time.Duration) (g *modelGroup, ordered *modelDatabase) {
	g = newLateGroup(t)
	ordered, g.orders = g.orders[0].successor, nil
	g.replaceLeader()
	g.setSilent(ordered, false, true)
	g.advance(quiet)
	if g.view.Record.Ordered() != ordered.id || g.view.Record.Order.QuietFor == 0 {
		t.Fatalf("record %+v, order %+v", g.view.Record, g.view.Record.Order)
	}
	return g, ordered
}

// advanceUntil advances the model until a condition holds, for ten seconds at most.
func (g *modelGroup) advanceUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := g.now + 10*time.Second; !condition(); g.advance(modelStep) {
		if g.now >= end || g.problem != "" {
			t.Fatalf("%s, record %+v, order %+v", g.problem, g.view.Record, g.view.Record.Order)
		}
	}
}

// requestSlowly has the ordered target respond until its promotion is requested again, which takes as
// long as any, and the next leader begin.
func (g *modelGroup) requestSlowly(t *testing.T, ordered *modelDatabase) {
	t.Helper()
	g.setSilent(ordered, false, false)
	g.promotionTime, g.requestTime = taking(modelMaxPromotion), taking(modelMaxRequest)
	g.advanceUntil(t, func() bool { return len(g.requests) > 0 })
	g.advanceUntil(t, func() bool { return len(g.requests) == 0 })
	g.promotionTime, g.requestTime = taking(modelPromotion), taking(0)
	g.setSilent(ordered, false, true)
	g.replaceLeader()
}

// lead has one leader after the other begin while the service waits, and returns for how long it
// does, up to a minute.
func (g *modelGroup) lead(lasts time.Duration, next func() modelLeader) time.Duration {
	begin := g.now
	for g.view.Record.Fenced && g.now-begin < time.Minute {
		g.replaceLeaderBy(next())
		g.advance(lasts)
	}
	return g.now - begin
}

// Guards against the wait without end if each leader is a new process, with a clock of its own.
func TestSeriesOfNewProcessesEndsTheWaitForAnOrder(t *testing.T) {
	g := newLateGroup(t)
	g.setSilent(g.orders[0].successor, true, false)
	offset := time.Hour
	waited := g.lead(orderSettleTime-modelRequestTimeout, func() modelLeader {
		offset /= 2
		return modelLeader{beginsAt: g.now, startedAt: g.now, clockOffset: offset}
	})
	if waited > 2*orderSettleTime {
		t.Fatalf("the service waits for %s", waited)
	}
}

// Guards against a wait without end if the leaders last for a moment only: those that come later have
// seen that the order was quiet.
func TestSeriesOfBriefLeadersEndsTheWaitForAnOrder(t *testing.T) {
	g := newLateGroup(t)
	g.setSilent(g.orders[0].successor, true, false)
	waited := g.lead(3*modelRequestTimeout/2, func() modelLeader { return modelLeader{beginsAt: g.now} })
	if waited > 2*orderSettleTime {
		t.Fatalf("the service waits for %s", waited)
	}
}

// Guards against two primaries: the order was quiet for almost long enough when a leader requests
// the promotion again and ends.
func TestRequestOfALeaderInASeriesTakesEffectLate(t *testing.T) {
	g, ordered := newSeries(t, orderSettleTime-modelRequestTimeout)
	g.replaceLeader()
	g.requestSlowly(t, ordered)
	g.advance(6 * time.Second)
	g.expectPrimary(t)
}

// Guards against the same if the leader that requests it again is the one that has written how long
// the order was quiet.
func TestRequestOfALeaderThatWasQuietTakesEffectLate(t *testing.T) {
	g, ordered := newSeries(t, orderSettleTime-modelRequestTimeout)
	g.requestSlowly(t, ordered)
	g.advance(6 * time.Second)
	g.expectPrimary(t)
}

// Guards against the same if the write that tells how long the order was quiet takes effect after
// the next request, or is not known to have taken effect before.
func TestLateWriteOfAQuietOrderCountsForNoLaterRequest(t *testing.T) {
	for _, lost := range []bool{false, true} {
		g := newLateGroup(t)
		ordered := g.orders[0].successor
		g.orders = nil
		g.setSilent(ordered, false, true)
		g.advance(orderSettleTime / 2)
		ordered.silentSince = g.now - modelListing
		g.advanceUntil(t, func() bool { return g.coordinator.phase == phaseChoosing })
		g.delayNext = time.Minute
		if lost {
			g.delayNext = modelStep
		}
		g.advanceUntil(t, func() bool { return g.delayed != nil })
		if g.delayed.Record.Order.QuietFor < orderSettleTime/2 {
			t.Fatalf("the delayed record is %+v", g.delayed.Record)
		}
		g.setSilent(ordered, false, false)
		g.requestTime = taking(modelMaxRequest)
		g.advanceUntil(t, func() bool { return len(g.requests) > 0 })
		g.delayedUntil = g.now
		g.requestSlowly(t, ordered)
		g.advance(6 * time.Second)
		g.expectPrimary(t)
	}
}

// Guards against an outdated record that counts: the leader has not heard that the promotion was
// requested again since.
func TestQuietOrderInAnOutdatedRecordDoesNotCount(t *testing.T) {
	g, ordered := newSeries(t, orderSettleTime-modelRequestTimeout)
	outdated := storedModelRecord{record: g.view.Record, revision: g.view.Revision}
	outdated.record.Order = &Order{Successor: ordered.id, Received: ordered.received(), QuietFor: orderSettleTime}
	g.requestSlowly(t, ordered)
	g.mirrored, g.mirroredUntil = &outdated, g.now+modelMirrorLag
	g.advance(6 * time.Second)
	g.expectPrimary(t)
}

// Guards against the age of the record that counts although it allows requests: its leader has
// requested the promotion until it ended.
func TestLastRequestUnderAnOldRecordTakesEffectLate(t *testing.T) {
	g := newLateGroup(t)
	ordered := g.orders[0].successor
	g.orders = nil
	g.replaceLeader()
	g.lostResponses[PromoteTarget] = 100
	for end := g.now + orderSettleTime; g.now < end; g.orders = nil {
		g.advance(modelStep)
	}
	g.promotionTime = taking(modelMaxPromotion)
	g.advanceUntil(t, func() bool { return len(g.orders) > 0 })
	g.promotionTime, g.lostResponses[PromoteTarget] = taking(modelPromotion), 0
	g.setSilent(ordered, false, true)
	g.replaceLeader()
	g.advance(6 * time.Second)
	g.expectPrimary(t)
}

// Guards against a quiet order that a restore of the store has brought back: the promotion was requested
// again since that copy was made, whoever still knows the record of then.
func TestQuietOrderFromBeforeARestoreDoesNotCount(t *testing.T) {
	tests := map[string]func(v *View){
		"fenced":        func(*View) {},
		"led":           func(v *View) { v.LedThroughout = true },
		"known to user": func(v *View) { v.Known, v.Record = []Record{v.Record}, Record{Primary: "a", Term: 1, Era: 2} },
		"not fenced":    func(v *View) { v.Record.Fenced = false },
	}
	for name, change := range tests {
		f := newRestoredFixture(t)
		delete(f.statuses, "a")
		delete(f.statuses, "c")
		f.view.Record.Fenced, f.view.Record.FenceSequence = true, 1
		f.view.Record.Order = &Order{Successor: "c", Received: pointAt(1, 49), QuietFor: orderSettleTime}
		f.view.PromotionsSettled = true
		change(&f.view)
		f.now = time.Minute
		f.run(300 * time.Millisecond)
		if r := f.view.Record; r.Era != f.view.Era || r.Ordered() != "c" || r.Order.QuietFor != 0 {
			t.Errorf("%s: record %+v, order %+v", name, r, r.Order)
		}
		f.view.FenceAcknowledged = true
		f.run(orderSettleTime - 500*time.Millisecond)
		if len(f.promotions) > 0 {
			t.Errorf("%s: %v is promoted %s after the restore", name, f.promotions, f.now-time.Minute)
		}
		f.run(time.Second)
		if f.view.Record.Primary != "b" || f.view.Record.Fenced {
			t.Errorf("%s: record %+v, promotions %v", name, f.view.Record, f.promotions)
		}
	}
}

// newUnlistedOrder returns a service that waits for the order of an earlier leader, whose target is
// not listed any more, while the others respond at once.
func newUnlistedOrder(t *testing.T) *fixture {
	f := newFixture(t)
	delete(f.statuses, "a")
	f.view.Record.Fenced, f.view.Record.FenceSequence, f.view.FenceAcknowledged = true, 1, true
	f.view.Record.Order = &Order{Successor: "gone"}
	return f
}

// Guards against a write for each round of statuses while a service waits: each is sent to every
// instance.
func TestQuietOrderIsWrittenFewTimes(t *testing.T) {
	f := newUnlistedOrder(t)
	before := f.view.Revision
	f.run(orderSettleTime - 10*time.Millisecond)
	// One at once, one for each interval, and the notice to callers.
	if writes := int(f.view.Revision - before); writes > int(orderSettleTime/quietInterval)+1 {
		t.Fatalf("the record was written %d times", writes)
	}
}

// Guards against writes without end after the order has settled.
func TestSettledOrderIsWrittenNoMore(t *testing.T) {
	f := newUnlistedOrder(t)
	clear(f.statuses)
	f.run(3 * orderSettleTime)
	before := f.view.Revision
	f.run(time.Minute)
	if f.view.Record.Order.QuietFor != orderSettleTime || f.view.Revision != before {
		t.Fatalf("the record was written %d times, order %+v", f.view.Revision-before, f.view.Record.Order)
	}
}

// Guards against a wait without end if no leader lasts for an interval: all have seen from when on the
// order was quiet.
func TestLeadersOfAMomentEndTheWaitForAnOrder(t *testing.T) {
	f := newUnlistedOrder(t)
	for f.view.Record.Fenced && f.now < time.Minute {
		f.coordinator = Coordinator{}
		f.run(quietInterval / 2)
	}
	if f.now > 2*orderSettleTime {
		t.Fatalf("the service waits for %s", f.now)
	}
}

// Guards against the time of another order: one that replaces it begins anew.
func TestOrderThatReplacesAQuietOneBeginsAnew(t *testing.T) {
	g, ordered := newSeries(t, orderSettleTime-modelRequestTimeout)
	g.replaceLeader()
	g.advanceUntil(t, func() bool { return g.view.Record.Ordered() != ordered.id })
	if order := g.view.Record.Order; order == nil || order.QuietFor != 0 || !order.AfterAnother {
		t.Fatalf("order %+v", order)
	}
}
