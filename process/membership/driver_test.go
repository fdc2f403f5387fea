package membership

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
)

// delayedSender is a peer.Sender that delivers each message after a
// millisecond.
type delayedSender struct {
	from  topology.InstanceID
	peers map[topology.InstanceID]*Driver
}

func (s delayedSender) Send(to topology.InstanceID, _ peer.Kind, payload any) {
	encoded, err := cbor.Marshal(payload)
	if err != nil {
		panic(err)
	}
	time.AfterFunc(time.Millisecond, func() { s.peers[to].Receive(s.from, encoded) })
}

// TestDriversAssignSlots runs a fleet of drivers in virtual time. All slots
// must be assigned, leases must survive an outage of the store of seven
// minutes, and a drained instance must have none. It logs the rate of store
// calls.
func TestDriversAssignSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := memstore.New(memstore.Config{Clock: clock.System()})
		peers := make(map[topology.InstanceID]*Driver)
		var ids []topology.InstanceID
		for i := range testInstances {
			id := instanceID(i)
			ids = append(ids, id)
			self := platform.Instance{ID: id, Peer: string(id), State: platform.InstanceLive}
			st.PutInstance(self)
			cfg := DefaultConfig(self, 1, testSlots)
			peers[id] = New(cfg, st, st, delayedSender{from: id, peers: peers}, clock.System(), rand.New(rand.NewPCG(uint64(i), 0)), logr.Discard())
		}
		views := 0
		peers["i0"].Subscribe(func(View) { views++ })
		for _, id := range ids {
			go func() { _ = peers[id].Run(ctx) }()
		}
		<-time.After(time.Minute)
		leases := 0
		for _, id := range ids {
			if _, _, ok := peers[id].Slot(); !ok {
				t.Errorf("%s has no slot", id)
			}
			if live := len(peers[id].Live()); live != testInstances {
				t.Errorf("%s believes %d instances alive", id, live)
			}
			leases += len(peers[id].View().SlotLeases)
		}
		if leases != testSlots || views < 2 {
			t.Errorf("%d of %d slots held, %d views", leases, testSlots, views)
		}
		before := st.Counts()
		<-time.After(10 * time.Minute)
		after := st.Counts()
		perSecond := float64(after.Total()-before.Total()) / (10 * time.Minute).Seconds() / testInstances
		t.Logf("%.3f store calls/s per instance, %.4f of them writes", perSecond,
			float64(after.Writes()-before.Writes())/(10*time.Minute).Seconds()/testInstances)
		st.SetFaults(memstore.Faults{Down: true})
		<-time.After(7 * time.Minute)
		if _, _, ok := peers["i1"].Slot(); !ok {
			t.Error("a lease ended in an outage of seven minutes")
		}
		st.SetFaults(memstore.Faults{})
		<-time.After(time.Minute)
		if err := peers["i1"].Drain(ctx); err != nil {
			t.Error(err)
		}
		if _, _, ok := peers["i1"].Slot(); ok {
			t.Error("a drained instance has a lease")
		}
		cancel()
		synctest.Wait()
	})
}
