package memstore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
)

// newStoreWithClock returns a store and the time of its clock, which the test
// advances.
func newStoreWithClock() (*Store, *time.Duration) {
	now := new(time.Duration)
	return New(Config{Clock: func() time.Duration { return *now }}), now
}

func mustSwap(t *testing.T, s *Store, swap store.Swap) store.Revision {
	t.Helper()
	revision, err := s.CompareAndSwap(t.Context(), swap)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func wantError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("got error %v, want %v", err, want)
	}
}

func TestSwapChecksRevision(t *testing.T) {
	s, _ := newStoreWithClock()
	first := mustSwap(t, s, store.Swap{Key: "a", Value: []byte("1")})
	_, err := s.CompareAndSwap(t.Context(), store.Swap{Key: "a", Value: []byte("2")})
	wantError(t, err, store.ErrConflict)
	mustSwap(t, s, store.Swap{Key: "a", Expect: first, Delete: true})
	_, err = s.Get(t.Context(), "a")
	wantError(t, err, store.ErrNotFound)
	mustSwap(t, s, store.Swap{Key: "a", Value: []byte("3")})
	_, err = s.CompareAndSwap(t.Context(), store.Swap{Key: "b", Value: make([]byte, store.MaxValueBytes+1)})
	wantError(t, err, store.ErrTooLarge)
}

func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	s, now := newStoreWithClock()
	lease, err := s.Grant(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	mustSwap(t, s, store.Swap{Key: "a", Lease: lease})
	*now = 900 * time.Millisecond
	if err := s.KeepAlive(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	*now = 1899 * time.Millisecond
	if _, err := s.Get(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	*now = 1900 * time.Millisecond
	_, err = s.Get(t.Context(), "a")
	wantError(t, err, store.ErrNotFound)
	wantError(t, s.KeepAlive(t.Context(), lease), store.ErrLeaseExpired)
	_, err = s.CompareAndSwap(t.Context(), store.Swap{Key: "b", Lease: lease})
	wantError(t, err, store.ErrLeaseExpired)
}

func TestWatchReportsKeyOfExpiredLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		lease, _ := s.Grant(t.Context(), time.Second)
		revision := mustSwap(t, s, store.Swap{Key: "a/b", Lease: lease})
		changes, last, err := s.Watch(t.Context(), "a/", revision)
		if err != nil || len(changes) != 1 || !changes[0].Deleted || last != revision+1 {
			t.Fatalf("got %v up to %d, %v", changes, last, err)
		}
		changes, _, err = s.Watch(t.Context(), "a/", last)
		if err != nil || len(changes) != 0 {
			t.Fatalf("a watch without changes got %v, %v", changes, err)
		}
		if counts := s.Counts(); counts.Watch != 2 || counts.Swap != 1 || counts.Grant != 1 || counts.Total() != 4 {
			t.Fatalf("counted %+v", counts)
		}
		if later := s.Counts().Since(Counts{Watch: 1}); later.Watch != 1 || later.Writes() != 2 || later.Reads() != 1 {
			t.Fatalf("counted %+v later", later)
		}
	})
}

func TestDownFailsWaitingWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		watchErr := make(chan error)
		go func() {
			_, _, err := s.Watch(t.Context(), "", 0)
			watchErr <- err
		}()
		synctest.Wait()
		s.SetFaults(Faults{Down: true})
		wantError(t, <-watchErr, store.ErrUnavailable)
		_, err := s.Get(t.Context(), "a")
		wantError(t, err, store.ErrUnavailable)
	})
}

func TestChangeWithLostResponseTakesEffect(t *testing.T) {
	s, _ := newStoreWithClock()
	s.SetFaults(Faults{LoseAnswers: 1})
	_, err := s.CompareAndSwap(t.Context(), store.Swap{Key: "a"})
	wantError(t, err, store.ErrUnavailable)
	if _, err := s.Get(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	mustSwap(t, s, store.Swap{Key: "b"})
}

func TestDelayedChangeTakesEffectAfterItsCallerTimedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		s.SetFaults(Faults{DelayMillis: 500})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := s.CompareAndSwap(ctx, store.Swap{Key: "a"})
		wantError(t, err, store.ErrUnavailable)
		if _, err := s.Get(t.Context(), "a"); err != nil {
			t.Fatal(err)
		}
	})
}

func TestStaleReadsReturnOldContent(t *testing.T) {
	s, _ := newStoreWithClock()
	first := mustSwap(t, s, store.Swap{Key: "a"})
	s.SetFaults(Faults{StaleReads: true})
	mustSwap(t, s, store.Swap{Key: "a", Expect: first})
	entry, err := s.Get(t.Context(), "a")
	if err != nil || entry.Revision != first {
		t.Fatalf("got %+v, %v", entry, err)
	}
	s.SetFaults(Faults{})
	if entry, _ := s.Get(t.Context(), "a"); entry.Revision != first+1 {
		t.Fatalf("got revision %d", entry.Revision)
	}
}

func TestInstanceListLagHidesRecentChanges(t *testing.T) {
	s, now := newStoreWithClock()
	s.SetInstanceLag(time.Second)
	s.PutInstance(platform.Instance{ID: "i1", State: platform.InstanceLive})
	*now = time.Second
	s.PutInstance(platform.Instance{ID: "i2", State: platform.InstanceLive})
	s.RemoveInstance("i1")
	list, err := s.Instances(t.Context())
	if err != nil || len(list) != 1 || list[0].ID != "i1" {
		t.Fatalf("got %v, %v", list, err)
	}
	*now = 2 * time.Second
	list, _ = s.Instances(t.Context())
	if len(list) != 1 || list[0].ID != "i2" {
		t.Fatalf("got %v", list)
	}
}

func TestRestoreBeginsANewEra(t *testing.T) {
	s, _ := newStoreWithClock()
	first := mustSwap(t, s, store.Swap{Key: "a", Value: []byte("1")})
	earlier := s.Copy()
	lost := mustSwap(t, s, store.Swap{Key: "b"})
	lease, err := s.Grant(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(earlier)
	_, err = s.Get(t.Context(), "b")
	wantError(t, err, store.ErrNotFound)
	wantError(t, s.KeepAlive(t.Context(), lease), store.ErrLeaseExpired)
	_, _, err = s.Watch(t.Context(), "", lost)
	wantError(t, err, store.ErrHistoryDiscarded)
	_, err = s.CompareAndSwap(t.Context(), store.Swap{Key: "a", Expect: first})
	wantError(t, err, store.ErrConflict)
	if again := mustSwap(t, s, store.Swap{Key: "c"}); again.Sequence() != lost.Sequence() || again <= lost {
		t.Fatalf("revision %s after %s", again, lost)
	}
}
