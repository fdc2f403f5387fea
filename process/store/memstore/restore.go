package memstore

import (
	"maps"

	"samphirehitch.example/samphirehitch/process/store"
)

// Copy is the content of a store at one time.
type Copy struct {
	revision  store.Revision
	latest    map[string]store.Change
	leases    map[store.LeaseID]lease
	lastLease store.LeaseID
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.mu.revision, latest: maps.Clone(s.mu.latest), leases: maps.Clone(s.mu.leases), lastLease: s.mu.lastLease}
}

// Restore replaces the content by an earlier copy. Later changes and leases are gone, and
// their numbers and lease IDs are given out again. A new era begins, and watches after a
// revision of an earlier one end with store.ErrHistoryDiscarded.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.mu.revision.Era() + 1
	s.mu.latest = make(map[string]store.Change, len(c.latest))
	for key, change := range c.latest {
		change.Revision = store.NewRevision(era, change.Revision.Sequence())
		s.mu.latest[key] = change
	}
	s.mu.revision = store.FirstRevision(era) + store.Revision(c.revision.Sequence())
	s.mu.leases, s.mu.lastLease = maps.Clone(c.leases), c.lastLease
	s.wakeWatches()
}
