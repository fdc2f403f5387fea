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

// harness runs an Executor behind a caller.Server, with pools to a group of
// targets. It also implements the dependencies of the Executor.
type harness struct {
	t testing.TB
	// group is the group of stand-ins; nil with fake targets.
	group *standin.Group
	// connsPerTarget is the size of each pool.
	connsPerTarget int
	watcher        group.Watcher
	directory      *directory
	server         *caller.Server
	address        string
	pools          map[topology.TargetID]*pool.Pool[*upstream.Conn]
	// configurationStale makes Fresh fail.
	configurationStale atomic.Bool
	// overRate makes Admit fail.
	overRate atomic.Bool
	logs     struct {
		sync.Mutex
		lines []string
	}
	// acquireAttempts counts the calls of Acquire.
	acquireAttempts atomic.Int64
	// acquired counts the acquired leases by target.
	acquired sync.Map // topology.TargetID to *atomic.Int64
}

func (h *harness) appendLog(line string) {
	h.logs.Lock()
	defer h.logs.Unlock()
	h.logs.lines = append(h.logs.lines, line)
}

// hasLogged reports whether the text was logged.
func (h *harness) hasLogged(text string) bool {
	h.logs.Lock()
	defer h.logs.Unlock()
	return strings.Contains(strings.Join(h.logs.lines, "\n"), text)
}

// Acquire implements Pools.
func (h *harness) Acquire(ctx context.Context, _ topology.ServiceID, target topology.TargetID, customer topology.CustomerID) (Lease, error) {
	h.acquireAttempts.Add(1)
	lease, err := h.pools[target].Acquire(ctx, customer)
	if err != nil {
		return nil, err
	}
	counter, _ := h.acquired.LoadOrStore(target, new(atomic.Int64))
	counter.(*atomic.Int64).Add(1)
	return lease, nil
}

// leaseCount returns how many leases of connections to the target were
// acquired.
func (h *harness) leaseCount(target topology.TargetID) int64 {
	counter, ok := h.acquired.Load(target)
	if !ok {
		return 0
	}
	return counter.(*atomic.Int64).Load()
}

// Watcher implements Groups.
func (h *harness) Watcher(topology.ServiceID) (group.Watcher, bool) { return h.watcher, true }

var errStale = errors.New("stale")

// Fresh implements ConfigurationGate.
func (h *harness) CheckFresh() error {
	if h.configurationStale.Load() {
		return errStale
	}
	return nil
}

var errOverRate = errors.New("over rate")

// Admit implements Admitter.
func (h *harness) Admit(context.Context, topology.CustomerID) error {
	if h.overRate.Load() {
		return errOverRate
	}
	return nil
}

// discardingSender is the sender of an instance without peers.
type discardingSender struct{}

func (discardingSender) Send(topology.InstanceID, peer.Kind, any) {}

// newHarness starts a group of three stand-ins, with t-1 as primary, and the
// harness for it.
func newHarness(t testing.TB, configure ...func(*Config, *caller.Config)) *harness {
	members, err := standin.Start(standin.Config{
		Members: standin.NewTargets("t", 3, "d1", "d2"), FirstPrimary: "t-1", User: testUser, Password: testPassword,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(members.Close)
	h := &harness{t: t, group: members, connsPerTarget: connsPerTarget}
	now := clock.System()
	h.startDriver(now)
	h.start(now, members.Targets(), configure...)
	return h
}

// connsPerTarget is the size of the pools to stand-ins.
const connsPerTarget = 8

// start opens the pools and starts the server.
func (h *harness) start(now clock.Clock, targets []platform.Target, configure ...func(*Config, *caller.Config)) {
	h.directory = newDirectory(h.t)
	h.pools = make(map[topology.TargetID]*pool.Pool[*upstream.Conn])
	for _, target := range targets {
		h.addPool(target, now)
	}
	logger := funcr.New(func(_, line string) { h.appendLog(line) }, funcr.Options{Verbosity: 1})
	if _, benchmark := h.t.(*testing.B); benchmark {
		logger = logr.Discard()
	}
	var executeConfig Config
	var callerConfig caller.Config
	executeConfig.OwnDomain = "d1"
	for _, apply := range configure {
		apply(&executeConfig, &callerConfig)
	}
	executor := New(executeConfig, Deps{
		Directory: func() session.Directory { return h.directory },
		Gate:      h, Admitter: h, Groups: h, Pools: h, Clock: now, Logger: logger,
	})
	h.serve(callerConfig, executor, logger)
}

// startDriver starts the group driver, whose views the requests use, and waits
// for its first status round.
func (h *harness) startDriver(now clock.Clock) {
	driver := group.NewDriver(group.DefaultConfig(testService, "i1", "d1"), group.Dependencies{
		Groups: memberControl{h.group}, Store: memstore.New(memstore.Config{}), Sender: discardingSender{}, Clock: now,
		Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 2)),
	})
	var targets []group.TargetConfig
	for _, target := range h.group.Targets() {
		targets = append(targets, group.TargetConfig{Target: target})
	}
	driver.SetTargets(targets)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- driver.Run(ctx) }()
	h.t.Cleanup(func() { cancel(); <-done })
	if _, err := driver.Refresh(h.t.Context()); err != nil {
		h.t.Fatal(err)
	}
	h.watcher = driver
}

