package ledger

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/membership"
	"samphirehitch.example/samphirehitch/process/topology"
)

// drainInstance stops an instance as the daemon does: its pool closes for good, then it releases its
// slots.
func (m *membershipFleet) drainInstance(inst *instance) {
	m.deliver(inst, inst.shard, func() { inst.conns.SetDraining(inst.localTime(m.now)) })
	inst.pool.demand, inst.pool.inUse, inst.pool.open = 0, 0, 0
	m.runUntil(m.now + poolCloseDelay)
	m.deliver(inst, inst.shard, func() { inst.conns.SetClosed(inst.localTime(m.now)) })
	m.syncPool(inst)
	m.updateMembership(inst, func(c *membership.Coordinator) { c.Drain() })
	for !inst.membership.Drained() {
		m.runUntil(m.now + membershipTickInterval)
	}
	inst.down, inst.pool = true, fakePool{}
}

// The connections of a drained instance's slots stayed unused for 32 s. An instance that had lent
// or taken all slots at its start left the others without any, and callers waited beyond the limit
// of the queue. Instances are rolled in series, the first one starts alone and holds all slots.
func TestDrainLeavesConnectionsToTheOthers(t *testing.T) {
	const longestWait = time.Second // the queue's limit is 5 s
	for seed := range uint64(40) {
		m := newProductionFleet(seed, 2+int(seed%3), nil)
		for _, inst := range m.instances[1:] {
			inst.down = true
		}
		m.runUntil(2 * time.Second)
		for _, inst := range m.instances[1:] {
			m.startProcess(inst)
		}
		for _, inst := range m.instances {
			inst.pool.demand = 1
		}
		m.runUntil(m.now + 3*time.Second)
		for _, leaving := range m.instances {
			m.drainInstance(leaving)
			m.runUntil(m.now + longestWait)
			for _, inst := range m.instances {
				if !inst.down && inst.pool.inUse == 0 {
					t.Errorf("seed %d: %s has no connection %v after %s drained, limit %d", seed, inst.id, longestWait, leaving.id, inst.pool.limit)
				}
			}
			m.startProcess(leaving)
			leaving.pool.demand = 1
			m.runUntil(m.now + 3*time.Second)
		}
	}
}

// A loan that a handover omits, or a handover of connections that are still open, would let the
// next holder open more connections than the target's total. Instances are drained, killed and
// started in series under changing demand, over a network that loses, duplicates and delays
// messages. checkConnectionTotal panics.
func TestConnectionHandoversKeepTheTotal(t *testing.T) {
	handedOver, loans := 0, 0
	for seed := range uint64(8) {
		m := newProductionFleet(seed, 3, nil)
		m.onSend = func(message *Message) {
			handedOver += len(message.ConnectionHandovers)
			for _, h := range message.ConnectionHandovers {
				loans += len(h.Loans)
			}
		}
		m.runUntil(4 * time.Second)
		for range 25 {
			m.lossPercent, m.duplicatePercent = []int{0, 0, 10, 30}[m.rng.IntN(4)], m.rng.IntN(30)
			m.jitter = time.Duration(1+m.rng.IntN(200)) * time.Millisecond
			for _, inst := range m.instances {
				inst.pool.demand = m.rng.IntN(poolTotal + 1)
				inst.pool.inUse = min(inst.pool.inUse, inst.pool.demand)
			}
			m.runUntil(m.now + time.Duration([]int{100, 300, 2000, 9000, 40_000}[m.rng.IntN(5)])*time.Millisecond)
			leaving := m.instances[m.rng.IntN(len(m.instances))]
			switch m.rng.IntN(4) {
			case 0:
				leaving.down, leaving.pool = true, fakePool{}
			case 1:
				// Slots are given up while the pool is in use.
				m.updateMembership(leaving, func(c *membership.Coordinator) { c.Drain() })
				m.runUntil(m.now + time.Duration(m.rng.IntN(3000))*time.Millisecond)
			default:
				m.drainInstance(leaving)
			}
			m.runUntil(m.now + time.Duration(m.rng.IntN(1000))*time.Millisecond)
			m.startProcess(leaving)
		}
	}
	if handedOver == 0 || loans == 0 {
		t.Errorf("%d shares with %d loans were handed over", handedOver, loans)
	}
}

// An instance that stopped while one of its requests was outstanding kept its loan: the lender
// counted the connections as lent for as long as the stopped process was not known to be replaced.
func TestClosedInstanceReturnsItsLoansAtOnce(t *testing.T) {
	c := NewConnectionCoordinator(1)
	c.SetSlots(0, &SlotAssignment{Holders: []topology.InstanceID{"lender"}})
	c.SetLimits(0, []ConnectionLimit{{Target: poolTarget, Total: 4}})
	request := func() ConnectionRequest {
		t.Helper()
		m := c.TakeOutbox()["lender"]
		if m == nil || len(m.ConnectionRequests) != 1 {
			t.Fatalf("the lender gets %+v, want one request", m)
		}
		return m.ConnectionRequests[0]
	}
	c.ReportUsage(0, poolTarget, PoolUsage{Demand: 2})
	first := request()
	c.Receive(time.Millisecond, "lender", &Message{ConnectionGrants: []ConnectionGrant{
		{Target: poolTarget, ID: first.ID, Epoch: 1, Lent: 2},
	}})
	c.ReportUsage(time.Second, poolTarget, PoolUsage{Limit: 2, Open: 2, Demand: 3, AppliedSequence: 1})
	outstanding := request()
	c.SetDraining(time.Second)
	c.SetClosed(time.Second)
	if last := request(); last.ID <= outstanding.ID || last.Kept != 0 || last.Additional != 0 {
		t.Errorf("the last request is %+v after %+v, want one that keeps nothing", last, outstanding)
	}
}

// An instance that acquired the slot that it had borrowed from closed the borrowed connections, even
// those in use, if the handover was late or lost: requests were cut.
func TestNextHolderKeepsWhatItBorrowed(t *testing.T) {
	c := NewConnectionCoordinator(1)
	c.SetSlots(0, &SlotAssignment{Holders: []topology.InstanceID{"former"}})
	c.SetLimits(0, []ConnectionLimit{{Target: poolTarget, Total: 4}})
	c.ReportUsage(0, poolTarget, PoolUsage{Demand: 3})
	request := c.TakeOutbox()["former"].ConnectionRequests[0]
	c.Receive(time.Millisecond, "former", &Message{ConnectionGrants: []ConnectionGrant{
		{Target: poolTarget, ID: request.ID, Epoch: 1, Lent: 3},
	}})
	next := &SlotAssignment{Holders: []topology.InstanceID{"self"}, Leases: []SlotLease{{Epoch: 2, ExpiresAt: noExpiry}}}
	c.SetSlots(time.Second, next)
	if limit := c.Limit(time.Second, poolTarget); limit != 3 {
		t.Errorf("limit %d, want the 3 connections that it borrowed", limit)
	}
	c.TakeOutbox()
	c.Receive(2*time.Second, "other", &Message{ConnectionRequests: []ConnectionRequest{{Target: poolTarget, ID: 1, Epoch: 1, Kept: 2, Additional: 2}}})
	if g := c.TakeOutbox()["other"].ConnectionGrants[0]; g.Lent != 1 {
		t.Errorf("the share of 4 renews the loan of another borrower with %d connections, want 1", g.Lent)
	}
	if limit := c.Limit(time.Second+connectionTakeoverDelay, poolTarget); limit != 3 {
		t.Errorf("limit %d after the loans have expired, want 4 less one lent", limit)
	}
}
