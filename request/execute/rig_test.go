package execute

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"samphirehitch.example/samphirehitch/connection/caller"
	"samphirehitch.example/samphirehitch/connection/floor"
	"samphirehitch.example/samphirehitch/connection/session"
	"samphirehitch.example/samphirehitch/connection/upstream"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/fairqueue"
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/pool"
	"samphirehitch.example/samphirehitch/process/store/memstore"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/refusal"
	standin "samphirehitch.example/samphirehitch/standin/group"
)

const (
	testService  = topology.ServiceID("ledger")
	testKey      = topology.KeyID("clerk")
	testSecret   = "jute-and-roast"
	testPassword = "daemon-password"
	testUser     = "daemon"
)

// rig is the path from a caller to a group of stand-ins.
type rig struct {
	t         testing.TB
	group     *standin.Group
	limit     int
	watcher   group.Watcher
	directory *directory
	server    *caller.Server
	address   string
	pools     map[topology.TargetID]*pool.Pool[*upstream.Conn]
	stale     atomic.Bool
	overRate  atomic.Bool
	// logged holds what was logged.
	logged struct {
		sync.Mutex
		lines []string
	}
	// tried counts calls of Acquire.
	tried atomic.Int64
	// acquired counts leases by target.
	acquired sync.Map
}

func (r *rig) log(line string) {
	r.logged.Lock()
	defer r.logged.Unlock()
	r.logged.lines = append(r.logged.lines, line)
}

// hasLogged reports whether a line holds the text.
func (r *rig) hasLogged(text string) bool {
	r.logged.Lock()
	defer r.logged.Unlock()
	return strings.Contains(strings.Join(r.logged.lines, "\n"), text)
}

// Acquire implements Pools.
func (r *rig) Acquire(ctx context.Context, _ topology.ServiceID, target topology.TargetID, customer topology.CustomerID) (Lease, error) {
	r.tried.Add(1)
	lease, err := r.pools[target].Acquire(ctx, customer)
	if err != nil {
		return nil, err
	}
	counter, _ := r.acquired.LoadOrStore(target, new(atomic.Int64))
	counter.(*atomic.Int64).Add(1)
	return lease, nil
}

func (r *rig) leases(target topology.TargetID) int64 {
	counter, ok := r.acquired.Load(target)
	if !ok {
		return 0
	}
	return counter.(*atomic.Int64).Load()
}

// Watcher implements Groups.
func (r *rig) Watcher(topology.ServiceID) (group.Watcher, bool) { return r.watcher, true }

var errStale = errors.New("stale")

// Fresh implements Gate.
func (r *rig) Fresh() error {
	if r.stale.Load() {
		return errStale
	}
	return nil
}

var errOverRate = errors.New("over rate")

// Admit implements Admitter.
func (r *rig) Admit(context.Context, topology.CustomerID) error {
	if r.overRate.Load() {
		return errOverRate
	}
	return nil
}

type noPeers struct{}

func (noPeers) Send(topology.InstanceID, peer.Kind, any) {}

