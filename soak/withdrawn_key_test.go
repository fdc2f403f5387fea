package soak

import (
	"testing"
	"time"
)

// Daemons that are out of touch with the store do not learn of a withdrawal. They ran reads
// of open transactions on replicas for as long as the transactions lasted.
func TestWithdrawnKeyEndsTransactionsOutOfTouch(t *testing.T) {
	h, stopCallers := startServing(t, Options{Daemons: 3, Callers: 12}, (*harness).newLingeringCaller)
	for _, d := range h.daemons {
		d.storeProxy.SetMode(DropAll)
	}
	h.history.addDisturbance()
	h.withdrawKey()
	time.Sleep(maxRevocationDelay + 2*time.Second) // transactions last for over 7.7 s
	stopCallers()
	for _, violation := range h.violations() {
		t.Error(violation)
	}
	t.Log(h.history.summary(h.groups))
}
