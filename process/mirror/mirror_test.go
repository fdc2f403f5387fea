package mirror

import (
	"slices"
	"testing"

	"samphirehitch.example/samphirehitch/process/store"
)

func put(key string, revision store.Revision) store.Change {
	return store.Change{Entry: store.Entry{Key: key, Revision: revision, Value: []byte{byte(revision)}}}
}

func TestKeysNeverRevertToAnEarlierRevision(t *testing.T) {
	m := New()
	m.Apply(put("a", 5))
	if m.Apply(put("a", 4)) || m.Apply(put("a", 5)) || m.Get("a").Revision != 5 {
		t.Fatal("an earlier change was applied")
	}
	if !m.ApplyAbsence("a", 6) || m.Apply(put("a", 5)) || m.Get("a").Revision != 0 {
		t.Fatal("an earlier change restored a deleted key")
	}
}

// A listing is ahead of the watch, which then delivers older changes. They must not
// restore a key that was deleted before the listing.
func TestListingAheadOfTheWatch(t *testing.T) {
	m := New()
	m.Apply(put("p/a", 5))
	m.Apply(put("p/new", 20))
	changed := m.Replace("p/", store.Listing{Revision: 10, Entries: []store.Entry{{Key: "p/b", Revision: 8}}})
	slices.Sort(changed)
	if !slices.Equal(changed, []string{"p/a", "p/b"}) {
		t.Fatalf("changed %v", changed)
	}
	if m.Get("p/new").Revision != 20 {
		t.Fatal("a key that was created after the listing was deleted")
	}
	if m.Apply(put("p/a", 9)) {
		t.Fatal("a change before the listing restored a deleted key")
	}
	if !m.Apply(put("p/a", 11)) {
		t.Fatal("a change after the listing was ignored")
	}
}

// A follower that applies the changes since its own revision has the same keys, whatever
// the order in which the followed mirror learned of them.
func TestChangesSinceARevisionBringAFollowerUpToDate(t *testing.T) {
	followed, follower := New(), New()
	for _, m := range []*Mirror{followed, follower} {
		m.Apply(put("p/a", 5))
		m.Apply(put("p/b", 6))
	}
	followed.Apply(put("p/c", 9))
	followed.Apply(put("other", 9))
	followed.Replace("p/", store.Listing{Revision: 12, Entries: []store.Entry{{Key: "p/b", Revision: 11, Value: []byte{11}}, {Key: "p/c", Revision: 9, Value: []byte{9}}}})
	changes, complete := followed.ChangesSince("p/", 6, 12)
	if !complete || len(changes) != 3 {
		t.Fatalf("%v, complete: %v", changes, complete)
	}
	for _, change := range changes {
		follower.Apply(change)
	}
	for _, key := range []string{"p/a", "p/b", "p/c", "other"} {
		if key != "other" && follower.Get(key).Revision != followed.Get(key).Revision {
			t.Errorf("%s is at revision %d, want %d", key, follower.Get(key).Revision, followed.Get(key).Revision)
		}
	}
	if follower.Get("other").Revision != 0 {
		t.Error("a key without the prefix was sent")
	}
	if _, complete := followed.ChangesSince("p/", 6, 7+tombstoneRevisions); complete {
		t.Error("changes count as complete although deletions may be forgotten")
	}
}

// The store is restored: its revisions are given out again and keys are gone.
func TestStateAfterARestoreReplacesTheStateBefore(t *testing.T) {
	m := New()
	m.Apply(put("kept", store.NewRevision(1, 3)))
	m.Apply(put("changed", store.NewRevision(1, 9)))
	m.Apply(put("lost", store.NewRevision(1, 8)))
	changed := m.Replace("", store.Listing{Revision: store.NewRevision(2, 7), Entries: []store.Entry{
		{Key: "kept", Revision: store.NewRevision(2, 3)}, {Key: "changed", Revision: store.NewRevision(2, 6)}}})
	slices.Sort(changed)
	if !slices.Equal(changed, []string{"changed", "kept", "lost"}) || m.Get("lost").Revision != 0 {
		t.Fatalf("changed %v, lost %+v", changed, m.Get("lost"))
	}
	if !m.Apply(put("changed", store.NewRevision(2, 8))) {
		t.Fatal("a change after the restore is taken for an older one")
	}
	for _, key := range []string{"lost", "unknown", "changed"} {
		if m.Apply(put(key, store.NewRevision(1, 100))) {
			t.Errorf("a change of %q from before the restore was applied", key)
		}
	}
	if m.Replace("", store.Listing{Revision: store.NewRevision(1, 100)}) != nil || m.Get("kept").Revision == 0 {
		t.Error("a listing from before the restore was applied")
	}
}
