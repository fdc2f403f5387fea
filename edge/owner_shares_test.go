package edge

import (
	"testing"
	"time"
)

// plannedRoll terminates the instances in turn.
func (f *simFleet) plannedRoll(from, gap time.Duration) {
	for n, i := range f.instances {
		f.at(from+time.Duration(n)*gap, i.terminate)
	}
}

// maxWrongfulRefusals is the part of a customer's operations that may be refused at half of
// its rate.
const maxWrongfulRefusals = 0.002

// Others forward operations to an instance that has started again before it knows that it
// is an owner. It refused them, because it had no share of the customer's rate and asked no
// other instance for a token: 360 to 515 refusals in a day with one roll of the fleet.
func TestRestartedOwnersRefuseNoCustomerBelowItsRate(t *testing.T) {
	const from, until = 8 * time.Second, 32 * time.Second
	for _, test := range []struct {
		name string
		plan func(f *simFleet)
	}{
		{"roll, gaps of 2 s", func(f *simFleet) { f.plannedRoll(from, 2*time.Second) }},
		{"roll, gaps of 6 s", func(f *simFleet) { f.plannedRoll(from, 6*time.Second) }},
		{"three terminated at once", func(f *simFleet) {
			for _, i := range f.instances[:3] {
				f.at(from, i.terminate)
			}
		}},
		{"one killed", func(f *simFleet) { f.at(from, f.instances[1].kill) }},
		{"one killed twice", func(f *simFleet) {
			f.at(from, f.instances[1].kill)
			f.at(from+time.Second, f.instances[1].kill)
		}},
		{"two killed during a roll", func(f *simFleet) {
			f.plannedRoll(from, 2*time.Second)
			f.at(from+2*time.Second, f.instances[4].kill)
			f.at(from+5*time.Second, f.instances[0].kill)
		}},
		{"all killed", func(f *simFleet) {
			for _, i := range f.instances {
				f.at(from, i.kill)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, rate := range []float64{206, 40} {
				served, refused, excess, bound := 0, 0, 0, 6*rate*1.1+20
				for seed := range uint64(2) {
					below := newSimFleet(t, seed, 6, rate)
					below.play(from, until, test.plan, rate/2)
					served, refused = served+len(below.admitted), refused+below.refused
					above := newSimFleet(t, seed, 6, rate)
					above.play(from, until, test.plan, 3*rate)
					excess = max(excess, above.maxInWindow(simWindow))
				}
				t.Logf("rate %v: at half of it %d refused, %d served; at three times of it up to %d in a window, bound %.0f", rate, refused, served, excess, bound)
				if float64(refused) > maxWrongfulRefusals*float64(served) {
					t.Errorf("rate %v: at half of it %d refused, %d served", rate, refused, served)
				}
				if float64(excess) > bound {
					t.Errorf("rate %v: %d operations in a window, bound %.0f", rate, excess, bound)
				}
			}
		})
	}
}
