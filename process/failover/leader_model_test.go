package failover

import (
	"time"

	"pgregory.net/rapid"
)

// modelMaxRequest is the time in which a promotion request that is not delivered is abandoned.
const modelMaxRequest = 500 * time.Millisecond

// modelLeader is the process that leads, or will lead next.
type modelLeader struct {
	// beginsAt is when it begins to lead, and startedAt when it was started.
	beginsAt, startedAt time.Duration
	// clockOffset is what its clock showed at the begin of the model.
	clockOffset time.Duration
}

// modelRequest is a promotion request, whose result is set when it is delivered. Its leader
// may have ended by then.
type modelRequest struct {
	successor   *modelDatabase
	deliveredAt time.Duration
	result      *Result
}

func (g *modelGroup) leaderClock() time.Duration { return g.now + g.leader.clockOffset }

// leaderView returns the service as the leader knows it.
func (g *modelGroup) leaderView() View {
	view := g.view
	view.RecordSeenAt = max(view.RecordSeenAt, g.leader.startedAt)
	if g.mirrored != nil && g.now < g.mirroredUntil {
		view.Record, view.Revision, view.RecordSeenAt = g.mirrored.record, g.mirrored.revision, g.now
	}
	view.RecordSeenAt += g.leader.clockOffset
	return view
}

// replaceLeaderBy has a certain process lead next. A write of the record that is under way takes
// effect if it is executed before, since its condition is the leader's key.
func (g *modelGroup) replaceLeaderBy(next modelLeader) {
	g.coordinator, g.result, g.leader = Coordinator{}, nil, next
	if g.delayedUntil >= next.beginsAt {
		g.delayed = nil
	}
}

// drawLeader draws the next leader.
func (g *modelGroup) drawLeader(t *rapid.T) modelLeader {
	gap := time.Duration(rapid.SampledFrom([]int{0, 0, 200, 1500}).Draw(t, "gap ms")) * time.Millisecond
	leader := modelLeader{beginsAt: g.now + gap}
	leader.clockOffset = time.Duration(rapid.IntRange(0, 2).Draw(t, "clock h")) * time.Hour
	if rapid.Bool().Draw(t, "new process") {
		leader.startedAt = leader.beginsAt
	}
	return leader
}

// drawSeries draws leaders that last for a short time each.
func (g *modelGroup) drawSeries(t *rapid.T) {
	for range rapid.IntRange(2, 6).Draw(t, "leaders") {
		leader := g.drawLeader(t)
		g.replaceLeaderBy(leader)
		g.advance(leader.beginsAt - g.now + time.Duration(rapid.IntRange(20, 1900).Draw(t, "leads ms"))*time.Millisecond)
	}
}

// deliverRequests delivers the promotion requests that arrive now.
func (g *modelGroup) deliverRequests() {
	var pending []modelRequest
	for _, r := range g.requests {
		if g.now < r.deliveredAt {
			pending = append(pending, r)
			continue
		}
		down := r.successor.down
		if r.result.Failed, r.result.Rejected = down, down; !down && r.successor != g.current {
			g.orders = append(g.orders, modelOrder{successor: r.successor, effectAt: g.now + g.promotionTime()})
		}
		if g.lostResponses[PromoteTarget] > 0 && !down {
			g.lostResponses[PromoteTarget]--
			r.result.Failed = true
		}
	}
	g.requests = pending
}
