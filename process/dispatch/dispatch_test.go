package dispatch

import (
	"fmt"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// testStart is late enough that times some seconds earlier are positive.
const testStart = time.Minute

// newTestDispatcher returns the dispatcher of a service with the primary a and the
// replicas b and c.
func newTestDispatcher(slots, connections int) *Dispatcher {
	d := New(Config{Service: "s", FailureDomain: "x"})
	targets := make(map[topology.TargetID]directory.Target)
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		targets[id] = directory.Target{ID: id, Service: "s", FailureDomain: "x", Slots: slots}
	}
	d.SetTargets(testStart, targets)
	d.SetPrimary(testStart, "a")
	d.SetConnectionLimit(testStart, connections)
	return d
}

func newRead(now time.Duration, customer topology.CustomerID) *Request {
	return &Request{Customer: customer, FloorSentAt: now - time.Second, DueAt: now + 200*time.Millisecond, ExpiresAt: now + 800*time.Millisecond}
}

func newWrite(now time.Duration, customer topology.CustomerID) *Request {
	return &Request{Customer: customer, NeedsPrimary: true, DueAt: now + 120*time.Millisecond, ExpiresAt: now + 800*time.Millisecond}
}

// openLease opens the lease's connection if it is a new one.
func openLease(now time.Duration, d *Dispatcher, l *Lease) *Lease {
	if l.Conn == nil {
		d.Opened(now, l, new(int))
	}
	return l
}

// mustSubmit submits a request that has to be granted immediately.
func mustSubmit(t *testing.T, now time.Duration, d *Dispatcher, r *Request) *Lease {
	t.Helper()
	l, decision := d.Submit(now, r)
	if decision != Granted {
		t.Fatalf("decision %s, want granted", decision)
	}
	return openLease(now, d, l)
}

func TestReadsPreferReplicas(t *testing.T) {
	d := newTestDispatcher(2, 8)
	for i := range 4 {
		if l := mustSubmit(t, testStart, d, newRead(testStart, "k")); l.Target == "a" {
			t.Fatalf("read %d went to the primary while a replica was free", i)
		}
	}
	if l := mustSubmit(t, testStart, d, newWrite(testStart, "k")); l.Target != "a" {
		t.Fatalf("a write went to %s", l.Target)
	}
}

func TestReadsAvoidReplicasThatMayLackTheirFloor(t *testing.T) {
	d := newTestDispatcher(2, 8)
	fresh := newRead(testStart, "k")
	fresh.FloorSentAt = testStart
	if l := mustSubmit(t, testStart, d, fresh); l.Target != "a" {
		t.Fatalf("a read with a floor of the current time went to replica %s", l.Target)
	}
	lagging := newRead(testStart, "k")
	l := mustSubmit(t, testStart, d, lagging)
	d.ObserveLagRefusal(testStart, l, lagging)
	lagging.Excluded = append(lagging.Excluded, l.Target)
	d.Release(testStart, l)
	if next := mustSubmit(t, testStart, d, lagging); next.Target == l.Target {
		t.Fatal("the read went again to the replica that had refused it for lag")
	}
	if next := mustSubmit(t, testStart, d, newRead(testStart, "k")); next.Target == l.Target {
		t.Fatal("another read with an equally old floor went to the lagging replica")
	}
}

func TestConnectionLimitHolds(t *testing.T) {
	d := newTestDispatcher(4, 2)
	var leases []*Lease
	for i := range 6 {
		l, decision := d.Submit(testStart, newWrite(testStart, topology.CustomerID(fmt.Sprint(i))))
		if decision == Granted {
			leases = append(leases, openLease(testStart, d, l))
		}
	}
	if len(leases) != 2 {
		t.Fatalf("%d connections, want 2", len(leases))
	}
	d.Release(testStart, leases[0])
	if leases[0].Conn == nil {
		t.Fatal("the lease was not opened")
	}
	// A queued request of another customer replaces the idle connection.
	if d.QueueLength() != 3 {
		t.Fatalf("%d requests are queued", d.QueueLength())
	}
}

func TestIdleConnectionOfTheCustomerIsReused(t *testing.T) {
	d := newTestDispatcher(2, 8)
	first := mustSubmit(t, testStart, d, newRead(testStart, "k"))
	d.EndStatement(testStart, first)
	d.Release(testStart, first)
	if again := mustSubmit(t, testStart, d, newRead(testStart, "k")); again.Conn != first.Conn {
		t.Fatal("a new connection was opened although one was idle")
	}
}

