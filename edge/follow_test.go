package edge

import (
	"encoding/json"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/following"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/relay"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// newOwner returns a daemon that uses primaries and has mirrored the store until a
// revision.
func newOwner(until store.Revision) *Daemon {
	d := newRegisteringDaemon(nil)
	d.declaredServices = []topology.ServiceID{"s"}
	d.usedServices = d.declaredServices
	d.advanceMirror(until)
	return d
}

func registrationValue(t *testing.T, r registration) []byte {
	t.Helper()
	value, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// A forwarding instance reads the store once and then learns from an owner which instances
// have registered and which have left.
func TestForwardingInstanceLearnsRegistrationsFromAnOwner(t *testing.T) {
	owner, follower := newOwner(12), newRegisteringDaemon(nil)
	for _, d := range []*Daemon{owner, follower} {
		d.put(instanceKey("left"), registrationValue(t, registration{CPUShare: 0.8}), 5)
	}
	follower.followedUntil = 6
	owner.applyChanges([]store.Change{{Entry: store.Entry{Key: instanceKey("left"), Revision: 9}, Deleted: true}})
	owner.put(instanceKey("new"), registrationValue(t, registration{CPUShare: 0.8}), 11)
	follower.observeFollowed("owner", owner.registrationChanges(follower.followedUntil), 0)
	registered := follower.registrations()
	if _, known := registered["new"]; !known || len(registered) != 1 || follower.followedUntil != 12 {
		t.Fatalf("registered until %d: %v", follower.followedUntil, registered)
	}
	if again := owner.registrationChanges(follower.followedUntil); len(again.Changes) != 0 {
		t.Fatalf("sent again: %v", again.Changes)
	}
}

// An instance that watches only a part of the store cannot be followed.
func TestForwardingInstanceIsNotFollowed(t *testing.T) {
	d := newTestDaemon(t)
	d.advanceMirror(12)
	if answer := d.registrationChanges(0); answer.Until != 0 {
		t.Fatalf("registrations until %d", answer.Until)
	}
}

// A followed owner's answers take the place of confirmations of its own, but only as long
// as they are recent: the bound on withdrawn keys holds on a forwarding instance, too.
func TestFollowerConfirmsItselfOnceAnswersAreOld(t *testing.T) {
	d := newTestDaemon(t)
	d.engine.SetCatalog(&catalog.Catalog{Version: 7, Revision: 1})
	now := d.clock()
	d.observePeerConfirmation("owner", 7, now)
	if since := d.sinceConfirmation(); since > d.clock()-now {
		t.Fatalf("%s since the confirmation", since)
	}
	// A confirmation that the peer received long ago does not postpone the own one.
	d = newTestDaemon(t)
	d.clock = func() time.Duration { return time.Minute }
	d.engine.SetCatalog(&catalog.Catalog{Version: 7, Revision: 1})
	d.observePeerConfirmation("owner", 7, 30*time.Second)
	if since := d.sinceConfirmation(); since != 30*time.Second {
		t.Fatalf("%s since the confirmation", since)
	}
	if d.authority.MayAcceptKeys(d.clock()) {
		t.Fatal("keys are accepted on an old confirmation")
	}
}

// A listing proves the configuration and the records that it contains, so that a process
// that has just started can serve after a single call.
func TestListingConfirmsTheConfigurationInForce(t *testing.T) {
	for _, test := range []struct {
		inForce, listed store.Revision
		confirmed       bool
	}{{7, 7, true}, {8, 7, true}, {6, 7, false}} {
		d := newConfiguredDaemon(t, test.inForce)
		d.authority = authority.New(time.Hour)
		d.authority.ObserveDeclaration(-1, []topology.ServiceID{"s"}, 3, false)
		d.applyChanges([]store.Change{{Entry: store.Entry{Key: recordKey("s"), Value: failover.Record{Primary: "p", Term: 1}.Encode(), Revision: 4}}})
		d.observeListing(d.clock(), store.Listing{Revision: 20, Entries: []store.Entry{
			{Key: "configuration", Revision: test.listed}, {Key: recordKey("s"), Revision: 4}}})
		if got := d.authority.MayAcceptKeys(d.clock()); got != test.confirmed {
			t.Errorf("revision %d in force, %d listed: keys accepted %v", test.inForce, test.listed, got)
		}
		d.authority.ObserveRenewal(d.clock(), authority.MinRegistrationTTL)
		if got := d.authority.MayUsePrimary(d.clock(), "s", 4); got != test.confirmed {
			t.Errorf("revision %d in force, %d listed: primary usable %v", test.inForce, test.listed, got)
		}
	}
}

// newConfiguredDaemon returns a daemon with the configuration of a revision in force. The
// version of a configuration is its first byte, or its number in the store if it has none.
func newConfiguredDaemon(t *testing.T, revision store.Revision) *Daemon {
	t.Helper()
	d := newTestDaemon(t)
	d.adapter.ConfigurationKey, d.adapter.TargetPrefix = "configuration", "target/"
	d.adapter.DecodeCatalog = func(entry store.Entry) (*catalog.Catalog, error) {
		version := entry.Revision.Sequence()
		if len(entry.Value) > 0 {
			version = uint64(entry.Value[0])
		}
		return &catalog.Catalog{Version: version, Revision: entry.Revision}, nil
	}
	d.applyChanges([]store.Change{{Entry: store.Entry{Key: "configuration", Revision: revision}}})
	return d
}

// Hundreds of changes within a second, as when a fleet starts, must not cost a call each;
// a single change is received at once.
func TestBatchesOfChangesGrow(t *testing.T) {
	var b batching
	now, calls := 5*time.Second, 0
	if wait := b.interval(now, shortBatchInterval); wait != shortBatchInterval {
		t.Fatalf("waits %s after a single change", wait)
	}
	for end := now + time.Second; now < end; calls++ {
		now += b.interval(now, shortBatchInterval)
	}
	if calls > 20 {
		t.Fatalf("%d calls in a second of changes", calls)
	}
	now += time.Second
	if wait := b.interval(now, shortBatchInterval); wait != shortBatchInterval {
		t.Fatalf("waits %s after a quiet second", wait)
	}
	if wait := b.interval(now+time.Millisecond, configBatchInterval); wait != configBatchInterval {
		t.Fatalf("waits %s after a change of the configuration", wait)
	}
}

// A configuration may be large. A forwarding instance requests it from the peer that it
// follows, which is in its failure domain if possible, and not from whichever owner's
// response announces it.
func TestConfigurationIsRequestedFromTheFollowedPeer(t *testing.T) {
	d := newTestDaemon(t)
	d.engine.SetCatalog(&catalog.Catalog{Version: 7, Revision: 1})
	d.follower.SetCandidates([]following.Candidate{{ID: "local", Local: true}, {ID: "remote"}})
	if peer, _ := d.follower.Next(time.Hour); peer != "local" {
		t.Fatalf("%s is followed", peer)
	}
	d.observePeerConfirmation("remote", 8, d.clock())
	select {
	case <-d.ownerWake:
	default:
		t.Fatal("the followed peer is not asked at once")
	}
	d.observePeerConfirmation("local", 8, d.clock())
	select {
	case <-d.ownerWake:
		t.Fatal("the followed peer is asked again instead of for its configuration")
	default:
	}
}

// The owner has read the store after a restore. A follower that knows revisions from before
// it gets all registrations, without those that the restore has removed.
func TestFollowerGetsAllRegistrationsAfterARestore(t *testing.T) {
	owner, follower := newOwner(store.NewRevision(2, 8)), newRegisteringDaemon(nil)
	follower.put(instanceKey("lost"), registrationValue(t, registration{CPUShare: 0.8}), store.NewRevision(1, 9))
	follower.followedUntil = store.NewRevision(1, 12)
	owner.put(instanceKey("kept"), registrationValue(t, registration{CPUShare: 0.8}), store.NewRevision(2, 4))
	follower.observeFollowed("owner", owner.registrationChanges(follower.followedUntil), 0)
	registered := follower.registrations()
	if _, known := registered["kept"]; !known || len(registered) != 1 || follower.followedUntil != store.NewRevision(2, 8) {
		t.Fatalf("registered until %d: %v", follower.followedUntil, registered)
	}
}

// A forwarding instance calls the store rarely. It hears of a restore from the owner that it
// follows, and then asks the store at once, since its own registration may be lost.
func TestFollowerHearsOfARestoreFromTheOwner(t *testing.T) {
	d := newRegisteringDaemon(nil)
	d.observeEra(1)
	d.observeFollowed("owner", relay.RegistrationChanges{Until: store.NewRevision(1, 30)}, 0)
	if d.renewalRequested.Load() {
		t.Fatal("a renewal is requested without a restore")
	}
	d.observeFollowed("owner", relay.RegistrationChanges{Until: store.NewRevision(2, 8), Complete: true}, 0)
	if !d.renewalRequested.Load() || d.currentEra() != 1 {
		t.Fatalf("renewal requested: %v, era %d", d.renewalRequested.Load(), d.currentEra())
	}
}

// A peer that has not heard of a restore yet is not followed by an instance that has, however
// recent its last confirmation is.
func TestPeerFromBeforeARestoreIsOutdated(t *testing.T) {
	owner, follower := newOwner(store.NewRevision(1, 30)), newRegisteringDaemon(nil)
	follower.followedUntil = store.NewRevision(2, 8)
	if answer := owner.registrationChanges(follower.followedUntil); answer.Until != 0 {
		t.Fatalf("answered until %d", answer.Until)
	}
	follower.follower.SetCandidates([]following.Candidate{{ID: "owner"}})
	if peer, _ := follower.follower.Next(time.Hour); peer != "owner" {
		t.Fatalf("%q is asked", peer)
	}
	follower.clock = func() time.Duration { return time.Hour + time.Millisecond }
	follower.observeFollowed("owner", relay.RegistrationChanges{Until: store.NewRevision(1, 30)}, 0)
	if !follower.follower.Stale(time.Hour + following.StaleAfter) {
		t.Fatal("the answer counts as current")
	}
}
