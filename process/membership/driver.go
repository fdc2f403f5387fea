package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Prefix is the store prefix of the slots' records.
const Prefix = "fleet/slots/"

const (
	// tickInterval is the interval between ticks of the coordinator.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds each call to the store or the platform.
	callTimeout = 5 * time.Second
)

// Events of membership.
var (
	eventSlotSwap      = event.Define(1000, event.Decision, "attempting swap of slot record")
	eventLeaseAcquired = event.Define(1001, event.Decision, "slot lease acquired")
	eventLeaseEnded    = event.Define(1002, event.Warning, "slot lease ended")
	eventSwapError     = event.Define(1003, event.Warning, "swap of slot record failed")
	eventReadError     = event.Define(1004, event.Warning, "cannot read slots or instances")
	eventLive          = event.Define(1005, event.Info, "number of live instances changed")
	eventBadHeartbeat  = event.Define(1006, event.Warning, "cannot decode heartbeat")
	eventDrained       = event.Define(1007, event.Info, "all slots released")
)

// Driver runs a Coordinator against the store, the platform's list and the
// peers, and publishes its views. It is safe for concurrent use.
type Driver struct {
	cfg       Config
	store     store.Store
	instances platform.Instances
	peers     peer.Sender
	clock     clock.Clock
	logger    logr.Logger
	view      atomic.Pointer[View]
	// wake makes Run tick before the next interval; it has capacity one.
	wake  chan struct{}
	calls sync.WaitGroup

	// mu guards the coordinator. It is acquired after publishing.
	mu struct {
		sync.Mutex
		coordinator *Coordinator
	}
	// publishing is held from an event to the delivery of the resulting view,
	// so that subscribers get the views in order.
	publishing struct {
		sync.Mutex
		subscribers []func(View)
		last        View
	}
}

// New returns a driver that knows only its own instance until Run.
func New(cfg Config, st store.Store, instances platform.Instances, peers peer.Sender, now clock.Clock, random *rand.Rand, logger logr.Logger) *Driver {
	d := &Driver{
		cfg: cfg, store: st, instances: instances, peers: peers, clock: now,
		logger: logger.WithValues("instance", cfg.Self.ID),
		wake:   make(chan struct{}, 1),
	}
	d.mu.coordinator = NewCoordinator(cfg, random)
	first := d.mu.coordinator.View(now())
	d.view.Store(&first)
	d.publishing.last = first
	return d
}

// Live returns the instances believed alive, this one included.
func (d *Driver) Live() []platform.Instance {
	members := d.view.Load().Live
	live := make([]platform.Instance, len(members))
	for i, m := range members {
		live[i] = m.Instance
	}
	return live
}

// View returns the latest view.
func (d *Driver) View() View { return *d.view.Load() }

// Slot returns a slot on which this instance has an unexpired lease now.
func (d *Driver) Slot() (index int, epoch uint64, ok bool) {
	now := d.clock()
	for _, lease := range d.view.Load().SlotLeases {
		if now < lease.ExpiresAt {
			return lease.Index, lease.Epoch, true
		}
	}
	return 0, 0, false
}

// Subscribe calls f with the current view and then with every later one, in
// order. f must return quickly and must not call methods that update the
// driver, such as Subscribe.
func (d *Driver) Subscribe(f func(View)) {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.publishing.subscribers = append(d.publishing.subscribers, f)
	f(*d.view.Load())
}

// PeerConnected records that a link to an instance came up.
func (d *Driver) PeerConnected(instance platform.Instance) {
	d.update(func(now time.Duration, c *Coordinator) { c.PeerConnected(now, instance) })
}

// Receive processes a heartbeat. It is a peer.Receiver.
func (d *Driver) Receive(from topology.InstanceID, payload []byte) {
	var h Heartbeat
	if err := cbor.Unmarshal(payload, &h); err != nil {
		eventBadHeartbeat.LogError(d.logger, eris.Wrapf(err, "decode heartbeat of %s", from), "peer", from)
		return
	}
	var reread bool
	d.update(func(now time.Duration, c *Coordinator) {
		c.HeartbeatReceived(now, from, h)
		reread = c.rereadSlots
	})
	if reread {
		d.wakeRun()
	}
}

// wakeRun makes Run tick now. It never blocks.
func (d *Driver) wakeRun() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run runs the coordinator until the context is done.
func (d *Driver) Run(ctx context.Context) error {
	defer d.calls.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		d.tick(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.wake:
		}
	}
}

// Drain releases the slots and waits until the store has recorded that, or the
// context is done. Run must continue meanwhile. The caller must have stopped
// using the slots.
func (d *Driver) Drain(ctx context.Context) error {
	d.update(func(_ time.Duration, c *Coordinator) { c.Drain() })
	d.wakeRun()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		d.mu.Lock()
		drained := d.mu.coordinator.Drained()
		d.mu.Unlock()
		if drained {
			eventDrained.Log(d.logger)
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "release slots")
		case <-ticker.C:
		}
	}
}

