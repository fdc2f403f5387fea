package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/connection/upstream"
	"samphirehitch.example/samphirehitch/process/fairqueue"
	"samphirehitch.example/samphirehitch/process/pool"
	"samphirehitch.example/samphirehitch/process/settings"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/record"
)

// Timing and size of a service's parts.
const (
	targetDial     = 3 * time.Second
	queueLength    = 4096
	queuePerParty  = 1024
	queueWaitLimit = 5 * time.Second
)

// targetPool is the pool of one target.
type targetPool = pool.Pool[*upstream.Conn]

// service holds a pool for each target of one service record.
type service struct {
	mu struct {
		sync.RWMutex
		record record.Service
		pools  map[topology.TargetID]*targetPool
	}
}

// pool returns the pool of a target.
func (s *service) pool(target topology.TargetID) (*targetPool, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.mu.pools[target]
	return p, ok
}

// apply makes the pools follow the record.
func (s *service) apply(next record.Service, open func(record.Service, record.ServiceTarget) *targetPool) {
	for _, old := range s.replacePools(next, open) {
		old.Close()
	}
}

// replacePools opens pools for new targets and returns those to close: of
// targets that are gone, moved or reached in another way.
func (s *service) replacePools(next record.Service, open func(record.Service, record.ServiceTarget) *targetPool) []*targetPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.mu.record
	kept := make(map[topology.TargetID]*targetPool, len(next.Targets))
	for _, target := range next.Targets {
		old, ok := s.mu.pools[target.ID]
		if ok && sameLogin(previous, next) && sameAddress(previous, target) {
			kept[target.ID] = old
			delete(s.mu.pools, target.ID)
			old.SetMaxInFlight(next.Slots)
			continue
		}
		kept[target.ID] = open(next, target)
	}
	var closing []*targetPool
	for _, old := range s.mu.pools {
		closing = append(closing, old)
	}
	s.mu.record = next
	s.mu.pools = kept
	return closing
}

// close closes the pools.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.mu.pools {
		p.Close()
	}
	s.mu.pools = nil
}

func sameLogin(a, b record.Service) bool {
	return a.Database == b.Database && a.Credential == b.Credential
}

func sameAddress(previous record.Service, target record.ServiceTarget) bool {
	for _, old := range previous.Targets {
		if old.ID == target.ID {
			return old.Address == target.Address
		}
	}
	return false
}

// dialer returns the function that opens connections to a target.
func dialer(credentials map[string]settings.Credential, s record.Service, target record.ServiceTarget) pool.Dial[*upstream.Conn] {
	return func(ctx context.Context) (*upstream.Conn, error) {
		credential, ok := credentials[s.Credential]
		if !ok {
			return nil, eris.Errorf("dial target %s: settings hold no credential %q", target.ID, s.Credential)
		}
		return upstream.Dial(ctx, upstream.Config{
			Target: target.ID, Address: target.Address, Database: s.Database,
			User: credential.User, Password: credential.Password,
		})
	}
}

// poolConfig sizes the pool of a target.
func poolConfig(s record.Service, target record.ServiceTarget, limit int, changed func()) pool.Config {
	return pool.Config{
		Target:      target.ID,
		Limit:       limit,
		MaxInFlight: s.Slots,
		DialTimeout: targetDial,
		Queue:       fairqueue.Config{MaxLength: queueLength, MaxPerCustomer: queuePerParty, MaxWait: queueWaitLimit},
		Changed:     changed,
	}
}

// openPool returns a pool for a target.
func openPool(d *Daemon, s record.Service, target record.ServiceTarget, logger logr.Logger) *targetPool {
	limit := d.connectionLimit(s, target.ID)
	cfg := poolConfig(s, target, limit, func() { d.demandChanged(target.ID) })
	return pool.New(cfg, dialer(d.settings.Credentials, s, target), d.clock, logger)
}