// newRig starts a group of three members, its driver, pools and a server.
func newRig(t testing.TB, configure ...func(*Config, *caller.Config)) *rig {
	members, err := standin.Start(standin.Config{
		Members: standin.Targets("t", 3, "d1", "d2"), FirstPrimary: "t-1", User: testUser, Password: testPassword,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(members.Close)
	r := &rig{t: t, group: members, limit: poolLimit}
	now := clock.System()
	r.startDriver(now)
	r.start(now, members.Targets(), configure...)
	return r
}

// poolLimit is the number of connections to each target.
const poolLimit = 8

// start opens the pools and serves callers.
func (r *rig) start(now clock.Clock, targets []platform.Target, configure ...func(*Config, *caller.Config)) {
	r.directory = newDirectory(r.t)
	r.pools = make(map[topology.TargetID]*pool.Pool[*upstream.Conn])
	for _, target := range targets {
		r.addPool(target, now)
	}
	logger := funcr.New(func(_, line string) { r.log(line) }, funcr.Options{Verbosity: 1})
	if _, benchmark := r.t.(*testing.B); benchmark {
		logger = logr.Discard()
	}
	var executeConfig Config
	var callerConfig caller.Config
	executeConfig.Own = "d1"
	for _, change := range configure {
		change(&executeConfig, &callerConfig)
	}
	executor := New(executeConfig, Deps{
		Directory: func() session.Directory { return r.directory },
		Gate:      r, Admitter: r, Groups: r, Pools: r, Clock: now, Logger: logger,
	})
	r.serve(callerConfig, executor, logger)
}

func (r *rig) startDriver(now clock.Clock) {
	driver := group.NewDriver(group.DefaultConfig(testService, "i1", "d1"), group.Dependencies{
		Groups: controls{r.group}, Store: memstore.New(memstore.Config{}), Sender: noPeers{}, Clock: now,
		Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
	})
	var targets []group.TargetConfig
	for _, target := range r.group.Targets() {
		targets = append(targets, group.TargetConfig{Target: target})
	}
	driver.SetTargets(targets)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- driver.Run(ctx) }()
	r.t.Cleanup(func() { stop(); <-ended })
	if _, err := driver.Refresh(r.t.Context()); err != nil {
		r.t.Fatal(err)
	}
	r.watcher = driver
}

// controls calls the members' databases without a network.
type controls struct{ group *standin.Group }

func (c controls) Status(ctx context.Context, target platform.Target) (topology.Status, error) {
	return c.group.Member(target.ID).Database().Status(ctx)
}

func (c controls) Fence(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	return c.group.Member(target.ID).Database().Fence(ctx, term)
}

func (c controls) Promote(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	return c.group.Member(target.ID).Database().Promote(ctx, term)
}

func (c controls) TransactionStatus(ctx context.Context, target platform.Target, id uint64) (platform.TransactionReport, error) {
	return c.group.Member(target.ID).Database().TransactionStatus(ctx, id)
}

func (r *rig) addPool(target platform.Target, now clock.Clock) {
	dial := func(ctx context.Context) (*upstream.Conn, error) {
		return upstream.Dial(ctx, upstream.Config{
			Target: target.ID, Address: target.Address, Database: "kv", User: testUser, Password: testPassword,
		})
	}
	p := pool.New(pool.Config{
		Target: target.ID, Limit: r.limit, MaxInFlight: r.limit, DialTimeout: time.Second,
		Queue: fairqueue.DefaultConfig(),
	}, dial, now, logr.Discard())
	r.pools[target.ID] = p
	r.t.Cleanup(p.Close)
}

func (r *rig) serve(config caller.Config, handler caller.Handler, logger logr.Logger) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.address = listener.Addr().String()
	r.server = caller.New(config, caller.Deps{
		Directory: func() session.Directory { return r.directory },
		Fresh:     r.Fresh,
		Handler:   handler,
		NewFloor:  func() session.Floor { return floor.New() },
		Logger:    logger,
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.server.Serve(ctx, listener) }()
	r.t.Cleanup(func() {
		stop()
		<-ended
		expired, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		_ = r.server.Drain(expired)
	})
}

// connect logs in as the key; extra is appended to the connection string.
func (r *rig) connect(key topology.KeyID, extra string) *pgx.Conn {
	conn, err := pgx.Connect(r.t.Context(), r.dsn(key, testSecret, "ledger", extra))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (r *rig) dsn(key topology.KeyID, secret, database, extra string) string {
	host, port, _ := net.SplitHostPort(r.address)
	return fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=%s sslmode=disable %s", host, port, key, secret, database, extra)
}

func (r *rig) exec(conn *pgx.Conn, sql string, arguments ...any) pgconn.CommandTag {
	r.t.Helper()
	tag, err := conn.Exec(r.t.Context(), sql, arguments...)
	if err != nil {
		r.t.Fatalf("%s: %v", sql, err)
	}
	return tag
}

func (r *rig) text(conn *pgx.Conn, sql string, arguments ...any) string {
	r.t.Helper()
	var value string
	if err := conn.QueryRow(r.t.Context(), sql, arguments...).Scan(&value); err != nil {
		r.t.Fatalf("%s: %v", sql, err)
	}
	return value
}

// wantRefusal fails unless the error is a refusal of the kind.
func wantRefusal(t testing.TB, err error, kind refusal.Kind) {
	t.Helper()
	var answer *pgconn.PgError
	if !errors.As(err, &answer) || answer.Code != string(kind.Code) {
		t.Fatalf("got %v, want SQLSTATE %s", err, kind.Code)
	}
}
