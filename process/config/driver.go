package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// mailboxCapacity is the maximum number of queued events. Messages from peers
// that would exceed it are dropped.
const mailboxCapacity = 1024

// Events of the configuration.
var (
	eventPlacement        = event.Define(2001, event.Decision, "configuration watcher placement changed")
	eventFreshness        = event.Define(2002, event.Info, "configuration freshness changed")
	eventReceived         = event.Define(2003, event.Info, "configuration received")
	eventReverted         = event.Define(2004, event.Failure, "store was restored or returned a revision that is not above one seen before")
	eventStoreUnavailable = event.Define(2005, event.Warning, "configuration calls to the store are failing")
	eventStoreAvailable   = event.Define(2006, event.Info, "configuration calls to the store are succeeding again")
	eventBadMessage       = event.Define(2007, event.Warning, "cannot decode configuration message from peer")
)

// Config configures a Driver.
type Config struct {
	Self platform.Instance
	// Seed seeds the random choices. It must differ between processes.
	Seed uint64
}

// Status describes a driver to operators.
type Status struct {
	Freshness Freshness
	// Age is the age of the latest evidence, negative when there is none.
	Age      time.Duration
	Revision store.Revision
	Watching bool
	// StoreCalls counts the calls to the store since startup.
	StoreCalls uint64
	// Dropped counts the messages from peers that were dropped because the
	// mailbox was full.
	Dropped uint64
}

// Driver runs a Coordinator: it makes the calls to the store, sends and
// receives the messages between instances and delivers states to subscribers.
// It is safe for concurrent use.
type Driver struct {
	coordinator *Coordinator
	store       store.Store
	sender      peer.Sender
	clock       clock.Clock
	logger      logr.Logger
	mailbox     chan input

	// members holds the latest lists of instances; membersChanged signals new
	// ones.
	members        atomic.Pointer[MembersChanged]
	membersChanged chan struct{}

	// The following are read by CheckFresh and Status on any goroutine.
	freshness  atomic.Pointer[FreshnessState]
	revision   atomic.Uint64
	watching   atomic.Bool
	storeCalls atomic.Uint64
	dropped    atomic.Uint64

	// The following are used by Run's goroutine only.
	calls            sync.WaitGroup
	watchGeneration  uint64
	cancelWatch      context.CancelFunc
	storeUnavailable bool

	publisher publisher
}

// input is an event queued for the coordinator. The outcome of a watch call
// carries the call's generation, so that the outcome of a canceled watch is
// not mistaken for that of its successor; other events have generation zero.
type input struct {
	event           Event
	watchGeneration uint64
}

// New returns a driver that is idle until Run.
func New(cfg Config, st store.Store, sender peer.Sender, now clock.Clock, logger logr.Logger) *Driver {
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	d := &Driver{
		coordinator: NewCoordinator(cfg.Self, random),
		store:       st,
		sender:      sender,
		clock:       now,
		logger:      logger.WithName("config"),
		mailbox:     make(chan input, mailboxCapacity),

		membersChanged: make(chan struct{}, 1),
	}
	d.freshness.Store(d.coordinator.FreshnessState())
	d.publisher.init()
	return d
}

// Subscribe calls notify with the current state, if there is one, and then from
// one goroutine with later states in the order of their revisions. Of states in
// quick succession all but the last may be skipped.
func (d *Driver) Subscribe(notify func(State)) { d.publisher.subscribe(notify) }

// CheckFresh returns nil when keyed routes may be served now, and a *StaleError
// otherwise.
func (d *Driver) CheckFresh() error {
	state, now := d.freshness.Load(), d.clock()
	if state.At(now) == FreshnessStale {
		return &StaleError{Age: state.EvidenceAge(now)}
	}
	return nil
}

// Status returns the driver's current state.
func (d *Driver) Status() Status {
	state, now := d.freshness.Load(), d.clock()
	return Status{
		Freshness:  state.At(now),
		Age:        state.EvidenceAge(now),
		Revision:   store.Revision(d.revision.Load()),
		Watching:   d.watching.Load(),
		StoreCalls: d.storeCalls.Load(),
		Dropped:    d.dropped.Load(),
	}
}

// SetMembers replaces the lists of instances: live holds those believed alive,
// known those of the platform's list as last read, reachable or not. Majorities
// are computed over known. If the list cannot be read, pass the last one read,
// and nil before the first read: an instance that counted itself as the whole
// fleet would be a majority of its own.
func (d *Driver) SetMembers(live, known []platform.Instance) {
	d.members.Store(&MembersChanged{Live: live, Known: known})
	select {
	case d.membersChanged <- struct{}{}:
	default:
	}
}

// Receive queues a message from a peer. It drops the message when the mailbox
// is full. It is a peer.Receiver.
func (d *Driver) Receive(from topology.InstanceID, payload []byte) {
	var message Message
	if err := cbor.Unmarshal(payload, &message); err != nil {
		eventBadMessage.LogError(d.logger, err, "peer", from)
		return
	}
	select {
	case d.mailbox <- input{event: MessageReceived{From: from, Message: message}}:
	default:
		d.dropped.Add(1)
	}
}

// Run runs the coordinator until the context is done.
func (d *Driver) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.calls.Wait()
	defer cancel()
	d.calls.Go(func() { d.publisher.run(ctx) })
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.handleEvent(ctx, Tick{})
		case <-d.membersChanged:
			d.handleEvent(ctx, *d.members.Load())
		case next := <-d.mailbox:
			if next.watchGeneration == 0 || next.watchGeneration == d.watchGeneration {
				d.handleEvent(ctx, next.event)
			}
		}
	}
}

func (d *Driver) handleEvent(ctx context.Context, next Event) {
	d.logOutcome(next)
	actions := d.coordinator.Handle(d.clock(), next)
	d.freshness.Store(d.coordinator.FreshnessState())
	for _, action := range actions {
		d.execute(ctx, action)
	}
}

func (d *Driver) execute(ctx context.Context, action Action) {
	switch action := action.(type) {
	case Send:
		d.sender.Send(action.To, peer.KindConfig, action.Message)
	case StartList:
		d.list(ctx)
	case StartWatch:
		d.watch(ctx, action.After)
	case StopWatch:
		d.stopWatch()
	case StartSwap:
		d.swap(ctx, action.Swap)
	case Publish:
		d.revision.Store(uint64(action.State.Revision))
		eventReceived.Log(d.logger, "revision", action.State.Revision, "records", len(action.State.Entries))
		d.publisher.publish(action.State)
	case PlacementChanged:
		d.watching.Store(action.Watching)
		eventPlacement.Log(d.logger, "watching", action.Watching, "rank", action.Rank,
			"watchers", action.Watchers, "live", action.Live, "known", action.Known)
	case FreshnessChanged:
		eventFreshness.Log(d.logger, "freshness", action.Freshness.String(),
			"age_ms", action.Age.Milliseconds(), "revision", action.Revision)
	case StoreReverted:
		eventReverted.Log(d.logger, "known", action.Known.String(), "returned", action.Returned.String(), "held", action.Held)
	}
}
