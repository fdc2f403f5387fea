package edge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/authority"
	"samphirehitch.example/samphirehitch/process/entrysettings"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/process/upkeep"
	"samphirehitch.example/samphirehitch/request/relay"
)

// newTestDaemon returns a daemon without a store, whose mirror the test fills.
func newTestDaemon(t *testing.T) *Daemon {
	t.Helper()
	return New(Options{Settings: entrysettings.Settings{Instance: "self"}, Log: logr.Discard()})
}

// put writes a key to the mirror.
func (d *Daemon) put(key string, value []byte, revision store.Revision) {
	d.mirror.Apply(store.Change{Entry: store.Entry{Key: key, Value: value, Revision: revision}})
}

// encodeUsage returns the stored form of a usage.
func encodeUsage(t *testing.T, services ...topology.ServiceID) []byte {
	t.Helper()
	value, err := json.Marshal(usage(services))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func TestFenceRequiresEveryDeclaredUser(t *testing.T) {
	d := newTestDaemon(t)
	d.leadership.fences = make(map[topology.ServiceID]fence)
	d.put(usageKey("a"), encodeUsage(t, "s"), 1)
	d.put(usageKey("b"), encodeUsage(t, "s", "other"), 2)
	d.put(usageKey("c"), encodeUsage(t, "other"), 3)
	d.put(recordKey("s"), failover.Record{Primary: "x", Term: 1, Fenced: true, FenceSequence: 4}.Encode(), 10)
	d.mirroredUntil = 10
	fenceAcknowledged := func() bool { return d.failoverView(time.Second, "s").FenceAcknowledged }
	d.put(fenceAckKey("s", "a"), []byte(fenceAckValue(4)), 11)
	if fenceAcknowledged() {
		t.Fatal("acknowledged although b has not acknowledged the fence")
	}
	d.put(fenceAckKey("s", "b"), []byte(fenceAckValue(3)), 12)
	if fenceAcknowledged() {
		t.Fatal("the acknowledgement of an earlier fence counts")
	}
	d.put(fenceAckKey("s", "b"), []byte(fenceAckValue(4)), 13)
	if !fenceAcknowledged() {
		t.Fatal("not acknowledged by a and b")
	}
	// A mirror that is behind the fence may lack a usage that was declared before it.
	d.mirroredUntil = 9
	if fenceAcknowledged() {
		t.Fatal("acknowledged by a mirror that is behind the fence")
	}
	d.mirroredUntil = 10
	d.put(usageKey("d"), encodeUsage(t, "s"), 14)
	if fenceAcknowledged() {
		t.Fatal("acknowledged although d, whose usage was declared later, has not acknowledged the fence")
	}
}

func TestAuthorityExpiryIsFixedPerFence(t *testing.T) {
	d := newTestDaemon(t)
	d.leadership.fences = make(map[topology.ServiceID]fence)
	d.put(recordKey("s"), failover.Record{Primary: "x", Term: 1, Fenced: true, FenceSequence: 1}.Encode(), 10)
	first := d.failoverView(time.Second, "s").AuthorityExpiresAt
	if later := d.failoverView(2*time.Second, "s").AuthorityExpiresAt; first == 0 || later != first {
		t.Fatalf("the expiry moved from %s to %s", first, later)
	}
	d.put(recordKey("s"), failover.Record{Primary: "y", Term: 2, Fenced: true, FenceSequence: 2}.Encode(), 20)
	if next := d.failoverView(10*time.Second, "s").AuthorityExpiresAt; next <= first {
		t.Fatalf("under the next fence, the authority expires at %s", next)
	}
}

func TestOnlySuspicionsOfTheCurrentPrimaryCount(t *testing.T) {
	d := newTestDaemon(t)
	d.put(usageKey("a"), encodeUsage(t, "s"), 1)
	d.put(usageKey("b"), encodeUsage(t, "s"), 2)
	d.put(recordKey("s"), failover.Record{Primary: "y", Term: 2}.Encode(), 10)
	d.put(suspicionKey("s", "a"), []byte("x"), 11)
	d.put(suspicionKey("s", "b"), []byte("y"), 12)
	if v := d.failoverView(time.Second, "s"); v.SuspectCount != 1 || v.InstanceCount != 2 {
		t.Fatalf("%+v", v)
	}
}

func TestSplitServiceKey(t *testing.T) {
	if service, instance := splitServiceKey(prefixSuspicions, suspicionKey("s", "edge-1")); service != "s" || instance != "edge-1" {
		t.Fatalf("%s, %s", service, instance)
	}
}

// A forwarding instance does not watch the targets, so that it must not become the
// failover leader.
func TestForwardingInstanceMayNotLead(t *testing.T) {
	d := newTestDaemon(t)
	d.authority.ObserveRenewal(d.clock(), authority.MinRegistrationTTL)
	if d.mayLead() {
		t.Fatal("an instance without declared services may lead")
	}
	d.declaredServices = []topology.ServiceID{"s"}
	if !d.mayLead() {
		t.Fatal("an instance that uses primaries may not lead")
	}
}

// A forwarding instance confirms rarely. When it begins to use a primary, it must
// confirm immediately, or its first authority would expire before the next confirmation.
func TestNewUserOfAPrimaryConfirmsImmediately(t *testing.T) {
	d := newTestDaemon(t)
	d.setDeclaredServices([]topology.ServiceID{"s"}, usageWrite{revision: 1})
	select {
	case <-d.confirmWake:
	default:
		t.Fatal("the confirmation loop was not woken")
	}
	d.usedServices = []topology.ServiceID{"s"}
	if d.confirmInterval() != upkeep.For(upkeep.Using).ConfirmInterval {
		t.Fatalf("confirms every %s", d.confirmInterval())
	}
}

// A demand of zero is not sent. A customer whose demand ended is therefore missing from
// the later demand.
func TestDemandDiffersWhenACustomerIsMissing(t *testing.T) {
	before := share.Demands{"k": 20, "j": 1}
	if !demandDiffers(share.Demands{"j": 1}, before) || !demandDiffers(before, share.Demands{"j": 1}) {
		t.Fatal("the end of a demand of 20 operations per second is not a significant change")
	}
	if demandDiffers(share.Demands{"k": 20}, before) || demandDiffers(share.Demands{"k": 22, "j": 1}, before) {
		t.Fatal("a negligible change is significant")
	}
}

// A followed peer does not send other instances' usages, so that the mirror may lack some.
// Its answers must not make a fence count as acknowledged.
func TestFollowedPeerDoesNotAcknowledgeFences(t *testing.T) {
	d := newTestDaemon(t)
	d.leadership.fences = make(map[topology.ServiceID]fence)
	d.put(recordKey("s"), failover.Record{Primary: "x", Term: 1, Fenced: true, FenceSequence: 4}.Encode(), 10)
	d.observeFollowed("peer", relay.RegistrationChanges{Until: 12}, 0)
	if d.failoverView(time.Second, "s").FenceAcknowledged {
		t.Fatal("acknowledged after an answer with registrations only")
	}
	d.advanceMirror(12)
	if !d.failoverView(time.Second, "s").FenceAcknowledged {
		t.Fatal("not acknowledged although no instance uses the primary")
	}
}
