package dispatch

import (
	"fmt"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/topology"
)

// clock starts late enough that ages of seconds are positive.
const start = time.Minute

func newGroup(slots, connections int) *Dispatcher {
	d := New(Config{Service: "s", FailureDomain: "x"})
	targets := make(map[topology.TargetID]directory.Target)
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		targets[id] = directory.Target{ID: id, Service: "s", FailureDomain: "x", Slots: slots}
	}
	d.SetTargets(start, targets)
	d.SetPrimary(start, "a")
	d.SetConnections(start, connections)
	return d
}

func read(now time.Duration, customer topology.CustomerID) *Request {
	return &Request{Customer: customer, FloorAt: now - time.Second, Late: now + 200*time.Millisecond, Expires: now + 800*time.Millisecond}
}

func write(now time.Duration, customer topology.CustomerID) *Request {
	return &Request{Customer: customer, NeedsPrimary: true, Late: now + 120*time.Millisecond, Expires: now + 800*time.Millisecond}
}

// open completes a lease whose connection is new.
func open(now time.Duration, d *Dispatcher, l *Lease) *Lease {
	if l.Conn == nil {
		d.Opened(now, l, new(int))
	}
	return l
}

func submit(t *testing.T, now time.Duration, d *Dispatcher, r *Request) *Lease {
	t.Helper()
	l, verdict := d.Submit(now, r)
	if verdict != Granted {
		t.Fatalf("%s, not granted", verdict)
	}
	return open(now, d, l)
}

func TestReadsLeaveThePrimaryToWrites(t *testing.T) {
	d := newGroup(2, 8)
	for i := range 4 {
		if l := submit(t, start, d, read(start, "k")); l.Target == "a" {
			t.Fatalf("read %d went to the primary while a replica was free", i)
		}
	}
	if l := submit(t, start, d, write(start, "k")); l.Target != "a" {
		t.Fatalf("a write went to %s", l.Target)
	}
}

func TestReadGoesWhereItsFloorIs(t *testing.T) {
	d := newGroup(2, 8)
	fresh := read(start, "k")
	fresh.FloorAt = start
	if l := submit(t, start, d, fresh); l.Target != "a" {
		t.Fatalf("a read of a floor of this moment went to replica %s", l.Target)
	}
	lagging := read(start, "k")
	l := submit(t, start, d, lagging)
	d.Lagging(start, l, lagging)
	lagging.Excluded = append(lagging.Excluded, l.Target)
	d.Release(start, l)
	if next := submit(t, start, d, lagging); next.Target == l.Target {
		t.Fatal("a replica that refused for lag was asked again")
	}
	if next := submit(t, start, d, read(start, "k")); next.Target == l.Target {
		t.Fatal("another read of the same age went to the lagging replica")
	}
}

func TestConnectionsStayWithinTheirNumber(t *testing.T) {
	d := newGroup(4, 2)
	var leases []*Lease
	for i := range 6 {
		l, verdict := d.Submit(start, write(start, topology.CustomerID(fmt.Sprint(i))))
		if verdict == Granted {
			leases = append(leases, open(start, d, l))
		}
	}
	if len(leases) != 2 {
		t.Fatalf("%d connections, not 2", len(leases))
	}
	d.Release(start, leases[0])
	if leases[0].Conn == nil {
		t.Fatal("the lease was not opened")
	}
	// The waiting work of another customer takes the idle connection's place.
	if d.Waiting() != 3 {
		t.Fatalf("%d wait", d.Waiting())
	}
}

func TestIdleConnectionOfTheCustomerIsPreferred(t *testing.T) {
	d := newGroup(2, 8)
	first := submit(t, start, d, read(start, "k"))
	d.End(start, first)
	d.Release(start, first)
	if again := submit(t, start, d, read(start, "k")); again.Conn != first.Conn {
		t.Fatal("a new connection was opened beside an idle one")
	}
}

// Load pattern: more writes than the primary does, some of them past their
// objective. Those that can be in time go first.
func TestWorkInTimeGoesBeforeLateWork(t *testing.T) {
	d := newGroup(1, 4)
	busy := submit(t, start, d, write(start, "k"))
	late, inTime := write(start, "k"), write(start, "k")
	late.Late = start + 10*time.Millisecond
	inTime.Late = start + 500*time.Millisecond
	d.Submit(start, late)
	d.Submit(start, inTime)
	now := start + 100*time.Millisecond
	d.End(now, busy)
	d.Release(now, busy)
	select {
	case <-inTime.Granted():
	default:
		t.Fatal("late work went first")
	}
}

// Load pattern: twice what the primary can do, for two seconds. What cannot be
// served in time is refused on arrival, and the queue stays short.
func TestOverloadIsRefusedOnArrival(t *testing.T) {
	d := newGroup(2, 2)
	const work = 20 * time.Millisecond
	type running struct {
		lease *Lease
		until time.Duration
	}
	var active []running
	var waiting []*Request
	refused, served, inTime, longest := 0, 0, 0, 0
	for now := start; now < start+2*time.Second; now += time.Millisecond {
		for i := 0; i < len(active); i++ {
			if active[i].until > now {
				continue
			}
			done := active[i]
			active = append(active[:i], active[i+1:]...)
			i--
			d.End(now, done.lease)
			d.Release(now, done.lease)
			served++
		}
		for i := 0; i < len(waiting); i++ {
			if now >= waiting[i].Expires && d.Abandon(waiting[i]) == nil {
				waiting = append(waiting[:i], waiting[i+1:]...)
				i--
				continue
			}
			select {
			case l := <-waiting[i].Granted():
				if l != nil { // nil when the request was given up
					active = append(active, running{open(now, d, l), now + work})
					if now+work <= waiting[i].Late {
						inTime++
					}
				}
				waiting = append(waiting[:i], waiting[i+1:]...)
				i--
			default:
			}
		}
		if now%(5*time.Millisecond) == 0 {
			r := write(now, "k")
			r.Expires = now + 300*time.Millisecond
			switch l, verdict := d.Submit(now, r); verdict {
			case Granted:
				active = append(active, running{open(now, d, l), now + work})
				inTime++
			case Queued:
				waiting = append(waiting, r)
			default:
				refused++
			}
		}
		longest = max(longest, d.Waiting())
	}
	if refused < 100 || served < 170 {
		t.Fatalf("%d refused on arrival, %d served of 400", refused, served)
	}
	if inTime < served*3/4 {
		t.Fatalf("%d of %d answers in time", inTime, served)
	}
	if longest > 40 {
		t.Fatalf("%d requests waited at once", longest)
	}
}

