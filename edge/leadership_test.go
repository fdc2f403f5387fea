package edge

import (
	"testing"
	"time"
)

// The process is suspended during a failover, loses the leadership and acquires it
// again; another instance may have been the leader in between. Actions that began under
// the first token must be aborted.
func TestEarlierLeadershipTokenIsInvalid(t *testing.T) {
	d := newTestDaemon(t)
	now := time.Minute
	d.clock = func() time.Duration { return now }
	d.setLeadershipLease(1, now)
	d.setLeadership(true, 10)
	if !d.holdsLeadership(10, promotionWindow) {
		t.Fatal("the leadership is not held right after it was acquired")
	}
	now += promotionWindow
	if d.holdsLeadership(10, promotionWindow) || !d.holdsLeadership(10, leadershipDuration) {
		t.Fatal("a promotion may be requested too long after the last renewal")
	}
	d.setLeadershipLease(2, now)
	d.setLeadership(true, 30)
	if d.holdsLeadership(10, leadershipDuration) || !d.holdsLeadership(30, leadershipDuration) {
		t.Fatal("the earlier token is valid")
	}
}
