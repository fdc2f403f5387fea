package demo

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr/funcr"
)

func TestWritesReuseTheTargetConnection(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons, shape.Services = 1, 1
	var opened atomic.Int64
	count := func(_, line string) {
		if strings.Contains(line, `"event"=3502 `) {
			opened.Add(1)
		}
	}
	d, err := Start(ctx, shape, funcr.New(count, funcr.Options{Verbosity: 1}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if err := d.AwaitReady(ctx, testTimeout); err != nil {
		t.Fatal(err)
	}
	conn := connect(ctx, t, d.ConnString(0, 0, 0))
	for range 20 {
		if _, err := conn.Exec(ctx, "UPDATE kv SET value = 'x' WHERE key = 'absent'"); err != nil {
			t.Fatal(err)
		}
	}
	if n := opened.Load(); n < 1 || n > 2 {
		t.Errorf("20 writes, one after the other, opened %d connections", n)
	}
}
