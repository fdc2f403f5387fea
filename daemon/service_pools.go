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

// Bounds of the pool of one target.
const (
	targetDialTimeout    = 3 * time.Second
	maxQueueLength       = 4096
	maxQueuedPerCustomer = 1024
	maxQueueWait         = 5 * time.Second
)

// targetPool is the connection pool of one target.
type targetPool = pool.Pool[*upstream.Conn]

// servicePools holds the connection pools of one service, one pool for each target of
// the service's record.
type servicePools struct {
	mu struct {
		sync.RWMutex
		record record.Service
		pools  map[topology.TargetID]*targetPool
	}
}

// pool returns the pool of a target.
func (s *servicePools) pool(target topology.TargetID) (*targetPool, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.mu.pools[target]
	return p, ok
}

// poolChange is the replacement of a target's pool after a change of the record. The
// old pool is nil for a new target, the replacement for a removed one.
type poolChange struct {
	target           topology.TargetID
	old, replacement *targetPool
}

// update replaces the record, opens pools for new targets and returns the changes that
// the caller has to complete: pools of targets that were added, removed, or have
// another address or login. The pools of all other targets are kept.
func (s *servicePools) update(next record.Service, open func(record.Service, record.ServiceTarget) *targetPool) []poolChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, previousPools := s.mu.record, s.mu.pools
	s.mu.record = next
	s.mu.pools = make(map[topology.TargetID]*targetPool, len(next.Targets))
	var changes []poolChange
	for _, target := range next.Targets {
		old := previousPools[target.ID]
		delete(previousPools, target.ID)
		if old != nil && loginUnchanged(previous, next) && addressUnchanged(previous, target) {
			old.SetMaxInFlight(next.Slots)
			s.mu.pools[target.ID] = old
			continue
		}
		replacement := open(next, target)
		s.mu.pools[target.ID] = replacement
		changes = append(changes, poolChange{target.ID, old, replacement})
	}
	for target, old := range previousPools {
		changes = append(changes, poolChange{target, old, nil})
	}
	return changes
}

// removeAll removes all pools and returns them as changes without a replacement.
func (s *servicePools) removeAll() []poolChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []poolChange
	for target, old := range s.mu.pools {
		changes = append(changes, poolChange{target, old, nil})
	}
	s.mu.pools = nil
	return changes
}

func loginUnchanged(previous, next record.Service) bool {
	return previous.Database == next.Database && previous.Credential == next.Credential
}

func addressUnchanged(previous record.Service, target record.ServiceTarget) bool {
	for _, old := range previous.Targets {
		if old.ID == target.ID {
			return old.Address == target.Address
		}
	}
	return false
}

// newTargetDialer returns the function that opens and logs in connections to a target
// with the credential that the service's record names.
func newTargetDialer(credentials map[string]settings.Credential, s record.Service, target record.ServiceTarget) pool.Dial[*upstream.Conn] {
	return func(ctx context.Context) (*upstream.Conn, error) {
		credential, ok := credentials[s.Credential]
		if !ok {
			return nil, eris.Errorf("dial target %s: settings have no credential %q", target.ID, s.Credential)
		}
		return upstream.Dial(ctx, upstream.Config{
			Target: target.ID, Address: target.Address, Database: s.Database,
			User: credential.User, Password: credential.Password,
		})
	}
}

// newPoolConfig returns the configuration of the pool of a target. The limit of its
// connections is zero until the ledger sets it.
func newPoolConfig(s record.Service, target record.ServiceTarget, changed func()) pool.Config {
	queue := fairqueue.DefaultConfig()
	queue.MaxLength, queue.MaxPerCustomer, queue.MaxWait = maxQueueLength, maxQueuedPerCustomer, maxQueueWait
	return pool.Config{
		Target:      target.ID,
		MaxInFlight: s.Slots,
		DialTimeout: targetDialTimeout,
		Queue:       queue,
		OnChange:    changed,
	}
}
