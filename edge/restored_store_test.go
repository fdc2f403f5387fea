package edge

import (
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/platform"
	"samphirehitch.example/samphirehitch/platform/platformtest"
	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// restorableStore is a stand-in of the store that a daemon follows. The test makes the
// daemon's calls, so that their order is fixed.
type restorableStore struct {
	*platformtest.Store
	t      *testing.T
	daemon *Daemon
	after  store.Revision
}

// newRestorableStore returns a store with the first version of a configuration, and a
// daemon that has read it.
func newRestorableStore(t *testing.T) *restorableStore {
	t.Helper()
	stored, err := platformtest.StartStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stored.Close)
	s := &restorableStore{Store: stored, t: t}
	s.putConfiguration(1)
	s.daemon = s.newDaemon("self")
	s.load()
	return s
}

// newDaemon returns a daemon that uses the store.
func (s *restorableStore) newDaemon(id topology.InstanceID) *Daemon {
	client := platform.NewStore(s.Address())
	return New(Options{Settings: entrysettings.Settings{Instance: id, MaxRevocationDelay: 5 * time.Second}, Store: client, Log: logr.Discard(),
		ObserveEra: client.ObserveEra,
		Adapter: Adapter{ConfigurationKey: platform.ConfigurationKey, TargetPrefix: platform.TargetPrefix,
			DecodeCatalog: platform.DecodeCatalog, DecodeTarget: platform.DecodeTarget}})
}

// putConfiguration writes a version of the configuration with the service "s".
func (s *restorableStore) putConfiguration(version int) {
	s.t.Helper()
	if err := s.PutConfiguration(version, nil, map[string]platformtest.Service{"s": {Connections: 16}}, nil); err != nil {
		s.t.Fatal(err)
	}
}

// load lists the store into the daemon's mirror.
func (s *restorableStore) load() {
	s.t.Helper()
	after, err := s.daemon.loadMirror(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	s.after = after
}

// receive makes the daemon's next watch, and lists the store if the watch has to start over.
func (s *restorableStore) receive() {
	s.t.Helper()
	changes, asOf, err := s.daemon.store.WatchFor(s.t.Context(), "", s.after, 0)
	switch {
	case errors.Is(err, store.ErrHistoryDiscarded):
		s.load()
	case err != nil:
		s.t.Fatal(err)
	default:
		s.after = max(s.after, asOf)
		s.daemon.applyChanges(changes)
		s.daemon.advanceMirror(s.after)
	}
}

func (s *restorableStore) versionInForce() uint64 { return s.daemon.engine.Catalog().Version }

// The store is restored from a copy without the last two changes, and gives their revisions
// out again. A change after that has a revision that the daemon has seen before, and must
// not be taken for an older one.
func TestConfigurationAfterARestoreOfTheStoreIsApplied(t *testing.T) {
	s := newRestorableStore(t)
	copiedAt := time.Now()
	s.putConfiguration(4)
	s.receive()
	s.putConfiguration(8)
	s.receive()
	s.Restore(copiedAt)
	s.receive()
	if version := s.versionInForce(); version != 8 {
		t.Fatalf("version %d is in force after the restore, want 8", version)
	}
	s.putConfiguration(11)
	s.receive()
	if version := s.versionInForce(); version != 11 {
		t.Fatalf("version %d is in force, want 11", version)
	}
}

// After a restore the store has reached the last known revision again, by another change. A
// watch after that revision finds its history, and would never return the change.
func TestWatchFromBeforeARestoreOfTheStoreStartsOver(t *testing.T) {
	s := newRestorableStore(t)
	copiedAt := time.Now()
	if _, err := s.daemon.store.CompareAndSwap(t.Context(), store.Swap{Key: prefixProject + "lost"}); err != nil {
		t.Fatal(err)
	}
	s.receive()
	s.Restore(copiedAt)
	s.putConfiguration(5)
	s.receive()
	if version := s.versionInForce(); version != 5 {
		t.Fatalf("version %d is in force, want 5", version)
	}
}
