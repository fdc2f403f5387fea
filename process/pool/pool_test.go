package pool

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/fairqueue"
)

// slowDialDuration is how long slowDial takes.
const slowDialDuration = 10 * time.Millisecond

// slowDial dials a fake connection.
func slowDial(ctx context.Context) (*fakeConn, error) {
	select {
	case <-time.After(slowDialDuration):
		return newFakeConn(), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// testPool returns a pool that leases at most four connections at the same
// time.
func testPool(limit int, dial Dial[*fakeConn]) *Pool[*fakeConn] {
	cfg := Config{Target: "t", Limit: limit, MaxInFlight: 4, DialTimeout: time.Second, Queue: fairqueue.DefaultConfig()}
	return New(cfg, dial, clock.System(), logr.Discard())
}

// mustAcquire acquires a connection or fails the test.
func mustAcquire(t *testing.T, p *Pool[*fakeConn]) *Lease[*fakeConn] {
	t.Helper()
	lease, err := p.Acquire(t.Context(), "c")
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// TestReleasedConnectionIsLeasedBeforeDialCompletes checks that a waiter gets a
// connection that is released while the dial for it runs, and that the pool
// keeps the dialed connection. It then closes the pool.
func TestReleasedConnectionIsLeasedBeforeDialCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(2, slowDial)
		first := mustAcquire(t, p)
		if first.Waited() != slowDialDuration {
			t.Fatalf("the first caller waited %v", first.Waited())
		}
		go func() {
			<-time.After(time.Millisecond)
			first.Release(true)
			first.Release(true)
		}()
		second := mustAcquire(t, p)
		if second.Waited() != time.Millisecond || second.Conn() != first.Conn() {
			t.Fatalf("the second caller waited %v", second.Waited())
		}
		synctest.Wait()
		<-time.After(slowDialDuration)
		if s := p.Stats(); s.Open != 2 || s.Idle != 1 {
			t.Fatalf("the dialed connection was not kept: %+v", s)
		}
		second.Release(false)
		synctest.Wait()
		<-second.Conn().closed
		p.Close()
		synctest.Wait()
		if s := p.Stats(); s.Open != 0 {
			t.Fatalf("connections are open after Close: %+v", s)
		}
		if _, err := p.Acquire(t.Context(), "c"); !errors.Is(err, ErrClosed) {
			t.Fatalf("acquired from a closed pool: %v", err)
		}
	})
}

// TestAcquireWaitIsBounded checks that a waiter fails after the queue's MaxWait
// or with its context, and that the excess over a lowered limit is revoked.
func TestAcquireWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(1, slowDial)
		lease := mustAcquire(t, p)
		_, err := p.Acquire(t.Context(), "c")
		var busy *BusyError
		if !errors.As(err, &busy) || busy.Waited != fairqueue.DefaultConfig().MaxWait || busy.Target != "t" {
			t.Fatalf("got %v, want a BusyError after the queue's MaxWait", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := p.Acquire(ctx, "c"); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v, want the context's error", err)
		}
		p.SetLimit(0)
		if s := p.Stats(); s.Open != 1 || s.Waiting != 0 {
			t.Fatalf("after SetLimit(0) the stats are %+v", s)
		}
		p.RevokeExcess(0)
		<-lease.Conn().closed
		synctest.Wait()
		lease.Release(true)
		if s := p.Stats(); s.Open != 0 {
			t.Fatalf("connections are open after the revocation: %+v", s)
		}
		p.Close()
	})
}

// TestDialIsRetriedForWaiters checks that after a failed dial the next one
// follows once the backoff is over, as long as another connection is open.
func TestDialIsRetriedForWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		p := testPool(2, func(ctx context.Context) (*fakeConn, error) {
			dials++
			if dials == 2 {
				return nil, errors.New("refused")
			}
			return slowDial(ctx)
		})
		mustAcquire(t, p)
		if lease := mustAcquire(t, p); lease.Waited() != dialBackoff+slowDialDuration {
			t.Fatalf("the second caller waited %v", lease.Waited())
		}
		p.Close()
	})
}

// TestFailedDialFailsWaiters checks that callers get the error of a failed dial
// when no connection is open, also during the backoff, without another dial.
func TestFailedDialFailsWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		dials := 0
		p := testPool(2, func(context.Context) (*fakeConn, error) {
			dials++
			return nil, refused
		})
		for range 3 {
			var failure *DialError
			if _, err := p.Acquire(t.Context(), "c"); !errors.As(err, &failure) || !errors.Is(err, refused) {
				t.Fatalf("got %v, want the dial's error", err)
			}
		}
		synctest.Wait()
		if dials != 1 {
			t.Fatalf("%d dials within the backoff after a failed one", dials)
		}
		p.Close()
	})
}
