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

// A slot of a dead holder passes on a quarantineMargin-th of the right's term after
// the right ended at the latest; a right is renewed renewalsPerTerm times in its
// term.
const (
	quarantineMargin = 10
	renewalsPerTerm  = 5
)

// members gathers what is known of the fleet's instances, from the platform's
// list, from links and from heartbeats, and tells the parts that need it. It
// implements platform.Instances for the membership driver, whose reads of the
// list it passes on.
type members struct {
	daemon *Daemon

	mu struct {
		sync.Mutex
		// known is the platform's list as last read, here or by a peer.
		known []platform.Instance
		// read is set once this instance has read the list itself.
		read bool
		// linked holds how each peer described itself when a link came up.
		linked map[topology.InstanceID]platform.Instance
		live   []platform.Instance
	}
}

func newMembers(d *Daemon) *members {
	m := &members{daemon: d}
	m.mu.linked = make(map[topology.InstanceID]platform.Instance)
	m.mu.live = []platform.Instance{d.self()}
	return m
}

// newMembership returns the driver that assigns slots and judges liveness.
func newMembership(d *Daemon, firstID uint64) *membership.Driver {
	cfg := membership.DefaultConfig(d.self(), firstID, d.settings.Fleet.Slots)
	cfg.ListLag = d.settings.ListLag()
	cfg.SlotLeaseTTL = d.settings.SlotLeaseTTL()
	cfg.Quarantine = cfg.SlotLeaseTTL + cfg.SlotLeaseTTL/quarantineMargin
	cfg.RenewInterval = cfg.SlotLeaseTTL / renewalsPerTerm
	rng := rand.New(rand.NewPCG(randomSeed(), randomSeed()))
	return membership.New(cfg, d.platform.Store, d.members, d.mesh, d.clock, rng, d.logger)
}

// firstID numbers this process above every earlier one of the instance.
func firstID() uint64 { return uint64(time.Now().UnixNano()) }

// Instances reads the platform's list and passes it on.
func (m *members) Instances(ctx context.Context) ([]platform.Instance, error) {
	list, err := m.daemon.platform.Instances.Instances(ctx)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.mu.known, m.mu.read = list, true
	m.mu.Unlock()
	m.publish()
	return list, nil
}

// Known returns the platform's list as last read.
func (m *members) Known() []platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.known
}

// linkUp takes what a peer said when a link to it came up. Its list stands in
// until this instance has read the platform's own.
func (m *members) linkUp(peer platform.Instance, known []platform.Instance) {
	m.mu.Lock()
	m.mu.linked[peer.ID] = peer
	if !m.mu.read && len(known) > len(m.mu.known) {
		m.mu.known = known
	}
	m.mu.Unlock()
	m.daemon.fleet.PeerConnected(peer)
	m.publish()
}

// viewChanged takes the instances that are believed alive.
func (m *members) viewChanged(v membership.View) {
	m.mu.Lock()
	m.mu.live = m.mu.live[:0:0]
	for _, member := range v.Live {
		instance := member.Instance
		if linked, ok := m.mu.linked[member.ID]; ok && instance.FailureDomain == "" {
			instance = linked
		}
		m.mu.live = append(m.mu.live, instance)
	}
	m.mu.Unlock()
	m.publish()
}

// publish tells every part of the present lists.
func (m *members) publish() {
	m.mu.Lock()
	known, live := m.mu.known, m.mu.live
	wanted := m.wanted()
	m.mu.Unlock()
	d := m.daemon
	d.mesh.SetPeers(wanted)
	d.config.SetMembers(live, known)
	d.services.groups.SetInstances(live)
}

// wanted returns the instances to keep links to: the known ones and, until the
// list has been read, those that have linked to this one. The lock is held.
func (m *members) wanted() []platform.Instance {
	if m.mu.read {
		return m.mu.known
	}
	all := maps.Clone(m.mu.linked)
	for _, instance := range m.mu.known {
		all[instance.ID] = instance
	}
	return slices.Collect(maps.Values(all))
}
