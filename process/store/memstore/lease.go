package memstore

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/store"
)

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return runCall(ctx, s, callGrant, "", func() (store.LeaseID, error) {
		s.mu.lastLease++
		s.mu.leases[s.mu.lastLease] = lease{ttl: ttl, expiry: s.clock() + ttl}
		return s.mu.lastLease, nil
	})
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	_, err := runCall(ctx, s, callKeepAlive, "", func() (struct{}, error) {
		l, found := s.mu.leases[id]
		if !found {
			return struct{}{}, eris.Wrapf(store.ErrLeaseExpired, "keep lease %d alive", id)
		}
		l.expiry = s.clock() + l.ttl
		s.mu.leases[id] = l
		return struct{}{}, nil
	})
	return err
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := runCall(ctx, s, callRevoke, "", func() (struct{}, error) {
		if _, found := s.mu.leases[id]; !found {
			return struct{}{}, eris.Wrapf(store.ErrLeaseExpired, "revoke lease %d", id)
		}
		s.removeLease(id)
		return struct{}{}, nil
	})
	return err
}

// ExpireLeases removes expired leases with their keys and wakes waiting watches. A
// test that advances a manual clock calls it afterwards.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(s.clock())
	s.wakeWatches()
}

// expireLeases removes the leases that have expired by now. The caller holds s.mu.
func (s *Store) expireLeases(now time.Duration) {
	for id, l := range s.mu.leases {
		if l.expiry <= now {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and deletes its keys in the order of their names. The
// caller holds s.mu.
func (s *Store) removeLease(id store.LeaseID) {
	delete(s.mu.leases, id)
	var keys []string
	for key, change := range s.mu.latest {
		if change.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	for _, key := range keys {
		s.record(store.Change{Entry: store.Entry{Key: key}, Deleted: true})
	}
}
