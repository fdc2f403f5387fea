package edge

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform"
	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
)

// newDaemonInEra returns a daemon with a clock that the test moves, whose store has been in
// an era for long.
func newDaemonInEra(t *testing.T, era store.Era) (*Daemon, *time.Duration) {
	t.Helper()
	d, now := newTestDaemon(t), new(time.Duration)
	d.adapter.ConfigurationKey, d.adapter.TargetPrefix = "configuration", "target/"
	d.clock = func() time.Duration { return *now }
	d.leadership.fences = make(map[topology.ServiceID]fence)
	d.mirrorLoaded = true
	d.observeEra(era)
	*now = time.Hour
	return d, now
}

// applyRecord applies a record as the store holds it.
func (d *Daemon) applyRecord(service topology.ServiceID, record failover.Record, revision store.Revision) {
	d.applyChanges([]store.Change{{Entry: store.Entry{Key: recordKey(service), Value: record.Encode(), Revision: revision}}})
}

// The restore has lost the usage of an instance that still has the authority to use the
// primary. A fence that all known users have acknowledged must wait until it has expired.
func TestFenceAfterARestoreWaitsForUsersThatItHasLost(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	d.observeEra(2)
	d.put(recordKey("s"), failover.Record{Primary: "x", Term: 1, Fenced: true, FenceSequence: 4, Era: 2}.Encode(), store.NewRevision(2, 10))
	d.advanceMirror(store.NewRevision(2, 10))
	acknowledged := func() bool { return d.failoverView(*now, "s").FenceAcknowledged }
	if acknowledged() {
		t.Fatal("acknowledged right after the restore")
	}
	*now += authority.FenceWait - time.Millisecond
	if acknowledged() {
		t.Fatal("acknowledged before the authority from before the restore has expired")
	}
	*now += time.Millisecond
	if !acknowledged() {
		t.Fatal("not acknowledged after it has expired")
	}
}

// A leader that has just started does not know how long ago the store was restored. It need
// not wait if an earlier leader has.
func TestSettledEraSparesLaterLeadersTheWait(t *testing.T) {
	earlier, now := newDaemonInEra(t, 2)
	*now = authority.FenceWait - time.Millisecond
	if _, due := earlier.settledEraTransaction(); due {
		t.Fatal("recorded too early")
	}
	*now = authority.FenceWait
	transaction, due := earlier.settledEraTransaction()
	if !due || transaction.Puts[0].Key != keySettledEra {
		t.Fatalf("%+v, due: %v", transaction, due)
	}
	d := newTestDaemon(t)
	d.observeEra(2)
	if d.failoverView(d.clock(), "s").PromotionsSettled {
		t.Fatal("settled before anything is known")
	}
	d.put(keySettledEra, transaction.Puts[0].Value, store.NewRevision(2, 3))
	if !d.failoverView(d.clock(), "s").PromotionsSettled {
		t.Fatal("not settled although an earlier leader has waited")
	}
	d.observeEra(3)
	if d.failoverView(d.clock(), "s").PromotionsSettled {
		t.Fatal("the record of an earlier era counts")
	}
}

// After a restore the store names a primary that was replaced. Until the record is verified,
// the instance keeps to what it knew, as long as its authority from before lasts.
func TestRestoredRecordDoesNotReturnToAReplacedPrimary(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	known := store.NewRevision(1, 9)
	d.applyRecord("s", failover.Record{Primary: "b", Term: 2, FenceSequence: 1, Era: 1}, known)
	d.authority.ObserveDeclaration(*now-1, []topology.ServiceID{"s"}, store.NewRevision(1, 8), false)
	d.authority.ObserveRenewal(*now, authority.MinRegistrationTTL)
	d.authority.ObserveConfirmation(*now, true, recordRevisions{"s": known})
	d.observeEra(2)
	restored := store.NewRevision(2, 5)
	d.applyRecord("s", failover.Record{Primary: "a", Term: 1, Era: 1}, restored)
	if got := d.records["s"].Primary; got != "b" {
		t.Fatalf("primary %s is in force", got)
	}
	confirmed := make(recordRevisions)
	d.confirmRecord(confirmed, "s", restored)
	d.authority.ObserveConfirmation(*now, true, confirmed)
	if d.authority.MayUsePrimary(*now, "s", restored) || !d.authority.MayUsePrimary(*now, "s", known) {
		t.Fatal("the restored record has authority, or the known one has lost it")
	}
	if d.authority.MayUsePrimary(*now+authority.PrimaryDuration, "s", known) {
		t.Fatal("the authority from before the restore does not expire")
	}
	verified := store.NewRevision(2, 12)
	d.applyRecord("s", failover.Record{Primary: "b", Term: 2, FenceSequence: 1, Era: 2}, verified)
	d.confirmRecord(confirmed, "s", verified)
	d.authority.ObserveConfirmation(*now, true, confirmed)
	if !d.authority.MayUsePrimary(*now, "s", verified) {
		t.Fatal("the verified record has no authority")
	}
}

