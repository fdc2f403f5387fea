package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/platform"
	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
)

// usageFleet holds instances that use the primary of the service "s", and a failover leader,
// at one store. The test makes the calls of their loops. It runs in a bubble of synctest.
type usageFleet struct {
	start time.Time
	// readings is the number of readings of the clock.
	readings atomic.Int64
	mu       sync.Mutex
	stored   *expiringStore
	users    []*fleetProcess
	leader   *fleetProcess
	// completed is the sequence of the last fence that the leader regarded as complete.
	completed uint64
	// problem is how an instance could use a primary that was replaced.
	problem string
}

// fleetProcess is a process of an instance.
type fleetProcess struct {
	daemon *Daemon
	path   *storePath
	after  store.Revision
	// registering: a step of the registration loop is under way, and confirming one of the
	// confirmation loop.
	registering, confirming atomic.Bool
}

func newUsageFleet(users ...topology.InstanceID) *usageFleet {
	f := &usageFleet{start: time.Now()}
	f.stored = newExpiringStore(f.clock)
	f.write(platform.ConfigurationKey, []byte(`{"version":7,"services":[{"name":"s","maxConns":16}]}`))
	f.write(recordKey("s"), failover.Record{Primary: "p1", Term: 1}.Encode())
	for _, id := range users {
		f.users = append(f.users, f.newProcess(id))
	}
	f.replaceLeader()
	return f
}

// clock returns the time, which differs between any two readings.
func (f *usageFleet) clock() time.Duration {
	return time.Since(f.start) + time.Duration(f.readings.Add(1))
}

func (f *usageFleet) write(key string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.stored.transact(store.Transaction{Puts: []store.Put{{Key: key, Value: value}}}); err != nil {
		panic(err)
	}
}

func (f *usageFleet) newProcess(id topology.InstanceID) *fleetProcess {
	path := &storePath{mu: &f.mu, store: f.stored}
	d := New(Options{Settings: entrysettings.Settings{Instance: id, MaxRevocationDelay: 5 * time.Second}, Store: path, Clock: f.clock, Log: logr.Discard(),
		Adapter: Adapter{ConfigurationKey: platform.ConfigurationKey, TargetPrefix: platform.TargetPrefix, DecodeCatalog: platform.DecodeCatalog}})
	d.store.probeInterval = func() time.Duration { return 0 }
	return &fleetProcess{daemon: d, path: path}
}

// replaceLeader has another process lead, which has read the store.
func (f *usageFleet) replaceLeader() {
	if f.leader != nil {
		f.leader.daemon.cancel()
	}
	f.leader = f.newProcess("leader")
	f.leader.daemon.leadership.fences = make(map[topology.ServiceID]fence)
	f.load(f.leader)
}

// restart replaces the process of an instance.
func (f *usageFleet) restart(index int) {
	p := f.users[index]
	p.daemon.cancel()
	f.users[index] = f.newProcess(p.daemon.settings.Instance)
	f.users[index].path.delayed = p.path.delayed
}

// stop ends the processes and waits for their last calls: time stops with the test.
func (f *usageFleet) stop() {
	for _, p := range append(f.users, f.leader) {
		p.daemon.cancel()
	}
	time.Sleep(10 * time.Second)
}

func (f *usageFleet) load(p *fleetProcess) {
	if after, err := p.daemon.loadMirror(p.daemon.ctx); err == nil {
		p.after = max(p.after, after)
	}
}

// receive makes a process's next watch.
func (f *usageFleet) receive(p *fleetProcess) {
	if p.path.cut || !p.daemon.isMirrorLoaded() {
		return
	}
	f.mu.Lock()
	changes, until := f.stored.since(p.after), f.stored.changes
	f.mu.Unlock()
	p.daemon.applyChanges(changes)
	p.daemon.advanceMirror(until)
	p.after = until
}

// own has a process use the primary, as an owner of the service.
func (f *usageFleet) own(p *fleetProcess) {
	p.daemon.mu.Lock()
	defer p.daemon.mu.Unlock()
	p.daemon.usedServices = []topology.ServiceID{"s"}
}

// register makes a step of a process's registration loop.
func (f *usageFleet) register(ctx context.Context, p *fleetProcess) {
	d := p.daemon
	if !d.isMirrorLoaded() {
		f.load(p)
		return
	}
	d.mu.Lock()
	d.forwardsAlways = true // until it owns a service, with a long lease
	d.mu.Unlock()
	role, current, unavailable := d.role(), d.registrationLease(), d.store.unavailable()
	switch {
	case current.id == 0, upkeep.NeedsNewLease(role, current.ttl) && !unavailable, d.isRegistrationInDoubt(current) && !unavailable:
		d.register(ctx, role)
	default:
		d.renewRegistration(ctx, current)
	}
	if d.registrationLease().id != 0 {
		d.declareUsage(ctx)
	}
}

// fence writes a fence of the present primary, unless there is one.
func (f *usageFleet) fence() {
	record := f.record()
	if !record.Fenced {
		record.Fenced, record.FenceSequence = true, record.NextFenceSequence(0)
		f.write(recordKey("s"), record.Encode())
	}
}

func (f *usageFleet) record() failover.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	record, err := failover.DecodeRecord(f.stored.entries[recordKey("s")].Value)
	if err != nil {
		panic(err)
	}
	return record
}

// replacePrimary has the leader publish another primary, if it regards the fence as complete.
func (f *usageFleet) replacePrimary() bool {
	view := f.leader.daemon.failoverView(f.clock(), "s")
	if !view.Record.Fenced || !view.FenceAcknowledged && f.clock() < view.AuthorityExpiresAt || view.Record.FenceSequence <= f.completed {
		return false
	}
	f.completed = view.Record.FenceSequence
	f.check()
	next := view.Record
	next.Fenced, next.Term = false, next.Term+1
	f.write(recordKey("s"), next.Encode())
	return true
}

// advance lets time pass and checks the instances meanwhile.
func (f *usageFleet) advance(duration time.Duration) {
	const slice = 25 * time.Millisecond
	for end := f.clock() + duration; f.clock() < end; {
		time.Sleep(min(slice, end-f.clock()))
		synctest.Wait()
		f.check()
	}
}

// check looks for instances that may use a primary whose fence counts as complete.
func (f *usageFleet) check() {
	for _, p := range f.users {
		if record, may := mayUse(p.daemon); may && record.FenceSequence < f.completed {
			f.problem = string(p.daemon.settings.Instance) + " may use " + string(record.Primary) + " after its fence was complete"
		}
	}
}

// mayUse returns the record in force of the service "s" and whether the instance may use its
// primary.
func mayUse(d *Daemon) (storedRecord, bool) {
	declared := slices.Contains(d.declaredUsage(), "s")
	d.mu.Lock()
	record := d.records["s"]
	d.mu.Unlock()
	return record, declared && record.revision != 0 && !record.Fenced && d.authority.MayUsePrimary(d.clock(), "s", record.revision)
}

// calls returns the number of calls of the process to the store.
func (p *fleetProcess) calls() int {
	p.path.mu.Lock()
	defer p.path.mu.Unlock()
	return p.path.calls
}
