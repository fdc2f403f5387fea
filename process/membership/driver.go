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

// Prefix is where the store keeps the slots' records.
const Prefix = "fleet/slots/"

const (
	// tick is the time between looks at what is due.
	tick = 100 * time.Millisecond
	// callTimeout bounds one call of the store or the platform.
	callTimeout = 5 * time.Second
)

// Events of membership.
var (
	eventSlotTry   = event.Define(1000, event.Decision, "slot record change tried")
	eventSlotTaken = event.Define(1001, event.Decision, "slot held")
	eventSlotLost  = event.Define(1002, event.Warning, "slot not held any more")
	eventSwapError = event.Define(1003, event.Warning, "slot record not changed")
	eventReadError = event.Define(1004, event.Warning, "slots or instances not read")
	eventLive      = event.Define(1005, event.Info, "instances believed alive changed")
	eventMessage   = event.Define(1006, event.Warning, "heartbeat not understood")
	eventDrained   = event.Define(1007, event.Info, "all slots released")
)

// Driver runs a Coordinator against the store, the platform and the peers. It
// is safe for concurrent use.
type Driver struct {
	cfg       Config
	store     store.Store
	instances platform.Instances
	peers     peer.Sender
	clock     clock.Clock
	logger    logr.Logger
	view      atomic.Pointer[View]
	kick      chan struct{}
	calls     sync.WaitGroup

	mu struct {
		sync.Mutex
		coordinator *Coordinator
	}
	// publishing keeps views in order.
	publishing struct {
		sync.Mutex
		subscribers []func(View)
		last        View
	}
}

// New returns a driver that knows only its own instance until Run.
func New(cfg Config, st store.Store, instances platform.Instances, peers peer.Sender, now clock.Clock, rng *rand.Rand, logger logr.Logger) *Driver {
	d := &Driver{
		cfg: cfg, store: st, instances: instances, peers: peers, clock: now,
		logger: logger.WithValues("instance", cfg.Self.ID),
		kick:   make(chan struct{}, 1),
	}
	d.mu.coordinator = NewCoordinator(cfg, rng)
	first := d.mu.coordinator.View(now())
	d.view.Store(&first)
	d.publishing.last = first
	return d
}

// Live returns the instances believed alive, this one included. The slice must
// not be changed.
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

// Slot returns the first slot that this instance has the right to now.
func (d *Driver) Slot() (index int, epoch uint64, ok bool) {
	now := d.clock()
	for _, right := range d.view.Load().Rights {
		if now < right.Until {
			return right.Index, right.Epoch, true
		}
	}
	return 0, 0, false
}

// Subscribe calls f with the present view and with every later one, in order. F
// returns quickly and does not call Subscribe.
func (d *Driver) Subscribe(f func(View)) {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	d.publishing.subscribers = append(d.publishing.subscribers, f)
	f(*d.view.Load())
}

// Met says that a link to an instance came up.
func (d *Driver) Met(instance platform.Instance) {
	d.update(func(now time.Duration, c *Coordinator) { c.Met(now, instance) })
}

// Receive takes a heartbeat. It is a peer.Receiver.
func (d *Driver) Receive(from topology.InstanceID, payload []byte) {
	var h Heartbeat
	if err := cbor.Unmarshal(payload, &h); err != nil {
		eventMessage.LogError(d.logger, eris.Wrapf(err, "decode heartbeat of %s", from), "peer", from)
		return
	}
	d.update(func(now time.Duration, c *Coordinator) { c.HeartbeatReceived(now, from, h) })
}

// Run works until the context ends.
func (d *Driver) Run(ctx context.Context) error {
	defer d.calls.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		d.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.kick:
		}
	}
}

// Drain gives up the slots and waits until the store has the releases, or the
// context ends. Run goes on meanwhile. The caller has stopped using the slots.
func (d *Driver) Drain(ctx context.Context) error {
	d.update(func(_ time.Duration, c *Coordinator) { c.Drain() })
	ticker := time.NewTicker(tick)
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

// step carries out what is due. The view is published before any swap leaves,
// so that a right that is given up is not used any more.
func (d *Driver) step(ctx context.Context) {
	var a Actions
	d.update(func(now time.Duration, c *Coordinator) { a = c.Tick(now) })
	for _, to := range a.Heartbeats {
		d.peers.Send(to, peer.KindHeartbeat, a.Heartbeat)
	}
	if a.ReadSlots {
		d.call(ctx, d.readSlots)
	}
	if a.ReadList {
		d.call(ctx, d.readList)
	}
	if a.Swap != nil {
		swap := a.Swap
		eventSlotTry.Log(d.logger, "slot", swap.Slot, "holder", swap.Record.Instance, "epoch", swap.Record.Epoch, "renewal", swap.Record.Renewal)
		d.call(ctx, func(ctx context.Context) { d.swap(ctx, swap) })
	}
}

func (d *Driver) call(ctx context.Context, f func(context.Context)) {
	d.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		f(ctx)
		select {
		case d.kick <- struct{}{}:
		default:
		}
	})
}

func (d *Driver) readSlots(ctx context.Context) {
	listing, err := d.store.List(ctx, Prefix)
	if err != nil {
		err = eris.Wrap(err, "list slots")
		eventReadError.LogError(d.logger, err)
	}
	entries := d.decode(listing.Entries)
	d.update(func(now time.Duration, c *Coordinator) { c.SlotsRead(now, entries, err) })
}

// decode reads the records; one that can't be read is left out and so never
// taken.
func (d *Driver) decode(entries []store.Entry) []SlotEntry {
	slots := make([]SlotEntry, 0, len(entries))
	for _, e := range entries {
		var record Record
		index, err := strconv.Atoi(strings.TrimPrefix(e.Key, Prefix))
		if err == nil {
			err = json.Unmarshal(e.Value, &record)
		}
		if err != nil {
			eventReadError.LogError(d.logger, eris.Wrapf(err, "decode %s", e.Key))
			continue
		}
		slots = append(slots, SlotEntry{Index: index, Record: record, Revision: e.Revision})
	}
	return slots
}

func (d *Driver) readList(ctx context.Context) {
	list, err := d.instances.Instances(ctx)
	if err != nil {
		err = eris.Wrap(err, "list instances")
		eventReadError.LogError(d.logger, err)
	}
	d.update(func(now time.Duration, c *Coordinator) { c.ListRead(now, list, err) })
}

func (d *Driver) swap(ctx context.Context, s *Swap) {
	key := fmt.Sprint(Prefix, s.Slot)
	value, err := json.Marshal(s.Record)
	var revision store.Revision
	if err == nil {
		revision, err = d.store.CompareAndSwap(ctx, store.Swap{Key: key, Expect: s.Expect, Value: value})
	}
	if err != nil {
		err = eris.Wrapf(err, "swap %s", key)
		eventSwapError.LogError(d.logger, err, "slot", s.Slot)
	}
	d.update(func(now time.Duration, c *Coordinator) { c.SwapDone(now, s, revision, err) })
}

// update applies an event and publishes the view.
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

func (d *Driver) logChanges(before, after *View) {
	for _, right := range after.Rights {
		if !before.hasRight(right) {
			eventSlotTaken.Log(d.logger, "slot", right.Index, "epoch", right.Epoch)
		}
	}
	for _, right := range before.Rights {
		if !after.hasRight(right) {
			eventSlotLost.Log(d.logger, "slot", right.Index, "epoch", right.Epoch)
		}
	}
	if len(before.Live) != len(after.Live) {
		eventLive.Log(d.logger, "count", len(after.Live), "before", len(before.Live))
	}
}