// During an upgrade the failover leader may be of a version that does not know of eras. Its
// records are used, or the services of all upgraded instances would stand still; but not
// once the store was restored.
func TestRecordOfALeaderThatKnowsNoErasIsUsedUntilARestore(t *testing.T) {
	d, _ := newDaemonInEra(t, 1)
	d.declaredServices = []topology.ServiceID{"s"}
	d.applyRecord("s", failover.Record{Primary: "a", Term: 1}, store.NewRevision(1, 9))
	if got := d.records["s"].Primary; got != "a" {
		t.Fatalf("primary %q is in force, want a", got)
	}
	if d.recordsBeforeRestore() != nil {
		t.Fatal("published without a restore")
	}
	d.observeEra(2)
	if d.recordsBeforeRestore() == nil {
		t.Fatal("not published after the restore")
	}
	d.applyRecord("s", failover.Record{Primary: "b", Term: 2}, store.NewRevision(2, 12))
	if got := d.records["s"].Primary; got != "a" {
		t.Fatalf("primary %q of an unverified record is in force after the restore", got)
	}
}

// leadBeforeRestore has a daemon lead in era 1 and publishes what it and a user know in era 2.
// It returns the leader's view of the service.
func leadBeforeRestore(t *testing.T, gap time.Duration, promoting bool, own, users failover.Record, usersEra store.Era) failover.View {
	t.Helper()
	d, now := newDaemonInEra(t, 1)
	d.applyRecord("s", own, store.NewRevision(1, 9))
	d.setLeadershipLease(7, *now)
	d.setLeadership(true, 5)
	coordinator := &failover.Coordinator{}
	if promoting {
		orderPromotion(t, coordinator)
	}
	d.leadership.coordinators["s"] = coordinator
	*now += gap
	d.observeEra(2)
	encoded, err := json.Marshal(knownRecords{Era: usersEra, Records: map[topology.ServiceID]failover.Record{"s": users}})
	if err != nil {
		t.Fatal(err)
	}
	d.put(knownKey("user"), encoded, store.NewRevision(2, 11))
	return d.failoverView(*now, "s")
}

// orderPromotion has a coordinator replace a primary up to the request for a promotion.
func orderPromotion(t *testing.T, c *failover.Coordinator) {
	t.Helper()
	targets := map[topology.TargetID]directory.Target{"a": {ID: "a"}, "b": {ID: "b"}}
	view := failover.View{Record: failover.Record{Primary: "a", Term: 1, Fenced: true}, Revision: 1, Targets: targets, FenceAcknowledged: true}
	now := time.Minute
	c.HandleResult(now, view, failover.Result{Action: c.Step(now, view), Statuses: map[topology.TargetID]failover.TargetStatus{"b": {Term: 1}}})
	written := c.Step(now, view)
	if written.Kind != failover.PublishRecord || written.Record.Ordered() != "b" {
		t.Fatalf("the order is not written first: %+v", written)
	}
	view.Record, view.Revision = written.Record, view.Revision+1
	c.HandleResult(now, view, failover.Result{Action: written})
	if ordered := c.Step(now, view); ordered.Kind != failover.PromoteTarget {
		t.Fatalf("the promotion is not ordered: %+v", ordered)
	}
}

// The leader may vouch for the record that it knows only if nobody else can have replaced the
// primary: it has led until the restore, has requested no promotion, and a user of the primary
// knows the same record.
func TestLeaderVouchesOnlyForWhatItHasLedThroughout(t *testing.T) {
	record := failover.Record{Primary: "b", Term: 2, FenceSequence: 1, Era: 1}
	fenced, older := record, failover.Record{Primary: "a", Term: 1, Era: 1}
	fenced.Fenced, fenced.FenceSequence = true, 2
	for name, test := range map[string]struct {
		gap        time.Duration
		promoting  bool
		own, users failover.Record
		usersEra   store.Era
		vouches    bool
	}{
		"led throughout":                   {2 * time.Second, false, record, record, 2, true},
		"last renewal too long ago":        {maxLeadershipGap, false, record, record, 2, false},
		"promotion requested":              {0, true, record, record, 2, false},
		"user has seen another fence":      {0, false, record, fenced, 2, false},
		"user knows an older record":       {0, false, record, older, 2, false},
		"leader knows an older record":     {0, false, older, record, 2, false},
		"users' record of another restore": {0, false, record, record, 1, false},
	} {
		view := leadBeforeRestore(t, test.gap, test.promoting, test.own, test.users, test.usersEra)
		if view.LedThroughout != test.vouches {
			t.Errorf("%s: vouches %v", name, view.LedThroughout)
		}
	}
}

