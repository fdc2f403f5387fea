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
	return answer(ctx, s, callGrant, "", func() (store.LeaseID, error) {
		s.mu.lastLease++
		s.mu.leases[s.mu.lastLease] = lease{ttl: ttl, expiry: s.clock() + ttl}
		return s.mu.lastLease, nil
	})
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	_, err := answer(ctx, s, callKeepAlive, "", func() (struct{}, error) {
		held, found := s.mu.leases[id]
		if !found {
			return struct{}{}, eris.Wrapf(store.ErrLeaseExpired, "keep lease %d alive", id)
		}
		held.expiry = s.clock() + held.ttl
		s.mu.leases[id] = held
		return struct{}{}, nil
	})
	return err
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := answer(ctx, s, callRevoke, "", func() (struct{}, error) {
		if _, found := s.mu.leases[id]; !found {
			return struct{}{}, eris.Wrapf(store.ErrLeaseExpired, "revoke lease %d", id)
		}
		s.end(id)
		return struct{}{}, nil
	})
	return err
}

// Expire ends the leases whose time has come and wakes the watches. A test that
// moves the clock by hand calls it afterwards.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(s.clock())
	s.wake()
}

func (s *Store) expire(now time.Duration) {
	for id, held := range s.mu.leases {
		if held.expiry <= now {
			s.end(id)
		}
	}
}

// end drops a lease and deletes its keys, in the order of their names.
func (s *Store) end(id store.LeaseID) {
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
