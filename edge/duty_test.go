package edge

import (
	"testing"
	"time"
)

// A pause in the middle of a failover: the duty was lost, perhaps held by another
// instance, and taken again. What began under the first token must not go on.
func TestActionsOfAnEarlierTakingDoNotGoOn(t *testing.T) {
	d := newMirrored(t)
	now := time.Minute
	d.clock = func() time.Duration { return now }
	d.setDutyLease(1, now)
	d.setToken(true, 10)
	if !d.holds(10, orderSpan) {
		t.Fatal("the duty is not held right after it was taken")
	}
	now += orderSpan
	if d.holds(10, orderSpan) || !d.holds(10, dutySpan) {
		t.Fatal("an order may be sent too long after the last renewal")
	}
	d.setDutyLease(2, now)
	d.setToken(true, 30)
	if d.holds(10, dutySpan) || !d.holds(30, dutySpan) {
		t.Fatal("the earlier token counts")
	}
}
