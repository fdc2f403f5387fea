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

// switchboard carries messages between drivers as CBOR.
type switchboard struct {
	mu struct {
		sync.Mutex
		drivers map[topology.InstanceID]*Driver
	}
}

// port is one instance's sender.
type port struct {
	board *switchboard
	self  topology.InstanceID
}

func (p port) Send(to topology.InstanceID, kind peer.Kind, payload any) {
	data, err := cbor.Marshal(payload)
	if err != nil || kind != peer.KindConfig {
		panic(err)
	}
	p.board.mu.Lock()
	driver := p.board.mu.drivers[to]
	p.board.mu.Unlock()
	if driver != nil {
		driver.Receive(p.self, data)
	}
}

// TestReceiveSurvivesAnything hands damaged messages to a driver and its
// coordinator.
func TestReceiveSurvivesAnything(t *testing.T) {
	whole, err := cbor.Marshal(Message{Answer: &Answer{ID: 1, Delta: &Delta{Updates: []Update{{Key: "k"}}}}})
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		driver := New(Config{Self: platform.Instance{ID: "a"}}, memstore.New(memstore.Config{}), port{&switchboard{}, "a"}, clock.System(), logr.Discard())
		damaged := slices.Clone(whole)
		for range rapid.IntRange(1, 4).Draw(t, "bytes") {
			damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		driver.Receive("b", damaged)
		select {
		case next := <-driver.inputs:
			driver.handle(t.Context(), next.event)
		default:
		}
	})
}

// TestDriversFollowTheStore runs three drivers on the in-memory store: a change
// reaches all, also one whose subscriber came late, and the drivers end.
func TestDriversFollowTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memstore.New(memstore.Config{Clock: clock.System()})
		board := &switchboard{}
		board.mu.drivers = map[topology.InstanceID]*Driver{}
		var members []platform.Instance
		for _, id := range []topology.InstanceID{"a", "b", "c"} {
			members = append(members, platform.Instance{ID: id, FailureDomain: "kollam", State: platform.InstanceLive})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i, self := range members {
			driver := New(Config{Self: self, Seed: uint64(i + 1)}, service, port{board, self.ID}, clock.System(), logr.Discard())
			board.mu.drivers[self.ID] = driver
			var stale *StaleError
			if err := driver.Fresh(); !errors.As(err, &stale) || stale.Age >= 0 {
				t.Errorf("before the start: %v", err)
			}
			driver.SetMembers(members, members)
		}
		for _, driver := range board.mu.drivers {
			running.Go(func() { _ = driver.Run(ctx) })
		}
		time.Sleep(3 * time.Second) // virtual time, as below
		revision, err := service.CompareAndSwap(ctx, store.Swap{Key: Prefix + "key/k", Value: []byte("v")})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(inForceTarget)
		for id, driver := range board.mu.drivers {
			var states []State
			driver.Subscribe(func(state State) { states = append(states, state) })
			if len(states) != 1 || states[0].Revision < revision || !slices.ContainsFunc(states[0].Entries, func(e store.Entry) bool { return e.Key == Prefix+"key/k" }) {
				t.Errorf("%s holds %+v", id, states)
			}
			if err := driver.Fresh(); err != nil {
				t.Errorf("%s: %v", id, err)
			}
		}
		cancel()
		running.Wait()
		time.Sleep(FreshLimit)
		if err := board.mu.drivers["a"].Fresh(); !errors.As(err, new(*StaleError)) {
			t.Errorf("after the end: %v", err)
		}
	})
}
