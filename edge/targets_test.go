package edge

import (
	"encoding/json"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// newDaemonWithTargets returns a daemon in era 1 with the service "s". Its targets' entries
// are encoded directory entries.
func newDaemonWithTargets(t *testing.T) (*Daemon, *time.Duration) {
	t.Helper()
	d, now := newDaemonInEra(t, 1)
	d.adapter.DecodeTarget = func(entry store.Entry) (target directory.Target, err error) {
		return target, json.Unmarshal(entry.Value, &target)
	}
	d.engine.SetCatalog(&catalog.Catalog{Version: 1, Services: map[topology.ServiceID]catalog.Service{"s": {ID: "s"}}})
	return d, now
}

// targetEntry returns the entry of a target's report at a revision.
func targetEntry(t *testing.T, id topology.TargetID, report int64, draining bool, revision store.Revision) store.Entry {
	t.Helper()
	value, err := json.Marshal(directory.Target{ID: id, Service: "s", Incarnation: 100, Report: report, Draining: draining})
	if err != nil {
		t.Fatal(err)
	}
	return store.Entry{Key: "target/" + string(id), Value: value, Revision: revision}
}

// A restore brings back the entry of a target that has left, and the entry from before
// another one's report that it is draining. Neither must get requests.
func TestRestoreDoesNotBringTargetsBack(t *testing.T) {
	d, now := newDaemonWithTargets(t)
	d.applyChanges([]store.Change{
		{Entry: targetEntry(t, "left", 1, false, store.NewRevision(1, 4))},
		{Entry: targetEntry(t, "draining", 1, false, store.NewRevision(1, 5))},
		{Entry: targetEntry(t, "restarted", 1, false, store.NewRevision(1, 6))},
	})
	d.applyChanges([]store.Change{
		{Entry: store.Entry{Key: "target/left", Revision: store.NewRevision(1, 7)}, Deleted: true},
		{Entry: store.Entry{Key: "target/restarted", Revision: store.NewRevision(1, 8)}, Deleted: true},
		{Entry: targetEntry(t, "draining", 2, true, store.NewRevision(1, 9))},
	})
	d.observeEra(2)
	d.replaceMirrored("", store.Listing{Revision: store.NewRevision(2, 7), Entries: []store.Entry{
		targetEntry(t, "left", 1, false, store.NewRevision(2, 4)), targetEntry(t, "draining", 1, false, store.NewRevision(2, 5)),
		targetEntry(t, "restarted", 3, false, store.NewRevision(2, 7))}})
	targets := d.usedTargets["s"]
	if _, used := targets["left"]; used || !targets["draining"].Draining || targets["restarted"].Report != 3 || len(targets) != 2 {
		t.Fatalf("targets %v", targets)
	}
	// Then the store's content counts again: nothing that the targets report is ignored for
	// good.
	*now += restoredTargetGrace
	d.recomputeTargets()
	d.recomputeTargets()
	if targets := d.usedTargets["s"]; targets["draining"].Draining || len(targets) != 3 {
		t.Fatalf("targets %v", targets)
	}
}

// Entries that have expired while the store was away are written again within two seconds.
// Until then requests use the targets, and no later.
func TestTargetsWithExpiredEntriesAreUsedUntilTheyReturn(t *testing.T) {
	d, now := newDaemonWithTargets(t)
	d.applyChanges([]store.Change{{Entry: targetEntry(t, "a", 1, false, store.NewRevision(1, 4))}, {Entry: targetEntry(t, "b", 1, false, store.NewRevision(1, 5))}})
	d.storeUnavailable.Store(true)
	*now += 10 * time.Second
	d.storeResponded()
	d.replaceMirrored("", store.Listing{Revision: store.NewRevision(1, 9)})
	if len(d.usedTargets["s"]) != 2 || len(d.targets["s"]) != 0 {
		t.Fatalf("used %v, listed %v", d.usedTargets["s"], d.targets["s"])
	}
	d.applyChanges([]store.Change{{Entry: targetEntry(t, "a", 2, false, store.NewRevision(1, 10))}})
	*now += missingTargetGrace
	d.recomputeTargets()
	if targets := d.usedTargets["s"]; len(targets) != 1 || targets["a"].Report != 2 {
		t.Fatalf("targets %v", targets)
	}
	// Without an outage a deletion counts at once.
	d.applyChanges([]store.Change{{Entry: store.Entry{Key: "target/a", Revision: store.NewRevision(1, 11)}, Deleted: true}})
	if targets := d.usedTargets["s"]; len(targets) != 0 {
		t.Fatalf("targets %v", targets)
	}
}