// The key of the leadership has survived the restore, with an earlier number than that of a
// leader whose term is lost. Its holder does not lead on the strength of the earlier token,
// and its next token is above all that were given out before.
func TestFencingTokensRiseAcrossARestore(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	d.store = newThrottledStore(&leaseStore{}, d.clock)
	d.declaredServices = []topology.ServiceID{"s"}
	d.authority.ObserveRenewal(*now, authority.MinRegistrationTTL)
	entry := store.Entry{Key: keyLeadership, Value: []byte(d.leadershipValue()), Revision: store.NewRevision(1, 24), Lease: 7}
	d.mirror.Apply(store.Change{Entry: entry})
	d.setLeadershipLease(7, *now)
	if !d.maintainLeadership(t.Context()) {
		t.Fatal("does not lead before the restore")
	}
	lost := failover.FencingToken(store.NewRevision(1, 39))
	d.observeEra(2)
	if d.maintainLeadership(t.Context()) || d.holdsLeadership(failover.FencingToken(store.NewRevision(1, 24)), leadershipDuration) {
		t.Fatal("leads under a token from before the restore")
	}
	entry.Revision = store.NewRevision(2, 24)
	d.mirror.Apply(store.Change{Entry: entry})
	if !d.maintainLeadership(t.Context()) || d.leadership.token <= lost {
		t.Fatalf("token %d does not follow %d", d.leadership.token, lost)
	}
}

// Registrations that a restore has removed still count until their instances have registered
// again, and those of instances that had left do not come back, so that owners do not change.
func TestOwnersDoNotChangeBecauseOfARestore(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	entry := func(id topology.InstanceID, born int64, revision store.Revision) store.Entry {
		return store.Entry{Key: instanceKey(id), Value: registrationValue(t, registration{CPUShare: 0.4, Incarnation: born}), Revision: revision}
	}
	d.replaceMirrored("", store.Listing{Revision: store.NewRevision(1, 9), Entries: []store.Entry{
		entry("kept", 1, store.NewRevision(1, 3)), entry("left", 1, store.NewRevision(1, 4)), entry("restarted", 1, store.NewRevision(1, 5)),
		entry("lost", 1, store.NewRevision(1, 8)), entry("gone", 1, store.NewRevision(1, 9))}})
	for _, id := range []topology.InstanceID{"left", "restarted"} {
		d.applyChanges([]store.Change{{Entry: store.Entry{Key: instanceKey(id), Revision: store.NewRevision(1, 12)}, Deleted: true}})
	}
	d.observeEra(2)
	d.replaceMirrored("", store.Listing{Revision: store.NewRevision(2, 7), Entries: []store.Entry{
		entry("kept", 1, store.NewRevision(2, 3)), entry("left", 1, store.NewRevision(2, 4)), entry("restarted", 2, store.NewRevision(2, 7))}})
	check := func(want ...topology.InstanceID) {
		t.Helper()
		got := d.registrations()
		ok := len(got) == len(want)
		for _, id := range want {
			_, known := got[id]
			ok = ok && known
		}
		if !ok {
			t.Fatalf("registered: %v, want %v", got, want)
		}
	}
	check("kept", "restarted", "lost", "gone")
	d.applyChanges([]store.Change{{Entry: entry("lost", 1, store.NewRevision(2, 8))}})
	*now += registrationGrace
	d.expireCarried()
	check("kept", "restarted", "lost", "left")
}

// The lease was granted after the copy was made. Its loss does not end the authority that the
// instance has, since no other instance can act on the loss before that authority expires.
func TestLeaseLostInARestoreDoesNotEndAuthority(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	lease := leaseGrant{id: 5, ttl: authority.MinRegistrationTTL, era: 1}
	d.setLease(lease)
	d.authority.ObserveRenewal(*now, lease.ttl)
	d.observeEra(2)
	d.registrationExpired(lease)
	if !d.authority.RegistrationValid(*now) || d.registrationLease().id != 0 {
		t.Fatal("the authority has ended, or the instance does not register again")
	}
	d.setLease(leaseGrant{id: 6, ttl: lease.ttl, era: 2})
	d.registrationExpired(d.registrationLease())
	if d.authority.RegistrationValid(*now) {
		t.Fatal("a lease that expired in the present era leaves authority")
	}
}

