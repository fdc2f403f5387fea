package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// runLogFault runs callers on daemons as processes, injects one fault of replication into a
// group for a while, and fails the test for each violation.
func runLogFault(t *testing.T, options Options, inject func(primary target, replicas []target) (revert func())) {
	t.Helper()
	options.Daemons, options.Callers = 4, 18
	h, stopCallers := startServing(t, options, (*harness).newCaller)
	h.history.addDisturbance()
	endFault := h.history.addFault()
	revert := inject(h.targetsOf(h.groups[0], rand.New(rand.NewPCG(1, 1))))
	time.Sleep(maxLogFaultDuration)
	revert()
	endFault()
	h.history.addDisturbance()
	h.awaitSuccesses()
	stopCallers()
	for _, violation := range h.violations() {
		t.Error(violation)
	}
	for _, p := range h.groups[0].Promotions() {
		t.Logf("%s promoted in term %d with %d entries at %.1f s", p.Member, p.Term, len(p.Log), p.At.Sub(h.startedAt).Seconds())
	}
	t.Log(h.history.summary(h.groups))
}

// Guards against review/2: a replica that had received nothing was promoted while the one that
// had acknowledged the commits was dark, so that acknowledged commits were lost.
func TestReplicaWithoutAcknowledgedCommitsIsNotPromoted(t *testing.T) {
	t.Parallel()
	runLogFault(t, Options{SynchronousReplicas: 1}, darkenHolder)
}

// Guards against review/1: a replaced primary was promoted with a log that the service had left,
// because no other database responded.
func TestReplacedPrimaryWithALeftLogIsNotPromoted(t *testing.T) {
	t.Parallel()
	runLogFault(t, Options{}, returnReplacedPrimary)
}

// A member without the acknowledged d1 is promoted, and after d2 was acknowledged there the one
// with d1 again. The checker must report both promotions.
func TestCheckerReportsPromotionsOfWrongLogs(t *testing.T) {
	g, err := platformtest.StartGroup("s", 2, 3, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	h, members := newHistory(), g.Members()
	members[1].SetIsolated(true)
	for i, data := range []string{"d1", "d2"} {
		target, response, err := platformtest.DialCaller(members[i].Address(), "s", "miller", responseTimeout)
		if err != nil || !response.OK() {
			t.Fatalf("connect to the target: %v, response %+v", err, response)
		}
		defer target.Close()
		if response, err := target.Do("id", platformtest.WriteText("a", data), responseTimeout); err != nil || !response.OK() {
			t.Fatalf("write %s: %v, response %+v", data, err, response)
		}
		h.addWrite(writeAttempt{data: data, acknowledged: true, at: time.Now()})
		next := members[1-i]
		g.Promote(next.ID, uint64(i+1))
		for g.CurrentPrimary() != next {
			time.Sleep(time.Millisecond)
		}
	}
	g.SetSynchronousReplicas(1)
	found := strings.Join(h.check([]*platformtest.Group{g}), "\n")
	for _, want := range []string{"LOST: s-2, promoted in term 2, lacks d1", "STALE: s-1, promoted in term 3, holds d1"} {
		if !strings.Contains(found, want) {
			t.Errorf("%q is missing: %s", want, found)
		}
	}
}
