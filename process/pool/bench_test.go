package pool

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/fairqueue"
)

type noopConn struct{}

func (noopConn) Close() error { return nil }

// BenchmarkAcquireIdle measures acquiring and releasing an idle connection.
func BenchmarkAcquireIdle(b *testing.B) {
	cfg := Config{Target: "t", Limit: 4, MaxInFlight: 4, DialTimeout: time.Second, Queue: fairqueue.DefaultConfig()}
	dial := func(context.Context) (noopConn, error) { return noopConn{}, nil }
	p := New(cfg, dial, clock.System(), logr.Discard())
	defer p.Close()
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		lease, err := p.Acquire(ctx, "customer")
		if err != nil {
			b.Fatal(err)
		}
		lease.Release(true)
	}
}
