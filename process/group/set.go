package group

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// ServiceConfig lists the members of one service's group.
type ServiceConfig struct {
	Service topology.ServiceID
	Targets []TargetConfig
}

// Set runs the drivers of the services and hands them the peers' messages. A
// service gets its driver once this instance watches its group or a request
// uses it. Set is safe for concurrent use; each driver has its own lock.
type Set struct {
	configure func(topology.ServiceID) Config
	deps      Dependencies
	running   sync.WaitGroup

	// change serializes the changes, so that lookups wait for none.
	change struct {
		sync.Mutex
		ring *promotion.Ring
		ctx  context.Context
	}
	mu struct {
		sync.RWMutex
		services map[topology.ServiceID]*service
	}
}

// service is one service. Its fields are guarded by the change lock, but for
// driver, which the other lock guards too.
type service struct {
	targets  []TargetConfig
	watchers []promotion.Peer
	watching bool
	driver   *Driver
	cancel   context.CancelFunc
}

// NewSet returns a set without services. Configure gives each service's
// configuration.
func NewSet(configure func(topology.ServiceID) Config, deps Dependencies) *Set {
	s := &Set{configure: configure, deps: deps}
	s.change.ring = promotion.NewRing(nil)
	s.mu.services = make(map[topology.ServiceID]*service)
	return s
}

// Run runs the drivers until ctx ends and returns once all have ended.
func (s *Set) Run(ctx context.Context) error {
	s.change.Lock()
	s.change.ctx = ctx
	for _, service := range s.mu.services {
		s.start(service)
	}
	s.change.Unlock()
	<-ctx.Done()
	s.change.Lock()
	defer s.change.Unlock()
	s.running.Wait()
	return nil
}

// start runs a service's driver, if it has one. Before Run it does nothing.
func (s *Set) start(service *service) {
	if service.driver == nil || s.change.ctx == nil || s.change.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.change.ctx)
	service.cancel = cancel
	s.running.Go(func() { _ = service.driver.Run(ctx) })
}

// SetServices replaces the services. A removed service's waits end with
// ErrNoEvidence.
func (s *Set) SetServices(configs []ServiceConfig) {
	s.change.Lock()
	defer s.change.Unlock()
	services := make(map[topology.ServiceID]*service, len(configs))
	for _, config := range configs {
		kept, exists := s.mu.services[config.Service]
		if !exists {
			kept = &service{}
			s.watch(config.Service, kept)
		}
		services[config.Service] = kept
		if exists && slices.Equal(kept.targets, config.Targets) {
			continue
		}
		kept.targets = slices.Clone(config.Targets)
		if kept.driver != nil {
			kept.driver.SetTargets(kept.targets)
		}
	}
	for id, gone := range s.mu.services {
		if services[id] == nil && gone.cancel != nil {
			gone.cancel()
		}
	}
	s.mu.Lock()
	s.mu.services = services
	s.mu.Unlock()
	s.driveWatched()
}

// SetInstances tells which instances are believed live, this one included.
func (s *Set) SetInstances(instances []platform.Instance) {
	peers := make([]promotion.Peer, 0, len(instances))
	for _, instance := range instances {
		peers = append(peers, promotion.Peer{ID: instance.ID, Domain: instance.FailureDomain})
	}
	ring := promotion.NewRing(peers)
	s.change.Lock()
	defer s.change.Unlock()
	s.change.ring = ring
	for id, service := range s.mu.services {
		if s.watch(id, service) && service.driver != nil {
			service.driver.SetWatchers(service.watchers)
		}
	}
	s.driveWatched()
}

// watch looks up a service's watchers and reports whether they changed.
func (s *Set) watch(id topology.ServiceID, service *service) bool {
	watchers := s.change.ring.Watchers(id)
	if slices.Equal(watchers, service.watchers) {
		return false
	}
	self := s.configure(id).Promotion.Self
	service.watchers = watchers
	service.watching = slices.ContainsFunc(watchers, func(p promotion.Peer) bool { return p.ID == self })
	return true
}

// driveWatched gives a driver to each service that this instance watches.
func (s *Set) driveWatched() {
	for id, service := range s.mu.services {
		if service.watching {
			s.drive(id, service)
		}
	}
}

// drive gives a service its driver. The change lock is held.
func (s *Set) drive(id topology.ServiceID, service *service) *Driver {
	if service.driver != nil {
		return service.driver
	}
	deps := s.deps
	deps.Random = rand.New(rand.NewPCG(s.deps.Random.Uint64(), s.deps.Random.Uint64()))
	driver := NewDriver(s.configure(id), deps)
	driver.SetTargets(service.targets)
	driver.SetWatchers(service.watchers)
	s.mu.Lock()
	service.driver = driver
	s.mu.Unlock()
	s.start(service)
	return driver
}

// Watcher returns a service's watcher, or false when there is no such service.
func (s *Set) Watcher(id topology.ServiceID) (Watcher, bool) {
	driver, exists := s.driver(id)
	switch {
	case !exists:
		return nil, false
	case driver != nil:
		return driver, true
	}
	s.change.Lock()
	defer s.change.Unlock()
	service, exists := s.mu.services[id]
	if !exists {
		return nil, false
	}
	return s.drive(id, service), true
}

// driver returns a service's driver, or nil when it has none, and whether there
// is such a service.
func (s *Set) driver(id topology.ServiceID) (*Driver, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	service, exists := s.mu.services[id]
	if !exists {
		return nil, false
	}
	return service.driver, true
}

// Receive is the peer.Receiver of peer.KindGroup.
func (s *Set) Receive(from topology.InstanceID, payload []byte) {
	m, err := decodeMessage(payload)
	if err != nil {
		eventMessageUnread.Log(s.deps.Log, "peer", from, "error", err.Error())
		return
	}
	if driver, _ := s.driver(m.Service); driver != nil {
		driver.receive(from, m)
	}
}
