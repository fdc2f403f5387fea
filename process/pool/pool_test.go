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

const dialTime = 10 * time.Millisecond

func slowDial(ctx context.Context) (*fakeConn, error) {
	select {
	case <-time.After(dialTime):
		return newFakeConn(), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func testPool(limit int, dial Dial[*fakeConn]) *Pool[*fakeConn] {
	cfg := Config{Target: "t", Limit: limit, MaxInFlight: 4, DialTimeout: time.Second, Queue: fairqueue.DefaultConfig()}
	return New(cfg, dial, clock.System(), logr.Discard())
}

func mustAcquire(t *testing.T, p *Pool[*fakeConn]) *Lease[*fakeConn] {
	t.Helper()
	lease, err := p.Acquire(t.Context(), "c")
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

func TestReleasedConnectionServesBeforeDialEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(2, slowDial)
		first := mustAcquire(t, p)
		if first.Waited() != dialTime {
			t.Fatalf("first waited %v", first.Waited())
		}
		go func() {
			<-time.After(time.Millisecond)
			first.Release(true)
			first.Release(true)
		}()
		second := mustAcquire(t, p)
		if second.Waited() != time.Millisecond || second.Conn() != first.Conn() {
			t.Fatalf("second waited %v", second.Waited())
		}
		synctest.Wait()
		<-time.After(dialTime)
		if s := p.Stats(); s.Open != 2 || s.Idle != 1 {
			t.Fatalf("the dial's connection was not kept: %+v", s)
		}
		second.Release(false)
		synctest.Wait()
		<-second.Conn().closed
		p.Close()
		synctest.Wait()
		if s := p.Stats(); s.Open != 0 {
			t.Fatalf("open after close: %+v", s)
		}
		if _, err := p.Acquire(t.Context(), "c"); !errors.Is(err, ErrClosed) {
			t.Fatalf("acquired from a closed pool: %v", err)
		}
	})
}

func TestBoundsOfWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(1, slowDial)
		lease := mustAcquire(t, p)
		_, err := p.Acquire(t.Context(), "c")
		var busy *Busy
		if !errors.As(err, &busy) || busy.Waited != fairqueue.DefaultConfig().MaxWait || busy.Target != "t" {
			t.Fatalf("got %v, want Busy after the queue's bound", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := p.Acquire(ctx, "c"); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v, want the context's error", err)
		}
		p.SetLimit(0)
		if s := p.Stats(); s.Open != 1 || s.Waiting != 0 {
			t.Fatalf("%+v", s)
		}
		p.RevokeExcess(0)
		<-lease.Conn().closed
		synctest.Wait()
		lease.Release(true)
		if s := p.Stats(); s.Open != 0 {
			t.Fatalf("open after revocation: %+v", s)
		}
		p.Close()
	})
}

func TestDialIsRepeatedForWaiters(t *testing.T) {
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
		if lease := mustAcquire(t, p); lease.Waited() != dialBackoff+dialTime {
			t.Fatalf("waited %v", lease.Waited())
		}
		p.Close()
	})
}

func TestFailedDialAnswersWaiters(t *testing.T) {
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
			t.Fatalf("%d dials within the pause after a failed one", dials)
		}
		p.Close()
	})
}
