// Package perform runs callers' statements on targets: it authorizes and admits
// operations, chooses floors, leases connections, retries what has provably not
// run and says truthfully what became of the rest.
package perform

import (
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/connection/client"
	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/dispatch"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Tenure tells which rights hold; tenure.Tenure implements it.
type Tenure interface {
	Keys(now time.Duration) bool
	// Registered reports that the instance counts as one of the fleet.
	Registered(now time.Duration) bool
	// Age returns the time since the last confirmation, negative without any.
	Age(now time.Duration) time.Duration
	Primary(now time.Duration, service topology.ServiceID, revision store.Revision) bool
	// End returns when the right to the service's primary ends.
	End(service topology.ServiceID) time.Duration
}

// service is the state of one service, under its own lock.
type service struct {
	id     topology.ServiceID
	tenure Tenure

	mu       sync.Mutex
	dispatch *dispatch.Dispatcher
	record   failover.Record
	revision store.Revision
	// connections is this instance's share of each target's.
	connections int
	// declared reports that the instance has declared to use the primary.
	declared bool
	// yielding is the primary that a fence forbids while statements in flight
	// there may still be answered, until yieldEnd.
	yielding topology.TargetID
	yieldEnd time.Duration
	// onPrimary counts leases on the primary.
	onPrimary int
}

// usable returns the primary that may be used at now, empty for none. The caller
// holds the lock.
func (s *service) usable(now time.Duration) topology.TargetID {
	if !s.declared || s.revision == 0 || s.record.Fenced || !s.tenure.Primary(now, s.id, s.revision) {
		return ""
	}
	return s.record.Primary
}

// tick brings the dispatcher up to now.
func (s *service) tick(now time.Duration) {
	s.mu.Lock()
	s.dispatch.SetPrimary(now, s.usable(now))
	s.holdShare(now)
	s.dispatch.Pump(now)
	evicted := s.dispatch.TakeEvicted()
	s.mu.Unlock()
	closeLinks(evicted)
}

// holdShare lets the dispatcher hold this instance's share of connections. Without a
// registration that is nothing: others divide the connections among themselves. The
// caller holds the lock.
func (s *service) holdShare(now time.Duration) {
	if s.tenure.Registered(now) {
		s.dispatch.SetConnections(now, s.connections)
	} else {
		s.dispatch.SetConnections(now, 0)
	}
}

// setTargets replaces the targets.
func (s *service) setTargets(now time.Duration, targets map[topology.TargetID]directory.Target) {
	s.mu.Lock()
	s.dispatch.SetTargets(now, targets)
	evicted := s.dispatch.TakeEvicted()
	s.mu.Unlock()
	closeLinks(evicted)
}

// setRecord takes the service's record. A fence lets statements in flight end
// until Yielded is called or the right ends.
func (s *service) setRecord(now time.Duration, record failover.Record, revision store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision {
		return
	}
	if record.Fenced && !s.record.Fenced {
		s.yielding, s.yieldEnd = s.record.Primary, s.tenure.End(s.id)
	}
	if !record.Fenced {
		s.yielding = ""
	}
	if record.Term != s.record.Term {
		s.dispatch.Floors.Reset()
	}
	s.record, s.revision = record, revision
	s.dispatch.SetPrimary(now, s.usable(now))
}

// yielded reports whether nothing runs on a fenced primary any more, or ends its
// use when force is set.
func (s *service) yielded(force bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onPrimary > 0 && !force {
		return false
	}
	s.yielding = ""
	return true
}

// mayUse reports whether a lease on the primary may still be used, or its answer
// acknowledged.
func (s *service) mayUse(now time.Duration, id topology.TargetID, sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.Sequence == sequence {
		return s.usable(now) == id
	}
	return s.record.Fenced && s.yielding == id && s.record.Sequence == sequence+1 && now < s.yieldEnd
}

func closeLinks(conns []any) {
	for _, conn := range conns {
		_ = conn.(*client.Link).Conn.Close() // the connection was idle; nothing depends on its end
	}
}
