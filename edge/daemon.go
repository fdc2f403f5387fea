package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/mirror"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/tenure"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/perform"
	"samphirehitch.example/samphirehitch/request/relay"
	"samphirehitch.example/samphirehitch/version/catalog"
)

var (
	eventStart    = event.Define(1310, event.Info, "entry daemon starts")
	eventStopping = event.Define(1311, event.Info, "entry daemon stops")
	eventEnd      = event.Define(1312, event.Info, "entry daemon has stopped")
	eventReload   = event.Define(1313, event.Info, "settings read again")
)

// keyMargin is kept of the time in which a withdrawn key may still be accepted,
// for the way of a request to its target.
const keyMargin = 800 * time.Millisecond

// tickInterval is the pause between looks at rights and queues.
const tickInterval = 50 * time.Millisecond

// Adapter translates the platform's documents and wires.
type Adapter struct {
	// ConfigurationKey and TargetPrefix say where others write.
	ConfigurationKey string
	TargetPrefix     string
	DecodeCatalog    func(store.Entry) (*catalog.Catalog, error)
	DecodeTarget     func(store.Entry) (directory.Target, error)
	DecodeStatus     func(statement.Answer) (failover.TargetStatus, error)
	// Accept returns the codec of a caller's connection.
	Accept AcceptFunc
	// DialPeer opens connections to other instances.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// Readiness answers the balancer.
	Readiness ReadinessFunc
}

// Options of a Daemon.
type Options struct {
	Settings entrysettings.Settings
	Store    store.Transactor
	Orders   failover.Promoter
	Dialer   target.Dialer
	Adapter  Adapter
	Log      logr.Logger
	// Dropped returns how many lines of the log were dropped; nil when unknown.
	Dropped func() uint64
	// CountCalls, when set, receives the function that counts calls to the store.
	CountCalls func(count func(call string, status int))
}

// Daemon is the entry daemon.
type Daemon struct {
	settings entrysettings.Settings
	adapter  Adapter
	store    *sparingStore
	orders   failover.Promoter
	prober   *prober
	log      logr.Logger
	dropped  func() uint64
	clock    clock.Clock
	tenure   *tenure.Tracker
	engine   *perform.Engine
	relay    *relay.Relay
	mesh     *peer.Mesh
	suspects *suspects
	metrics  *metrics
	callers  callers
	leader   leader
	// born tells processes of this instance apart.
	born int64

	ctx      context.Context
	cancel   context.CancelFunc
	stopping atomic.Bool
	// storeLost reports that the last call to the store failed.
	storeLost   atomic.Bool
	confirmWake chan struct{}
	leadWake    chan struct{}
	sharesWake  chan struct{}
	usesWake    chan struct{}
	// roleWake ends a watch that the instance's role has outgrown.
	roleWake chan struct{}
	// homeWake has an instance that only relays look for other homes.
	homeWake chan struct{}
	// serving is closed once the daemon can serve.
	serving chan struct{}
	// confirming is held while a refusal's confirmation runs; confirmAgainAt is
	// when the next one may start.
	confirming     sync.Mutex
	confirmAgainAt time.Duration

	// toldAt is when the demand here was last told, and told what; only the
	// register loop uses them.
	toldAt time.Duration
	told   share.Needs

	mu     sync.Mutex
	mirror *mirror.Mirror
	listed bool
	// seen is the revision up to which the mirror holds every change.
	seen          store.Revision
	lease         store.LeaseID
	targets       map[topology.ServiceID]targetMap
	records       map[topology.ServiceID]groupRecord
	brokenTargets map[string]store.Revision
	// homeCount is how many homes each service has.
	homeCount map[topology.ServiceID]int
	// uses are the services whose primaries this instance is to use, declared
	// those that its registration names.
	uses, declared []topology.ServiceID
	// usageRevision is that of this instance's usage in the store, as far as known.
	usageRevision store.Revision
	// sharers divide the customers' rates; needs is the demand at each.
	sharers []topology.InstanceID
	needs   map[topology.InstanceID]share.Needs
	// division is how the customers' rates are divided now.
	division  rateDivision
	borrowing share.Borrowing
	// logged is what logChange logged last by subject.
	logged map[string]string
}

