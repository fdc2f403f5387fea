package ledger

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	poolTarget = "t"
	poolTotal  = 7
	poolTick   = 50 * time.Millisecond
	poolClose  = 5 * time.Millisecond
	// longestPause keeps an instance from sleeping past the end of a connection
	// loan, which no clock can guard against.
	longestPoolPause = 1500 * time.Millisecond
)

// fakePool obeys its limit: it opens at once, closes what is free a little later
// and keeps what is in use.
type fakePool struct {
	limit, open, closing, inUse, demand int
	applied                             uint64
}

func (p *fakePool) usage() Usage {
	return Usage{Limit: p.limit, Open: p.open + p.closing, Wanted: p.demand, Applied: p.applied}
}

// adjust opens connections for the demand and starts to close those over the
// limit. It returns how many it closes.
func (p *fakePool) adjust() int {
	p.inUse = min(p.inUse, p.open)
	for p.inUse < p.demand && (p.inUse < p.open || p.open+p.closing < p.limit) {
		p.open = max(p.open, p.inUse+1)
		p.inUse++
	}
	excess := max(0, min(p.open-p.limit, p.open-p.inUse))
	p.open -= excess
	p.closing += excess
	return excess
}

// syncPool reports the pool's state and applies the changes that follow.
func (f *fleet) syncPool(in *instance) {
	conns := in.conns
	f.on(in, in.shard, func() {
		now := in.clock(f.now)
		conns.Tick(now)
		for range 3 {
			f.adjustPool(in)
			conns.Report(now, poolTarget, in.pool.usage())
			for _, change := range conns.Changes() {
				in.pool.limit, in.pool.applied = change.Limit, change.Sequence
				if change.Revoke {
					in.pool.inUse = min(in.pool.inUse, change.Most)
				}
				f.adjustPool(in)
			}
		}
	})
}

func (f *fleet) adjustPool(in *instance) {
	closing, shard := in.pool.adjust(), in.shard
	if closing > 0 {
		f.after(poolClose, func() {
			if in.shard == shard {
				in.pool.closing -= closing
				f.syncPool(in)
			}
		})
	}
	f.checkPools()
}

// checkPools panics when the pools have, or may open at any moment, more
// connections than the target takes.
func (f *fleet) checkPools() {
	count := 0
	for _, in := range f.instances {
		count += max(in.pool.open+in.pool.closing, in.pool.limit)
	}
	if count > poolTotal {
		panic(fmt.Sprintf("%d connections out of %d at %v", count, poolTotal, f.now))
	}
}

// TestConnectionsHold explores demand that moves, connections held in use, lost,
// doubled and late messages, pauses, restarts and slots that change hands. The
// fleet panics as soon as more connections are open than the target takes.
func TestConnectionsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), exploredInstances, exploredSlots, nil)
		f.connections = []ConnectionLimit{{Target: poolTarget, Total: poolTotal}}
		a := newAuthority(f)
		for _, in := range f.instances {
			in.drift = time.Duration(rapid.IntRange(-10, 10).Draw(t, "drift ms/s")) * time.Millisecond
			f.start(in)
		}
		defer failOnBreach(t)
		var tick func()
		tick = func() {
			for _, in := range f.instances {
				a.renew(in)
				f.syncPool(in)
			}
			f.after(poolTick, tick)
		}
		f.after(0, tick)
		f.runUntil(connectionDelay + time.Second)
		pick := func() *instance { return f.instances[rapid.IntRange(0, exploredInstances-1).Draw(t, "instance")] }
		run := func(longest int) func(t *rapid.T) {
			return func(t *rapid.T) {
				f.runUntil(f.now + time.Duration(rapid.IntRange(1, longest).Draw(t, "ms"))*time.Millisecond)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         func(*rapid.T) { f.checkPools() },
			"run":      run(200),
			"run on":   run(200),
			"run far":  run(12_000),
			"run long": run(12_000),
			"demand": func(t *rapid.T) {
				in := pick()
				in.pool.demand = rapid.IntRange(0, poolTotal).Draw(t, "demand")
				in.pool.inUse = min(in.pool.inUse, in.pool.demand)
				f.syncPool(in)
			},
			"network": func(t *rapid.T) { f.drawNetwork(t) },
			"pause": func(t *rapid.T) {
				in := pick()
				in.paused = true
				f.after(longestPoolPause, func() { f.resume(in) })
			},
			"restart": func(*rapid.T) {
				in := pick()
				demand := in.pool.demand
				a.restart(in)
				in.pool.demand = demand
				firstID := uint64(f.now) + 1
				for _, other := range f.instances {
					f.after(100*time.Millisecond, func() {
						f.on(other, other.shard, func() { other.conns.Restarted(other.clock(f.now), in.id, firstID) })
					})
				}
			},
			"move slot": func(t *rapid.T) { a.move(t, pick()) },
		})
	})
}

// TestIdleSharesServeABusyInstance checks that one busy instance gets what the
// idle ones leave, and that they get it back.
func TestIdleSharesServeABusyInstance(t *testing.T) {
	f := newFleet(3, exploredInstances, exploredSlots, nil)
	f.connections = []ConnectionLimit{{Target: poolTarget, Total: poolTotal}}
	for _, in := range f.instances {
		f.start(in)
	}
	var tick func()
	tick = func() {
		for _, in := range f.instances {
			f.syncPool(in)
		}
		f.after(poolTick, tick)
	}
	f.after(0, tick)
	f.runUntil(connectionDelay + 5*time.Second)
	busy := f.instances[2]
	busy.pool.demand = poolTotal
	f.runUntil(f.now + time.Second)
	if busy.pool.inUse != poolTotal {
		t.Fatalf("the busy instance has %d of %d idle connections", busy.pool.inUse, poolTotal)
	}
	f.runUntil(f.now + 2*ConnectionTerm)
	if busy.pool.inUse != poolTotal {
		t.Fatalf("%d of %d connections are left after renewals", busy.pool.inUse, poolTotal)
	}
	busy.pool.demand, busy.pool.inUse = 1, 1
	other := f.instances[1]
	other.pool.demand = poolTotal - 1
	f.runUntil(f.now + 10*time.Second)
	if other.pool.inUse < poolTotal-2 {
		t.Fatalf("the next busy instance has %d connections", other.pool.inUse)
	}
}

// TestRemovedTargetWaitsForItsLoans checks that a target whose record is removed
// and written again is not used before the connections lent earlier have ended.
func TestRemovedTargetWaitsForItsLoans(t *testing.T) {
	c := NewConnections(1)
	limits := []ConnectionLimit{{Target: poolTarget, Total: 1}}
	c.SetSlots(0, &Slots{Holders: []topology.InstanceID{"self"}, Owned: []OwnedSlot{{Epoch: firstEpoch, Until: never}}})
	c.SetLimits(0, limits)
	c.Receive(time.Second, "peer", &Message{ConnectionAsks: []ConnectionAsk{{Target: poolTarget, ID: 1, Wanted: 1}}})
	c.SetLimits(2*time.Second, nil)
	c.SetLimits(3*time.Second, limits)
	if limit := c.Limit(4*time.Second, poolTarget); limit != 0 {
		t.Fatalf("%d connections may be open beside one that was lent", limit)
	}
	if limit := c.Limit(3*time.Second+connectionDelay, poolTarget); limit != 1 {
		t.Fatalf("%d connections may be open after the loans have ended", limit)
	}
}
