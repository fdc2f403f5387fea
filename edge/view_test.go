package edge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newMirrored returns a daemon whose mirror a test fills.
func newMirrored(t *testing.T) *Daemon {
	t.Helper()
	return New(Options{Settings: entrysettings.Settings{Instance: "self"}, Log: logr.Discard()})
}

// put writes a key into the mirror.
func (d *Daemon) put(key string, value []byte, revision store.Revision) {
	d.mirror.Apply(store.Change{Entry: store.Entry{Key: key, Value: value, Revision: revision}})
}

func registered(t *testing.T, uses ...topology.ServiceID) []byte {
	t.Helper()
	value, err := json.Marshal(usage(uses))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func TestFenceWaitsForEveryDeclaredUser(t *testing.T) {
	d := newMirrored(t)
	d.leader.fences = make(map[topology.ServiceID]fence)
	d.put(useKey("a"), registered(t, "s"), 1)
	d.put(useKey("b"), registered(t, "s", "other"), 2)
	d.put(useKey("c"), registered(t, "other"), 3)
	d.put(groupKey("s"), failover.Record{Primary: "x", Term: 1, Fenced: true, Sequence: 4}.Encode(), 10)
	d.seen = 10
	acknowledged := func() bool { return d.view(time.Second, "s").FenceAcknowledged }
	d.put(yieldKey("s", "a"), []byte(yieldValue(4)), 11)
	if acknowledged() {
		t.Fatal("acknowledged without b")
	}
	d.put(yieldKey("s", "b"), []byte(yieldValue(3)), 12)
	if acknowledged() {
		t.Fatal("an earlier fence's acknowledgement counts")
	}
	d.put(yieldKey("s", "b"), []byte(yieldValue(4)), 13)
	if !acknowledged() {
		t.Fatal("not acknowledged by a and b")
	}
	// A user that registered before the fence may be unknown to a mirror that is
	// behind it.
	d.seen = 9
	if acknowledged() {
		t.Fatal("acknowledged by a mirror that is behind the fence")
	}
	d.seen = 10
	d.put(useKey("d"), registered(t, "s"), 14)
	if acknowledged() {
		t.Fatal("a user that declared itself later is not waited for")
	}
}

func TestFenceEndsWithTheLastRight(t *testing.T) {
	d := newMirrored(t)
	d.leader.fences = make(map[topology.ServiceID]fence)
	d.put(groupKey("s"), failover.Record{Primary: "x", Term: 1, Fenced: true, Sequence: 1}.Encode(), 10)
	first := d.view(time.Second, "s").AuthorityExpiresAt
	if later := d.view(2*time.Second, "s").AuthorityExpiresAt; first == 0 || later != first {
		t.Fatalf("the end moved from %s to %s", first, later)
	}
	d.put(groupKey("s"), failover.Record{Primary: "y", Term: 2, Fenced: true, Sequence: 2}.Encode(), 20)
	if next := d.view(10*time.Second, "s").AuthorityExpiresAt; next <= first {
		t.Fatalf("the next fence ends at %s", next)
	}
}

func TestOnlySuspicionsOfThePresentPrimaryCount(t *testing.T) {
	d := newMirrored(t)
	d.put(useKey("a"), registered(t, "s"), 1)
	d.put(useKey("b"), registered(t, "s"), 2)
	d.put(groupKey("s"), failover.Record{Primary: "y", Term: 2}.Encode(), 10)
	d.put(suspectKey("s", "a"), []byte("x"), 11)
	d.put(suspectKey("s", "b"), []byte("y"), 12)
	if v := d.view(time.Second, "s"); v.SuspectCount != 1 || v.InstanceCount != 2 {
		t.Fatalf("%+v", v)
	}
}

func TestKeysNameTheirOwner(t *testing.T) {
	if service, instance := cutOwner(prefixSuspects, suspectKey("s", "edge-1")); service != "s" || instance != "edge-1" {
		t.Fatalf("%s, %s", service, instance)
	}
}

// An instance that only relays work does not follow the targets, so it must not
// order promotions.
func TestRelayingInstanceTakesNoDuty(t *testing.T) {
	d := newMirrored(t)
	d.tenure.ObserveRenewal(d.clock())
	if d.mayHoldDuty() {
		t.Fatal("an instance without declared services may hold the duty")
	}
	d.declared = []topology.ServiceID{"s"}
	if !d.mayHoldDuty() {
		t.Fatal("a user of primaries may not hold the duty")
	}
}

// An instance that only relayed confirms rarely. One that comes to use a primary asks
// at once, or its first right would end before the next confirmation.
func TestNewUserOfAPrimaryConfirmsAtOnce(t *testing.T) {
	d := newMirrored(t)
	d.declare([]topology.ServiceID{"s"})
	select {
	case <-d.confirmWake:
	default:
		t.Fatal("the confirmations are not woken")
	}
	if d.confirmInterval() != usingConfirmInterval {
		t.Fatalf("confirms every %s", d.confirmInterval())
	}
}

// Needs that are zero are not told, so one that ended is missing in the later of two.
func TestEndedDemandDiffers(t *testing.T) {
	before := share.Needs{"k": 20, "j": 1}
	if !differ(share.Needs{"j": 1}, before) || !differ(before, share.Needs{"j": 1}) {
		t.Fatal("a demand of 20 a second that ended is no change")
	}
	if differ(share.Needs{"k": 20}, before) || differ(share.Needs{"k": 22, "j": 1}, before) {
		t.Fatal("a negligible change is told")
	}
}

// A partial watch tells nothing of other instances' usage, so it must not make a fence
// count as acknowledged by all.
func TestPartialWatchDoesNotVouchForUsers(t *testing.T) {
	d := newMirrored(t)
	d.leader.fences = make(map[topology.ServiceID]fence)
	d.put(groupKey("s"), failover.Record{Primary: "x", Term: 1, Fenced: true, Sequence: 4}.Encode(), 10)
	d.watched(prefixInstances, nil, 12)
	if d.view(time.Second, "s").FenceAcknowledged {
		t.Fatal("a watch of the instances vouches for the users")
	}
	d.watched("", nil, 12)
	if !d.view(time.Second, "s").FenceAcknowledged {
		t.Fatal("not acknowledged without users")
	}
}
