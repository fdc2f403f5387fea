package edge

import (
	"context"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// expiringStore is a leaseStore whose leases expire, with a history of all changes. It is
// not safe for concurrent use.
type expiringStore struct {
	leaseStore
	clock   func() time.Duration
	leases  map[store.LeaseID]expiringLease
	history []store.Change
}

type expiringLease struct{ ttl, expiry time.Duration }

func newExpiringStore(clock func() time.Duration) *expiringStore {
	return &expiringStore{clock: clock, leases: make(map[store.LeaseID]expiringLease)}
}

// expire removes the leases that have ended, with their keys.
func (s *expiringStore) expire() {
	for id, lease := range s.leases {
		if s.clock() < lease.expiry {
			continue
		}
		delete(s.leases, id)
		for key, entry := range s.entries {
			if entry.Lease == id {
				s.changes++
				delete(s.entries, key)
				s.history = append(s.history, store.Change{Entry: store.Entry{Key: key, Revision: s.changes}, Deleted: true})
			}
		}
	}
}

func (s *expiringStore) grant(ttl time.Duration) store.LeaseID {
	id, _ := s.leaseStore.Grant(context.Background(), ttl)
	s.leases[id] = expiringLease{ttl: ttl, expiry: s.clock() + ttl}
	return id
}

func (s *expiringStore) keepAlive(id store.LeaseID) error {
	s.expire()
	lease, exists := s.leases[id]
	if !exists {
		return store.ErrLeaseExpired
	}
	lease.expiry = s.clock() + lease.ttl
	s.leases[id] = lease
	return nil
}

// transact executes a transaction. All of its puts have one revision.
func (s *expiringStore) transact(t store.Transaction) (store.Revision, error) {
	s.expire()
	for _, put := range t.Puts {
		if _, exists := s.leases[put.Lease]; !exists && put.Lease != 0 {
			return 0, store.ErrLeaseExpired
		}
	}
	if _, err := s.execute(t); err != nil {
		return 0, err
	}
	for _, put := range t.Puts {
		entry := s.entries[put.Key]
		entry.Revision = s.changes
		s.entries[put.Key] = entry
		s.history = append(s.history, store.Change{Entry: entry})
	}
	return s.changes, nil
}

func (s *expiringStore) list(prefix string) store.Listing {
	s.expire()
	listing := store.Listing{Revision: s.changes}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing
}

// since returns the changes after a revision.
func (s *expiringStore) since(after store.Revision) []store.Change {
	s.expire()
	var changes []store.Change
	for _, change := range s.history {
		if change.Revision > after {
			changes = append(changes, change)
		}
	}
	return changes
}

// usage returns the stored usage of an instance, empty if there is none.
func (s *expiringStore) usage(id topology.InstanceID) string {
	return string(s.entries[usageKey(id)].Value)
}
