package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against two primaries in a series of leaders, some of which request the promotion of the ordered
// target again while it responds for a moment. TestFuzzLatePromotions seldom draws that.
func TestFuzzRequestsInASeriesOfLeaders(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		g := newLateGroup(t)
		ordered := g.orders[0].successor
		milliseconds := func(least, most int, name string) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(r, name)) * time.Millisecond
		}
		g.promotionTime = func() time.Duration {
			return rapid.SampledFrom([]time.Duration{modelPromotion, modelMaxPromotion}).Draw(r, "promotion")
		}
		g.requestTime = func() time.Duration { return milliseconds(0, int(modelMaxRequest.Milliseconds()), "request ms") }
		for range rapid.IntRange(1, 6).Draw(r, "requests") {
			g.orders = nil // an accepted promotion may have no effect
			g.setSilent(ordered, false, true)
			for range rapid.IntRange(1, 3).Draw(r, "leaders") {
				g.replaceLeaderBy(g.drawLeader(r))
				g.advance(milliseconds(20, 1900, "leads ms"))
			}
			g.setSilent(ordered, false, false)
			g.advance(milliseconds(20, 700, "responds ms"))
		}
		g.setSilent(ordered, false, true)
		g.replaceLeaderBy(g.drawLeader(r))
		g.advance(15 * time.Second)
		if g.problem != "" || g.view.Record.Fenced || g.view.Record.Primary != g.current.id {
			r.Fatalf("%s: record %+v, primary %s of term %d", g.problem, g.view.Record, g.current.id, g.term)
		}
	})
}
