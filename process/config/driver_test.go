package config

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
)

// messageRouter delivers messages between drivers, encoded as CBOR.
type messageRouter struct {
	mu struct {
		sync.Mutex
		drivers map[topology.InstanceID]*Driver
	}
}

// routerSender is the peer.Sender of one instance.
type routerSender struct {
	router *messageRouter
	self   topology.InstanceID
}

func (s routerSender) Send(to topology.InstanceID, kind peer.Kind, payload any) {
	data, err := cbor.Marshal(payload)
	if err != nil || kind != peer.KindConfig {
		panic(err)
	}
	s.router.mu.Lock()
	driver := s.router.mu.drivers[to]
	s.router.mu.Unlock()
	if driver != nil {
		driver.Receive(s.self, data)
	}
}

// TestReceiveToleratesDamagedMessages delivers messages with random bytes
// changed to a driver and its coordinator, which must not panic.
func TestReceiveToleratesDamagedMessages(t *testing.T) {
	encoded, err := cbor.Marshal(Message{Digest: &Digest{ID: 1, Delta: &Delta{Updates: []Update{{Key: "k"}}}}})
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		driver := New(Config{Self: platform.Instance{ID: "a"}}, memstore.New(memstore.Config{}), routerSender{&messageRouter{}, "a"}, clock.System(), logr.Discard())
		damaged := slices.Clone(encoded)
		for range rapid.IntRange(1, 4).Draw(t, "bytes") {
			damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		driver.Receive("b", damaged)
		select {
		case next := <-driver.mailbox:
			driver.handleEvent(t.Context(), next.event)
		default:
		}
	})
}

// TestDriversReplicateTheStore runs three drivers on the in-memory store. A
// change must reach all of them and also a late subscriber, and the drivers
// must stop with their context.
func TestDriversReplicateTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memstore.New(memstore.Config{Clock: clock.System()})
		router := &messageRouter{}
		router.mu.drivers = map[topology.InstanceID]*Driver{}
		var members []platform.Instance
		for _, id := range []topology.InstanceID{"a", "b", "c"} {
			members = append(members, platform.Instance{ID: id, FailureDomain: "kollam", State: platform.InstanceLive})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i, self := range members {
			driver := New(Config{Self: self, Seed: uint64(i + 1)}, service, routerSender{router, self.ID}, clock.System(), logr.Discard())
			router.mu.drivers[self.ID] = driver
			var stale *StaleError
			if err := driver.CheckFresh(); !errors.As(err, &stale) || stale.Age >= 0 {
				t.Errorf("before Run: got %v, want a StaleError without an age", err)
			}
			driver.SetMembers(members, members)
		}
		for _, driver := range router.mu.drivers {
			running.Go(func() { _ = driver.Run(ctx) })
		}
		time.Sleep(3 * time.Second) // virtual time, as below
		revision, err := service.CompareAndSwap(ctx, store.Swap{Key: Prefix + "key/k", Value: []byte("v")})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxPropagationTime)
		for id, driver := range router.mu.drivers {
			var states []State
			driver.Subscribe(func(state State) { states = append(states, state) })
			if len(states) != 1 || states[0].Revision < revision || !slices.ContainsFunc(states[0].Entries, func(e store.Entry) bool { return e.Key == Prefix+"key/k" }) {
				t.Errorf("%s notified the late subscriber of %+v", id, states)
			}
			if err := driver.CheckFresh(); err != nil {
				t.Errorf("%s: %v", id, err)
			}
		}
		cancel()
		running.Wait()
		time.Sleep(MaxEvidenceAge)
		if err := router.mu.drivers["a"].CheckFresh(); !errors.As(err, new(*StaleError)) {
			t.Errorf("after Run: got %v, want a StaleError", err)
		}
	})
}
