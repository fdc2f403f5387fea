package edge

import (
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/topology"
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

// cutOffOperations is the part of the operations that callers of an instance send while it is
// cut off. It serves these within its share alone.
const cutOffOperations = 7. / 24 / 6

// Others forward operations to an instance that has started again before it knows that it
// is an owner. It refused them, because it had no share of the customer's rate and asked no
// other instance for a token: 360 to 515 refusals in a day with one roll of the fleet.
func TestRestartedOwnersRefuseNoCustomerBelowItsRate(t *testing.T) {
	const from, until = 8 * time.Second, 32 * time.Second
	for _, test := range []struct {
		name string
		plan func(f *simFleet)
		// excused is the part of the operations that may be refused for another reason.
		excused float64
	}{
		{"roll, gaps of 2 s", func(f *simFleet) { f.plannedRoll(from, 2*time.Second) }, 0},
		{"roll, gaps of 6 s", func(f *simFleet) { f.plannedRoll(from, 6*time.Second) }, 0},
		{"three terminated at once", func(f *simFleet) {
			for _, i := range f.instances[:3] {
				f.at(from, i.terminate)
			}
		}, 0},
		{"all terminated within 2 s", func(f *simFleet) { f.plannedRoll(from, 300*time.Millisecond) }, 0},
		{"one killed", func(f *simFleet) { f.at(from, f.instances[1].kill) }, 0},
		{"one killed twice", func(f *simFleet) {
			f.at(from, f.instances[1].kill)
			f.at(from+time.Second, f.instances[1].kill)
		}, 0},
		{"two killed during a roll", func(f *simFleet) {
			f.plannedRoll(from, 2*time.Second)
			f.at(from+2*time.Second, f.instances[4].kill)
			f.at(from+5*time.Second, f.instances[0].kill)
		}, 0},
		{"one cut off during a roll", func(f *simFleet) {
			f.plannedRoll(from, 2*time.Second)
			f.at(from+time.Second, func() { f.instances[5].cutOff = true })
			f.at(from+8*time.Second, func() { f.instances[5].cutOff = false })
		}, cutOffOperations},
		{"the store away during a roll", func(f *simFleet) {
			f.plannedRoll(from, 2*time.Second)
			f.at(from+7*time.Second, func() { f.storeAway = true })
			f.at(from+10*time.Second, func() { f.storeAway = false })
		}, 0},
		{"all killed", func(f *simFleet) {
			for _, i := range f.instances {
				f.at(from, i.kill)
			}
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
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
				if float64(refused) > (maxWrongfulRefusals+test.excused)*float64(served) {
					t.Errorf("rate %v: at half of it %d refused, %d served", rate, refused, served)
				}
				if float64(excess) > bound {
					t.Errorf("rate %v: %d operations in a window, bound %.0f", rate, excess, bound)
				}
			}
		})
	}
}

// recordingLink records to whom messages are sent.
type recordingLink struct {
	*simInstance
	receivers []topology.InstanceID
}

func (l *recordingLink) Send(to topology.InstanceID, _ peer.Kind, _ any) {
	l.receivers = append(l.receivers, to)
}

// An instance that started divided a customer's rate without the demand at the others until
// their next report, up to 1.5 s later: 1,301 operations in a window, the limit is 1,236.
func TestNewRateSharerIsSentTheDemandAtOnce(t *testing.T) {
	f := newSimFleet(t, 1, 4, 206)
	f.run(5*time.Second, 103)
	reporter, newest := f.instances[0], f.instances[3]
	newest.kill()
	f.run(f.now+simRestartDelay+simRegistration+2*simStep, 103)
	link := &recordingLink{simInstance: reporter}
	d := reporter.daemon
	d.relay.Link = link
	d.sendDemand()
	d.rateSharers = slices.DeleteFunc(slices.Clone(d.rateSharers), func(id topology.InstanceID) bool { return id == newest.id })
	link.receivers = nil
	d.sendDemand()
	if len(link.receivers) != 0 {
		t.Fatalf("demand is sent to %v although nothing has changed", link.receivers)
	}
	d.applyShares()
	d.sendDemand()
	if !slices.Contains(link.receivers, newest.id) {
		t.Fatalf("demand is sent to %v, want %s", link.receivers, newest.id)
	}
}
