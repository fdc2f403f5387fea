package demo

import (
	"context"
	"testing"

	"samphirehitch.example/samphirehitch/process/store/memstore"
)

func TestADaemonStartsWhileTheStoreIsDown(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons = 3
	shape.Services = 1
	d := start(ctx, t, shape)
	for entry := range shape.Daemons {
		connect(ctx, t, d.ConnString(entry, 0, 0))
	}
	d.Store.Store().SetFaults(memstore.Faults{Down: true})
	seed := d.Daemons[0].Daemon.PeerAddress().String()
	if _, err := d.StartDaemon("entry-new", shape.Domains[3], seed); err != nil {
		t.Fatal(err)
	}
	if err := d.AwaitReady(ctx, testTimeout); err != nil {
		t.Fatal(err)
	}
	late := connect(ctx, t, d.ConnString(shape.Daemons, 0, 0))
	if _, err := late.Exec(ctx, "INSERT INTO kv VALUES ('late', 'x')"); err != nil {
		t.Errorf("write through the new daemon: %v", err)
	}
}
