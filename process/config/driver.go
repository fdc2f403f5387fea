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

// mailboxEvents is how many events wait for the coordinator before messages from
// peers are dropped.
const mailboxEvents = 1024

// Events of the configuration.
var (
	eventPlacement  = event.Define(2001, event.Decision, "configuration watch placed")
	eventFreshness  = event.Define(2002, event.Info, "configuration freshness changed")
	eventInForce    = event.Define(2003, event.Info, "configuration received")
	eventReverted   = event.Define(2004, event.Failure, "store returned a revision from its past")
	eventStoreDown  = event.Define(2005, event.Warning, "configuration calls to the store fail")
	eventStoreUp    = event.Define(2006, event.Info, "configuration calls to the store succeed again")
	eventBadMessage = event.Define(2007, event.Warning, "configuration message from peer not decoded")
)

// Config describes this instance to its driver.
type Config struct {
	Self platform.Instance
	// Seed seeds the random choices. It differs between processes.
	Seed uint64
}

// Status describes a driver to operators.
type Status struct {
	Freshness Freshness
	// Age is the age of the evidence, negative when there is none.
	Age      time.Duration
	Revision store.Revision
	Watching bool
	// StoreCalls counts calls to the store since the start.
	StoreCalls uint64
	// Dropped counts messages from peers that found the mailbox full.
	Dropped uint64
}

// Driver runs a Spread: it makes the calls to the store, carries messages and
// hands out states. It is safe for concurrent use.
type Driver struct {
	spread *Spread
	store  store.Store
	sender peer.Sender
	clock  clock.Clock
	logger logr.Logger
	inputs chan input

	// members holds the lists set last; membersChanged signals new ones.
	members        atomic.Pointer[MembersChanged]
	membersChanged chan struct{}

	verdict    atomic.Pointer[Verdict]
	revision   atomic.Uint64
	watching   atomic.Bool
	storeCalls atomic.Uint64
	dropped    atomic.Uint64

	// The following belong to the goroutine of Run.
	calls       sync.WaitGroup
	generation  uint64
	cancelWatch context.CancelFunc
	storeDown   bool

	published publisher
}

// input is an event on its way to the coordinator. Outcomes of watches carry the
// watch's generation, so that one that was abandoned is not taken for its
// successor.
type input struct {
	event      Event
	generation uint64
}

// New returns a driver that does nothing until Run.
func New(cfg Config, service store.Store, sender peer.Sender, now clock.Clock, logger logr.Logger) *Driver {
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	d := &Driver{
		spread: NewSpread(cfg.Self, random),
		store:  service,
		sender: sender,
		clock:  now,
		logger: logger.WithName("config"),
		inputs: make(chan input, mailboxEvents),

		membersChanged: make(chan struct{}, 1),
	}
	d.verdict.Store(d.spread.Verdict())
	d.published.init()
	return d
}

// Subscribe calls notify with the current state, if any, and with later ones in
// the order of their revisions, from one goroutine. States in quick succession
// may be skipped in favour of the last.
func (d *Driver) Subscribe(notify func(State)) { d.published.subscribe(notify) }

// Fresh returns nil when keyed routes may be served at this moment, and a
// *StaleError otherwise.
func (d *Driver) Fresh() error {
	verdict, now := d.verdict.Load(), d.clock()
	if verdict.Judge(now) == FreshnessStale {
		return &StaleError{Age: verdict.Age(now)}
	}
	return nil
}

// Status describes the driver at this moment.
func (d *Driver) Status() Status {
	verdict, now := d.verdict.Load(), d.clock()
	return Status{
		Freshness:  verdict.Judge(now),
		Age:        verdict.Age(now),
		Revision:   store.Revision(d.revision.Load()),
		Watching:   d.watching.Load(),
		StoreCalls: d.storeCalls.Load(),
		Dropped:    d.dropped.Load(),
	}
}

// SetMembers replaces the lists of instances: those believed alive, and those of
// the platform's list as last read, reachable or not. The second decides what a
// majority is; a caller that cannot read it passes the one that it read last, and
// nil before it has read any: an instance that takes itself for the whole fleet
// would be a majority of its own.
func (d *Driver) SetMembers(live, known []platform.Instance) {
	d.members.Store(&MembersChanged{Live: live, Known: known})
	select {
	case d.membersChanged <- struct{}{}:
	default:
	}
}

// Receive takes a message from a peer. It drops the message when the coordinator
// is behind.
func (d *Driver) Receive(from topology.InstanceID, payload []byte) {
	var message Message
	if err := cbor.Unmarshal(payload, &message); err != nil {
		eventBadMessage.LogError(d.logger, err, "peer", from)
		return
	}
	select {
	case d.inputs <- input{event: Received{From: from, Message: message}}:
	default:
		d.dropped.Add(1)
	}
}

// Run drives the coordinator until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer d.calls.Wait()
	defer cancel()
	d.calls.Go(func() { d.published.run(ctx) })
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.handle(ctx, Tick{})
		case <-d.membersChanged:
			d.handle(ctx, *d.members.Load())
		case next := <-d.inputs:
			if next.generation == 0 || next.generation == d.generation {
				d.handle(ctx, next.event)
			}
		}
	}
}

func (d *Driver) handle(ctx context.Context, next Event) {
	d.noteOutcome(next)
	actions := d.spread.Handle(d.clock(), next)
	d.verdict.Store(d.spread.Verdict())
	for _, action := range actions {
		d.perform(ctx, action)
	}
}

func (d *Driver) perform(ctx context.Context, action Action) {
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
		eventInForce.Log(d.logger, "revision", action.State.Revision, "records", len(action.State.Entries))
		d.published.publish(action.State)
	case PlacementChanged:
		d.watching.Store(action.Watching)
		eventPlacement.Log(d.logger, "watching", action.Watching, "rank", action.Rank,
			"watchers", action.Watchers, "live", action.Live, "known", action.Known)
	case FreshnessChanged:
		eventFreshness.Log(d.logger, "freshness", action.Freshness.String(),
			"age_ms", action.Age.Milliseconds(), "revision", action.Revision)
	case StoreReverted:
		eventReverted.Log(d.logger, "known", action.Known, "returned", action.Returned)
	}
}
