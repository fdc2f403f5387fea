package demo

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr/funcr"
)

// Consecutive writes use the same connection to the target. Opened connections are
// counted by event 3502 in the log.
func TestWritesReuseTargetConnections(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons, shape.Services = 1, 1
	var opened atomic.Int64
	countOpened := func(_, line string) {
		if strings.Contains(line, `"event"=3502 `) {
			opened.Add(1)
		}
	}
	d, err := Start(ctx, shape, funcr.New(countOpened, funcr.Options{Verbosity: 1}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if err := d.AwaitReady(ctx, testTimeout); err != nil {
		t.Fatal(err)
	}
	conn := connectUntilReady(ctx, t, d.ConnString(0, 0, 0))
	for range 20 {
		if _, err := conn.Exec(ctx, "UPDATE kv SET value = 'x' WHERE key = 'absent'"); err != nil {
			t.Fatal(err)
		}
	}
	if n := opened.Load(); n < 1 || n > 2 {
		t.Errorf("20 consecutive writes opened %d connections, want 1 or 2", n)
	}
}