// New returns a daemon that Run starts.
func New(o Options) *Daemon {
	d := &Daemon{
		settings: o.Settings, adapter: o.Adapter, store: newSparingStore(o.Store, clock.Boot()), orders: o.Orders,
		prober: newProber(o.Dialer, o.Adapter.DecodeStatus),
		log:    o.Log, dropped: o.Dropped, clock: clock.Boot(), metrics: newMetrics(),
		tenure:      tenure.New(o.Settings.WithdrawalLimit - keyMargin),
		born:        time.Now().UnixNano(),
		confirmWake: make(chan struct{}, 1), leadWake: make(chan struct{}, 1),
		sharesWake: make(chan struct{}, 1), usesWake: make(chan struct{}, 1), serving: make(chan struct{}), roleWake: make(chan struct{}, 1), homeWake: make(chan struct{}, 1), needs: make(map[topology.InstanceID]share.Needs),
		mirror: mirror.New(), records: make(map[topology.ServiceID]groupRecord),
		targets: make(map[topology.ServiceID]targetMap), brokenTargets: make(map[string]store.Revision),
		logged: make(map[string]string),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.suspects = newSuspects(d)
	d.engine = perform.NewEngine(perform.Dependencies{
		FailureDomain: o.Settings.FailureDomain, RateWindow: o.Settings.RateWindow, Clock: d.clock, Tenure: d.tenure, Borrow: d.borrow, Confirm: d.confirmNow, Dialer: o.Dialer,
		Reachability: d.suspects, Observer: d.metrics, Log: o.Log,
	})
	d.mesh = peer.New(peer.Config{Instance: o.Settings.Instance, FailureDomain: o.Settings.FailureDomain,
		Address: o.Settings.PeerAddress, Dial: o.Adapter.DialPeer}, o.Log)
	d.relay = relay.New(relay.Dependencies{Self: o.Settings.Instance, Born: d.born, Engine: d.engine, Link: d.mesh,
		Clock: d.clock, Log: o.Log, Stopping: d.stopping.Load, Fit: d.fit, OnConfirmed: d.noteConfirmation,
		Configuration: d.configuration, OnConfiguration: d.takeConfiguration, OnNeeds: d.noteNeeds, OnDeclined: func() { notify(d.homeWake) }})
	d.mesh.Handle(peer.KindRelay, d.relay.Receive)
	d.mesh.OnDown(func(id topology.InstanceID) {
		notify(d.homeWake)
		d.relay.Lost(id)
	})
	d.metrics.watch(d)
	if o.CountCalls != nil {
		o.CountCalls(d.metrics.storeCall)
	}
	return d
}

// errStopped ends the run group after a stop.
var errStopped = errors.New("stopped")

// Run serves until Stop has ended everything.
func (d *Daemon) Run() error {
	eventStart.Log(d.log, "instance", d.settings.Instance, "failure_domain", d.settings.FailureDomain,
		"callers", d.settings.CallerAddress, "store", d.settings.StoreAddress, "metrics", d.settings.MetricsAddress)
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	var group run.Group
	for _, loop := range []func(context.Context) error{
		d.follow, d.relist, d.confirm, d.register, d.lead, d.tick, d.mesh.Run, d.shareLoop, d.suspects.run, d.suspects.recheck,
	} {
		group.Add(func() error { return loop(d.ctx) }, func(error) { d.cancel() })
	}
	listeners.add(&group, d)
	err = group.Run()
	eventEnd.Log(d.log)
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

func (d *Daemon) tick(ctx context.Context) error {
	started := false
	for pause(ctx, tickInterval) {
		d.engine.Tick()
		d.relay.Tick()
		if !started && d.ready() && d.tenure.Keys(d.clock()) {
			started = true
			close(d.serving)
		}
	}
	return nil
}

// Reloaded notes a change of the settings file. Addresses and bounds are those of
// the start.
func (d *Daemon) Reloaded(s entrysettings.Settings) {
	eventReload.Log(d.log, "changed", s != d.settings)
}

// ready tells the balancer whether to send callers.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.engine.Catalog() != nil && d.tenure.Registered(d.clock())
}

// fit reports that this instance may run work itself.
func (d *Daemon) fit() bool {
	now := d.clock()
	return d.tenure.Registered(now) && d.tenure.Keys(now)
}

// incarnation names this process.
func (d *Daemon) incarnation() string {
	return string(d.settings.Instance) + " " + strconv.FormatInt(d.born, 10)
}

func (d *Daemon) wakeConfirm() { notify(d.confirmWake) }

func (d *Daemon) wakeLead() { notify(d.leadWake) }

func (d *Daemon) storeFailed(step string, err error) {
	d.metrics.storeFailures.WithLabelValues(step).Inc()
	if d.ctx.Err() == nil && !d.storeLost.Swap(true) {
		eventStoreLost.LogError(d.log, err, "step", step)
	}
}

func (d *Daemon) storeAnswered() {
	if d.storeLost.Swap(false) {
		eventStoreBack.Log(d.log)
	}
}

// logChange logs an event whose pairs differ from when it was last logged for the
// subject.
func (d *Daemon) logChange(e event.Event, subject string, pairs ...any) {
	text := fmt.Sprint(pairs...)
	d.mu.Lock()
	same := d.logged[subject] == text
	d.logged[subject] = text
	d.mu.Unlock()
	if !same {
		e.Log(d.log, pairs...)
	}
}

// notify wakes a loop without waiting for it.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// pause waits and reports whether the context goes on.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// ReloadFailed notes a settings file that cannot be used; the settings of the
// start stay.
func (d *Daemon) ReloadFailed(err error) { eventReload.LogError(d.log, err, "changed", false) }
