package edge

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
)

// endLease removes the keys under a lease.
func (s *leaseStore) endLease(lease store.LeaseID) {
	for key, entry := range s.entries {
		if entry.Lease == lease {
			s.changes++
			delete(s.entries, key)
		}
	}
}

// An earlier process of the instance, or this one under an earlier lease, has suspected the same
// primary. The suspicion must not end with that lease: the leader would no longer count it.
func TestSuspicionOutlivesTheLeaseOfAnEarlierProcess(t *testing.T) {
	s := &leaseStore{changes: 40}
	s.put(store.Put{Key: suspicionKey("s", "self"), Value: []byte("a"), Lease: 9})
	d := newSuspectingDaemon(s)
	d.publishSuspicions()
	s.endLease(9)
	if s.suspicion() != "a" {
		t.Fatalf("published %q", s.suspicion())
	}
}

// fence applies a fence of service s with a sequence number, which this instance acknowledges.
func (d *Daemon) fence(sequence uint64) {
	record := failover.Record{Primary: "a", Term: 1, Fenced: true, FenceSequence: sequence}
	d.records["s"] = storedRecord{Record: record}
	d.acknowledgeFence("s", record)
}

// The response to an acknowledgement is lost, and the write takes effect after the next fence
// was acknowledged. The leader must not wait for that fence as if it were not.
func TestLateFenceAcknowledgementDoesNotReplaceALaterOne(t *testing.T) {
	s := &leaseStore{loseNextResponse: true}
	d := newRegisteringDaemon(s)
	d.setLease(leaseGrant{id: 1})
	d.fence(5)
	d.fence(6)
	_, err := s.execute(s.delayed[0])
	if ack := string(s.entries[fenceAckKey("s", "self")].Value); ack != fenceAckValue(6) || !errors.Is(err, store.ErrConflict) {
		t.Fatalf("fence %s is acknowledged after the late write: %v", ack, err)
	}
}

// awaitFenceAck waits for an acknowledgement of service s by this instance that was written
// after a revision, and returns its lease.
func (s *restorableStore) awaitFenceAck(after store.Revision) store.LeaseID {
	s.t.Helper()
	changes, _, err := s.daemon.store.WatchFor(s.t.Context(), fenceAckKey("s", "self"), after, watchWait)
	if err != nil || len(changes) == 0 {
		s.t.Fatalf("no acknowledgement: %v", err)
	}
	return changes[len(changes)-1].Lease
}

// putFence stores the record of service s with a fence.
func (s *restorableStore) putFence(sequence uint64) {
	s.t.Helper()
	s.putRecord(failover.Record{Primary: "a", Term: 1, Fenced: true, FenceSequence: sequence, Era: 1})
}

// putRecord stores the record of service s.
func (s *restorableStore) putRecord(record failover.Record) {
	s.t.Helper()
	_, err := s.daemon.store.Transact(s.t.Context(), store.Transaction{Puts: []store.Put{{Key: recordKey("s"), Value: record.Encode()}}})
	if err != nil {
		s.t.Fatal(err)
	}
}

// An instance gets another lease while a fence is in force. The acknowledgement ends with the
// earlier lease, and the leader must find it under the present one.
func TestFenceAcknowledgementOutlivesTheEarlierLease(t *testing.T) {
	s := newRestorableStore(t)
	d := s.daemon
	d.longLeases()
	if !d.register(t.Context(), upkeep.Forwarding) || !d.putUsage(t.Context(), d.registrationLease(), []topology.ServiceID{"s"}) {
		t.Fatal("not registered")
	}
	before := s.after
	s.putFence(5)
	s.receive()
	if lease := s.awaitFenceAck(before); lease != d.registrationLease().id {
		t.Fatalf("acknowledged under lease %d", lease)
	}
	s.receive()
	before = s.after
	if !d.register(t.Context(), upkeep.Using) {
		t.Fatal("not registered again")
	}
	if lease := s.awaitFenceAck(before); lease != d.registrationLease().id {
		t.Fatalf("acknowledged under lease %d, registered under %d", lease, d.registrationLease().id)
	}
}

// revokingStore is a leaseStore that calls onRevoke when a lease is ended.
type revokingStore struct {
	*leaseStore
	onRevoke func()
}

func (s revokingStore) Revoke(_ context.Context, lease store.LeaseID) error {
	s.endLease(lease)
	s.onRevoke()
	return nil
}

// The response to a renewal arrives while the registration and the usage are removed at the end
// of a shutdown. The instance must not use a primary without a usage in the store, and must not
// register again.
func TestUnregisteredInstanceGetsNoAuthority(t *testing.T) {
	s := revokingStore{leaseStore: &leaseStore{}}
	d := newRegisteringDaemon(&s)
	if !d.register(t.Context(), upkeep.Using) || !d.putUsage(t.Context(), d.registrationLease(), []topology.ServiceID{"s"}) {
		t.Fatal("not registered")
	}
	requestedAt, lease := d.clock(), d.registrationLease()
	s.onRevoke = func() { d.observeRenewal(requestedAt, lease) }
	d.unregister(time.Now().Add(time.Minute))
	if d.authority.RegistrationValid(d.clock()) {
		t.Fatalf("a renewal gives authority, and the usage in the store is %q", s.usage())
	}
	if d.register(t.Context(), upkeep.Using) || len(s.grants) > 1 {
		t.Fatal("registered again")
	}
}

