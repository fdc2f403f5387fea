package demo

import (
	"context"
	"testing"

	"samphirehitch.example/samphirehitch/process/store/memstore"
)

// A daemon that starts while the store is unavailable obtains the instances and the
// configuration from a seed peer and serves callers.
func TestDaemonStartsDuringStoreOutage(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons = 3
	shape.Services = 1
	d := startReady(ctx, t, shape)
	for daemonIndex := range shape.Daemons {
		connectUntilReady(ctx, t, d.ConnString(daemonIndex, 0, 0))
	}
	d.Store.Store().SetFaults(memstore.Faults{Down: true})
	seed := d.Daemons[0].Daemon.PeerAddress().String()
	if _, err := d.StartDaemon("entry-new", shape.Domains[3], seed); err != nil {
		t.Fatal(err)
	}
	if err := d.AwaitReady(ctx, testTimeout); err != nil {
		t.Fatal(err)
	}
	conn := connectUntilReady(ctx, t, d.ConnString(shape.Daemons, 0, 0))
	if _, err := conn.Exec(ctx, "INSERT INTO kv VALUES ('late', 'x')"); err != nil {
		t.Errorf("write through the new daemon: %v", err)
	}
}
