package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/membership"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Slot lease timing, relative to the lease duration in the settings.
const (
	// quarantineMarginDivisor sets by how much a slot's quarantine exceeds the lease
	// duration: a tenth of it, as a margin for clock drift. The slot of a failed holder
	// is reassigned that long after the latest time at which its lease can have expired.
	quarantineMarginDivisor = 10
	renewalsPerLease        = 5
)

// instanceTracker merges what the platform's list, peer links and heartbeats report
// about the fleet's instances and publishes the result to the mesh, the configuration
// driver and the groups. It implements platform.Instances for the membership driver:
// it forwards the driver's reads of the platform's list and keeps their results.
type instanceTracker struct {
	daemon *Daemon

	mu struct {
		sync.Mutex
		// listed is the platform's list as last read by this instance or, before its
		// first read, by a peer.
		listed []platform.Instance
		// listRead is set once this instance has read the list itself.
		listRead bool
		// connected holds each peer's description of itself from when a link to it
		// was established.
		connected map[topology.InstanceID]platform.Instance
		// live lists the instances that the membership considers live.
		live []platform.Instance
	}
}

func newInstanceTracker(d *Daemon) *instanceTracker {
	t := &instanceTracker{daemon: d}
	t.mu.connected = make(map[topology.InstanceID]platform.Instance)
	t.mu.live = []platform.Instance{d.self()}
	return t
}

// newMembershipDriver returns the driver that assigns slots to instances and detects
// which instances are live.
func newMembershipDriver(d *Daemon, incarnation uint64) *membership.Driver {
	cfg := membership.DefaultConfig(d.self(), incarnation, d.settings.Fleet.Slots)
	cfg.ListLag = d.settings.ListLag()
	cfg.SlotLeaseTTL = d.settings.SlotLeaseTTL()
	cfg.Quarantine = cfg.SlotLeaseTTL + cfg.SlotLeaseTTL/quarantineMarginDivisor
	cfg.RenewInterval = cfg.SlotLeaseTTL / renewalsPerLease
	random := rand.New(rand.NewPCG(randomSeed(), randomSeed()))
	return membership.New(cfg, d.platform.Store, d.instances, d.mesh, d.clock, random, d.logger)
}

// newIncarnation returns a number above that of every earlier process of this instance:
// the wall-clock time in nanoseconds. IDs that the process assigns count up from it.
func newIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// Instances reads the platform's list and publishes it.
func (t *instanceTracker) Instances(ctx context.Context) ([]platform.Instance, error) {
	list, err := t.daemon.platform.Instances.Instances(ctx)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.mu.listed, t.mu.listRead = list, true
	t.mu.Unlock()
	t.publish()
	return list, nil
}

// Known returns the platform's list as last read by this instance or a peer.
func (t *instanceTracker) Known() []platform.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.listed
}

// peerConnected records a peer to which a link was established, and the platform's list
// as the peer knows it. The peer's list is used until this instance has read the
// platform's list itself; of several peers' lists the longest is kept.
func (t *instanceTracker) peerConnected(peer platform.Instance, known []platform.Instance) {
	t.mu.Lock()
	t.mu.connected[peer.ID] = peer
	if !t.mu.listRead && len(known) > len(t.mu.listed) {
		t.mu.listed = known
	}
	t.mu.Unlock()
	t.daemon.membership.PeerConnected(peer)
	t.publish()
}

// viewChanged updates the live instances from a membership view. If the view lacks an
// instance's failure domain, the description that the instance sent when its link was
// established is used.
func (t *instanceTracker) viewChanged(v membership.View) {
	t.mu.Lock()
	t.mu.live = t.mu.live[:0:0]
	for _, member := range v.Live {
		instance := member.Instance
		if description, ok := t.mu.connected[member.ID]; ok && instance.FailureDomain == "" {
			instance = description
		}
		t.mu.live = append(t.mu.live, instance)
	}
	t.mu.Unlock()
	t.publish()
}

// publish passes the current lists to the mesh, the configuration driver and the groups.
func (t *instanceTracker) publish() {
	t.mu.Lock()
	listed, live := t.mu.listed, t.mu.live
	peers := t.peersLocked()
	t.mu.Unlock()
	d := t.daemon
	d.mesh.SetPeers(peers)
	d.config.SetMembers(live, listed)
	d.services.groups.SetInstances(live)
}

// peersLocked returns the instances to keep links to: the listed ones and, until this
// instance has read the list, all peers that it was connected to. The caller holds mu.
func (t *instanceTracker) peersLocked() []platform.Instance {
	if t.mu.listRead {
		return t.mu.listed
	}
	peers := maps.Clone(t.mu.connected)
	for _, instance := range t.mu.listed {
		peers[instance.ID] = instance
	}
	return slices.Collect(maps.Values(peers))
}
