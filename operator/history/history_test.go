package history

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/version/record"
)

// TestArchiveSizeIsBounded archives more than maxVersions versions, then versions that
// take up most of a store value, and then one that does not fit a value on its own.
func TestArchiveSizeIsBounded(t *testing.T) {
	kv := memstore.New(memstore.Config{})
	add := func(n int, size int) Archive {
		body, _ := json.Marshal(strings.Repeat("x", size))
		version := Version{Change: record.ChangeID(fmt.Sprint("c", n)), Revision: store.Revision(n + 1), Record: body}
		var archive Archive
		var err error
		for range 2 { // the second call finds the version in the archive
			archive, err = Add(t.Context(), kv, record.KindRoute, "r", version)
			if err != nil {
				t.Fatal(err)
			}
		}
		return archive
	}
	for n := range 30 {
		add(n, 10)
	}
	archive := add(30, 10)
	if _, oldest := archive.FindChange("c11"); len(archive.Versions) != maxVersions || !oldest {
		t.Errorf("%d versions", len(archive.Versions))
	}
	add(31, 600<<10)
	if archive = add(32, 600<<10); len(archive.Versions) != 1 || archive.Versions[0].Change != "c32" {
		t.Errorf("%d versions of large records", len(archive.Versions))
	}
	if archive = add(33, store.MaxValueBytes); len(archive.Versions) != 1 || archive.Versions[0].Record != nil {
		t.Errorf("%d versions with a record that does not fit", len(archive.Versions))
	}
	loaded, err := Load(t.Context(), kv, record.KindRoute, "r")
	if err != nil || len(loaded.Versions) != 1 {
		t.Errorf("loaded %d versions: %v", len(loaded.Versions), err)
	}
}
