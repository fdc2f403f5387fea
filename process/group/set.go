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

// ServiceConfig holds the members of one service's group.
type ServiceConfig struct {
	Service topology.ServiceID
	Targets []TargetConfig
}

// Set runs the drivers of all services' groups and forwards the peers' messages to
// them. A service's driver is created when this instance becomes a watcher of its
// group or when a request first uses it. Set is safe for concurrent use; each driver
// has its own lock.
type Set struct {
	configure      func(topology.ServiceID) Config
	deps           Dependencies
	runningDrivers sync.WaitGroup

	// updates serializes changes to the set. Lookups use only mu, so that they do not
	// wait for a change. updates is locked before mu.
	updates struct {
		sync.Mutex
		ring *promotion.Ring
		// ctx is the context of Run, or nil before Run.
		ctx context.Context
	}
	mu struct {
		sync.RWMutex
		services map[topology.ServiceID]*service
	}
}

// service is the state of one service. Its fields are guarded by Set.updates. driver
// is written with Set.mu held as well, so that either lock suffices to read it.
type service struct {
	targets  []TargetConfig
	watchers []promotion.Peer
	// watching is set while this instance is one of the watchers.
	watching bool
	// driver is nil until it is needed.
	driver *Driver
	cancel context.CancelFunc
}

// NewSet returns a set without services. The function configure returns the
// configuration of a service's driver.
func NewSet(configure func(topology.ServiceID) Config, deps Dependencies) *Set {
	s := &Set{configure: configure, deps: deps}
	s.updates.ring = promotion.NewRing(nil)
	s.mu.services = make(map[topology.ServiceID]*service)
	return s
}

// Run runs the drivers until ctx is done and returns once all of them have stopped.
func (s *Set) Run(ctx context.Context) error {
	s.updates.Lock()
	s.updates.ctx = ctx
	for _, service := range s.mu.services {
		s.startDriver(service)
	}
	s.updates.Unlock()
	<-ctx.Done()
	s.updates.Lock()
	defer s.updates.Unlock()
	s.runningDrivers.Wait()
	return nil
}

// startDriver starts a service's driver, if it has one and Run is running. The caller
// holds s.updates.
func (s *Set) startDriver(service *service) {
	if service.driver == nil || s.updates.ctx == nil || s.updates.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.updates.ctx)
	service.cancel = cancel
	s.runningDrivers.Go(func() { _ = service.driver.Run(ctx) })
}

// SetServices replaces the services. Waits on a removed service fail with
// ErrNoQuorum.
func (s *Set) SetServices(configs []ServiceConfig) {
	s.updates.Lock()
	defer s.updates.Unlock()
	services := make(map[topology.ServiceID]*service, len(configs))
	for _, config := range configs {
		current, exists := s.mu.services[config.Service]
		if !exists {
			current = &service{}
			s.updateWatchers(config.Service, current)
		}
		services[config.Service] = current
		if exists && slices.Equal(current.targets, config.Targets) {
			continue
		}
		current.targets = slices.Clone(config.Targets)
		if current.driver != nil {
			current.driver.SetTargets(current.targets)
		}
	}
	for id, removed := range s.mu.services {
		if services[id] == nil && removed.cancel != nil {
			removed.cancel()
		}
	}
	s.mu.Lock()
	s.mu.services = services
	s.mu.Unlock()
	s.ensureWatchedDrivers()
}

// SetInstances sets the instances that are considered live, including this one.
func (s *Set) SetInstances(instances []platform.Instance) {
	peers := make([]promotion.Peer, 0, len(instances))
	for _, instance := range instances {
		peers = append(peers, promotion.Peer{ID: instance.ID, Domain: instance.FailureDomain})
	}
	ring := promotion.NewRing(peers)
	s.updates.Lock()
	defer s.updates.Unlock()
	s.updates.ring = ring
	for id, service := range s.mu.services {
		if s.updateWatchers(id, service) && service.driver != nil {
			service.driver.SetWatchers(service.watchers)
		}
	}
	s.ensureWatchedDrivers()
}

// updateWatchers determines a service's watchers and reports whether they changed. The
// caller holds s.updates.
func (s *Set) updateWatchers(id topology.ServiceID, service *service) bool {
	watchers := s.updates.ring.Watchers(id)
	if slices.Equal(watchers, service.watchers) {
		return false
	}
	self := s.configure(id).Promotion.Self
	service.watchers = watchers
	service.watching = slices.ContainsFunc(watchers, func(p promotion.Peer) bool { return p.ID == self })
	return true
}

// ensureWatchedDrivers creates the missing drivers of the services that this instance
// watches. The caller holds s.updates.
func (s *Set) ensureWatchedDrivers() {
	for id, service := range s.mu.services {
		if service.watching {
			s.ensureDriver(id, service)
		}
	}
}

// ensureDriver returns a service's driver and creates and starts it if there is none.
// The caller holds s.updates.
func (s *Set) ensureDriver(id topology.ServiceID, service *service) *Driver {
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
	s.startDriver(service)
	return driver
}

// Watcher returns the watcher of a service's group, or false if there is no such
// service. It creates the driver if needed.
func (s *Set) Watcher(id topology.ServiceID) (Watcher, bool) {
	driver, exists := s.lookupDriver(id)
	switch {
	case !exists:
		return nil, false
	case driver != nil:
		return driver, true
	}
	s.updates.Lock()
	defer s.updates.Unlock()
	service, exists := s.mu.services[id]
	if !exists {
		return nil, false
	}
	return s.ensureDriver(id, service), true
}

// lookupDriver returns a service's driver, or nil if it has none yet, and whether there
// is such a service.
func (s *Set) lookupDriver(id topology.ServiceID) (*Driver, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	service, exists := s.mu.services[id]
	if !exists {
		return nil, false
	}
	return service.driver, true
}

// Receive implements peer.Receiver for messages of peer.KindGroup.
func (s *Set) Receive(from topology.InstanceID, payload []byte) {
	decoded, err := decodeMessage(payload)
	if err != nil {
		eventMessageInvalid.Log(s.deps.Log, "peer", from, "error", err.Error())
		return
	}
	if driver, _ := s.lookupDriver(decoded.Service); driver != nil {
		driver.handleMessage(from, decoded)
	}
}