// storeRegistration stores the registration of an earlier process of the instance, and lists the
// store.
func (s *listingStore) storeRegistration(t *testing.T, d *Daemon, lease store.LeaseID) {
	t.Helper()
	earlier := d.registration(upkeep.For(upkeep.Forwarding).RegistrationTTL)
	earlier.Incarnation--
	s.put(store.Put{Key: instanceKey("self"), Value: registrationValue(t, earlier), Lease: lease})
	if _, err := d.loadMirror(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// A forwarding instance has adopted the lease of its earlier process, which has tried to end it
// without a response. It becomes a user of a primary, and the call takes effect. The usage must
// not end with that lease while the instance has authority.
func TestUsageDoesNotEndWithAnAdoptedLease(t *testing.T) {
	s := &listingStore{leaseStore: &leaseStore{}}
	d := newRegisteringDaemon(s)
	s.storeRegistration(t, d, 9)
	if !d.register(t.Context(), upkeep.Forwarding) || d.registrationLease().id != 9 {
		t.Fatal("not adopted")
	}
	d.usedServices = []topology.ServiceID{"s"}
	s.loseNextResponse = true
	d.register(t.Context(), d.role())
	d.declareUsage(t.Context())
	s.endLease(9)
	if declared := d.declaredUsage(); len(declared) > 0 && s.usage() == "" {
		t.Fatalf("%v is declared and in use, the store holds no usage", declared)
	}
	if !d.register(t.Context(), d.role()) {
		t.Fatal("not registered under a lease of its own")
	}
	d.declareUsage(t.Context())
	if s.usage() != `["s"]` {
		t.Fatalf("the store holds %q", s.usage())
	}
}

// A forwarding process has become a user of a primary. It is killed, and its usage is stored after
// the next process has adopted the lease. No fence may wait for a usage that no process has.
func TestLateUsageDoesNotAppearUnderAnAdoptedLease(t *testing.T) {
	s := &listingStore{leaseStore: &leaseStore{}}
	earlier, d := newRegisteringDaemon(s), newRegisteringDaemon(s)
	s.storeRegistration(t, d, 9)
	earlier.setLease(leaseGrant{id: 9, ttl: upkeep.For(upkeep.Forwarding).RegistrationTTL})
	earlier.usedServices = []topology.ServiceID{"s"}
	s.loseNextResponse = true
	earlier.declareUsage(t.Context())
	s.loseNextResponse = false
	if !d.register(t.Context(), upkeep.Forwarding) || d.registrationLease().id != 9 {
		t.Fatal("not adopted")
	}
	for _, late := range s.delayed {
		if _, err := s.execute(late); err != nil {
			t.Fatal(err)
		}
	}
	if s.usage() != "" {
		t.Fatalf("the store holds %s under lease %d", s.usage(), s.entries[usageKey("self")].Lease)
	}
}

// The earlier process has marked its registration as leaving, and the write takes effect after
// the next process has adopted the registration. That process must not count as leaving for good.
func TestLateLeavingMarkOnAnAdoptedRegistrationIsReplaced(t *testing.T) {
	s := &listingStore{leaseStore: &leaseStore{}}
	d := newRegisteringDaemon(s)
	s.storeRegistration(t, d, 9)
	if !d.register(t.Context(), upkeep.Forwarding) || d.isRegistrationInDoubt(d.registrationLease()) {
		t.Fatal("not adopted, or registers again without a reason")
	}
	leaving := d.registration(d.registrationLease().ttl)
	leaving.Leaving = true
	s.put(store.Put{Key: instanceKey("self"), Value: registrationValue(t, leaving), Lease: 9})
	d.applyChanges([]store.Change{{Entry: s.entries[instanceKey("self")]}})
	if !d.isRegistrationInDoubt(d.registrationLease()) || !d.register(t.Context(), d.role()) {
		t.Fatal("the instance is registered as leaving")
	}
	if lease := d.registrationLease(); lease.adopted || s.entries[instanceKey("self")].Lease != lease.id {
		t.Fatalf("registered under lease %d, renews %+v", s.entries[instanceKey("self")].Lease, lease)
	}
}

// heldStore is a leaseStore whose first transaction waits until release is closed.
type heldStore struct {
	*leaseStore
	release chan struct{}
	held    bool
}

func (s *heldStore) Transact(ctx context.Context, t store.Transaction) (store.Revision, error) {
	if first := !s.held; first {
		s.held = true
		<-s.release
	}
	return s.leaseStore.Transact(ctx, t)
}

// An instance is told to stop while it declares a usage or registers under another lease. Marking
// the registration as leaving must neither remove the usage nor return it to the earlier lease.
func TestLeavingMarkDoesNotRevertTheUsage(t *testing.T) {
	for name, change := range map[string]func(d *Daemon){
		"usage": func(d *Daemon) { d.declareUsage(d.ctx) },
		"lease": func(d *Daemon) { d.register(d.ctx, upkeep.Using); d.declareUsage(d.ctx) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &heldStore{leaseStore: &leaseStore{}, release: make(chan struct{})}
				d := newRegisteringDaemon(s)
				d.setLease(leaseGrant{id: 100, ttl: upkeep.For(upkeep.Using).RegistrationTTL})
				d.usedServices = []topology.ServiceID{"s"}
				d.stopping.Store(true)
				go d.announceLeaving()
				synctest.Wait()
				go change(d)
				synctest.Wait()
				close(s.release)
				synctest.Wait()
				lease := d.registrationLease().id
				if s.usage() != `["s"]` || s.entries[usageKey("self")].Lease != lease || s.entries[instanceKey("self")].Lease != lease {
					t.Fatalf("usage %s under lease %d, registration under lease %d, renews lease %d", s.usage(),
						s.entries[usageKey("self")].Lease, s.entries[instanceKey("self")].Lease, lease)
				}
			})
		})
	}
}
