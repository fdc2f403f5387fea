package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/following"
	"samphirehitch.example/samphirehitch/process/mirror"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/statement"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
	"samphirehitch.example/samphirehitch/request/engine"
	"samphirehitch.example/samphirehitch/request/relay"
	"samphirehitch.example/samphirehitch/version/catalog"
)

var (
	eventStart            = event.Define(1310, event.Info, "entry daemon is starting")
	eventStopping         = event.Define(1311, event.Info, "entry daemon is shutting down")
	eventStopped          = event.Define(1312, event.Info, "entry daemon has stopped")
	eventSettingsReloaded = event.Define(1313, event.Info, "settings file reloaded; changes take effect at the next start")
)

// keyMargin is subtracted from the time within which a withdrawn key must stop being
// accepted. It covers the time from a request's authorization to its arrival at the
// target.
const keyMargin = 800 * time.Millisecond

// tickInterval is the interval between checks of authority and of the queues.
const tickInterval = 50 * time.Millisecond

// Adapter provides the platform's document formats and network protocols.
type Adapter struct {
	// ConfigurationKey is the key of the configuration in the store, and TargetPrefix
	// the prefix of the targets' entries. The platform writes both.
	ConfigurationKey string
	TargetPrefix     string
	DecodeCatalog    func(store.Entry) (*catalog.Catalog, error)
	DecodeTarget     func(store.Entry) (directory.Target, error)
	DecodeStatus     func(statement.Response) (failover.TargetStatus, error)
	// Accept returns the codec of a caller's connection.
	Accept AcceptFunc
	// DialPeer opens connections to other instances.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// Readiness returns the handler of the load balancer's readiness probe.
	Readiness ReadinessFunc
}

// Options are the settings and dependencies of a Daemon.
type Options struct {
	Settings entrysettings.Settings
	Store    store.Transactor
	Promoter failover.Promoter
	Dialer   target.Dialer
	Adapter  Adapter
	Log      logr.Logger
	// Clock, if not nil, replaces the system's clock, and Draw the source of random numbers
	// in [0, 1).
	Clock clock.Clock
	Draw  func() float64
	// Dropped returns how many log lines were dropped; it may be nil.
	Dropped func() uint64
	// CountCalls, if not nil, is called with the function that counts calls to the store
	// in the daemon's metrics.
	CountCalls func(count func(purpose store.Purpose, call string, status int))
	// ObserveEra, if not nil, is called with the function that observes the era of the
	// store's responses, which rises when the store is restored from an older copy.
	ObserveEra func(observe func(era store.Era))
	// ObserveDepartures, if not nil, is called with the function that observes what targets
	// send outside of their protocol.
	ObserveDepartures func(observe target.DepartureFunc)
}

