package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"samphirehitch.example/samphirehitch/process/authority"
)

// withUsageFleet runs a test of the instance "a", which has registered without a usage and has
// become an owner since.
func withUsageFleet(t *testing.T, test func(t *testing.T, f *usageFleet, p *fleetProcess)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newUsageFleet("a")
		defer f.stop()
		f.load(f.users[0])
		f.registerNow(f.users[0])
		f.own(f.users[0])
		test(t, f, f.users[0])
	})
}

// registerNow makes a step of the registration loop, and confirmNow one of the confirmation
// loop, which take a millisecond for each call.
func (f *usageFleet) registerNow(p *fleetProcess) {
	f.register(withDelays(p.daemon.ctx, 0, time.Millisecond), p)
	synctest.Wait()
}

func (f *usageFleet) confirmNow(p *fleetProcess) {
	p.daemon.confirmOnce(withDelays(p.daemon.ctx, 0, time.Millisecond))
	synctest.Wait()
}

// wantUse checks whether an instance may use the primary.
func wantUse(t *testing.T, p *fleetProcess, want bool) {
	t.Helper()
	if _, may := mayUse(p.daemon); may != want {
		t.Fatalf("may use the primary: %t, want %t", may, want)
	}
}

// wantFenceComplete fences the primary and has the leader replace it.
func (f *usageFleet) wantFenceComplete(t *testing.T) {
	t.Helper()
	f.fence()
	f.receive(f.leader)
	if !f.replacePrimary() {
		t.Fatal("the leader waits for the fence")
	}
}

// An instance has confirmed the record and then the leader fences it, without an
// acknowledgement of the instance, which has not declared its usage. Once it has, it must not
// use the primary that was replaced.
func TestConfirmationFromBeforeTheDeclarationGivesNoAuthority(t *testing.T) {
	withUsageFleet(t, func(t *testing.T, f *usageFleet, p *fleetProcess) {
		f.confirmNow(p)
		f.wantFenceComplete(t)
		f.registerNow(p)
		wantUse(t, p, false)
		f.confirmNow(p)
		if record, may := mayUse(p.daemon); !may || record.Term != 2 {
			t.Fatalf("record %+v, may use its primary: %t", record, may)
		}
	})
}

// A confirmation is under way while the usage is declared. It may have read the record
// before the usage was written.
func TestConfirmationUnderWayAtTheDeclarationGivesNoAuthority(t *testing.T) {
	withUsageFleet(t, func(t *testing.T, f *usageFleet, p *fleetProcess) {
		go p.daemon.confirmOnce(withDelays(p.daemon.ctx, 0, 200*time.Millisecond))
		time.Sleep(time.Millisecond)
		f.wantFenceComplete(t)
		f.registerNow(p)
		f.advance(time.Second)
		wantUse(t, p, false)
	})
}

// The registration expires, with the usage, while the record is still confirmed. A fence does
// not wait for the instance until it has registered again.
func TestConfirmationFromBeforeANewRegistrationGivesNoAuthority(t *testing.T) {
	withUsageFleet(t, func(t *testing.T, f *usageFleet, p *fleetProcess) {
		f.registerNow(p)
		f.confirmNow(p)
		wantUse(t, p, true)
		f.advance(authority.MinRegistrationTTL)
		f.confirmNow(p)
		f.wantFenceComplete(t)
		f.registerNow(p) // finds that the registration has expired
		f.registerNow(p)
		wantUse(t, p, false)
		f.confirmNow(p)
		wantUse(t, p, true)
	})
}

// The declaration of the usage wakes the confirmation loop: the start of the use of a primary
// takes one call more than the declaration, and the loop makes none besides.
func TestUseOfAPrimaryBeginsOneConfirmationAfterTheDeclaration(t *testing.T) {
	withUsageFleet(t, func(t *testing.T, f *usageFleet, p *fleetProcess) {
		const latency = 30 * time.Millisecond
		p.path.delays = pathDelays{call: latency / 2, response: latency / 2}
		go func() { _ = p.daemon.confirmLoop(p.daemon.ctx) }()
		f.advance(time.Second)
		f.register(p.daemon.ctx, p) // a renewal and the declaration
		wantUse(t, p, false)
		calls := p.calls()
		time.Sleep(latency)
		synctest.Wait()
		wantUse(t, p, true)
		if made := p.calls() - calls; made != 1 {
			t.Fatalf("%d calls after the declaration", made)
		}
	})
}

// An owner registers again under a shorter lease. The write takes effect, its response and
// further writes are lost, and the lease ends, with the usage, while the instance renews the
// earlier lease.
func TestRenewalOfALeaseThatMayHaveLostTheUsageGivesNoAuthority(t *testing.T) {
	withUsageFleet(t, func(t *testing.T, f *usageFleet, p *fleetProcess) {
		if !p.daemon.putUsage(p.daemon.ctx, p.daemon.registrationLease(), p.daemon.usedServices) {
			t.Fatal("not declared")
		}
		f.confirmNow(p)
		p.path.loseResponses = true
		f.registerNow(p)
		p.path.loseResponses, p.path.refuse = false, true
		for range 4 {
			f.advance(authority.MinRegistrationTTL / 4)
			p.daemon.renewRegistration(p.daemon.ctx, p.daemon.registrationLease())
			f.confirmNow(p)
		}
		f.wantFenceComplete(t)
		wantUse(t, p, false)
		p.path.refuse = false
		f.registerNow(p)
		f.confirmNow(p)
		wantUse(t, p, true)
	})
}

// An instance that shuts down announces this while it declares its usage. The announcement
// must not replace the usage by what it was before.
func TestAnnouncementOfAShutdownDoesNotRemoveTheDeclaredUsage(t *testing.T) {
	withUsageFleet(t, func(t *testing.T, f *usageFleet, p *fleetProcess) {
		p.path.delays = pathDelays{call: 40 * time.Millisecond, response: 40 * time.Millisecond}
		go p.daemon.announceLeaving()
		time.Sleep(time.Millisecond)
		f.registerNow(p)
		f.confirmNow(p)
		f.advance(150 * time.Millisecond)
		f.mu.Lock()
		stored := f.stored.usage("a")
		f.mu.Unlock()
		if _, may := mayUse(p.daemon); may && stored != `["s"]` {
			t.Fatalf("may use the primary, the stored usage is %s", stored)
		}
		f.advance(time.Second)
		f.confirmNow(p)
		wantUse(t, p, true)
	})
}