// A using instance registers under another lease after a restore and ends the earlier one. A
// write that was delayed until then, whose condition holds again, has no effect.
func TestDelayedWritesFromBeforeARestoreHaveNoEffect(t *testing.T) {
	s := newRestorableStore(t)
	d := s.daemon
	d.usedServices = []topology.ServiceID{"s"}
	if !d.register(t.Context(), upkeep.Using) {
		t.Fatal("not registered")
	}
	earlier := d.registrationLease()
	s.Restore(time.Now())
	s.receive()
	if !d.isRegistrationInDoubt(d.registrationLease()) || !d.register(t.Context(), upkeep.Using) {
		t.Fatal("not registered again")
	}
	current := d.registrationLease()
	if current.id == earlier.id || d.isRegistrationInDoubt(current) {
		t.Fatalf("lease %+v after %+v", current, earlier)
	}
	_, err := d.store.Transact(t.Context(), store.Transaction{Puts: []store.Put{{Key: fenceAckKey("s", "self"), Value: []byte("1"), Lease: earlier.id}}})
	if !errors.Is(err, store.ErrLeaseExpired) {
		t.Fatalf("a write under the earlier lease: %v", err)
	}
	s.load()
	if got := d.registrations(); len(got) != 1 {
		t.Fatalf("registered: %v", got)
	}
}

// The registration of a forwarding instance is older than the copy. It makes no call.
func TestForwardingInstanceKeepsARegistrationThatSurvivedARestore(t *testing.T) {
	s := newRestorableStore(t)
	d := s.daemon
	if !d.register(t.Context(), upkeep.Forwarding) {
		t.Fatal("not registered")
	}
	s.load()
	d.forwardsAlways = true
	lease := d.registrationLease()
	s.Restore(time.Now())
	if _, err := d.store.Get(t.Context(), platform.ConfigurationKey); err != nil {
		t.Fatal(err)
	}
	d.forwardsAlways = true
	if d.isRegistrationInDoubt(lease) || d.registrationLease().era != lease.era {
		t.Fatal("decided before the store's content after the restore is known")
	}
	s.load()
	d.forwardsAlways = true
	if d.isRegistrationInDoubt(lease) || d.registrationLease().id != lease.id || d.registrationLease().era == lease.era {
		t.Fatalf("lease %+v", d.registrationLease())
	}
	copiedAt := time.Now()
	if !d.putRegistration(t.Context(), lease, nil) {
		t.Fatal("not written")
	}
	s.Delete(instanceKey("self"))
	s.Restore(copiedAt)
	s.receive()
	d.forwardsAlways = true
	if !d.isRegistrationInDoubt(d.registrationLease()) {
		t.Fatal("the registration is gone and counts as surviving")
	}
}

// A forwarding instance has adopted the registration of its earlier process. It survives the
// restore as it is, and costs no call.
func TestAdoptedRegistrationThatSurvivedARestoreIsKept(t *testing.T) {
	s := newRestorableStore(t)
	earlier := s.daemon
	if !earlier.register(t.Context(), upkeep.Forwarding) {
		t.Fatal("not registered")
	}
	s.daemon = s.newDaemon("self")
	s.daemon.incarnation = earlier.incarnation + 1
	s.load()
	d := s.daemon
	d.forwardsAlways = true
	if !d.register(t.Context(), upkeep.Forwarding) || d.registrationLease().id != earlier.registrationLease().id {
		t.Fatal("not adopted")
	}
	lease := d.registrationLease()
	s.Restore(time.Now())
	s.receive()
	d.forwardsAlways = true
	if d.isRegistrationInDoubt(lease) || d.registrationLease().id != lease.id {
		t.Fatal("registers again")
	}
}

// What an instance knows of the primaries it uses is published with its registration, once
// after each restore.
func TestUsersPublishTheirRecordsAfterARestore(t *testing.T) {
	s := newRestorableStore(t)
	d := s.daemon
	d.usedServices, d.declaredServices = []topology.ServiceID{"s"}, []topology.ServiceID{"s"}
	record := failover.Record{Primary: "b", Term: 2, FenceSequence: 1, Era: 1}
	d.applyRecord("s", record, store.NewRevision(1, 9))
	d.applyRecord("other", record, store.NewRevision(1, 9))
	if d.recordsBeforeRestore() != nil {
		t.Fatal("published without a restore")
	}
	s.Restore(time.Now())
	s.receive()
	if !d.register(t.Context(), upkeep.Using) {
		t.Fatal("not registered")
	}
	entry, err := d.store.Get(t.Context(), knownKey("self"))
	if err != nil {
		t.Fatal(err)
	}
	var known knownRecords
	if err := json.Unmarshal(entry.Value, &known); err != nil || known.Era != 2 || len(known.Records) != 1 || !known.Records["s"].Equal(record) {
		t.Fatalf("%+v, %v", known, err)
	}
	d.applyRecord("s", failover.Record{Primary: "b", Term: 2, FenceSequence: 1, Era: 2}, store.NewRevision(2, 40))
	if d.recordsBeforeRestore() != nil {
		t.Fatal("published although the record is verified")
	}
}
