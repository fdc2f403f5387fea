package upkeep

import (
	"testing"
	"time"
)

// renewalPrice is the price of a renewal in calls.
const renewalPrice = 0.1

// The calls of an instance that only forwards must not bind the fleet's size: the store
// accepts 16,000 reads a second, and 3,587 instances may use a hundredth of that.
func TestForwardingInstancesMakeFewCalls(t *testing.T) {
	s := For(Forwarding)
	if calls := 3587 * renewalPrice / s.RenewInterval.Seconds(); calls > 160 {
		t.Fatalf("3,587 instances make %.0f calls a second", calls)
	}
}

// A registration survives an outage of the store of 9 s that begins just before a renewal,
// and two renewals that fail.
func TestForwardingRegistrationSurvivesAnOutage(t *testing.T) {
	s := For(Forwarding)
	if s.RenewInterval+9*time.Second+2*s.RenewRetryInterval >= s.RegistrationTTL {
		t.Fatalf("renewed every %s for %s", s.RenewInterval, s.RegistrationTTL)
	}
}

func TestRoles(t *testing.T) {
	for _, test := range []struct {
		uses, mayOwn bool
		want         Role
	}{{false, false, Forwarding}, {false, true, Standby}, {true, false, Using}, {true, true, Using}} {
		if got := RoleOf(test.uses, test.mayOwn); got != test.want {
			t.Errorf("%v, %v: %s, want %s", test.uses, test.mayOwn, got, test.want)
		}
	}
}

// Only a change that pays makes an instance register again.
func TestNeedsNewLease(t *testing.T) {
	long, short := For(Forwarding).RegistrationTTL, For(Using).RegistrationTTL
	for _, test := range []struct {
		role Role
		ttl  time.Duration
		want bool
	}{{Forwarding, long, false}, {Forwarding, short, true}, {Standby, long, false}, {Standby, short, false}, {Using, long, true}, {Using, short, false}} {
		if got := NeedsNewLease(test.role, test.ttl); got != test.want {
			t.Errorf("%s with a lease of %s: %v", test.role, test.ttl, got)
		}
	}
	if LeaseTTL(Standby, true) != long || LeaseTTL(Standby, false) != short || LeaseTTL(Using, true) != short {
		t.Error("TTL of a new registration")
	}
}
