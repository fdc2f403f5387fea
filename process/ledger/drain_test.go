package ledger

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/membership"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newProductionFleet is a fleet with the durations of production, for steady customers.
func newProductionFleet(seed uint64, instances int, limits []RateLimit) *membershipFleet {
	m := &membershipFleet{fleet: newFleet(seed, instances, propertySlots, limits), wakes: true}
	m.configure = func(cfg *membership.Config) {
		*cfg = membership.DefaultConfig(cfg.Self, cfg.Incarnation, propertySlots)
	}
	m.start()
	return m
}

// A drained instance's customers went on at the others, which refused them below their rate: an
// instance that had lost the race for a slot at its start held none for up to 5 s, and the slots
// that the drain released stayed free for up to 5 s, and then their parts were empty for 319 ms.
// The oracles check the rates.
func TestDrainRefusesNoCustomerBelowItsRate(t *testing.T) {
	for seed := range uint64(60) {
		limits := []RateLimit{{Customer: "a", Rate: 1000, Burst: 200}, {Customer: "b", Rate: 200, Burst: 40}}
		m := newProductionFleet(seed, 2+int(seed%3), limits)
		refused, admitted := 0, 0
		m.onOutcome = func(_ topology.CustomerID, _ time.Duration, ok bool) {
			if ok {
				admitted++
			} else {
				refused++
			}
		}
		m.runUntil(3500 * time.Millisecond) // the readiness check waits 3 s at most
		first := 0
		for _, limit := range limits {
			var load func()
			next := 0
			load = func() {
				next++
				m.sendRequest(m.instances[first+next%(len(m.instances)-first)], limit.Customer)
				m.schedule(time.Duration(float64(time.Second)/(0.95*limit.Rate)), load)
			}
			m.schedule(0, load)
		}
		m.runUntil(m.now + 500*time.Millisecond)
		first = 1
		leaving := m.instances[0]
		m.updateMembership(leaving, func(c *membership.Coordinator) { c.Drain() })
		for !leaving.membership.Drained() {
			m.runUntil(m.now + membershipTickInterval)
		}
		leaving.down = true
		m.runUntil(m.now + 8*time.Second)
		if refused > 0 {
			t.Errorf("seed %d, %d instances: %d requests at 95 %% of the rates were refused, %d admitted", seed, len(m.instances), refused, admitted)
		}
	}
}

// A handover that arrives twice, or that is for another lease, would add tokens that are spent or
// held elsewhere.
func TestHandoverRestoresEachPartOnce(t *testing.T) {
	limits := []RateLimit{{Customer: "a", Rate: 8, Burst: 8}}
	former, next := NewRateShard(1), NewRateShard(1)
	lease := func(epoch uint64) *SlotAssignment {
		return &SlotAssignment{Holders: []topology.InstanceID{"i0", "i1"}, Leases: []SlotLease{{Index: 0, Epoch: epoch, ExpiresAt: noExpiry}}}
	}
	ended := &SlotAssignment{Holders: []topology.InstanceID{"i0", "i1"}}
	former.SetSlots(0, lease(1))
	former.SetLimits(0, limits)
	const endedAt = time.Minute // the buckets are full
	if ticket, refusal := former.Admit(endedAt, "a"); ticket != nil || refusal != nil {
		t.Fatal("a full bucket admits no request")
	}
	former.SetSlots(endedAt, ended)
	handovers := former.TakeOutbox()["i1"]
	if handovers == nil || len(handovers.TokenHandovers) != 1 {
		t.Fatalf("the holder of the other slot got %v", handovers)
	}
	level := func() float64 { return next.accounts["a"].availableTokens(endedAt) }
	next.SetLimits(endedAt, limits)
	next.SetSlots(endedAt, lease(3))
	next.Receive(endedAt, "i0", handovers)
	if level() != 0 {
		t.Errorf("a handover for another lease brought %v tokens", level())
	}
	next = NewRateShard(1)
	next.SetLimits(endedAt, limits)
	next.Receive(endedAt, "i0", handovers)
	next.SetSlots(endedAt, lease(2))
	if level() != 3 {
		t.Errorf("the handover of a bucket of 4 less one token brought %v tokens", level())
	}
	for range 3 {
		next.Admit(endedAt, "a")
	}
	next.Receive(endedAt, "i0", handovers)
	next.SetLimits(endedAt, nil)
	next.SetLimits(endedAt, limits)
	next.Receive(endedAt, "i0", handovers)
	if level() != 0 {
		t.Errorf("a second use of the handover brought %v tokens", level())
	}
}

// Only the holders of other slots got a handover: an instance that held none began with empty
// buckets and refused requests below the rate for 319 ms.
func TestHandoverReachesAnInstanceWithoutSlot(t *testing.T) {
	former := NewRateShard(1)
	slots := SlotAssignment{
		Holders: []topology.InstanceID{"i0"}, Peers: []topology.InstanceID{"i1"}, Leases: []SlotLease{{Epoch: 1, ExpiresAt: noExpiry}},
	}
	former.SetSlots(0, &slots)
	former.SetLimits(0, []RateLimit{{Customer: "a", Rate: 8, Burst: 8}})
	slots.Leases = nil
	former.SetSlots(time.Minute, &slots)
	if m := former.TakeOutbox()["i1"]; m == nil || len(m.TokenHandovers) != 1 {
		t.Errorf("the instance without slot got %+v, want a handover", m)
	}
}

// Drains in series under changing load, over a network that loses, duplicates and delays messages:
// the handed over tokens must not exist twice, nor admit more than the rates. The oracles and
// checkTokens panic.
func TestHandoversKeepTheRates(t *testing.T) {
	for seed := range uint64(12) {
		limits := []RateLimit{{Customer: "a", Rate: 400, Burst: 80}, {Customer: "b", Rate: 20, Burst: 10}}
		m := newProductionFleet(seed, 3, limits)
		m.lossPercent, m.duplicatePercent, m.jitter = m.rng.IntN(10), 30, time.Duration(m.rng.IntN(20))*time.Millisecond
		m.runUntil(4 * time.Second)
		load, handedOver := 0.0, 0
		m.onSend = func(message *Message) { handedOver += len(message.TokenHandovers) }
		for _, limit := range limits {
			var send func()
			send = func() {
				if m.rng.Float64() < load/4 {
					m.sendRequest(m.instances[m.rng.IntN(len(m.instances))], limit.Customer)
				}
				m.checkTokens()
				m.schedule(time.Duration(float64(time.Second)/(4*limit.Rate)), send)
			}
			m.schedule(0, send)
		}
		for range 10 {
			for range 1 + m.rng.IntN(4) {
				load = []float64{0, 0.3, 0.8, 4}[m.rng.IntN(4)]
				m.runUntil(m.now + time.Duration(m.rng.IntN(500))*time.Millisecond)
			}
			leaving := m.instances[m.rng.IntN(len(m.instances))]
			m.updateMembership(leaving, func(c *membership.Coordinator) { c.Drain() })
			m.runUntil(m.now + time.Duration(m.rng.IntN(2000))*time.Millisecond)
			m.startProcess(leaving)
		}
		if handedOver == 0 {
			t.Errorf("seed %d: no part was handed over", seed)
		}
	}
}