// Daemon is the entry daemon of one instance.
type Daemon struct {
	settings   entrysettings.Settings
	adapter    Adapter
	store      *throttledStore
	promoter   failover.Promoter
	prober     *prober
	log        logr.Logger
	dropped    func() uint64
	clock      clock.Clock
	draw       func() float64
	authority  *authority.Tracker
	engine     *engine.Engine
	relay      *relay.Relay
	mesh       *peer.Mesh
	suspicions *suspicions
	metrics    *metrics
	calls      callCounts
	callers    callerConns
	leadership leadership
	// incarnation distinguishes this process from earlier ones of the instance.
	incarnation int64

	// ctx is canceled when the daemon stops.
	ctx    context.Context
	cancel context.CancelFunc
	// stopping is set and draining closed from the start of a shutdown, whose schedule
	// shutdown holds.
	stopping atomic.Bool
	draining chan struct{}
	shutdown atomic.Pointer[shutdownPlan]
	// renewalRequested has the registration renewed before it is due.
	renewalRequested atomic.Bool
	// storeUnavailable reports that the last call to the store failed.
	storeUnavailable atomic.Bool
	// Each of these wakes a loop; see notify.
	confirmWake  chan struct{}
	failoverWake chan struct{}
	sharesWake   chan struct{}
	usageWake    chan struct{}
	// roleWake interrupts a watch when the instance has begun to use primaries and has
	// to watch other keys.
	roleWake chan struct{}
	// ownerWake has a forwarding instance request changes of the owners immediately.
	ownerWake chan struct{}
	// followWake tells a forwarding instance that the followed peer has answered.
	followWake chan struct{}
	// serving is closed once the daemon can serve requests.
	serving chan struct{}
	// confirming is held during the confirmation that precedes a refusal, and guards
	// nextConfirmAt, the earliest time of the next one.
	confirming    sync.Mutex
	nextConfirmAt time.Duration

	// configuring is held while a configuration is applied.
	configuring sync.Mutex
	// writingKeys holds a value while this instance's keys are written; see lockOwnKeys.
	writingKeys chan struct{}

	// sentReport is the demand and excess of this instance's customers as last sent to the
	// other rate sharers, at demandSentAt. Only the register loop uses them.
	demandSentAt time.Duration
	sentReport   share.Report

	// mu guards the fields below.
	mu     sync.Mutex
	mirror *mirror.Mirror
	// mirrorLoaded reports that the store's content has been listed.
	mirrorLoaded bool
	// inForce is the configuration in force in its stored form, and stored describes the
	// one that the store last returned.
	inForce store.Entry
	stored  storedConfiguration
	// mirroredUntil is the revision up to which the mirror holds every change.
	mirroredUntil store.Revision
	// era is the era of the store.
	era     storeEra
	carried carriedRegistrations
	// lease is that of the registration.
	lease leaseGrant
	// unregistered says that the registration is being removed at the end of a shutdown.
	unregistered bool
	// survivedLease is the lease under which the store was last seen to hold a registration
	// of this instance that this process did not expect, with the era of that.
	survivedLease leaseGrant
	targets       map[topology.ServiceID]targetMap
	// usedTargets are the targets that requests use: those and, soon after the store has
	// returned, others whose entries are missing.
	usedTargets map[topology.ServiceID]targetMap
	// knownTargets are the latest entries of targets, deleted ones included.
	knownTargets map[topology.TargetID]knownTarget
	// storeReturnedAt is when the store last responded again after an outage or a restore,
	// and recomputeTargetsAt when the targets are to be computed again.
	storeReturnedAt    time.Duration
	recomputeTargetsAt []time.Duration
	records            map[topology.ServiceID]storedRecord
	// unreadable are the revisions of entries that could not be decoded, by key, so that
	// each is logged once.
	unreadable map[string]store.Revision
	// ownerCounts is the number of owners of each service.
	ownerCounts map[topology.ServiceID]int
	// usedServices are the services whose primaries this instance is to use, and
	// declaredServices those that it has declared in the store to use.
	usedServices, declaredServices []topology.ServiceID
	// ownRevisions holds the last known revisions of this instance's registration and
	// usage in the store.
	ownRevisions map[string]store.Revision
	// declaredRevision is that of the usage as this process last wrote it.
	declaredRevision store.Revision
	// leaseInDoubt says that the registration and the usage may be under another lease than
	// that of the registration: the response of their last write has not arrived.
	leaseInDoubt bool
	// follower chooses the peer that a forwarding instance learns the store's state from.
	// The peer's answers have returned all changes of registrations up to followedUntil.
	follower      *following.Follower
	followedUntil store.Revision
	// confirmedAt is when the confirmation loop last confirmed all keys.
	confirmedAt time.Duration
	// forwardsAlways reports that the instance cannot own services while the other
	// registered instances remain.
	forwardsAlways bool
	// rateSharers are the instances that share the customers' rates, and demands the
	// last known demand at each.
	rateSharers []topology.InstanceID
	demands     map[topology.InstanceID]share.Demands
	// excesses are the last known numbers of operations that each has admitted in excess
	// of its shares, also those of instances that no longer share the rates.
	excesses map[topology.InstanceID]reportedExcess
	// grants are the fractions of the rates that this instance has granted and been granted.
	grants share.Grants
	// awaitingReport are the peers that are to be sent a report at once: their demand has
	// changed, or they have taken back a grant.
	awaitingReport map[topology.InstanceID]bool
	// sharesAt is when the shares were last computed, and sharesRegistered whether the registration
	// was valid then.
	sharesAt         time.Duration
	sharesRegistered bool
	// division is the current division of the customers' rates.
	division  rateDivision
	borrowing share.BorrowBackoff
	// reportDue says that some of the rate sharers have not been sent this instance's
	// demand.
	reportDue atomic.Bool
	// lastLogged is what logIfChanged last logged for each subject.
	lastLogged map[string]string
}

