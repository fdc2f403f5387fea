package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"samphirehitch.example/samphirehitch/version/record"
)

// sqlState returns the SQLSTATE of an error response, or "" for any other error.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// Withdrawing a key closes its open sessions on every daemon and refuses new ones, and
// does not affect the sessions of another customer.
func TestKeyWithdrawalClosesSessionsOnAllDaemons(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons = 4
	shape.Services = 1
	d := startReady(ctx, t, shape)
	var sessions []*pgx.Conn
	for daemonIndex := range shape.Daemons {
		sessions = append(sessions, connectUntilReady(ctx, t, d.ConnString(daemonIndex, 0, 0)))
	}
	otherCustomer := connectUntilReady(ctx, t, d.ConnString(0, 1, 0))
	verifier, err := record.NewVerifier(d.Secrets[0])
	if err != nil {
		t.Fatal(err)
	}
	key := record.Key{ID: shape.KeyID(0), Customer: shape.CustomerID(0), Withdrawn: true, Verifier: verifier}
	if err := d.PutRecord(ctx, key); err != nil {
		t.Fatal(err)
	}
	for daemonIndex, session := range sessions {
		if err := readUntilError(ctx, session); sqlState(err) != "28000" {
			t.Errorf("daemon %d: session closed with %v, want SQLSTATE 28000", daemonIndex, err)
		}
		if _, err := pgx.Connect(ctx, d.ConnString(daemonIndex, 0, 0)); err == nil {
			t.Errorf("daemon %d: accepts a login with the withdrawn key", daemonIndex)
		}
	}
	if _, err := otherCustomer.Exec(ctx, "SELECT 1"); err != nil {
		t.Errorf("another customer's session: %v", err)
	}
}

// readUntilError repeats a read until it fails and returns the error.
func readUntilError(ctx context.Context, conn *pgx.Conn) error {
	for {
		if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
			return err
		}
	}
}

// One of two daemons is drained while callers write through it. Every request must be
// completed or be refused as not run (SQLSTATE 57P01); callers then reconnect through the
// other daemon.
func TestDrainInterruptsNoRequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	writeThroughDrain(ctx, t, startReady(ctx, t, drainShape(2)))
}

// An instance that had joined late held no slot whose connections it could use, and the drained
// one's stayed unused for 32 s: callers were refused although the targets were idle.
func TestDrainHandsOverToAnInstanceThatJoinedLate(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d := startReady(ctx, t, drainShape(1))
	if _, err := d.StartDaemon("entry-2", d.Shape.failureDomain(1)); err != nil {
		t.Fatal(err)
	}
	if err := d.AwaitReady(ctx, testTimeout); err != nil {
		t.Fatal(err)
	}
	writeThroughDrain(ctx, t, d)
}

// drainShape is a deployment of one service whose customers stay far below their rates.
func drainShape(daemons int) Shape {
	shape := Kuttanad()
	shape.Daemons, shape.Services = daemons, 1
	shape.Rate, shape.Burst = 10000, 10000
	return shape
}

// writeThroughDrain stops the first of two daemons while callers write through it. Every request
// must be completed or be refused as not run by the first daemon, and callers then reconnect
// through the second one.
func writeThroughDrain(ctx context.Context, t *testing.T, d *Deployment) {
	t.Helper()
	const callers, requests = 8, 40
	var interrupted, refused, completed atomic.Int64
	var running sync.WaitGroup
	drained := make(chan struct{})
	for caller := range callers {
		running.Go(func() {
			daemonIndex := 0
			conn := connectUntilReady(ctx, t, d.ConnString(daemonIndex, caller, 0))
			for i := range requests {
				if i == requests/2 && caller == 0 {
					go func() { defer close(drained); _ = d.Daemons[0].Stop() }()
				}
				key := fmt.Sprintf("drain-%d-%d", caller, i)
				_, err := conn.Exec(ctx, "INSERT INTO kv VALUES ($1, $2)", key, key)
				switch {
				case err == nil:
					completed.Add(1)
				case sqlState(err) == "57P01":
					refused.Add(1)
				default:
					interrupted.Add(1)
					t.Errorf("%s: %v", key, err)
				}
				if conn.IsClosed() {
					daemonIndex = 1
					conn = connectUntilReady(ctx, t, d.ConnString(daemonIndex, caller, 0))
				}
			}
		})
	}
	running.Wait()
	<-drained
	t.Logf("completed %d, refused as not run %d, interrupted %d", completed.Load(), refused.Load(), interrupted.Load())
	if completed.Load()+refused.Load() != callers*requests {
		t.Errorf("%d of %d requests were completed or refused", completed.Load()+refused.Load(), callers*requests)
	}
}
