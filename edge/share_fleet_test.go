package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/owner"
	"samphirehitch.example/samphirehitch/process/peer"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// Times of the simulated fleet.
const (
	simStep   = 4 * time.Millisecond
	simWindow = 5 * time.Second
	// simRegistration is the time from the start of a process to its registration.
	simRegistration = 100 * time.Millisecond
	// simMaxWatchDelay and simMaxDemandDelay bound the delays of a watch's changes and of
	// reports of demand.
	simMaxWatchDelay  = 60 * time.Millisecond
	simMaxDemandDelay = 80 * time.Millisecond
	simRestartDelay   = 600 * time.Millisecond
	simMinExit        = 3500 * time.Millisecond
	simMaxExit        = 5500 * time.Millisecond
	simLeaseTTL       = 3600 * time.Millisecond
	// simMaxRevocationDelay bounds for how long an instance accepts keys without the store.
	simMaxRevocationDelay = 5 * time.Second
)

// simChange is a change of a registration in the store.
type simChange struct {
	at time.Duration
	store.Change
}

// simInstance is an instance whose process starts and stops. Its daemon computes shares,
// admits and borrows; registrations and messages come from the simulation.
type simInstance struct {
	fleet *simFleet
	id    topology.InstanceID
	// daemon is nil while the process is down, process its number.
	daemon     *Daemon
	process    int
	registered bool
	// cutOff says that there are no links to the other instances. Else there are links to
	// those of the same island.
	cutOff bool
	island int
	// lacksStore says that the instance cannot call the store.
	lacksStore bool
	// lease is when the registration expires if it is not renewed, zero without one, and
	// renewalAt when it is renewed next. They are used if the fleet has leases.
	lease, renewalAt time.Duration
	// watches says that the process watches the store. It knows a number of changes.
	watches            bool
	watched            int
	sharesAt, demandAt time.Duration
	owners             owner.Assignment
}

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Duration
	do func()
}

// simFleet is a fleet that serves one customer.
type simFleet struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	catalog   *catalog.Catalog
	instances []*simInstance
	changes   []simChange
	events    []simEvent
	// storeAway says that the store refuses reads and shows no changes; writes are
	// applied, as leases are that expire meanwhile.
	storeAway bool
	// leases says that registrations expire unless the instances renew them, and that an
	// instance without a valid one runs no operations.
	leases bool
	// favored are the instances at which most operations arrive, if any.
	favored []*simInstance
	// reportsDemand says that messages are reports of demand, which are delayed.
	reportsDemand bool
	// admitted holds when operations were admitted. Refused ones count only if an instance
	// was there to run them.
	admitted []time.Duration
	refused  int
}

// newSimFleet returns a fleet that starts within 50 ms. Its customer's burst equals its rate.
func newSimFleet(t *testing.T, seed uint64, count int, rate float64) *simFleet {
	f := &simFleet{t: t, random: rand.New(rand.NewPCG(seed, 11)), catalog: &catalog.Catalog{Version: 1,
		Services:  map[topology.ServiceID]catalog.Service{"a": {ID: "a", MaxConnections: 60}, "b": {ID: "b", MaxConnections: 60}},
		Customers: map[topology.CustomerID]catalog.Customer{"k": {ID: "k", Rate: rate, Burst: rate}}}}
	for i := range count {
		f.instances = append(f.instances, &simInstance{fleet: f, id: topology.InstanceID(fmt.Sprintf("i%d", i))})
		f.at(f.below(50*time.Millisecond), f.instances[i].start)
	}
	return f
}

func (f *simFleet) at(when time.Duration, do func()) {
	f.events = append(f.events, simEvent{when, do})
}