// Load pattern: more writes than the primary can execute, some of them late. The ones
// that can still be in time run first.
func TestRequestsInTimeRunBeforeLateOnes(t *testing.T) {
	d := newTestDispatcher(1, 4)
	running := mustSubmit(t, testStart, d, newWrite(testStart, "k"))
	late, inTime := newWrite(testStart, "k"), newWrite(testStart, "k")
	late.DueAt = testStart + 10*time.Millisecond
	inTime.DueAt = testStart + 500*time.Millisecond
	d.Submit(testStart, late)
	d.Submit(testStart, inTime)
	now := testStart + 100*time.Millisecond
	d.EndStatement(now, running)
	d.Release(now, running)
	select {
	case <-inTime.Granted():
	default:
		t.Fatal("a late request ran first")
	}
}

// Load pattern: twice the load that the primary can execute, for two seconds. Requests
// that cannot be served in time are refused on arrival, and the queue stays short.
func TestOverloadIsShedOnArrival(t *testing.T) {
	d := newTestDispatcher(2, 2)
	const workTime = 20 * time.Millisecond
	type running struct {
		lease *Lease
		until time.Duration
	}
	var active []running
	var waiting []*Request
	refused, served, inTime, maxQueued := 0, 0, 0, 0
	for now := testStart; now < testStart+2*time.Second; now += time.Millisecond {
		for i := 0; i < len(active); i++ {
			if active[i].until > now {
				continue
			}
			done := active[i]
			active = append(active[:i], active[i+1:]...)
			i--
			d.EndStatement(now, done.lease)
			d.Release(now, done.lease)
			served++
		}
		for i := 0; i < len(waiting); i++ {
			if now >= waiting[i].ExpiresAt && d.Abandon(waiting[i]) == nil {
				waiting = append(waiting[:i], waiting[i+1:]...)
				i--
				continue
			}
			select {
			case l := <-waiting[i].Granted():
				if l != nil { // nil if the request was rejected from the queue
					active = append(active, running{openLease(now, d, l), now + workTime})
					if now+workTime <= waiting[i].DueAt {
						inTime++
					}
				}
				waiting = append(waiting[:i], waiting[i+1:]...)
				i--
			default:
			}
		}
		if now%(5*time.Millisecond) == 0 {
			r := newWrite(now, "k")
			r.ExpiresAt = now + 300*time.Millisecond
			switch l, decision := d.Submit(now, r); decision {
			case Granted:
				active = append(active, running{openLease(now, d, l), now + workTime})
				inTime++
			case Queued:
				waiting = append(waiting, r)
			default:
				refused++
			}
		}
		maxQueued = max(maxQueued, d.QueueLength())
	}
	if refused < 100 || served < 170 {
		t.Fatalf("%d refused on arrival, %d served of 400", refused, served)
	}
	if inTime < served*3/4 {
		t.Fatalf("%d of %d responses in time", inTime, served)
	}
	if maxQueued > 40 {
		t.Fatalf("%d requests were queued at the same time", maxQueued)
	}
}

func TestUnreachableTargetIsAvoidedDuringBackoff(t *testing.T) {
	d := newTestDispatcher(2, 8)
	l, _ := d.Submit(testStart, newRead(testStart, "k"))
	d.OpenFailed(testStart, l, OpenUnreachable)
	if next := mustSubmit(t, testStart, d, newRead(testStart, "k")); next.Target == l.Target {
		t.Fatal("the target was used again immediately")
	}
}

// Owners that are cut off keep their connections when other instances become owners, so
// that a target may accept no more. It is used over the connections that exist, idle
// ones are replaced as needed, and new ones are attempted after a backoff.
func TestTargetAtItsConnectionLimitIsUsedOverOpenConnections(t *testing.T) {
	d := newTestDispatcher(4, 8)
	kept := mustSubmit(t, testStart, d, newWrite(testStart, "k"))
	d.Release(testStart, kept)
	refused, _ := d.Submit(testStart, newWrite(testStart, "j"))
	d.OpenFailed(testStart, refused, OpenAtLimit)
	if l := mustSubmit(t, testStart, d, newWrite(testStart, "k")); l.Conn != kept.Conn {
		t.Fatal("the existing connection is not used")
	} else {
		d.Release(testStart, l)
	}
	l, decision := d.Submit(testStart, newWrite(testStart, "j"))
	if decision != Granted || l.Evict != kept.Conn {
		t.Fatalf("%s, evicts %v", decision, l)
	}
	if _, decision := d.Submit(testStart, newWrite(testStart, "i")); decision != Queued {
		t.Fatalf("%s while the target accepts no more connections", decision)
	}
	if l, decision := d.Submit(testStart+atLimitBackoff, newWrite(testStart+atLimitBackoff, "h")); decision != Granted || l.Evict != nil {
		t.Fatalf("%s after the backoff", decision)
	}
}

