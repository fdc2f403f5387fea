package soak

import (
	"strings"
	"sync"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// slowPromotion and fastPromotion are how long the promotions of the two successors take
	// if the first one is overtaken, and equalPromotion if none is.
	slowPromotion  = 900 * time.Millisecond
	fastPromotion  = 200 * time.Millisecond
	equalPromotion = 600 * time.Millisecond
	// orderResponseTime is the time in which a leader has got the response to its order.
	orderResponseTime = 30 * time.Millisecond
)

// promotionScenario is a run in which the primary of a group crashes while one replica is behind,
// so that the first order is for the other one, ahead.
type promotionScenario struct {
	*harness
	group         *platformtest.Group
	behind, ahead target
	stopCallers   func()
	stops         sync.WaitGroup
}

// startPromotionScenario starts a run, has the primary crash and waits for the order for ahead.
// Promotions take the given time by target.
func startPromotionScenario(t *testing.T, behind, ahead time.Duration) *promotionScenario {
	t.Helper()
	h, stopCallers := startServing(t, Options{Daemons: 5, Callers: 18}, (*harness).newCaller)
	s := &promotionScenario{harness: h, group: h.groups[0], behind: h.targets[1], ahead: h.targets[2], stopCallers: stopCallers}
	delays := map[topology.TargetID]time.Duration{s.behind.member.ID: behind, s.ahead.member.ID: ahead}
	s.group.SetPromotionDelays(func(order platformtest.PromotionOrder) time.Duration { return delays[order.Target] })
	s.behind.member.SetDeaf(true)
	time.Sleep(divergeTime)
	s.group.CurrentPrimary().SetDown(true)
	if first, ordered := awaitOrder(s.group, 0, maxReplaceTime, nil); !ordered || first.Target != s.ahead.member.ID {
		t.Fatalf("the first order is %+v, not one of %s", first, s.ahead.member.ID)
	}
	return s
}

// endLeader sends SIGTERM to the failover leader, which has got the response to its order.
func (s *promotionScenario) endLeader() {
	time.Sleep(orderResponseTime)
	leader := s.leader()
	s.stops.Go(func() { s.terminate(leader, stopTimeout) })
}

// orderOfBehind waits for the second order, as long as it may overtake the first, and reports
// whether it is one for the replica that was behind. A daemon may well order no other replica.
func (s *promotionScenario) orderOfBehind() bool {
	second, ordered := awaitOrder(s.group, 1, equalPromotion, nil)
	return ordered && second.Target == s.behind.member.ID
}

// finish lets the run go on for a while and fails the test if there are violations.
func (s *promotionScenario) finish(t *testing.T) {
	t.Helper()
	time.Sleep(slowPromotion + useTime)
	s.stops.Wait()
	s.stopCallers()
	if violations := s.violations(); len(violations) > 0 {
		t.Errorf("%d violations, the first and the last: %s; %s", len(violations), violations[0], violations[len(violations)-1])
	}
	t.Log("\n" + strings.Join(s.promotionLog(s.group), "\n"))
	t.Log(s.history.summary(s.groups))
}

// Guards against late-promotion, hypothesis A: a leader ordered the promotion of one database and
// ended; the next one chose another, which was published and used when the first order took
// effect. Writes at the replaced one were acknowledged.
func TestOrderOfAnEarlierLeaderReplacesNoPublishedPrimary(t *testing.T) {
	s := startPromotionScenario(t, fastPromotion, slowPromotion)
	s.ahead.member.SetStatusBusy(true)
	s.endLeader()
	time.Sleep(slowPromotion)
	s.ahead.member.SetStatusBusy(false)
	s.finish(t)
}

// Guards against late-promotion, hypothesis A, with promotions that take equally long: the third
// leader in a row found the database that the first one had ordered as primary and published it,
// and the order of the second one took effect.
func TestOrderOfASecondLeaderReplacesNoPublishedPrimary(t *testing.T) {
	s := startPromotionScenario(t, equalPromotion, equalPromotion)
	s.ahead.member.SetStatusBusy(true)
	s.endLeader()
	if s.orderOfBehind() {
		s.endLeader()
	}
	s.ahead.member.SetStatusBusy(false)
	s.finish(t)
}

// Guards against what seed 4 of --promotion-faults found: two orders took effect, the later primary
// was busy, and the next leader published the earlier one, which had been dark.
func TestReplacedPrimaryIsNotPublishedWhileItsSuccessorIsBusy(t *testing.T) {
	s := startPromotionScenario(t, equalPromotion, equalPromotion)
	s.fail(s.ahead, true, true)
	s.endLeader()
	if s.orderOfBehind() {
		s.behind.member.SetStatusBusy(true)
		s.endLeader()
	}
	time.Sleep(slowPromotion)
	s.fail(s.ahead, true, false)
	time.Sleep(useTime)
	s.behind.member.SetStatusBusy(false)
	s.finish(t)
}

// Guards against late-promotion, hypothesis A, with one leader: it gave up the database that it had
// ordered, whose entry had expired, and published another one before the first order took effect.
func TestOrderOfAnUnlistedSuccessorReplacesNoPublishedPrimary(t *testing.T) {
	s := startPromotionScenario(t, fastPromotion, slowPromotion)
	time.Sleep(orderResponseTime)
	s.store.Delete("servers/" + string(s.ahead.member.ID))
	s.finish(t)
}
