package peer

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// The responses of an owner that exits were lost in the queue of a link, so that committed
// writes were reported as in doubt.
func TestFlushWaitsForQueuedFrames(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a, instanceA := startMesh(ctx, t, "a")
	b, instanceB := startMesh(ctx, t, "b", instanceA.Peer)
	received := make(chan string, 2*sendQueueFrames)
	b.Handle(KindConfig, func(topology.InstanceID, []byte) { received <- "a:" })
	a.SetPeers([]platform.Instance{instanceA, instanceB})
	b.SetPeers([]platform.Instance{instanceA, instanceB})
	sendUntilReceived(ctx, t, a, "b", received)
	for range sendQueueFrames / 2 {
		a.Send("b", KindConfig, textMessage{Text: "x"})
	}
	a.Flush(time.Now().Add(testTimeout))
	if a.hasUnwritten() {
		t.Error("frames are left in the queue")
	}
}

func TestFlushEndsAtItsDeadline(t *testing.T) {
	m := New(Config{Instance: "m"}, logr.Discard())
	l := newLink(nil, "p", &m.counters) // never written
	m.mu.links["p"] = []*link{l}
	m.Send("p", KindConfig, textMessage{Text: "x"})
	m.Flush(time.Now())
	if !m.hasUnwritten() {
		t.Error("the frame counts as written")
	}
}