// tick carries out the actions that are due. update publishes the view before
// any swap is sent, so that a slot is no longer used by the time its record is
// released.
func (d *Driver) tick(ctx context.Context) {
	var a Actions
	d.update(func(now time.Duration, c *Coordinator) { a = c.Tick(now) })
	for _, to := range a.HeartbeatRecipients {
		d.peers.Send(to, peer.KindHeartbeat, a.Heartbeat)
	}
	if a.ReadSlots {
		d.call(ctx, d.readSlots)
	}
	if a.ReadList {
		d.call(ctx, d.listInstances)
	}
	if a.Swap != nil {
		swap := a.Swap
		eventSlotSwap.Log(d.logger, "slot", swap.Slot, "holder", swap.Record.Instance, "epoch", swap.Record.Epoch, "renewal", swap.Record.Renewal)
		d.call(ctx, func(ctx context.Context) { d.swap(ctx, swap) })
	}
}

// call runs f on a goroutine of its own and wakes Run afterwards.
func (d *Driver) call(ctx context.Context, f func(context.Context)) {
	d.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		f(ctx)
		d.wakeRun()
	})
}

// readSlots reads the slots' records and passes them to the coordinator.
func (d *Driver) readSlots(ctx context.Context) {
	listing, err := d.store.List(ctx, Prefix)
	if err != nil {
		err = eris.Wrap(err, "list slots")
		eventReadError.LogError(d.logger, err)
	}
	entries := d.decodeSlots(listing.Entries)
	d.update(func(now time.Duration, c *Coordinator) {
		if err == nil {
			c.ForgetLost(now, listing.Revision, entries)
		}
		c.SlotsRead(now, entries, err)
	})
}

// decodeSlots decodes the slots' records. A record that cannot be decoded is
// left out; its slot is never acquired, since the swap would expect another
// revision and fail.
func (d *Driver) decodeSlots(entries []store.Entry) []SlotEntry {
	slots := make([]SlotEntry, 0, len(entries))
	for _, e := range entries {
		var record Record
		index, err := strconv.Atoi(strings.TrimPrefix(e.Key, Prefix))
		if err == nil {
			err = json.Unmarshal(e.Value, &record)
		}
		if err != nil {
			eventReadError.LogError(d.logger, eris.Wrapf(err, "decode slot record %s", e.Key))
			continue
		}
		slots = append(slots, SlotEntry{Index: index, Record: record, Revision: e.Revision})
	}
	return slots
}

// listInstances reads the platform's list and passes it to the coordinator.
func (d *Driver) listInstances(ctx context.Context) {
	list, err := d.instances.Instances(ctx)
	if err != nil {
		err = eris.Wrap(err, "list instances")
		eventReadError.LogError(d.logger, err)
	}
	d.update(func(now time.Duration, c *Coordinator) { c.ListRead(now, list, err) })
}

// swap carries out a swap and passes its outcome to the coordinator.
func (d *Driver) swap(ctx context.Context, s *Swap) {
	key := fmt.Sprint(Prefix, s.Slot)
	value, err := json.Marshal(s.Record)
	var revision store.Revision
	if err == nil {
		revision, err = d.store.CompareAndSwap(ctx, store.Swap{Key: key, Expect: s.Expect, Value: value})
	}
	if err != nil {
		err = eris.Wrapf(err, "swap slot record %s", key)
		eventSwapError.LogError(d.logger, err, "slot", s.Slot)
	}
	d.update(func(now time.Duration, c *Coordinator) { c.SwapDone(now, s, revision, err) })
}

// update applies an event to the coordinator and publishes the view if it has
// changed.
func (d *Driver) update(apply func(now time.Duration, c *Coordinator)) {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.mu.Lock()
	now := d.clock()
	apply(now, d.mu.coordinator)
	v := d.mu.coordinator.View(now)
	d.mu.Unlock()
	if v.equal(&d.publishing.last) {
		return
	}
	d.logChanges(&d.publishing.last, &v)
	d.publishing.last = v
	d.view.Store(&v)
	for _, f := range d.publishing.subscribers {
		f(v)
	}
}

// logChanges logs the differences between two views.
func (d *Driver) logChanges(before, after *View) {
	for _, lease := range after.SlotLeases {
		if !before.hasLease(lease) {
			eventLeaseAcquired.Log(d.logger, "slot", lease.Index, "epoch", lease.Epoch)
		}
	}
	for _, lease := range before.SlotLeases {
		if !after.hasLease(lease) {
			eventLeaseEnded.Log(d.logger, "slot", lease.Index, "epoch", lease.Epoch)
		}
	}
	if len(before.Live) != len(after.Live) {
		eventLive.Log(d.logger, "count", len(after.Live), "before", len(before.Live))
	}
}