// New returns a daemon, to be started by Run.
func New(o Options) *Daemon {
	if o.Clock == nil {
		o.Clock = clock.BootTime()
	}
	if o.Draw == nil {
		o.Draw = rand.Float64
	}
	d := &Daemon{
		settings: o.Settings, adapter: o.Adapter, store: newThrottledStore(o.Store, o.Clock), promoter: o.Promoter,
		prober: newProber(o.Dialer, o.Adapter.DecodeStatus),
		log:    o.Log, dropped: o.Dropped, clock: o.Clock, draw: o.Draw, metrics: newMetrics(),
		authority:   authority.New(o.Settings.MaxRevocationDelay - keyMargin),
		incarnation: time.Now().UnixNano(),
		confirmWake: make(chan struct{}, 1), failoverWake: make(chan struct{}, 1),
		writingKeys: make(chan struct{}, 1),
		sharesWake:  make(chan struct{}, 1), usageWake: make(chan struct{}, 1), serving: make(chan struct{}), draining: make(chan struct{}),
		roleWake: make(chan struct{}, 1), ownerWake: make(chan struct{}, 1), followWake: make(chan struct{}, 1), demands: make(map[topology.InstanceID]share.Demands), excesses: make(map[topology.InstanceID]reportedExcess),
		mirror: mirror.New(), records: make(map[topology.ServiceID]storedRecord),
		targets: make(map[topology.ServiceID]targetMap), knownTargets: make(map[topology.TargetID]knownTarget), unreadable: make(map[string]store.Revision),
		lastLogged: make(map[string]string), ownRevisions: make(map[string]store.Revision), awaitingReport: make(map[topology.InstanceID]bool),
	}
	d.store.probeInterval = func() time.Duration { return upkeep.For(d.role()).ProbeInterval }
	d.grants.Incarnation = d.incarnation
	d.follower = following.New(o.Settings.Instance, d.clock())
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.suspicions = newSuspicions(d)
	d.engine = engine.NewEngine(engine.Dependencies{
		FailureDomain: o.Settings.FailureDomain, MaxDrainDelay: o.Settings.MaxDrainDelay, RateWindow: o.Settings.RateWindow, Clock: d.clock, Authority: d.authority,
		BorrowToken: d.borrow, ConfirmConfiguration: d.confirmNow, Dialer: o.Dialer,
		Reachability: d.suspicions, Observer: d.metrics, Draw: d.draw, Log: o.Log,
	})
	d.mesh = peer.New(peer.Config{Instance: o.Settings.Instance, FailureDomain: o.Settings.FailureDomain,
		Address: o.Settings.PeerAddress, Dial: o.Adapter.DialPeer}, o.Log)
	d.relay = relay.New(relay.Dependencies{Self: o.Settings.Instance, Incarnation: d.incarnation, Engine: d.engine, Link: d.mesh,
		Clock: d.clock, Log: o.Log, Stopping: d.stopping.Load, AdmitsStatement: d.admitsStatement, Ready: d.canRunRequests, OnConfigurationConfirmed: d.observePeerConfirmation,
		Configuration: d.configurationInForce, OnConfiguration: d.applyPeerConfiguration, OnDemand: d.observeDemand,
		Registrations: d.registrationChanges, OnFollowed: d.observeFollowed,
		OnRoutingOutdated: func() { notify(d.ownerWake) }})
	d.mesh.Handle(peer.KindRelay, d.relay.Receive)
	d.mesh.OnLinkDown(func(id topology.InstanceID) {
		notify(d.ownerWake)
		d.relay.Disconnected(id)
	})
	d.metrics.registerGauges(d)
	if o.CountCalls != nil {
		o.CountCalls(d.countStoreCall)
	}
	if o.ObserveEra != nil {
		o.ObserveEra(d.observeEra)
	}
	if o.ObserveDepartures != nil {
		o.ObserveDepartures(d.observeDeparture)
	}
	return d
}