// below returns a random duration below a limit.
func (f *simFleet) below(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// Link implementation of an instance.
func (i *simInstance) RequestLink(topology.InstanceID) {}
func (i *simInstance) Reset(topology.InstanceID)       {}
func (i *simInstance) Reachable(id topology.InstanceID) bool {
	to := i.fleet.find(id)
	return to != nil && to.daemon != nil && !to.cutOff && !i.cutOff && to.island == i.island
}

func (i *simInstance) Send(id topology.InstanceID, _ peer.Kind, payload any) {
	if !i.Reachable(id) {
		return
	}
	encoded, err := cbor.Marshal(payload)
	if err != nil {
		i.fleet.t.Fatal(err)
	}
	to := i.fleet.find(id).daemon
	if !i.fleet.reportsDemand {
		to.relay.Receive(i.id, encoded)
		return
	}
	i.fleet.at(i.fleet.now+i.fleet.below(simMaxDemandDelay), func() { to.relay.Receive(i.id, encoded) })
}

func (f *simFleet) find(id topology.InstanceID) *simInstance {
	for _, i := range f.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// write adds a change of an instance's registration.
func (f *simFleet) write(id topology.InstanceID, r *registration) {
	change := store.Change{Entry: store.Entry{Key: instanceKey(id), Revision: store.NewRevision(1, uint64(len(f.changes)+1))}, Deleted: r == nil}
	if r != nil {
		value, err := json.Marshal(r)
		if err != nil {
			f.t.Fatal(err)
		}
		change.Value = value
	}
	f.changes = append(f.changes, simChange{f.now, change})
}

// start starts the process of an instance. It reads the store and registers.
func (i *simInstance) start() {
	f := i.fleet
	if i.storeAway() {
		f.at(f.now+simRestartDelay, i.start)
		return
	}
	i.process++
	process := i.process
	d := New(Options{Settings: entrysettings.Settings{Instance: i.id, CPUShare: 0.4, RateWindow: simWindow, MaxRevocationDelay: simMaxRevocationDelay},
		Adapter: Adapter{ConfigurationKey: "configuration", TargetPrefix: "target/"}, Store: simStore{instance: i}, Log: logr.Discard(), Clock: func() time.Duration { return f.now }, Draw: f.random.Float64})
	d.relay.Link, d.incarnation = i, int64(process)
	d.relay.Incarnation, d.grants.Incarnation = d.incarnation, d.incarnation
	i.daemon, i.registered, i.watches = d, false, false
	d.engine.SetCatalog(f.catalog)
	i.list()
	notify(d.sharesWake)
	i.sharesAt, i.demandAt = f.now, f.now
	if i.renewalAt = f.now + simRegistration; f.leases {
		return
	}
	f.at(f.now+simRegistration, func() {
		if i.process == process && i.daemon != nil && !f.storeAway {
			r := i.daemon.registration(simLeaseTTL)
			f.write(i.id, &r)
			d.ownRevisions[instanceKey(i.id)] = store.NewRevision(1, uint64(len(f.changes)))
			i.registered = true
			d.observeRenewal(f.now, leaseGrant{ttl: time.Hour, era: d.currentEra()})
		}
	})
}

// watch reads the store if the instance has not watched it, and else learns its changes.
func (i *simInstance) watch() {
	f, d := i.fleet, i.daemon
	if i.storeAway() {
		return
	}
	if !i.watches {
		i.list()
	}
	i.watches = true
	var changes []store.Change
	for until := f.now - f.below(simMaxWatchDelay); i.watched < len(f.changes) && f.changes[i.watched].at <= until; i.watched++ {
		changes = append(changes, f.changes[i.watched].Change)
	}
	if len(changes) > 0 {
		d.applyChanges(changes)
	}
	d.advanceMirror(store.NewRevision(1, uint64(i.watched)))
	d.authority.ObserveConfirmation(f.now, true, nil)
}

// list reads the store.
func (i *simInstance) list() {
	if _, err := i.daemon.loadMirror(i.fleet.t.Context()); err != nil {
		i.fleet.t.Fatal(err)
	}
	i.watched = len(i.fleet.changes)
}

// simStore is the store as an instance reads it.
type simStore struct {
	store.Transactor
	instance *simInstance
}

func (s simStore) List(context.Context, string) (store.Listing, error) {
	if s.instance.storeAway() {
		return store.Listing{}, errors.New("the store is away")
	}
	entries := make(map[string]store.Entry)
	for _, change := range s.instance.fleet.changes {
		if entries[change.Key] = change.Entry; change.Deleted {
			delete(entries, change.Key)
		}
	}
	return store.Listing{Revision: store.NewRevision(1, uint64(len(s.instance.fleet.changes))), Entries: slices.Collect(maps.Values(entries))}, nil
}

// terminate stops an instance as planned: it marks its registration, runs no more
// operations of others, exits and starts again.
func (i *simInstance) terminate() {
	f := i.fleet
	if i.daemon == nil || i.daemon.stopping.Load() {
		return
	}
	i.daemon.stopping.Store(true)
	if i.registered && !i.lacksStore {
		r := i.daemon.registration(simLeaseTTL)
		f.write(i.id, &r)
	}
	process := i.process
	f.at(f.now+simMinExit+f.below(simMaxExit-simMinExit), func() {
		if i.process == process && i.daemon != nil {
			i.daemon = nil
			if !i.lacksStore {
				f.write(i.id, nil)
				i.lease = 0
			}
			f.at(f.now+simRestartDelay, i.start)
		}
	})
}

// kill ends the process. Its registration expires unless the next process replaces it.
func (i *simInstance) kill() {
	f := i.fleet
	if i.daemon == nil {
		return
	}
	process := i.process
	i.daemon = nil
	f.at(f.now+simRestartDelay, i.start)
	f.at(f.now+simLeaseTTL, func() {
		if i.process == process || !i.registered {
			f.write(i.id, nil)
		}
	})
}

// step processes what is due on an instance.
func (i *simInstance) step() {
	f, d := i.fleet, i.daemon
	if f.leases {
		i.renew()
	}
	if d.forwardsOnly() {
		i.watches = false
		peer, since, stale, _ := d.nextFollowed()
		if peer != "" && i.Reachable(peer) {
			d.relay.Follow(peer, since)
		}
		if stale {
			d.readForFollower(f.t.Context())
		}
	} else {
		i.watch()
	}
	if f.now%grantCheckInterval < simStep && d.sharesOutdated(f.now) {
		notify(d.sharesWake)
	}
	if f.now >= i.sharesAt {
		select {
		case <-d.sharesWake:
			i.sharesAt = f.now + shareInterval
			d.applyShares()
			i.owners = owner.Assign(d.engine.Services(), ownerCandidates(d.registrations()))
		default:
		}
	}
	select {
	case <-d.usageWake:
		i.demandAt = f.now
	default:
	}
	if f.now >= i.demandAt {
		i.demandAt = f.now + demandInterval
		f.reportsDemand = true
		d.sendDemand()
		f.reportsDemand = false
	}
}

// accepts reports whether an instance runs operations of others.
func (i *simInstance) accepts() bool {
	return i.takesCallers() && (!i.fleet.leases || i.daemon.canRunRequests())
}

// takesCallers reports whether an instance accepts callers' operations, to run or forward
// them.
func (i *simInstance) takesCallers() bool {
	return i.daemon != nil && i.registered && !i.daemon.stopping.Load()
}

// route returns where an instance has an operation run: at the customer's owner, itself if it
// may connect, or a backup owner.
func (i *simInstance) route(service topology.ServiceID) *simInstance {
	candidates := slices.Clone(i.owners.Owners(service))
	if len(candidates) > 0 {
		first := spreadCustomers(i.fleet.catalog)["k"] % len(candidates)
		candidates = slices.Concat(candidates[first:], candidates[:first])
	}
	if i.owners.MayConnect(i.id, service) {
		candidates = append(candidates, i.id)
	}
	for _, id := range append(candidates, i.owners.BackupOwners(service)...) {
		if to := i.fleet.find(id); to.accepts() && (to == i || i.Reachable(id)) {
			return to
		}
	}
	return nil
}

// operate sends one operation of the customer to a random instance in service.
func (f *simFleet) operate() {
	instances := f.instances
	if len(f.favored) > 0 && f.random.Float64() < simFavoredPart {
		instances = f.favored
	}
	var serving []*simInstance
	for _, i := range instances {
		if i.takesCallers() {
			serving = append(serving, i)
		}
	}
	service := topology.ServiceID([]string{"a", "b"}[f.random.IntN(2)])
	if len(serving) == 0 {
		return
	}
	to := serving[f.random.IntN(len(serving))].route(service)
	if to == nil {
		return
	}
	if wait, _, ok := to.daemon.engine.AdmitRate(10*time.Millisecond, "k"); ok {
		f.admitted = append(f.admitted, f.now+wait)
	} else {
		f.refused++
	}
}

// play runs the fleet with a load in operations per second. A plan adds events from a time
// on. Refusals count from there.
func (f *simFleet) play(from, until time.Duration, plan func(*simFleet), load float64) {
	f.run(from, load)
	f.refused = 0
	plan(f)
	f.run(until, load)
}

// run runs the fleet until a time, with a load in operations per second.
func (f *simFleet) run(until time.Duration, load float64) {
	for ; f.now < until; f.now += simStep {
		due := slices.Clone(f.events)
		f.events = nil
		for _, e := range due {
			if e.at > f.now {
				f.events = append(f.events, e)
				continue
			}
			e.do()
		}
		for _, i := range f.instances {
			i.expire()
			if i.daemon != nil {
				i.step()
			}
		}
		for arrivals := load * simStep.Seconds(); f.random.Float64() < arrivals; arrivals-- {
			f.operate()
		}
	}
}

// maxInWindow returns the largest number of operations that were admitted in any window.
func (f *simFleet) maxInWindow(window time.Duration) int {
	slices.Sort(f.admitted)
	maximum, first := 0, 0
	for last, at := range f.admitted {
		for at-f.admitted[first] >= window {
			first++
		}
		maximum = max(maximum, last-first+1)
	}
	return maximum
}
