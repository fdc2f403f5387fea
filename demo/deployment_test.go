package demo

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"

	"samphirehitch.example/samphirehitch/process/logging"
)

const testTimeout = 60 * time.Second

// testLogger returns a logger that writes to the file named by SAMPHIREHITCH_TEST_LOG, or
// one that discards everything if the variable is not set.
func testLogger(t *testing.T) logr.Logger {
	path := os.Getenv("SAMPHIREHITCH_TEST_LOG")
	if path == "" {
		return logr.Discard()
	}
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	logger, _ := logging.New(file, logging.Options{Decisions: true})
	return logger
}

// startReady starts a deployment and waits until its daemons are ready.
func startReady(ctx context.Context, t *testing.T, shape Shape) *Deployment {
	t.Helper()
	d, err := Start(ctx, shape, testLogger(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if err := d.AwaitReady(ctx, testTimeout); err != nil {
		t.Fatal(err)
	}
	return d
}

// connectUntilReady connects with a connection string and retries until the daemon accepts
// the login, which needs its first configuration.
func connectUntilReady(ctx context.Context, t *testing.T, connString string) *pgx.Conn {
	t.Helper()
	for {
		conn, err := pgx.Connect(ctx, connString)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close(context.Background()) })
			return conn
		}
		select {
		case <-ctx.Done():
			t.Fatalf("connect: %v", err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// A read through one daemon sees a write that was confirmed through another daemon.
func TestReadSeesWriteThroughOtherDaemon(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons = 2
	shape.Services = 1
	d := startReady(ctx, t, shape)
	writer := connectUntilReady(ctx, t, d.ConnString(0, 0, 0))
	if _, err := writer.Exec(ctx, "INSERT INTO kv VALUES ($1, $2)", "order-1", "confirmed"); err != nil {
		t.Fatalf("write: %v", err)
	}
	reader := connectUntilReady(ctx, t, d.ConnString(1, 0, 0))
	var value string
	if err := reader.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", "order-1").Scan(&value); err != nil {
		t.Fatalf("read: %v", err)
	}
	if value != "confirmed" {
		t.Fatalf("read returned %q, want the written value", value)
	}
}
