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

// sqlState returns the SQLSTATE of an error, or empty.
func sqlState(err error) string {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

func TestAWithdrawnKeyEndsConnectedSessionsOnEveryDaemon(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons = 4
	shape.Services = 1
	d := start(ctx, t, shape)
	var sessions []*pgx.Conn
	for entry := range shape.Daemons {
		sessions = append(sessions, connect(ctx, t, d.ConnString(entry, 0, 0)))
	}
	bystander := connect(ctx, t, d.ConnString(0, 1, 0))
	held, err := record.NewVerifier(d.Secrets[0])
	if err != nil {
		t.Fatal(err)
	}
	key := record.Key{ID: shape.KeyID(0), Customer: shape.CustomerID(0), Withdrawn: true, Verifier: held}
	if err := d.Put(ctx, key); err != nil {
		t.Fatal(err)
	}
	for entry, session := range sessions {
		if err := untilRefused(ctx, session); sqlState(err) != "28000" {
			t.Errorf("entry %d: session ended with %v, want SQLSTATE 28000", entry, err)
		}
		if _, err := pgx.Connect(ctx, d.ConnString(entry, 0, 0)); err == nil {
			t.Errorf("entry %d: the withdrawn key logs in", entry)
		}
	}
	if _, err := bystander.Exec(ctx, "SELECT 1"); err != nil {
		t.Errorf("another customer's session: %v", err)
	}
}

// untilRefused sends reads until one fails and returns its error.
func untilRefused(ctx context.Context, conn *pgx.Conn) error {
	for {
		if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
			return err
		}
	}
}

// Callers of a draining daemon go on through another one. A request that was
// sent is answered, or refused as not run before anything happened.
func TestDrainingCutsNoRequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons = 2
	shape.Services = 1
	shape.Rate, shape.Burst = 10000, 10000
	d := start(ctx, t, shape)
	const callers, requests = 8, 40
	var cut, refused, done atomic.Int64
	var running sync.WaitGroup
	drained := make(chan struct{})
	for caller := range callers {
		running.Go(func() {
			entry := 0
			conn := connect(ctx, t, d.ConnString(entry, caller, 0))
			for i := range requests {
				if i == requests/2 && caller == 0 {
					go func() { defer close(drained); _ = d.Daemons[0].Stop() }()
				}
				key := fmt.Sprintf("drain-%d-%d", caller, i)
				_, err := conn.Exec(ctx, "INSERT INTO kv VALUES ($1, $2)", key, key)
				switch {
				case err == nil:
					done.Add(1)
				case sqlState(err) == "57P01":
					refused.Add(1)
				default:
					cut.Add(1)
					t.Errorf("%s: %v", key, err)
				}
				if conn.IsClosed() {
					entry = 1
					conn = connect(ctx, t, d.ConnString(entry, caller, 0))
				}
			}
		})
	}
	running.Wait()
	<-drained
	t.Logf("done %d, refused as not run %d, cut %d", done.Load(), refused.Load(), cut.Load())
	if done.Load()+refused.Load() != callers*requests {
		t.Errorf("%d of %d requests were answered", done.Load()+refused.Load(), callers*requests)
	}
}