// memberControl gives the group driver access to the stand-ins' databases
// without a network.
type memberControl struct{ group *standin.Group }

func (c memberControl) Status(ctx context.Context, target platform.Target) (topology.Status, error) {
	return c.group.Member(target.ID).Database().Status(ctx)
}

func (c memberControl) Fence(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	return c.group.Member(target.ID).Database().Fence(ctx, term)
}

func (c memberControl) Promote(ctx context.Context, target platform.Target, term topology.Term) (topology.Status, error) {
	return c.group.Member(target.ID).Database().Promote(ctx, term)
}

func (c memberControl) TransactionStatus(ctx context.Context, target platform.Target, id uint64) (platform.TransactionReport, error) {
	return c.group.Member(target.ID).Database().TransactionStatus(ctx, id)
}

func (h *harness) addPool(target platform.Target, now clock.Clock) {
	dial := func(ctx context.Context) (*upstream.Conn, error) {
		return upstream.Dial(ctx, upstream.Config{
			Target: target.ID, Address: target.Address, Database: "kv", User: testUser, Password: testPassword,
		})
	}
	p := pool.New(pool.Config{
		Target: target.ID, Limit: h.connsPerTarget, MaxInFlight: h.connsPerTarget, DialTimeout: time.Second,
		Queue: fairqueue.DefaultConfig(),
	}, dial, now, logr.Discard())
	h.pools[target.ID] = p
	h.t.Cleanup(p.Close)
}

func (h *harness) serve(config caller.Config, handler caller.Handler, logger logr.Logger) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.address = listener.Addr().String()
	h.server = caller.New(config, caller.Deps{
		Directory:  func() session.Directory { return h.directory },
		CheckFresh: h.CheckFresh,
		Handler:    handler,
		NewFloor:   func() session.Floor { return floor.New() },
		Logger:     logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.server.Serve(ctx, listener) }()
	h.t.Cleanup(func() {
		cancel()
		<-done
		drainCtx, cancelDrain := context.WithTimeout(context.Background(), time.Second)
		defer cancelDrain()
		_ = h.server.Drain(drainCtx)
	})
}

// connect logs in with the key. extra is appended to the connection string.
func (h *harness) connect(key topology.KeyID, extra string) *pgx.Conn {
	conn, err := pgx.Connect(h.t.Context(), h.connString(key, testSecret, "ledger", extra))
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (h *harness) connString(key topology.KeyID, secret, database, extra string) string {
	host, port, _ := net.SplitHostPort(h.address)
	return fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=%s sslmode=disable %s", host, port, key, secret, database, extra)
}

func (h *harness) exec(conn *pgx.Conn, sql string, arguments ...any) pgconn.CommandTag {
	h.t.Helper()
	tag, err := conn.Exec(h.t.Context(), sql, arguments...)
	if err != nil {
		h.t.Fatalf("%s: %v", sql, err)
	}
	return tag
}

// queryValue returns the only value of a query's only row.
func (h *harness) queryValue(conn *pgx.Conn, sql string, arguments ...any) string {
	h.t.Helper()
	var value string
	if err := conn.QueryRow(h.t.Context(), sql, arguments...).Scan(&value); err != nil {
		h.t.Fatalf("%s: %v", sql, err)
	}
	return value
}

// requireRefusal fails the test unless the error has the SQLSTATE of the kind.
func requireRefusal(t testing.TB, err error, kind refusal.Kind) {
	t.Helper()
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Code != string(kind.Code) {
		t.Fatalf("got %v, want SQLSTATE %s", err, kind.Code)
	}
}
