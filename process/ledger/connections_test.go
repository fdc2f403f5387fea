package ledger

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	poolTarget       = "t"
	poolTotal        = 7
	poolSyncInterval = 50 * time.Millisecond
	poolCloseDelay   = 5 * time.Millisecond
	// maxPoolPause is shorter than the time from the revocation of a loan's
	// connections to its expiry. No clock can protect against an instance that
	// is suspended for longer.
	maxPoolPause = 1500 * time.Millisecond
)

// fakePool is a pool that opens connections immediately, closes idle ones in
// excess of its limit after poolCloseDelay, and keeps those in use.
type fakePool struct {
	limit, open, closing, inUse, demand int
	// applied is the sequence number of the last LimitChange applied.
	applied uint64
}

func (p *fakePool) usage() PoolUsage {
	return PoolUsage{Limit: p.limit, Open: p.open + p.closing, Demand: p.demand, AppliedSequence: p.applied}
}

// fitToLimit begins to close idle connections in excess of the limit and then uses
// and opens others for the demand. It returns how many it closes.
func (p *fakePool) fitToLimit() int {
	p.inUse = min(p.inUse, p.open)
	excess := max(0, min(p.open-p.limit, p.open-p.inUse))
	p.open -= excess
	p.closing += excess
	for p.inUse < p.demand && (p.inUse < p.open || p.open+p.closing < p.limit) {
		p.open = max(p.open, p.inUse+1)
		p.inUse++
	}
	return excess
}

// syncPool reports the state of the instance's pool and applies the limit
// changes that result.
func (f *fleet) syncPool(inst *instance) {
	conns := inst.conns
	f.deliver(inst, inst.shard, func() {
		now := inst.localTime(f.now)
		conns.Tick(now)
		for range 3 {
			f.fitPoolToLimit(inst)
			conns.ReportUsage(now, poolTarget, inst.pool.usage())
			for _, change := range conns.TakeLimitChanges() {
				inst.pool.limit, inst.pool.applied = change.Limit, change.Sequence
				if change.Revoke {
					inst.pool.inUse = min(inst.pool.inUse, change.MaxOpen)
				}
				f.fitPoolToLimit(inst)
			}
		}
	})
}

// fitPoolToLimit fits the instance's pool to its limit and completes the closing
// later.
func (f *fleet) fitPoolToLimit(inst *instance) {
	closing, process := inst.pool.fitToLimit(), inst.shard
	if closing > 0 {
		f.schedule(poolCloseDelay, func() {
			if inst.shard == process {
				inst.pool.closing -= closing
				f.syncPool(inst)
			}
		})
	}
	f.checkConnectionTotal()
}

// checkConnectionTotal panics when the pools together have, or may open at any
// moment, more connections than the target's total.
func (f *fleet) checkConnectionTotal() {
	count := 0
	for _, inst := range f.instances {
		count += max(inst.pool.open+inst.pool.closing, inst.pool.limit)
	}
	if count > poolTotal {
		panic(fmt.Sprintf("%d connections may be open of a total of %d at %v", count, poolTotal, f.now))
	}
}

