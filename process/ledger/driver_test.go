package ledger

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/fairqueue"
	"samphirehitch.example/samphirehitch/process/membership"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/pool"
	"samphirehitch.example/samphirehitch/process/topology"
)

// delayedLink sends messages to the drivers of peers, CBOR-encoded and after
// linkDelay.
type delayedLink struct {
	from  topology.InstanceID
	peers map[topology.InstanceID]*Driver
}

const linkDelay = 1500 * time.Microsecond

func (l delayedLink) Send(to topology.InstanceID, _ peer.Kind, payload any) {
	encoded, err := cbor.Marshal(payload)
	if err != nil {
		panic(err)
	}
	time.AfterFunc(linkDelay, func() { l.peers[to].Receive(l.from, encoded) })
}

type idleConn struct{}

func (idleConn) Close() error { return nil }

// startDrivers runs three drivers that hold one slot each and returns them with
// a function that stops them.
func startDrivers(t *testing.T) (map[topology.InstanceID]*Driver, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	peers := make(map[topology.InstanceID]*Driver)
	view := membership.View{Holders: []topology.InstanceID{"i0", "i1", "i2"}}
	for _, id := range view.Holders {
		peers[id] = New(1, delayedLink{from: id, peers: peers}, clock.System(), logr.Discard())
		view.Live = append(view.Live, membership.Member{Instance: platform.Instance{ID: id}, Incarnation: 1})
	}
	for i, id := range view.Holders {
		view.SlotLeases = []membership.SlotLease{{Index: i, Epoch: 1, ExpiresAt: noExpiry}}
		peers[id].MembershipChanged(view)
		go func() { _ = peers[id].Run(ctx) }()
	}
	return peers, func() {
		cancel()
		synctest.Wait()
	}
}

// TestDriversShareARate checks that one instance can spend the whole burst, that
// no decision takes much longer than MaxAdmitWait, that requests above the rate
// are refused, and that Admit returns the error of its context.
func TestDriversShareARate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drivers, stop := startDrivers(t)
		defer stop()
		for _, d := range drivers {
			d.SetRateLimits([]RateLimit{{Customer: "c", Rate: 30, Burst: 30}})
		}
		<-time.After(5 * time.Second)
		for i := range 30 {
			if err := drivers["i1"].Admit(t.Context(), "c"); err != nil {
				t.Fatalf("request %d of the burst: %v", i, err)
			}
		}
		if err := drivers["i0"].Admit(t.Context(), "stranger"); err == nil {
			t.Fatal("a customer without a limit is admitted")
		}
		results := make(chan error, 100)
		for range cap(results) {
			go func() { results <- drivers["i0"].Admit(t.Context(), "c") }()
		}
		refused := 0
		start := time.Now()
		for range cap(results) {
			var refusal *Refusal
			if errors.As(<-results, &refusal) && refusal.RetryAfter > 0 {
				refused++
			}
		}
		if waited := time.Since(start); waited > 250*time.Millisecond {
			t.Fatalf("decisions took %v", waited)
		}
		if maxAdmitted := int(30*MaxAdmitWait.Seconds()) + 1; cap(results)-refused > maxAdmitted {
			t.Fatalf("%d of %d requests admitted", cap(results)-refused, cap(results))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if err := drivers["i0"].Admit(ctx, "c"); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v, want the error of the context", err)
		}
	})
}

// TestDriversShareConnections checks that one instance can borrow all
// connections of the others through a real pool, and that those then may open
// none.
func TestDriversShareConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drivers, stop := startDrivers(t)
		defer stop()
		d := drivers["i2"]
		cfg := pool.Config{Target: "t", MaxInFlight: 6, DialTimeout: time.Second, Queue: fairqueue.DefaultConfig(), OnChange: d.PoolChanged}
		p := pool.New(cfg, func(context.Context) (idleConn, error) { return idleConn{}, nil }, clock.System(), logr.Discard())
		for _, driver := range drivers {
			driver.SetConnectionLimits([]ConnectionLimit{{Target: "t", Total: 6}})
		}
		d.AttachPool("t", p)
		<-time.After(connectionTakeoverDelay + 5*time.Second)
		if limit := d.ConnectionLimit("t"); limit != 2 {
			t.Fatalf("limit without loans is %d of 6", limit)
		}
		for range 6 {
			if _, err := p.Acquire(t.Context(), "c"); err != nil {
				t.Fatal(err)
			}
		}
		if stats := p.Stats(); stats.Leased != 6 {
			t.Fatalf("%+v", stats)
		}
		for _, id := range []topology.InstanceID{"i0", "i1"} {
			if limit := drivers[id].ConnectionLimit("t"); limit != 0 {
				t.Fatalf("%s may open %d connections while another instance has all 6", id, limit)
			}
		}
		p.Close()
	})
}

// Guards against a crash of the race detector, which two goroutines of one bubble that receive
// from timers that are due cause: no loop may start with such a timer.
func TestLoopsOfManyDriversStartAtOnce(t *testing.T) {
	for range 150 {
		synctest.Test(t, func(t *testing.T) {
			drivers, stop := startDrivers(t)
			defer stop()
			for _, d := range drivers {
				d.SetRateLimits([]RateLimit{{Customer: "c", Rate: 30, Burst: 30}})
			}
			<-time.After(time.Second)
			for i := range 30 {
				if err := drivers["i1"].Admit(t.Context(), "c"); err != nil {
					t.Fatalf("request %d of the burst: %v", i, err)
				}
			}
		})
	}
}
