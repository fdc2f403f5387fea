package relay

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/topology"
)

func TestOwnerWithAnOlderConfigurationDeclines(t *testing.T) {
	f := newFleet(t)
	f.network.dropConfigurations = true
	first, other := f.owners()
	for _, id := range []topology.InstanceID{"e", other} {
		eng := f.network.relays[id].Engine
		newer := *eng.Catalog()
		newer.Version = 2
		eng.SetCatalog(&newer)
	}
	f.mustRun(f.newSession(), statement.Write, statement.OK)
	if len(f.targets[first].received()) != 0 || len(f.targets[other].received()) != 1 {
		t.Fatalf("%v, %v", f.targets[first].received(), f.targets[other].received())
	}
	if f.forwardFailures.Load() != 1 {
		t.Fatalf("%d failures were reported, want 1", f.forwardFailures.Load())
	}
}

// Both owners are cut off from the store when a key is withdrawn. They fetch the new
// configuration from the forwarding instance, which has it; if they declined, the
// service would be left without an owner.
func TestOwnerFetchesTheForwardersNewerConfiguration(t *testing.T) {
	f := newFleet(t)
	first, _ := f.owners()
	e := f.network.relays["e"]
	newer := *e.Engine.Catalog()
	newer.Version, newer.Revision = 2, 9
	e.Engine.SetCatalog(&newer)
	f.targets["e"].confirmationAge = time.Second
	f.mustRun(f.newSession(), statement.Write, statement.OK)
	if received := f.targets[first].received(); len(received) != 1 {
		t.Fatalf("the owner ran %v, want one statement", received)
	}
	if c := f.network.relays[first].Engine.Catalog(); c.Version != 2 || c.Revision != 9 {
		t.Fatalf("the owner has version %d, revision %d, want 2 and 9", c.Version, c.Revision)
	}
	if confirmedAt := f.configurationsConfirmedAt[0]; confirmedAt > e.Clock()-time.Second {
		t.Fatalf("a confirmation of a second ago counts as of %v ago", e.Clock()-confirmedAt)
	}
}

// An instance that only forwards learns from responses that its configuration is the
// latest, without calls to the store. The confirmation that it records must not be
// more recent than the owner's.
func TestResponsesConfirmTheConfiguration(t *testing.T) {
	f := newFleet(t)
	now := f.network.relays["e"].Clock
	session := f.newSession()
	f.mustRun(session, statement.Write, statement.OK)
	if len(f.confirmed) != 1 || f.confirmed[0].version != 1 {
		t.Fatalf("confirmed %v", f.confirmed)
	}
	first, _ := f.owners()
	f.targets[first].confirmationAge = time.Minute
	f.mustRun(session, statement.Write, statement.OK)
	if confirmedAt := f.confirmed[1].at; confirmedAt > now()-time.Minute {
		t.Fatalf("a confirmation of a minute ago counts as of %v before now", now()-confirmedAt)
	}
}

// Once an operation of a caller was decided under a newer configuration, no instance
// may decide a later one under an older configuration.
func TestOlderConfigurationNeverDecidesLaterOperations(t *testing.T) {
	f := newFleet(t)
	first, other := f.owners()
	newer := *f.network.relays[first].Engine.Catalog()
	newer.Version = 2
	f.network.relays[first].Engine.SetCatalog(&newer)
	session := f.newSession()
	f.mustRun(session, statement.Write, statement.OK)
	f.setFault(first, f.network.disconnected)
	f.mustRun(session, statement.Write, statement.Busy)
	if len(f.targets[other].received())+len(f.targets["e"].received()) != 0 {
		t.Fatal("an operation was decided under an older configuration")
	}
}