// TestConnectionsStayWithinTheTotal is a property test of the connection
// coordinator, with changing demand, connections that stay in use, lost,
// duplicated and late messages, pauses, restarts and slots that move. It fails
// when more connections are open than the target's total.
func TestConnectionsStayWithinTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), propertyInstances, propertySlots, nil)
		f.connectionLimits = []ConnectionLimit{{Target: poolTarget, Total: poolTotal}}
		assigner := newSlotAssigner(f)
		for _, inst := range f.instances {
			inst.drift = time.Duration(rapid.IntRange(-10, 10).Draw(t, "drift ms/s")) * time.Millisecond
			f.startLedger(inst)
		}
		defer failOnViolation(t)
		var tick func()
		tick = func() {
			for _, inst := range f.instances {
				assigner.renewLeases(inst)
				f.syncPool(inst)
			}
			f.schedule(poolSyncInterval, tick)
		}
		f.schedule(0, tick)
		f.runUntil(connectionTakeoverDelay + time.Second)
		pick := func() *instance { return f.instances[rapid.IntRange(0, propertyInstances-1).Draw(t, "instance")] }
		run := func(maxMillis int) func(t *rapid.T) {
			return func(t *rapid.T) {
				f.runUntil(f.now + time.Duration(rapid.IntRange(1, maxMillis).Draw(t, "ms"))*time.Millisecond)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { f.checkConnectionTotal() },
			// Each kind of run is listed twice so that it is chosen more often.
			"run":      run(200),
			"run on":   run(200),
			"run far":  run(12_000),
			"run long": run(12_000),
			"demand": func(t *rapid.T) {
				inst := pick()
				inst.pool.demand = rapid.IntRange(0, poolTotal).Draw(t, "demand")
				inst.pool.inUse = min(inst.pool.inUse, inst.pool.demand)
				f.syncPool(inst)
			},
			"network": func(t *rapid.T) { f.drawNetworkFaults(t) },
			"pause": func(t *rapid.T) {
				inst := pick()
				inst.paused = true
				f.schedule(maxPoolPause, func() { f.resume(inst) })
			},
			"restart": func(*rapid.T) {
				inst := pick()
				demand := inst.pool.demand
				assigner.restartInstance(inst)
				inst.pool.demand = demand
				incarnation := uint64(f.now) + 1
				for _, peer := range f.instances {
					f.schedule(100*time.Millisecond, func() {
						f.deliver(peer, peer.shard, func() { peer.conns.InstanceRestarted(peer.localTime(f.now), inst.id, incarnation) })
					})
				}
			},
			"move slot": func(t *rapid.T) { assigner.moveSlot(t, pick()) },
		})
	})
}

// TestBusyInstanceBorrowsIdleShares checks that a busy instance borrows all
// connections of idle ones and keeps them over renewals, and that another
// instance gets them once the first no longer needs them.
func TestBusyInstanceBorrowsIdleShares(t *testing.T) {
	f := newFleet(3, propertyInstances, propertySlots, nil)
	f.connectionLimits = []ConnectionLimit{{Target: poolTarget, Total: poolTotal}}
	for _, inst := range f.instances {
		f.startLedger(inst)
	}
	var tick func()
	tick = func() {
		for _, inst := range f.instances {
			f.syncPool(inst)
		}
		f.schedule(poolSyncInterval, tick)
	}
	f.schedule(0, tick)
	f.runUntil(connectionTakeoverDelay + 5*time.Second)
	busy := f.instances[2]
	busy.pool.demand = poolTotal
	f.runUntil(f.now + time.Second)
	if busy.pool.inUse != poolTotal {
		t.Fatalf("the busy instance has %d of %d connections", busy.pool.inUse, poolTotal)
	}
	f.runUntil(f.now + 2*ConnectionLoanTTL)
	if busy.pool.inUse != poolTotal {
		t.Fatalf("the busy instance has %d of %d connections after renewals", busy.pool.inUse, poolTotal)
	}
	busy.pool.demand, busy.pool.inUse = 1, 1
	peer := f.instances[1]
	peer.pool.demand = poolTotal - 1
	f.runUntil(f.now + 10*time.Second)
	if peer.pool.inUse < poolTotal-2 {
		t.Fatalf("the next busy instance has %d connections", peer.pool.inUse)
	}
}

// TestReaddedTargetWaitsForEarlierLoans checks that a target whose record is
// removed and written again is not used before connections lent earlier have
// expired.
func TestReaddedTargetWaitsForEarlierLoans(t *testing.T) {
	c := NewConnectionCoordinator(1)
	limits := []ConnectionLimit{{Target: poolTarget, Total: 1}}
	c.SetSlots(0, &SlotAssignment{Holders: []topology.InstanceID{"self"}, Leases: []SlotLease{{Epoch: firstEpoch, ExpiresAt: noExpiry}}})
	c.SetLimits(0, limits)
	c.Receive(time.Second, "peer", &Message{ConnectionRequests: []ConnectionRequest{{Target: poolTarget, ID: 1, Additional: 1}}})
	c.SetLimits(2*time.Second, nil)
	c.SetLimits(3*time.Second, limits)
	if limit := c.Limit(4*time.Second, poolTarget); limit != 0 {
		t.Fatalf("limit %d while a connection is still lent", limit)
	}
	if limit := c.Limit(3*time.Second+connectionTakeoverDelay, poolTarget); limit != 1 {
		t.Fatalf("limit %d after the loans have expired", limit)
	}
}