func TestUnreachableTargetIsLeftOutForAWhile(t *testing.T) {
	d := newGroup(2, 8)
	l, _ := d.Submit(start, read(start, "k"))
	d.OpenFailed(start, l, Unreached)
	if next := submit(t, start, d, read(start, "k")); next.Target == l.Target {
		t.Fatal("the target was tried again at once")
	}
}

// Homes that were cut off still hold their connections when others take over: a full
// target is used over the connections that are there, in place of idle ones if need
// be, and asked for more later.
func TestFullTargetIsUsedOverWhatIsThere(t *testing.T) {
	d := newGroup(4, 8)
	kept := submit(t, start, d, write(start, "k"))
	d.Release(start, kept)
	refused, _ := d.Submit(start, write(start, "j"))
	d.OpenFailed(start, refused, Full)
	if l := submit(t, start, d, write(start, "k")); l.Conn != kept.Conn {
		t.Fatal("the connection that is there is not used")
	} else {
		d.Release(start, l)
	}
	l, verdict := d.Submit(start, write(start, "j"))
	if verdict != Granted || l.Evict != kept.Conn {
		t.Fatalf("%s, evicts %v", verdict, l)
	}
	if _, verdict := d.Submit(start, write(start, "i")); verdict != Queued {
		t.Fatalf("%s while the target is full", verdict)
	}
	if l, verdict := d.Submit(start+fullPause, write(start+fullPause, "h")); verdict != Granted || l.Evict != nil {
		t.Fatalf("%s after the pause", verdict)
	}
}

func TestInstanceWithoutAShareHoldsNoConnection(t *testing.T) {
	d := newGroup(2, 8)
	d.Release(start, submit(t, start, d, read(start, "k")))
	d.SetConnections(start, 0)
	if evicted := d.TakeEvicted(); len(evicted) != 1 {
		t.Fatalf("closes %v", evicted)
	}
	if _, verdict := d.Submit(start, read(start, "k")); verdict == Granted {
		t.Fatal("a connection was granted")
	}
	d.SetConnections(start, 8)
	submit(t, start, d, read(start, "k"))
}

func TestNothingCanRunWithoutATarget(t *testing.T) {
	d := newGroup(2, 8)
	d.SetTargets(start, nil)
	if _, verdict := d.Submit(start, read(start, "k")); verdict != NoTarget {
		t.Fatalf("%s", verdict)
	}
}

func TestWritesWaitALittleForASuccessor(t *testing.T) {
	d := newGroup(2, 8)
	d.SetPrimary(start, "")
	r := write(start, "k")
	if _, verdict := d.Submit(start, r); verdict != Queued || r.Expires != start+failoverPatience {
		t.Fatalf("%s until %s", verdict, r.Expires)
	}
	d.SetPrimary(start+50*time.Millisecond, "b")
	select {
	case l := <-r.Granted():
		if l.Target != "b" {
			t.Fatalf("granted at %s", l.Target)
		}
	default:
		t.Fatal("the successor was not used")
	}
}

func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	d := newGroup(4, 8)
	targets := map[topology.TargetID]directory.Target{}
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		targets[id] = directory.Target{ID: id, Service: "s", FailureDomain: "x", Slots: 4, Draining: id != "c"}
	}
	kept := submit(t, start, d, read(start, "k"))
	d.SetTargets(start, targets)
	for range 2 {
		if l := submit(t, start, d, read(start, "k")); l.Target != "c" {
			t.Fatalf("read at draining %s", l.Target)
		}
	}
	d.End(start, kept)
	d.Release(start, kept)
	if evicted := d.TakeEvicted(); (kept.Target == "b") != (len(evicted) == 1) {
		t.Fatalf("lease at %s, evicted %d", kept.Target, len(evicted))
	}
}

// Load pattern: both replicas received nothing for ten seconds and caught up. Reads
// go back to them though nobody says so.
func TestReplicaThatCaughtUpIsUsedAgain(t *testing.T) {
	d := newGroup(2, 8)
	for i := range 200 {
		d.Floors.Observe(start+time.Duration(i)*50*time.Millisecond, topology.Point{Term: 1, Position: topology.Position(100 + i)})
	}
	now := start + 10*time.Second
	for range 2 {
		for range 8 {
			r := read(now, "k")
			l := submit(t, now, d, r)
			if l.Target != "a" {
				d.Position(now, l, topology.Point{Term: 1, Position: 50})
				d.Lagging(now, l, r)
			}
			d.End(now, l)
			d.Release(now, l)
		}
		now += lagRetry
	}
	for end := now + 3*time.Second; now < end; now += 50 * time.Millisecond {
		l := submit(t, now, d, read(now, "k"))
		d.End(now, l)
		d.Release(now, l)
		if l.Target != "a" {
			return
		}
	}
	t.Fatal("no read went to a replica within three seconds")
}
