package daemon

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/pool"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/execute"
	"samphirehitch.example/samphirehitch/version/record"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// serviceSet holds the group driver and the connection pools of each configured
// service. Requests read the index without a lock: it is immutable, and a change stores
// a new one. It implements execute.Groups and execute.Pools.
type serviceSet struct {
	daemon *Daemon
	groups *group.Set
	index  atomic.Pointer[map[topology.ServiceID]*servicePools]
	// retiring tracks closed pools that still have open connections.
	retiring sync.WaitGroup
	// mu serializes changes of the index.
	mu sync.Mutex
}

func newServiceSet(d *Daemon) *serviceSet {
	s := &serviceSet{daemon: d, groups: newGroupSet(d)}
	s.index.Store(&map[topology.ServiceID]*servicePools{})
	return s
}

// Watcher implements execute.Groups.
func (s *serviceSet) Watcher(id topology.ServiceID) (group.Watcher, bool) {
	return s.groups.Watcher(id)
}

// Acquire implements execute.Pools.
func (s *serviceSet) Acquire(ctx context.Context, id topology.ServiceID, target topology.TargetID, customer topology.CustomerID) (execute.Lease, error) {
	pools, ok := (*s.index.Load())[id]
	if !ok {
		return nil, eris.Errorf("acquire: service %s is not configured", id)
	}
	p, ok := pools.pool(target)
	if !ok {
		return nil, eris.Errorf("acquire: service %s has no target %s", id, target)
	}
	lease, err := p.Acquire(ctx, customer)
	if err != nil {
		return nil, err
	}
	return lease, nil
}

// update creates, changes and removes services to match the snapshot.
func (s *serviceSet) update(next *snapshot.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := *s.index.Load()
	index := make(map[topology.ServiceID]*servicePools, len(next.Services()))
	groups := make([]group.ServiceConfig, 0, len(next.Services()))
	for _, r := range next.Services() {
		pools, ok := previous[r.ID]
		if !ok {
			pools = s.newServicePools(r)
		}
		s.attachOrRetire(pools.update(r, s.openPool))
		index[r.ID] = pools
		groups = append(groups, groupConfig(r))
	}
	s.groups.SetServices(groups)
	s.index.Store(&index)
	for id, pools := range previous {
		if _, kept := index[id]; !kept {
			s.attachOrRetire(pools.removeAll())
		}
	}
}

// attachOrRetire attaches the pools of new targets to the ledger and retires old pools
// in the background. A replacement is attached when its predecessor has closed.
func (s *serviceSet) attachOrRetire(changes []poolChange) {
	for _, change := range changes {
		if change.old == nil {
			s.daemon.ledger.AttachPool(change.target, change.replacement)
			continue
		}
		s.retiring.Go(func() { s.daemon.retirePool(change.target, change.old, change.replacement) })
	}
}

// groupConfig returns the group of a service: its targets are the members.
func groupConfig(r record.Service) group.ServiceConfig {
	cfg := group.ServiceConfig{Service: r.ID}
	for _, target := range r.Targets {
		cfg.Targets = append(cfg.Targets, group.TargetConfig{Target: target.Target, Leaving: target.Leaving})
	}
	return cfg
}

func (s *serviceSet) openPool(r record.Service, target record.ServiceTarget) *targetPool {
	d := s.daemon
	cfg := newPoolConfig(r, target, d.ledger.PoolChanged)
	return pool.New(cfg, newTargetDialer(d.settings.Credentials, r, target), d.clock, d.logger)
}

// newServicePools returns an empty set of pools for a service, and logs a warning if the
// settings lack the credential that its record names.
func (s *serviceSet) newServicePools(r record.Service) *servicePools {
	d := s.daemon
	if _, ok := d.settings.Credentials[r.Credential]; !ok {
		eventCredentialMissing.Log(d.logger, "service", r.ID, "credential", r.Credential)
	}
	pools := &servicePools{}
	pools.mu.pools = make(map[topology.TargetID]*targetPool)
	return pools
}

// close retires every pool and waits until all connections are closed.
func (s *serviceSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pools := range *s.index.Load() {
		s.attachOrRetire(pools.removeAll())
	}
	s.index.Store(&map[topology.ServiceID]*servicePools{})
	s.retiring.Wait()
}
