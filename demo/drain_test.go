package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/status"
)

// leasedConnections returns the number of target connections that a daemon has in use.
func leasedConnections(t *testing.T, d *RunningDaemon) (leased int) {
	t.Helper()
	response, err := http.Get("http://" + d.Daemon.AdminAddress().String() + "/status")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var report status.Daemon
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	for _, service := range report.Services {
		for _, target := range service.Targets {
			leased += target.Pool.Leased
		}
	}
	return leased
}

// A daemon that stopped closed the connection of a statement that outlasted the drain timeout
// without a response.
func TestStopAnswersAStatementThatOutlastsTheDrain(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons, shape.Services = 1, 1
	shape.DrainTimeout, shape.ServiceTime = 2*time.Second, 20*time.Second
	d := startReady(ctx, t, shape)
	conn := connectUntilReady(ctx, t, d.ConnString(0, 0, 0))
	result := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "INSERT INTO kv VALUES ('a', 'b')")
		result <- err
	}()
	for leasedConnections(t, d.Daemons[0]) == 0 {
		time.Sleep(readyPollInterval)
	}
	if err := d.Daemons[0].Stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
	if err := <-result; sqlState(err) != "57P01" {
		t.Errorf("the statement ends with %v, want SQLSTATE 57P01", err)
	}
}
