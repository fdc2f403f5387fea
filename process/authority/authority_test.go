package authority

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newDeclaredTracker returns a tracker of an instance whose usage named the service "s"
// before time zero.
func newDeclaredTracker() *Tracker {
	tracker := New(4 * time.Second)
	tracker.ObserveDeclaration(-1, []topology.ServiceID{"s"}, 1, false)
	return tracker
}

func TestPrimaryAuthorityExpiresWithTheOlderOfRenewalAndConfirmation(t *testing.T) {
	tracker := newDeclaredTracker()
	records := map[topology.ServiceID]store.Revision{"s": 5}
	tracker.ObserveConfirmation(time.Second, true, records)
	if tracker.MayUsePrimary(time.Second, "s", 5) {
		t.Fatal("authority without a registration")
	}
	tracker.ObserveRenewal(0, MinRegistrationTTL)
	if !tracker.MayUsePrimary(PrimaryDuration-1, "s", 5) || tracker.MayUsePrimary(PrimaryDuration, "s", 5) {
		t.Fatal("the authority does not expire with the renewal")
	}
	if tracker.PrimaryExpiry("s", 5) != PrimaryDuration {
		t.Fatalf("the authority expires at %s", tracker.PrimaryExpiry("s", 5))
	}
	tracker.ObserveRenewal(10*time.Second, MinRegistrationTTL)
	if tracker.MayUsePrimary(time.Second+PrimaryDuration, "s", 5) {
		t.Fatal("the authority does not expire with the confirmation")
	}
}

func TestOutOfOrderResponsesDoNotShortenAuthority(t *testing.T) {
	tracker := newDeclaredTracker()
	tracker.ObserveRenewal(2*time.Second, MinRegistrationTTL)
	tracker.ObserveConfirmation(2*time.Second, true, map[topology.ServiceID]store.Revision{"s": 7})
	tracker.ObserveConfirmation(time.Second, true, map[topology.ServiceID]store.Revision{"s": 5})
	tracker.ObserveRenewal(time.Second, MinRegistrationTTL)
	if !tracker.MayUsePrimary(2*time.Second+PrimaryDuration-1, "s", 7) || tracker.MayUsePrimary(2*time.Second, "s", 5) {
		t.Fatal("the response to an earlier call replaced that to a later one")
	}
}

// The clock advances while the machine is suspended, so that no authority is left
// when it resumes.
func TestSuspensionExpiresAuthority(t *testing.T) {
	tracker := newDeclaredTracker()
	tracker.ObserveRenewal(0, MinRegistrationTTL)
	tracker.ObserveConfirmation(0, true, map[topology.ServiceID]store.Revision{"s": 1})
	if now := 6 * time.Second; tracker.MayUsePrimary(now, "s", 1) || tracker.MayAcceptKeys(now) || tracker.RegistrationValid(now) {
		t.Fatal("authority outlived the suspension")
	}
}

func TestKeysAreAcceptedForKeyDuration(t *testing.T) {
	tracker := New(4 * time.Second)
	if tracker.MayAcceptKeys(0) || tracker.ConfirmationAge(0) >= 0 {
		t.Fatal("keys are accepted without a confirmation")
	}
	tracker.ObserveConfirmation(time.Second, true, nil)
	if !tracker.MayAcceptKeys(5*time.Second-1) || tracker.MayAcceptKeys(5*time.Second) {
		t.Fatal("keys are not accepted for exactly the configured duration")
	}
}

func TestRegistrationOutlivesAuthority(t *testing.T) {
	if PrimaryDuration >= MinRegistrationTTL || FenceWait <= PrimaryDuration {
		t.Fatalf("authority %s, registration %s, fence %s", PrimaryDuration, MinRegistrationTTL, FenceWait)
	}
}

// A lease of 20 s keeps the registration, but does not extend the authority to use a
// primary, which depends on recent renewals.
func TestLongRegistrationDoesNotExtendPrimaryAuthority(t *testing.T) {
	tracker := newDeclaredTracker()
	tracker.ObserveRenewal(0, 20*time.Second)
	tracker.ObserveConfirmation(PrimaryDuration, true, map[topology.ServiceID]store.Revision{"s": 1})
	if !tracker.RegistrationValid(19*time.Second) || tracker.RegistrationValid(20*time.Second) {
		t.Fatal("the registration is not valid until shortly before its lease ends")
	}
	if tracker.MayUsePrimary(PrimaryDuration, "s", 1) {
		t.Fatal("the primary may be used although the last renewal is too old")
	}
}

