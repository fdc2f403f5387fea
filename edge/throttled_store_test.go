package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// stubStore responds to each call with err.
type stubStore struct {
	store.Transactor
	err   error
	calls int
}

func (s *stubStore) KeepAlive(context.Context, store.LeaseID) error { return s.err }

func (s *stubStore) Get(context.Context, string) (store.Entry, error) {
	s.calls++
	return store.Entry{}, s.err
}

// newUnavailableStore returns a throttled store that counts as unavailable, and the stub
// behind it.
func newUnavailableStore(t *testing.T) (*stubStore, *throttledStore) {
	t.Helper()
	stub := &stubStore{err: store.ErrUnavailable}
	s := newThrottledStore(stub, func() time.Duration { return time.Second })
	for range 2 {
		if _, err := s.Get(context.Background(), "k"); !errors.Is(err, store.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	if !s.unavailable() {
		t.Fatal("two failures do not count as an outage")
	}
	return stub, s
}

// A call that waits is made as soon as the store responds to a renewal.
func TestThrottledCallsProceedWhenTheStoreRecovers(t *testing.T) {
	stub, s := newUnavailableStore(t)
	done := make(chan error)
	go func() {
		_, err := s.Get(context.Background(), "k")
		done <- err
	}()
	if err := s.KeepAlive(context.Background(), 1); !errors.Is(err, store.ErrUnavailable) {
		t.Fatal("a renewal was throttled:", err)
	}
	stub.err = nil
	if err := s.KeepAlive(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestThrottledCallsFailWhenTheirContextIsDone(t *testing.T) {
	stub, s := newUnavailableStore(t)
	before := stub.calls
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := s.Get(ctx, "k"); !errors.Is(err, errThrottled) || !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("%v", err)
	}
	if stub.calls != before {
		t.Fatal("the call was made")
	}
}

// A call that is canceled, as a watch is when the instance's role changes, must not
// count as a failure of the store.
func TestCanceledCallsAreNotFailures(t *testing.T) {
	stub := &stubStore{err: store.ErrUnavailable}
	s := newThrottledStore(stub, func() time.Duration { return time.Second })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 5 {
		_, _ = s.Get(ctx, "k")
	}
	if s.unavailable() {
		t.Fatal("canceled calls count as failures")
	}
}
