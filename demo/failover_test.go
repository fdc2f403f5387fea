package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/standin/group"
)

// writeOrders inserts orders with unique keys through a daemon until stop is closed and
// returns the keys of those that were confirmed. Refused inserts are logged; any other
// error fails the test.
func writeOrders(ctx context.Context, t *testing.T, d *Deployment, daemonIndex int, stop <-chan struct{}) []string {
	conn := connectUntilReady(ctx, t, d.ConnString(daemonIndex, daemonIndex, 0))
	var confirmed []string
	for i := 0; ; i++ {
		select {
		case <-stop:
			return confirmed
		default:
		}
		key := fmt.Sprintf("order-%d-%d", daemonIndex, i)
		_, err := conn.Exec(ctx, "INSERT INTO kv VALUES ($1, $2)", key, key)
		var pgErr *pgconn.PgError
		switch {
		case err == nil:
			confirmed = append(confirmed, key)
		case errors.As(err, &pgErr):
			t.Logf("%s: %s %s", key, pgErr.Code, pgErr.Message)
		default:
			t.Errorf("%s: %v", key, err)
			return confirmed
		}
	}
}

// checkWritesSurvive writes through three daemons, injects a fault and checks that writes
// succeed again afterwards and that every confirmed write can be read.
func checkWritesSurvive(t *testing.T, fault func(d *Deployment)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons = 3
	shape.Services = 1
	d := startReady(ctx, t, shape)
	stop := make(chan struct{})
	confirmed := make([][]string, shape.Daemons)
	var writers sync.WaitGroup
	for daemonIndex := range shape.Daemons {
		writers.Go(func() { confirmed[daemonIndex] = writeOrders(ctx, t, d, daemonIndex, stop) })
	}
	reader := connectUntilReady(ctx, t, d.ConnString(0, 4, 0))
	awaitOrders(ctx, t, reader, 30)
	fault(d)
	before := countOrders(ctx, t, reader)
	awaitOrders(ctx, t, reader, before+30)
	close(stop)
	writers.Wait()
	for _, keys := range confirmed {
		for _, key := range keys {
			var value string
			if err := reader.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&value); err != nil {
				t.Errorf("read confirmed order %s: %v", key, err)
			}
		}
	}
}

func TestNoConfirmedWriteLostWhenPrimaryCrashes(t *testing.T) {
	checkWritesSurvive(t, func(d *Deployment) { d.Groups[0].Primary().Kill() })
}

func TestNoConfirmedWriteLostWhenPrimaryHangs(t *testing.T) {
	checkWritesSurvive(t, func(d *Deployment) { d.Groups[0].Primary().SetFaults(group.Faults{Frozen: true}) })
}

// The primary still serves callers and responds to control requests, but it replicates
// nothing to the other members.
func TestNoConfirmedWriteLostWhenPrimaryIsCutOffFromReplicas(t *testing.T) {
	checkWritesSurvive(t, func(d *Deployment) { d.Groups[0].Primary().SetFaults(group.Faults{CutFromMembers: true}) })
}

// The primary is cut off from the other members and from control requests, while callers
// can still write to it.
func TestNoConfirmedWriteLostWhenOnlyCallersReachPrimary(t *testing.T) {
	checkWritesSurvive(t, func(d *Deployment) {
		d.Groups[0].Primary().SetFaults(group.Faults{CutFromMembers: true, CutFromControl: true})
	})
}

// A primary is replaced also while the store is unavailable.
func TestFailoverDuringStoreOutage(t *testing.T) {
	checkWritesSurvive(t, func(d *Deployment) {
		d.Store.Store().SetFaults(memstore.Faults{Down: true})
		d.Groups[0].Primary().Kill()
	})
}

// countOrders returns the number of orders, or zero if the read fails.
func countOrders(ctx context.Context, t *testing.T, conn *pgx.Conn) int {
	t.Helper()
	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM kv").Scan(&count); err != nil {
		t.Logf("count orders: %v", err)
	}
	return count
}

// awaitOrders waits until there are at least want orders.
func awaitOrders(ctx context.Context, t *testing.T, conn *pgx.Conn, want int) {
	t.Helper()
	for countOrders(ctx, t, conn) < want {
		select {
		case <-ctx.Done():
			t.Fatal("timed out waiting for further writes to succeed")
		case <-time.After(5 * time.Millisecond):
		}
	}
}
