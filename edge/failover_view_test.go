package edge

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// An operator requires an impossible number of replicas to acknowledge commits. The last
// configuration stays in force, with the number that the failovers use.
func TestImpossibleSynchronousReplicasLeaveTheLastConfigurationInForce(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	d.adapter.DecodeCatalog = platform.DecodeCatalog
	configure := func(document string, sequence uint64) {
		entry := store.Entry{Key: "configuration", Value: []byte(document), Revision: store.NewRevision(1, sequence)}
		d.applyChanges([]store.Change{{Entry: entry}})
	}
	configure(`{"version":7,"services":[{"name":"s","maxConns":16,"syncReplicas":1}]}`, 5)
	for sequence, document := range []string{
		`{"version":8,"services":[{"name":"s","maxConns":16,"syncReplicas":-1}]}`,
		`{"version":9,"services":[{"name":"s","maxConns":16,"syncReplicas":1000}]}`,
	} {
		configure(document, uint64(6+sequence))
		if version := d.engine.Catalog().Version; version != 7 {
			t.Errorf("%s: version %d in force", document, version)
		}
	}
	if view := d.failoverView(*now, "s"); view.SynchronousReplicas != 1 {
		t.Fatalf("%d synchronous replicas", view.SynchronousReplicas)
	}
	configure(`{"version":10,"services":[{"name":"s","maxConns":16,"syncReplicas":0}]}`, 9)
	if view := d.failoverView(*now, "s"); view.SynchronousReplicas != 0 {
		t.Fatalf("%d synchronous replicas", view.SynchronousReplicas)
	}
}

// The store was restored to a time before the service left a log. A user of the primary tells
// the leader where the later terms began, and how many databases there are.
func TestUsersTellTheLeaderWhichLogsTheServiceHasLeft(t *testing.T) {
	user, _ := newDaemonInEra(t, 1)
	user.declaredServices = []topology.ServiceID{"s"}
	record := failover.Record{Primary: "b", Term: 2, TermStart: topology.Point{Term: 1, Position: 75}, Era: 1, Databases: 3,
		Terms: []failover.TermBegin{{Term: 1}, {Term: 2, After: topology.Point{Term: 1, Position: 75}}}}
	user.applyRecord("s", record, store.NewRevision(1, 9))
	user.observeEra(2)
	published := user.recordsBeforeRestore()

	leader, now := newDaemonInEra(t, 2)
	leader.put(recordKey("s"), failover.Record{Primary: "a", Term: 1, Era: 1}.Encode(), store.NewRevision(2, 3))
	leader.put(knownKey("user"), published, store.NewRevision(2, 11))
	view := leader.failoverView(*now, "s")
	if latest := view.LatestKnown(); !latest.Equal(record) || !json.Valid(published) {
		t.Fatalf("%+v, want %+v", latest, record)
	}
}

// An order in a record that has long been in use has settled, whoever leads now. The age counts
// from when the instance saw that revision, and is zero while the record is not in force here.
func TestLeaderKnowsHowLongARecordIsInUse(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	record := failover.Record{Primary: "a", Term: 1, Era: 1}
	d.applyRecord("s", record, store.NewRevision(1, 3))
	seenAt := *now
	*now += time.Minute
	d.handleChangedKeys([]string{recordKey("s")})
	if view := d.failoverView(*now, "s"); view.RecordSeenAt != seenAt {
		t.Fatalf("the record is first seen at %s, want %s", view.RecordSeenAt, seenAt)
	}
	d.applyRecord("s", record, store.NewRevision(1, 4))
	if view := d.failoverView(*now, "s"); view.RecordSeenAt != *now {
		t.Fatalf("another revision is first seen at %s, want %s", view.RecordSeenAt, *now)
	}
	*now += time.Minute
	d.put(recordKey("s"), record.Encode(), store.NewRevision(2, 1))
	if view := d.failoverView(*now, "s"); view.RecordSeenAt != *now {
		t.Fatalf("a record that is not verified is first seen at %s, want %s", view.RecordSeenAt, *now)
	}
}

// An operator's declaration of lost databases reaches the failovers of its service. One that cannot hold is
// counted once and does nothing.
func TestDeclarationOfLostDatabasesReachesTheFailover(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	d.applyRecord("s", failover.Record{Primary: "a", Term: 7, Era: 1}, store.NewRevision(1, 3))
	d.put(lostKey("s"), []byte(`{"term":7,"databases":["host:1"]}`), store.NewRevision(1, 4))
	if view := d.failoverView(*now, "s"); view.Declared.Term != 7 || !slices.Equal(view.Declared.Databases, []string{"host:1"}) || view.DeclaredAt != store.NewRevision(1, 4) {
		t.Fatalf("%+v", view)
	}
	if view := d.failoverView(*now, "other"); view.Declared.Term != 0 {
		t.Fatalf("another service has it: %+v", view.Declared)
	}
	d.put(lostKey("s"), []byte(`{"term":7,"databases":["host"]}`), store.NewRevision(1, 5))
	for range 2 {
		if view := d.failoverView(*now, "s"); view.Declared.Term != 0 || view.Record.Term != 7 {
			t.Fatalf("%+v", view)
		}
	}
	if len(d.unreadable) != 1 {
		t.Fatalf("unreadable entries: %v", d.unreadable)
	}
}

// Guards against a record that an operator has deleted and that comes back as it was before the last
// restore of the store: with the order for which the service waits, or with the number of a fence that
// users have acknowledged since.
func TestDeletedRecordIsNotTakenFromBeforeARestore(t *testing.T) {
	leader, now := newDaemonInEra(t, 2)
	waiting := failover.Record{Primary: "a", Term: 1, Fenced: true, Era: 1, Order: &failover.Order{Successor: "b"}}
	published, err := json.Marshal(knownRecords{Era: 2, Records: map[topology.ServiceID]failover.Record{"s": waiting}})
	if err != nil {
		t.Fatal(err)
	}
	leader.put(knownKey("user"), published, store.NewRevision(2, 1))
	if view := leader.failoverView(*now, "s"); len(view.Known) != 1 {
		t.Fatalf("a record that the restore has lost is not known: %+v", view)
	}
	verified := waiting
	verified.Era = 2
	leader.applyRecord("s", verified, store.NewRevision(2, 2))
	leader.applyChanges([]store.Change{{Entry: store.Entry{Key: recordKey("s"), Revision: store.NewRevision(2, 3)}, Deleted: true}})
	if view := leader.failoverView(*now, "s"); view.Revision != 0 || len(view.Known) != 0 {
		t.Fatalf("revision %s, known %+v", view.Revision, view.Known)
	}
}
