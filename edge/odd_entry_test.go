package edge

import (
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"

	"samphirehitch.example/samphirehitch/platform"
	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

func base64Text(value string) string { return base64.StdEncoding.EncodeToString([]byte(value)) }

// oddEntries are texts on the wire of values that another writer may leave, by what is odd
// about them.
var oddEntries = map[string]string{
	"empty":            "",
	"no base64":        "{}",
	"no padding":       "eA",
	"not UTF-8":        base64Text("\xff\xfe"),
	"deeply nested":    base64Text(strings.Repeat("[", 1<<20)),
	"closed and deep":  base64Text(strings.Repeat("[", 500_000) + strings.Repeat("]", 500_000)),
	"capacity 1e400":   base64Text(usableEntry("10.0.0.9:80", "1e400")),
	"capacity -1":      base64Text(usableEntry("10.0.0.9:80", "-1")),
	"port 0":           base64Text(usableEntry("10.0.0.9:0", "2")),
	"port 65536":       base64Text(usableEntry("10.0.0.9:65536", "2")),
	"port 99999999":    base64Text(usableEntry("10.0.0.9:99999999", "2")),
	"port -1":          base64Text(usableEntry("10.0.0.9:-1", "2")),
	"a mebibyte":       base64Text(usableEntry(strings.Repeat("a", 1<<20-300)+":80", "2")),
	"not one of ours":  base64Text(`{"kind":"lock","owner":["someone","else"]}`),
	"a missing field":  base64Text(strings.Replace(usableEntry("10.0.0.9:80", "2"), `"state"`, `"status"`, 1)),
	"an unknown state": base64Text(strings.Replace(usableEntry("10.0.0.9:80", "2"), "ready", "asleep", 1)),
}

func usableEntry(address, capacity string) string {
	return fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","version":"1","capacity":%s,"state":"ready","warmupLeftMs":0,"dbRole":"replica","sequence":1,"born":5}`, address, capacity)
}

// putTarget writes the entry of a target of the service "s".
func (s *restorableStore) putTarget(id topology.TargetID) {
	s.PutText(platform.TargetPrefix+string(id), base64Text(usableEntry("10.0.0.1:80", "2")))
}

// checkTargets checks which targets are listed.
func (s *restorableStore) checkTargets(want ...topology.TargetID) {
	s.t.Helper()
	if listed := slices.Sorted(maps.Keys(s.daemon.targets["s"])); !slices.Equal(listed, want) {
		s.t.Fatalf("targets %q are listed, want %q", listed, want)
	}
}

// One odd entry among those of the databases ended other operators' machines, or kept them
// from following the list. It arrives in a watch, a listing of the prefix and one of all keys.
func TestOddEntryDoesNotEndFollowingOthers(t *testing.T) {
	for name, text := range oddEntries {
		t.Run(name, func(t *testing.T) {
			s := newRestorableStore(t)
			s.putTarget("a")
			s.PutText(platform.TargetPrefix+"odd", text)
			s.putTarget("z")
			s.receive()
			s.checkTargets("a", "z")
			s.putTarget("later")
			s.receive()
			s.checkTargets("a", "later", "z")
			s.Delete(platform.TargetPrefix + "a")
			s.PutText(platform.TargetPrefix+"z", text)
			listing, err := s.daemon.store.List(t.Context(), platform.TargetPrefix)
			if err != nil {
				t.Fatal(err)
			}
			s.daemon.replaceMirrored(platform.TargetPrefix, listing)
			s.checkTargets("later")

			s.daemon = s.newDaemon("other")
			s.load()
			s.checkTargets("later")
			s.putTarget("odd")
			s.Delete(platform.TargetPrefix + "later")
			s.receive()
			s.checkTargets("odd")
			s.putConfiguration(2)
			s.receive()
			if version := s.versionInForce(); version != 2 {
				t.Fatalf("version %d is in force, want 2", version)
			}
		})
	}
}

// Keys of other writers need not name an ID.
func TestOddKeyDoesNotEndFollowingOthers(t *testing.T) {
	for _, id := range []string{"", "/", "a b", "a\r\nQUERY - READ x", "\x00", "\u2028", "..", strings.Repeat("k", 192), strings.Repeat("a/", 96)} {
		t.Run(fmt.Sprintf("%.12q", id), func(t *testing.T) {
			s := newRestorableStore(t)
			s.PutText(platform.TargetPrefix+id, base64Text("{}"))
			s.putTarget("a")
			s.receive()
			s.checkTargets("a")
			s.PutText(platform.TargetPrefix+id, base64Text(usableEntry("10.0.0.1:80", "2")))
			s.putTarget("b")
			s.receive()
			for used := range s.daemon.usedTargets["s"] {
				if strings.ContainsAny(string(used), " \r\n\x00\u2028") {
					t.Errorf("target %q is used", used)
				}
			}
			s.daemon = s.newDaemon("other")
			s.load()
			if _, used := s.daemon.usedTargets["s"]["b"]; !used {
				t.Fatal("a target beside it is not used")
			}
		})
	}
}

// Soon after the store's return, targets without an entry are still used. One whose entry
// another writer has replaced is not missing, and names no target to use.
func TestUnreadableEntryIsNotBridged(t *testing.T) {
	d, now := newDaemonWithTargets(t)
	d.applyChanges([]store.Change{{Entry: targetEntry(t, "a", 1, false, store.NewRevision(1, 4))}, {Entry: targetEntry(t, "b", 1, false, store.NewRevision(1, 5))}})
	d.storeUnavailable.Store(true)
	*now += missingTargetGrace
	d.storeResponded()
	d.replaceMirrored("", store.Listing{Revision: store.NewRevision(1, 9), Entries: []store.Entry{{Key: "target/a", Value: []byte("{"), Revision: store.NewRevision(1, 8)}}})
	if used := d.usedTargets["s"]; len(used) != 1 || used["b"].ID != "b" {
		t.Fatalf("targets %v are used, want b alone", used)
	}
}

// Every change of a target had each odd entry decoded again. With many of a mebibyte each,
// several times a second, that takes all processor time.
func TestOddEntryIsDecodedAndLoggedOncePerRevision(t *testing.T) {
	d, _ := newDaemonWithTargets(t)
	decoded, lines := 0, 0
	decode := d.adapter.DecodeTarget
	d.adapter.DecodeTarget = func(entry store.Entry) (directory.Target, error) {
		if strings.HasPrefix(entry.Key, "target/odd") {
			decoded++
		}
		return decode(entry)
	}
	d.log = funcr.New(func(_, line string) {
		if strings.Contains(line, eventEntryUnreadable.Text) {
			lines++
		}
	}, funcr.Options{})
	odd := func(id string, revision uint64) store.Change {
		return store.Change{Entry: store.Entry{Key: "target/" + id, Value: []byte("{"), Revision: store.NewRevision(1, revision)}}
	}
	d.applyChanges([]store.Change{odd("odd-1", 4), odd("odd-2", 5)})
	for revision := uint64(6); revision < 20; revision++ {
		d.applyChanges([]store.Change{{Entry: targetEntry(t, "a", int64(revision), false, store.NewRevision(1, revision))}})
	}
	d.applyChanges([]store.Change{odd("odd-2", 20)})
	if decoded != 3 || lines != 3 {
		t.Errorf("decoded %d times and logged %d times, want 3", decoded, lines)
	}
	if counted := d.readCounter(t, "unreadable_entries_total"); counted != 3 {
		t.Errorf("%v counted, want 3", counted)
	}
	// What is known of entries that are gone is forgotten.
	for _, key := range []string{"target/odd-1", "target/odd-2"} {
		d.applyChanges([]store.Change{{Entry: store.Entry{Key: key, Revision: store.NewRevision(1, 21)}, Deleted: true}})
	}
	if len(d.unreadable) != 0 {
		t.Errorf("%d unreadable entries are remembered after their deletion", len(d.unreadable))
	}
}

// An unreadable record of a primary was logged at each step of the failover leader, up to
// hundreds of times in a second.
func TestUnreadableRecordIsLoggedOncePerRevision(t *testing.T) {
	d, now := newDaemonInEra(t, 1)
	lines := 0
	d.log = funcr.New(func(_, line string) {
		if strings.Contains(line, eventEntryUnreadable.Text) {
			lines++
		}
	}, funcr.Options{})
	d.applyChanges([]store.Change{{Entry: store.Entry{Key: recordKey("s"), Value: []byte("{"), Revision: store.NewRevision(1, 4)}}})
	for range 10 {
		d.failoverView(*now, "s")
		d.applyRecords()
	}
	if lines != 1 {
		t.Errorf("logged %d times, want once", lines)
	}
}

// Only instances may write below prefixProject. What another writer leaves there nevertheless
// ends no daemon, and the services have owners.
func TestOddRegistrationsLeaveServicesTheirOwners(t *testing.T) {
	d, _ := newDaemonWithTargets(t)
	d.put(instanceKey("self"), []byte(`{"address":"10.0.0.1:1","processor":0.4}`), store.NewRevision(1, 3))
	for i, value := range []string{"", "{", "\xff", strings.Repeat("[", 1<<20), `{"processor":"x"}`, `{"processor":-1}`, `{"processor":1e400}`,
		`{"address":"10.0.0.1:99999999"}`, `{"address":"\u0000","processor":0}`, `{"lease_ttl_ns":99999999999999999999}`, `{"born":1e400}`} {
		for _, prefix := range []string{prefixInstances, prefixUsages, prefixRecords, prefixKnown, prefixSuspicions, prefixFenceAcks} {
			d.put(fmt.Sprintf("%sodd-%d", prefix, i), []byte(value), store.NewRevision(1, uint64(4+i)))
		}
	}
	d.handleChangedKeys([]string{prefixSuspicions, prefixInstances, prefixRecords, prefixInstances + "odd-1", prefixSuspicions + "odd-1", recordKey("odd-1")})
	d.applyShares()
	if !slices.Contains(d.usedServices, "s") {
		t.Fatalf("services %q are used, want s", d.usedServices)
	}
}

// readCounter returns the value of a counter of the daemon, zero if it has none of the name.
func (d *Daemon) readCounter(t *testing.T, name string) float64 {
	t.Helper()
	families, err := d.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == namespace+"_"+name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}