func TestZeroConnectionLimitClosesIdleConnections(t *testing.T) {
	d := newTestDispatcher(2, 8)
	d.Release(testStart, mustSubmit(t, testStart, d, newRead(testStart, "k")))
	d.SetConnectionLimit(testStart, 0)
	if evicted := d.TakeEvicted(); len(evicted) != 1 {
		t.Fatalf("evicted %v", evicted)
	}
	if _, decision := d.Submit(testStart, newRead(testStart, "k")); decision == Granted {
		t.Fatal("a connection was granted")
	}
	d.SetConnectionLimit(testStart, 8)
	mustSubmit(t, testStart, d, newRead(testStart, "k"))
}

func TestRequestWithoutATargetIsRefused(t *testing.T) {
	d := newTestDispatcher(2, 8)
	d.SetTargets(testStart, nil)
	if _, decision := d.Submit(testStart, newRead(testStart, "k")); decision != NoTarget {
		t.Fatalf("%s", decision)
	}
}

func TestWritesWaitForASuccessor(t *testing.T) {
	d := newTestDispatcher(2, 8)
	d.SetPrimary(testStart, "")
	r := newWrite(testStart, "k")
	if _, decision := d.Submit(testStart, r); decision != Queued || r.ExpiresAt != testStart+maxPrimaryWait {
		t.Fatalf("%s until %s", decision, r.ExpiresAt)
	}
	d.SetPrimary(testStart+50*time.Millisecond, "b")
	select {
	case l := <-r.Granted():
		if l.Target != "b" {
			t.Fatalf("granted at %s", l.Target)
		}
	default:
		t.Fatal("the successor was not used")
	}
}

// Seen by the independent review: a primary drains, and no other target is listed that could
// replace it. It must get no request once a draining target may not be used any more.
func TestDrainingPrimaryWithoutASuccessorIsNotUsedBeyondTheDrainDelay(t *testing.T) {
	const delay = 7 * time.Second
	d := newTestDispatcher(4, 8)
	d.config.MaxDrainDelay = delay
	drain := func(now time.Duration) {
		d.SetTargets(now, map[topology.TargetID]directory.Target{"a": {ID: "a", Service: "s", FailureDomain: "x", Slots: 4, Draining: true}})
	}
	drain(testStart)
	if lease := mustSubmit(t, testStart+delay/2, d, newWrite(testStart+delay/2, "k")); lease.Target != "a" {
		t.Fatalf("write at %s", lease.Target)
	}
	drain(testStart + delay/2) // its next report
	late := testStart + delay - time.Millisecond
	if lease, decision := d.Submit(late, newWrite(late, "k")); lease != nil || decision != NoTarget {
		t.Fatalf("lease %+v, decision %s", lease, decision)
	}
}

func TestDrainingTargetGetsNoNewReads(t *testing.T) {
	d := newTestDispatcher(4, 8)
	targets := map[topology.TargetID]directory.Target{}
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		targets[id] = directory.Target{ID: id, Service: "s", FailureDomain: "x", Slots: 4, Draining: id != "c"}
	}
	kept := mustSubmit(t, testStart, d, newRead(testStart, "k"))
	d.SetTargets(testStart, targets)
	for range 2 {
		if l := mustSubmit(t, testStart, d, newRead(testStart, "k")); l.Target != "c" {
			t.Fatalf("read at draining %s", l.Target)
		}
	}
	d.EndStatement(testStart, kept)
	d.Release(testStart, kept)
	if evicted := d.TakeEvicted(); (kept.Target == "b") != (len(evicted) == 1) {
		t.Fatalf("lease at %s, evicted %d", kept.Target, len(evicted))
	}
}

// Load pattern: both replicas received no log for ten seconds and then caught up. They
// are used for reads again although no response has reported that.
func TestReplicaIsUsedAgainAfterItCaughtUp(t *testing.T) {
	d := newTestDispatcher(2, 8)
	for i := range 200 {
		d.Floors.Observe(testStart+time.Duration(i)*50*time.Millisecond, topology.Point{Term: 1, Position: topology.Position(100 + i)})
	}
	now := testStart + 10*time.Second
	for range 2 {
		for range 8 {
			r := newRead(now, "k")
			l := mustSubmit(t, now, d, r)
			if l.Target != "a" {
				d.ObservePosition(now, l, topology.Point{Term: 1, Position: 50})
				d.ObserveLagRefusal(now, l, r)
			}
			d.EndStatement(now, l)
			d.Release(now, l)
		}
		now += lagBackoff
	}
	for end := now + 3*time.Second; now < end; now += 50 * time.Millisecond {
		l := mustSubmit(t, now, d, newRead(now, "k"))
		d.EndStatement(now, l)
		d.Release(now, l)
		if l.Target != "a" {
			return
		}
	}
	t.Fatal("no read went to a replica within three seconds")
}