// A confirmation by another instance extends the authority to accept keys, but not
// the authority to use a primary.
func TestPeerConfirmationCoversKeysOnly(t *testing.T) {
	tracker := newDeclaredTracker()
	tracker.ObserveRenewal(0, MinRegistrationTTL)
	tracker.ObserveConfirmation(0, true, map[topology.ServiceID]store.Revision{"s": 1})
	tracker.ObserveRenewal(PrimaryDuration, MinRegistrationTTL)
	tracker.ObservePeerConfirmation(PrimaryDuration)
	if !tracker.MayAcceptKeys(PrimaryDuration + time.Second) {
		t.Fatal("keys are not accepted on another instance's confirmation")
	}
	if tracker.MayUsePrimary(PrimaryDuration, "s", 1) {
		t.Fatal("another instance's confirmation extends the authority to use a primary")
	}
	tracker.ObservePeerConfirmation(time.Second)
	if age := tracker.ConfirmationAge(PrimaryDuration); age != 0 {
		t.Fatalf("an older confirmation set the age to %s", age)
	}
}

// Only a confirmation that was requested after the usage was known to be in the store counts,
// so that a fence of the confirmed record waits for the instance.
func TestConfirmationCountsFromTheDeclarationOn(t *testing.T) {
	tracker := New(4 * time.Second)
	records := map[topology.ServiceID]store.Revision{"s": 5, "t": 6}
	tracker.ObserveRenewal(0, 20*time.Second)
	declare := func(at time.Duration, uninterrupted bool, services ...topology.ServiceID) {
		tracker.ObserveDeclaration(at, services, 9, uninterrupted)
	}
	check := func(step string, want bool) {
		t.Helper()
		if tracker.MayUsePrimary(time.Second, "s", 5) != want || (tracker.PrimaryExpiry("s", 5) != 0) != want {
			t.Errorf("%s: authority, want %t", step, want)
		}
	}
	tracker.ObserveConfirmation(1, true, records)
	check("not declared", false)
	declare(2, false, "s")
	check("confirmed before", false)
	tracker.ObserveConfirmation(2, true, records)
	check("confirmed at the same time", false)
	tracker.ObserveConfirmation(3, true, records)
	check("confirmed since", true)
	declare(4, true, "s", "t")
	check("another service declared", true)
	if tracker.MayUsePrimary(time.Second, "t", 6) {
		t.Error("the confirmation from before counts for the other service")
	}
	declare(5, false, "s", "t")
	check("written again after an interruption", false)
	tracker.ObserveConfirmation(6, true, records)
	check("confirmed again", true)
	declare(7, true, "t")
	check("not named any more", false)
	declare(8, true, "s", "t")
	check("named again", false)
	tracker.ObserveConfirmation(9, true, records)
	check("confirmed once more", true)
	tracker.ObserveExpiry()
	tracker.ObserveRenewal(10, 20*time.Second)
	check("registered again", false)
	tracker.ObserveConfirmation(11, true, records)
	check("registered again without a usage", false)
}

// An instance registers again after a restore of the store. What it had confirmed before
// counts until the renewal from before has expired, and what it has confirmed since does not.
func TestAuthorityFromBeforeARestoreIsNotExtendedByTheNewUsage(t *testing.T) {
	before, since := store.NewRevision(1, 5), store.NewRevision(2, 5)
	declare := func(tracker *Tracker, at time.Duration, era store.Era) {
		tracker.ObserveDeclaration(at, []topology.ServiceID{"s"}, store.NewRevision(era, 9), false)
	}
	tracker := New(4 * time.Second)
	declare(tracker, -1, 1)
	tracker.ObserveRenewal(0, MinRegistrationTTL)
	tracker.ObserveConfirmation(time.Second, true, map[topology.ServiceID]store.Revision{"s": before})
	declare(tracker, 2*time.Second, 2)
	tracker.ObserveRenewal(2*time.Second, MinRegistrationTTL)
	if !tracker.MayUsePrimary(PrimaryDuration-1, "s", before) || tracker.MayUsePrimary(PrimaryDuration, "s", before) {
		t.Fatal("the authority from before the restore does not last as long as without it")
	}

	tracker = New(4 * time.Second)
	declare(tracker, -1, 1)
	tracker.ObserveRenewal(0, MinRegistrationTTL)
	tracker.ObserveConfirmation(time.Second, true, map[topology.ServiceID]store.Revision{"s": since})
	declare(tracker, 2*time.Second, 2)
	tracker.ObserveRenewal(2*time.Second, MinRegistrationTTL)
	if tracker.MayUsePrimary(2*time.Second, "s", since) {
		t.Fatal("a confirmation from after the restore and before the new usage counts")
	}
}
