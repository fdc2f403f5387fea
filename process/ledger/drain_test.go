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
// that the drain released stayed free for up to 5 s. The oracles check the rates.
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
				m.schedule(time.Duration(float64(time.Second)/(0.8*limit.Rate)), load)
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
			t.Errorf("seed %d, %d instances: %d requests at 80 %% of the rates were refused, %d admitted", seed, len(m.instances), refused, admitted)
		}
	}
}