// errStopped is returned within the run group after a graceful shutdown.
var errStopped = errors.New("stopped")

// Run serves until a signal has stopped the daemon and it has shut down gracefully, or
// until one of its parts fails.
func (d *Daemon) Run() error {
	eventStart.Log(d.log, "instance", d.settings.Instance, "failure_domain", d.settings.FailureDomain,
		"callers", d.settings.CallerAddress, "store", d.settings.StoreAddress, "metrics", d.settings.MetricsAddress)
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	var group run.Group
	for _, loop := range []func(context.Context) error{
		d.watchLoop, d.relistTargets, d.confirmLoop, d.registerLoop, d.failoverLoop, d.tickLoop, d.mesh.Run, d.shareLoop, d.suspicions.publishLoop, d.suspicions.recheckLoop, d.summarizeCalls,
	} {
		group.Add(func() error { return loop(d.ctx) }, func(error) { d.cancel() })
	}
	listeners.add(&group, d)
	err = group.Run()
	eventStopped.Log(d.log)
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// tickLoop periodically checks what depends on the passing of time alone.
func (d *Daemon) tickLoop(ctx context.Context) error {
	started := false
	for sleep(ctx, tickInterval) {
		d.engine.Tick()
		d.relay.Tick()
		d.expireCarried()
		d.recomputeTargets()
		if !started && d.acceptsCallers() && d.authority.MayAcceptKeys(d.clock()) {
			started = true
			close(d.serving)
		}
	}
	return nil
}

// Reloaded logs whether reloaded settings differ from those in force. They take effect
// when the process is started again.
func (d *Daemon) Reloaded(s entrysettings.Settings) {
	eventSettingsReloaded.Log(d.log, "changed", s != d.settings)
}

// acceptsCallers reports whether the load balancer should send callers to this
// instance.
func (d *Daemon) acceptsCallers() bool {
	return !d.stopping.Load() && d.engine.Catalog() != nil && d.authority.RegistrationValid(d.clock())
}

// canRunRequests reports whether this instance has the authority to run requests itself.
func (d *Daemon) canRunRequests() bool {
	now := d.clock()
	return d.authority.RegistrationValid(now) && d.authority.MayAcceptKeys(now)
}

// leadershipValue returns the value that identifies this process as failover leader.
func (d *Daemon) leadershipValue() string {
	return string(d.settings.Instance) + " " + strconv.FormatInt(d.incarnation, 10)
}

func (d *Daemon) wakeConfirm() { notify(d.confirmWake) }

func (d *Daemon) wakeFailover() { notify(d.failoverWake) }

// storeFailed counts a failed call to the store, and logs the first one in a row.
func (d *Daemon) storeFailed(step string, err error) {
	d.metrics.storeFailures.WithLabelValues(step).Inc()
	if d.ctx.Err() == nil && !d.storeUnavailable.Swap(true) {
		eventStoreUnavailable.LogError(d.log, err, "step", step)
	}
}

// storeResponded logs that the store is available if the last call had failed.
func (d *Daemon) storeResponded() {
	if d.storeUnavailable.Swap(false) {
		d.mu.Lock()
		d.noteStoreReturn(d.clock())
		d.mu.Unlock()
		eventStoreAvailable.Log(d.log)
	}
}

// logIfChanged logs an event if its pairs differ from those that were last logged for
// the subject.
func (d *Daemon) logIfChanged(e event.Event, subject string, pairs ...any) {
	text := fmt.Sprint(pairs...)
	d.mu.Lock()
	same := d.lastLogged[subject] == text
	d.lastLogged[subject] = text
	d.mu.Unlock()
	if !same {
		e.Log(d.log, pairs...)
	}
}

// notify wakes the loop that receives from a channel with a buffer of one. It does not
// block; wake-ups that have not been received yet are merged.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// sleep waits for a duration. It returns false if the context is done first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// ReloadFailed logs that the reloaded settings file cannot be used.
func (d *Daemon) ReloadFailed(err error) {
	eventSettingsReloaded.LogError(d.log, err, "changed", false)
}
