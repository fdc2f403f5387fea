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

// orders writes unique orders through a daemon until stop is closed and returns
// the ones that were confirmed.
func orders(ctx context.Context, t *testing.T, d *Deployment, entry int, stop <-chan struct{}) []string {
	conn := connect(ctx, t, d.ConnString(entry, entry, 0))
	var confirmed []string
	for i := 0; ; i++ {
		select {
		case <-stop:
			return confirmed
		default:
		}
		key := fmt.Sprintf("order-%d-%d", entry, i)
		_, err := conn.Exec(ctx, "INSERT INTO kv VALUES ($1, $2)", key, key)
		var refused *pgconn.PgError
		switch {
		case err == nil:
			confirmed = append(confirmed, key)
		case errors.As(err, &refused):
			t.Logf("%s: %s %s", key, refused.Code, refused.Message)
		default:
			t.Errorf("%s: %v", key, err)
			return confirmed
		}
	}
}

// survive runs writers through a fault and checks that writes go on afterwards
// and that every confirmed one is there.
func survive(t *testing.T, fault func(d *Deployment)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	shape := Kuttanad()
	shape.Daemons = 3
	shape.Services = 1
	d := start(ctx, t, shape)
	stop := make(chan struct{})
	lists := make([][]string, shape.Daemons)
	var writers sync.WaitGroup
	for entry := range shape.Daemons {
		writers.Go(func() { lists[entry] = orders(ctx, t, d, entry, stop) })
	}
	reader := connect(ctx, t, d.ConnString(0, 4, 0))
	waitForOrders(ctx, t, reader, 30)
	fault(d)
	before := countOrders(ctx, t, reader)
	waitForOrders(ctx, t, reader, before+30)
	close(stop)
	writers.Wait()
	for _, list := range lists {
		for _, key := range list {
			var value string
			if err := reader.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&value); err != nil {
				t.Errorf("confirmed %s: %v", key, err)
			}
		}
	}
}

func TestNoConfirmedWriteIsLostWhenThePrimaryDies(t *testing.T) {
	survive(t, func(d *Deployment) { d.Groups[0].Primary().Kill() })
}

func TestNoConfirmedWriteIsLostWhenThePrimaryFreezes(t *testing.T) {
	survive(t, func(d *Deployment) { d.Groups[0].Primary().SetFaults(group.Faults{Frozen: true}) })
}

// The cut primary still serves callers and answers control requests, but
// nothing that it commits reaches another member.
func TestNoConfirmedWriteIsLostWhenThePrimaryIsCutFromItsGroup(t *testing.T) {
	survive(t, func(d *Deployment) { d.Groups[0].Primary().SetFaults(group.Faults{CutFromMembers: true}) })
}

// The platform cannot see the primary any more while callers still write to it.
func TestNoConfirmedWriteIsLostWhenOnlyCallersReachThePrimary(t *testing.T) {
	survive(t, func(d *Deployment) {
		d.Groups[0].Primary().SetFaults(group.Faults{CutFromMembers: true, CutFromControl: true})
	})
}

func TestPromotionNeedsNoStore(t *testing.T) {
	survive(t, func(d *Deployment) {
		d.Store.Store().SetFaults(memstore.Faults{Down: true})
		d.Groups[0].Primary().Kill()
	})
}

func countOrders(ctx context.Context, t *testing.T, conn *pgx.Conn) int {
	t.Helper()
	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM kv").Scan(&count); err != nil {
		t.Logf("count: %v", err)
	}
	return count
}

func waitForOrders(ctx context.Context, t *testing.T, conn *pgx.Conn, want int) {
	t.Helper()
	for countOrders(ctx, t, conn) < want {
		select {
		case <-ctx.Done():
			t.Fatal("writes do not go on")
		case <-time.After(5 * time.Millisecond):
		}
	}
}
