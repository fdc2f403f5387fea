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

// services holds what runs for each service record. Requests read an immutable
// index; changes replace it.
type services struct {
	daemon *Daemon
	groups *group.Set
	index  atomic.Pointer[map[topology.ServiceID]*service]
	// retiring counts pools whose connections are being closed.
	retiring sync.WaitGroup
	// mu serialises changes.
	mu sync.Mutex
}

func newServices(d *Daemon) *services {
	s := &services{daemon: d, groups: newGroups(d)}
	s.index.Store(&map[topology.ServiceID]*service{})
	return s
}

// Watcher implements execute.Groups.
func (s *services) Watcher(id topology.ServiceID) (group.Watcher, bool) { return s.groups.Watcher(id) }

// Acquire implements execute.Pools.
func (s *services) Acquire(ctx context.Context, id topology.ServiceID, target topology.TargetID, customer topology.CustomerID) (execute.Lease, error) {
	running, ok := (*s.index.Load())[id]
	if !ok {
		return nil, eris.Errorf("acquire: service %s is not configured", id)
	}
	p, ok := running.pool(target)
	if !ok {
		return nil, eris.Errorf("acquire: service %s has no target %s", id, target)
	}
	lease, err := p.Acquire(ctx, customer)
	if err != nil {
		return nil, err
	}
	return lease, nil
}

// apply starts, changes and stops services as the snapshot says.
func (s *services) apply(next *snapshot.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := *s.index.Load()
	index := make(map[topology.ServiceID]*service, len(next.Services()))
	groups := make([]group.ServiceConfig, 0, len(next.Services()))
	for _, r := range next.Services() {
		running, ok := previous[r.ID]
		if !ok {
			running = s.start(r)
		}
		s.settle(running.apply(r, s.openPool))
		index[r.ID] = running
		groups = append(groups, groupOf(r))
	}
	s.groups.SetServices(groups)
	s.index.Store(&index)
	for id, running := range previous {
		if _, kept := index[id]; !kept {
			s.settle(running.clear())
		}
	}
}

// settle tells the ledger of new pools and retires old ones.
func (s *services) settle(changes []poolChange) {
	for _, change := range changes {
		if change.old == nil {
			s.daemon.ledger.AttachPool(change.target, change.fresh)
			continue
		}
		s.retiring.Go(func() { s.daemon.retire(change.target, change.old, change.fresh) })
	}
}

// groupOf lists the members of a service's group.
func groupOf(r record.Service) group.ServiceConfig {
	cfg := group.ServiceConfig{Service: r.ID}
	for _, target := range r.Targets {
		cfg.Targets = append(cfg.Targets, group.TargetConfig{Target: target.Target, Leaving: target.Leaving})
	}
	return cfg
}

func (s *services) openPool(r record.Service, target record.ServiceTarget) *targetPool {
	d := s.daemon
	cfg := poolConfig(r, target, d.ledger.PoolChanged)
	return pool.New(cfg, dialer(d.settings.Credentials, r, target), d.clock, d.logger)
}

// start returns a new service without pools.
func (s *services) start(r record.Service) *service {
	d := s.daemon
	if _, ok := d.settings.Credentials[r.Credential]; !ok {
		eventLogins.Log(d.logger, "service", r.ID, "credential", r.Credential)
	}
	running := &service{}
	running.mu.pools = make(map[topology.TargetID]*targetPool)
	return running
}

// close retires every pool and waits until the last connection is closed.
func (s *services) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, running := range *s.index.Load() {
		s.settle(running.clear())
	}
	s.index.Store(&map[topology.ServiceID]*service{})
	s.retiring.Wait()
}
