package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// scriptedStore answers each call with err.
type scriptedStore struct {
	store.Transactor
	err   error
	calls int
}

func (s *scriptedStore) KeepAlive(context.Context, store.LeaseID) error { return s.err }

func (s *scriptedStore) Get(context.Context, string) (store.Entry, error) {
	s.calls++
	return store.Entry{}, s.err
}

func loseStore(t *testing.T) (*scriptedStore, *sparingStore) {
	t.Helper()
	scripted := &scriptedStore{err: store.ErrUnavailable}
	s := newSparingStore(scripted, func() time.Duration { return time.Second })
	for range 2 {
		if _, err := s.Get(context.Background(), "k"); !errors.Is(err, store.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	if !s.away() {
		t.Fatal("two failures do not count as an outage")
	}
	return scripted, s
}

// A call that is held back is made as soon as a renewal is answered.
func TestHeldBackCallsGoOnWhenTheStoreIsBack(t *testing.T) {
	scripted, s := loseStore(t)
	done := make(chan error)
	go func() {
		_, err := s.Get(context.Background(), "k")
		done <- err
	}()
	if err := s.KeepAlive(context.Background(), 1); !errors.Is(err, store.ErrUnavailable) {
		t.Fatal("a renewal was held back:", err)
	}
	scripted.err = nil
	if err := s.KeepAlive(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestHeldBackCallsEndWithTheirTime(t *testing.T) {
	scripted, s := loseStore(t)
	before := scripted.calls
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := s.Get(ctx, "k"); !errors.Is(err, errHeldBack) || !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("%v", err)
	}
	if scripted.calls != before {
		t.Fatal("the call was made")
	}
}

// A watch that its own instance gives up says nothing of the store.
func TestAbandonedCallsAreNoFailures(t *testing.T) {
	scripted := &scriptedStore{err: store.ErrUnavailable}
	s := newSparingStore(scripted, func() time.Duration { return time.Second })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 5 {
		_, _ = s.Get(ctx, "k")
	}
	if s.away() {
		t.Fatal("calls that were given up count as failures")
	}
}
