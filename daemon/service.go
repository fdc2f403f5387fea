package daemon

import (
	"context"
	"sync"
	"time"

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
	targetDial       = 3 * time.Second
	queueLength      = 4096
	queuePerCustomer = 1024
	queueWaitLimit   = 5 * time.Second
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

// poolChange is what becomes of a target's pool when a record changes. Either
// side may be nil.
type poolChange struct {
	target     topology.TargetID
	old, fresh *targetPool
}

// apply makes the pools follow the record and returns what changed: pools of new
// targets, and of targets that are gone, moved or reached in another way.
func (s *service) apply(next record.Service, open func(record.Service, record.ServiceTarget) *targetPool) []poolChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, before := s.mu.record, s.mu.pools
	s.mu.record = next
	s.mu.pools = make(map[topology.TargetID]*targetPool, len(next.Targets))
	var changes []poolChange
	for _, target := range next.Targets {
		old := before[target.ID]
		delete(before, target.ID)
		if old != nil && sameLogin(previous, next) && sameAddress(previous, target) {
			old.SetMaxInFlight(next.Slots)
			s.mu.pools[target.ID] = old
			continue
		}
		fresh := open(next, target)
		s.mu.pools[target.ID] = fresh
		changes = append(changes, poolChange{target.ID, old, fresh})
	}
	for target, old := range before {
		changes = append(changes, poolChange{target, old, nil})
	}
	return changes
}

// clear takes all pools away.
func (s *service) clear() []poolChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []poolChange
	for target, old := range s.mu.pools {
		changes = append(changes, poolChange{target, old, nil})
	}
	s.mu.pools = nil
	return changes
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

// poolConfig sizes the pool of a target. The ledger raises its limit.
func poolConfig(s record.Service, target record.ServiceTarget, changed func()) pool.Config {
	queue := fairqueue.DefaultConfig()
	queue.MaxLength, queue.MaxPerCustomer, queue.MaxWait = queueLength, queuePerCustomer, queueWaitLimit
	return pool.Config{
		Target:      target.ID,
		MaxInFlight: s.Slots,
		DialTimeout: targetDial,
		Queue:       queue,
		OnChange:    changed,
	}
}
