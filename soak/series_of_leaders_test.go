package soak

import (
	"testing"
	"time"
)

// leaderTime is how long each leader of a series lasts, with the time until the next one leads: less
// than an order takes to settle.
const leaderTime = 1200 * time.Millisecond

// endLeaders sends SIGTERM to one leader after the other, and starts each again.
func (s *promotionScenario) endLeaders(stop <-chan struct{}) {
	for {
		if leader := s.leader(); leader != nil {
			s.stops.Go(func() { s.stopAndRestart(leader, 0) })
		}
		if !pause(leaderTime, stop) {
			return
		}
	}
}

// Guards against a wait without end: the ordered database crashes, and no leader lasts until the
// order has settled.
func TestSeriesOfLeadersReplacesAPrimaryWhoseSuccessorCrashes(t *testing.T) {
	s := startPromotionScenario(t, fastPromotion, slowPromotion)
	s.ahead.member.SetDown(true)
	begin, stop := time.Now(), make(chan struct{})
	s.stops.Go(func() { s.endLeaders(stop) })
	second, ordered := awaitOrder(s.group, 1, maxReplaceTime, nil)
	t.Logf("second order %+v after %s", second, time.Since(begin).Round(time.Millisecond))
	close(stop)
	if !ordered || second.Target != s.behind.member.ID {
		t.Errorf("after %s the order that follows the one for %s is %+v", maxReplaceTime, s.ahead.member.ID, second)
	}
	s.finish(t)
}
