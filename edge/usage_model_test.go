package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/process/store"
)

// Instances declare that they use a primary, confirm its record, are cut off from the store,
// restart and register again, with calls and responses under way meanwhile, while a leader
// fences the primary: nobody may use it once the leader regards the fence as complete.
func TestFuzzNoUseOfAPrimaryWhoseFenceIsComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var problem string
		var panicked any
		synctest.Test(t, func(*testing.T) {
			defer func() { panicked = recover() }()
			f := newUsageFleet("a", "b")
			defer f.stop()
			for _, p := range f.users {
				f.begin(rt, p)
			}
			for range rapid.IntRange(20, 120).Draw(rt, "events") {
				f.disturb(rt)
				synctest.Wait()
				if f.check(); f.problem != "" {
					break
				}
			}
			problem = f.problem
		})
		if panicked != nil {
			panic(panicked)
		}
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// begin brings a process to a drawn state.
func (f *usageFleet) begin(t *rapid.T, p *fleetProcess) {
	state := rapid.SampledFrom([]string{"using", "registered", "started"}).Draw(t, "state")
	if state == "started" {
		return
	}
	f.load(p)
	f.registerNow(p)
	if state == "using" {
		f.use(p)
	}
}

// use has a process own the service, declare its usage and confirm the record.
func (f *usageFleet) use(p *fleetProcess) {
	f.own(p)
	f.registerNow(p)
	f.registerNow(p)
	f.confirmNow(p)
}

// usageSteps are the steps of the model; frequent ones are repeated.
var usageSteps = []string{"register", "confirm", "advance", "fence", "lead", "register", "confirm", "advance", "fence and lead",
	"use", "path", "own", "receive", "restart", "write late", "new leader"}

// disturb makes a drawn step.
func (f *usageFleet) disturb(t *rapid.T) {
	index := rapid.IntRange(0, len(f.users)-1).Draw(t, "process")
	p := f.users[index]
	delay := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 40 * time.Millisecond, 230 * time.Millisecond})
	switch rapid.SampledFrom(usageSteps).Draw(t, "step") {
	case "register":
		ctx := withDelays(p.daemon.ctx, delay.Draw(t, "call"), delay.Draw(t, "response"))
		if !p.registering.Swap(true) {
			go func() { defer p.registering.Store(false); f.register(ctx, p) }()
		}
	case "confirm":
		ctx := withDelays(p.daemon.ctx, delay.Draw(t, "call"), delay.Draw(t, "response"))
		if !p.confirming.Swap(true) {
			go func() { defer p.confirming.Store(false); p.daemon.confirmOnce(ctx) }()
		}
	case "receive":
		f.receive(p)
	case "own":
		f.own(p)
	case "use":
		if !p.registering.Load() && !p.confirming.Load() {
			f.use(p)
		}
	case "fence":
		f.fence()
	case "fence and lead":
		f.fence()
		f.receive(f.leader)
		f.replacePrimary()
	case "lead":
		f.receive(f.leader)
		f.replacePrimary()
	case "advance":
		f.advance(rapid.SampledFrom([]time.Duration{time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "time"))
	case "path":
		f.disturbPath(t, p)
	case "write late":
		f.executeDelayed(p)
	case "restart":
		f.restart(index)
	case "new leader":
		f.replaceLeader()
	}
}

// disturbPath changes what happens to a process's calls.
func (f *usageFleet) disturbPath(t *rapid.T, p *fleetProcess) {
	mode := rapid.SampledFrom([]string{"fine", "fine", "cut", "refuse", "lose", "delay"}).Draw(t, "mode")
	f.mu.Lock()
	defer f.mu.Unlock()
	p.path.cut, p.path.refuse = mode == "cut", mode == "refuse"
	p.path.loseResponses, p.path.delayWrites = mode == "lose", mode == "delay"
}

// executeDelayed executes the first delayed write of a process, or of an earlier one of the
// same instance.
func (f *usageFleet) executeDelayed(p *fleetProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(p.path.delayed) == 0 {
		return
	}
	var first store.Transaction
	first, p.path.delayed = p.path.delayed[0], p.path.delayed[1:]
	_, _ = f.stored.transact(first) // its condition need not hold any more
}
