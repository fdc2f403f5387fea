package edge

import (
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/store"
)

// changeConfiguration returns the change that writes a configuration of a version.
func changeConfiguration(version byte, revision store.Revision) []store.Change {
	return []store.Change{{Entry: store.Entry{Key: "configuration", Value: []byte{version}, Revision: revision}}}
}

// The store has been restored and returns an earlier configuration until the operator writes
// the latest again. It does not come into force, and the store's confirmations do not count
// meanwhile: a version that withdraws a key may be lost as well.
func TestStoreBehindTheConfigurationInForceConfirmsNothing(t *testing.T) {
	d := newConfiguredDaemon(t, store.NewRevision(1, 5))
	d.authority = authority.New(time.Hour)
	d.applyChanges(changeConfiguration(8, store.NewRevision(1, 9)))
	for _, step := range []struct {
		version   byte
		sequence  uint64
		inForce   uint64
		confirmed bool
	}{{5, 5, 8, false}, {8, 9, 8, true}, {9, 10, 9, true}} {
		revision := store.NewRevision(2, step.sequence)
		d.applyChanges(changeConfiguration(step.version, revision))
		if got := d.engine.Catalog().Version; got != step.inForce {
			t.Errorf("version %d stored: version %d in force", step.version, got)
		}
		d.observeListing(d.clock(), store.Listing{Revision: revision, Entries: []store.Entry{{Key: "configuration", Revision: revision}}})
		if got := d.authority.MayAcceptKeys(d.clock()); got != step.confirmed {
			t.Errorf("version %d stored: keys accepted %v", step.version, got)
		}
	}
}

// A peer has a configuration that the restored store has lost. Its version counts, not the
// revision from before the restore.
func TestPeersConfigurationFromBeforeARestoreIsApplied(t *testing.T) {
	d := newConfiguredDaemon(t, store.NewRevision(2, 5))
	d.applyPeerConfiguration("peer", store.NewRevision(1, 9), []byte{8}, -1)
	if got := d.engine.Catalog().Version; got != 8 || string(d.configurationInForce().Value) != "\b" {
		t.Fatalf("version %d in force, stored form %q", got, d.configurationInForce().Value)
	}
	d.applyPeerConfiguration("peer", store.NewRevision(3, 9), []byte{7}, -1)
	if got := d.engine.Catalog().Version; got != 8 || string(d.configurationInForce().Value) != "\b" {
		t.Fatalf("an earlier version of a later revision: version %d in force, stored form %q", got, d.configurationInForce().Value)
	}
}
