package group

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// ServiceConfig lists the members of one service's group.
type ServiceConfig struct {
	Service topology.ServiceID
	Targets []TargetConfig
}

// Set runs a driver for each service and hands them the peers' messages. It is
// safe for concurrent use; each driver has its own lock.
type Set struct {
	configure func(topology.ServiceID) Config
	deps      Dependencies
	running   sync.WaitGroup

	mu struct {
		sync.RWMutex
		drivers   map[topology.ServiceID]*running
		instances []platform.Instance
		ctx       context.Context
	}
}

type running struct {
	*Driver
	cancel context.CancelFunc
}

// NewSet returns a set without services. Configure gives each service's
// configuration.
func NewSet(configure func(topology.ServiceID) Config, deps Dependencies) *Set {
	s := &Set{configure: configure, deps: deps}
	s.mu.drivers = make(map[topology.ServiceID]*running)
	return s
}

// Run runs the drivers until ctx ends and returns once all have ended.
func (s *Set) Run(ctx context.Context) error {
	s.mu.Lock()
	s.mu.ctx = ctx
	for _, r := range s.mu.drivers {
		s.start(r)
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.running.Wait()
	return nil
}

// start runs a driver. The lock is held; before Run it does nothing.
func (s *Set) start(r *running) {
	if s.mu.ctx == nil || s.mu.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.mu.ctx)
	r.cancel = cancel
	s.running.Go(func() { _ = r.Run(ctx) })
}

// SetServices replaces the services. A removed service's waits end with
// ErrNoEvidence.
func (s *Set) SetServices(services []ServiceConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := maps.Clone(s.mu.drivers)
	for _, service := range services {
		delete(gone, service.Service)
		r, exists := s.mu.drivers[service.Service]
		if !exists {
			r = s.add(service.Service)
		}
		r.SetTargets(service.Targets)
	}
	for id, r := range gone {
		delete(s.mu.drivers, id)
		if r.cancel != nil {
			r.cancel()
		}
	}
}

func (s *Set) add(service topology.ServiceID) *running {
	deps := s.deps
	deps.Random = rand.New(rand.NewPCG(s.deps.Random.Uint64(), s.deps.Random.Uint64()))
	r := &running{Driver: NewDriver(s.configure(service), deps)}
	r.SetInstances(s.mu.instances)
	s.mu.drivers[service] = r
	s.start(r)
	return r
}

// SetInstances tells which instances are believed live, this one included.
func (s *Set) SetInstances(instances []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.instances = slices.Clone(instances)
	for _, r := range s.mu.drivers {
		r.SetInstances(s.mu.instances)
	}
}

// Watcher returns a service's watcher, or false when there is no such service.
func (s *Set) Watcher(service topology.ServiceID) (Watcher, bool) {
	driver, ok := s.driver(service)
	if !ok {
		return nil, false
	}
	return driver, true
}

func (s *Set) driver(service topology.ServiceID) (*Driver, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.mu.drivers[service]
	if !ok {
		return nil, false
	}
	return r.Driver, true
}

// Receive is the peer.Receiver of peer.KindGroup.
func (s *Set) Receive(from topology.InstanceID, payload []byte) {
	m, err := decodeMessage(payload)
	if err != nil {
		eventMessageUnread.Log(s.deps.Log, "peer", from, "error", err.Error())
		return
	}
	if driver, ok := s.driver(m.Service); ok {
		driver.receive(from, m)
	}
}
