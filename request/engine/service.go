// Package engine is the request engine. It runs callers' statements on targets: it
// authorizes and admits operations, chooses the log position that a read must see,
// leases connections, retries statements that provably have not run, and reports
// the others as failed or in doubt.
package engine

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

// Authority reports what the instance may do on the strength of its last
// confirmation by the store.
type Authority interface {
	// MayAcceptKeys reports whether callers' keys may be accepted.
	MayAcceptKeys(now time.Duration) bool
	// RegistrationValid reports whether the instance's registration is certain to be
	// valid, so that it counts as a member of the fleet.
	RegistrationValid(now time.Duration) bool
	// ConfirmationAge returns the time since the last confirmation of the configuration,
	// negative without any.
	ConfirmationAge(now time.Duration) time.Duration
	// MayUsePrimary reports whether the primary that the service's record names at a
	// revision may be used.
	MayUsePrimary(now time.Duration, service topology.ServiceID, revision store.Revision) bool
	// PrimaryExpiry returns when the authority to use the primary that the service's record
	// names at a revision expires, zero without any.
	PrimaryExpiry(service topology.ServiceID, revision store.Revision) time.Duration
}

// service is the state of one service. Its mutex guards the fields that follow it.
type service struct {
	id        topology.ServiceID
	authority Authority

	mu       sync.Mutex
	dispatch *dispatch.Dispatcher
	// record names the primary; revision is its store revision, zero before the
	// first record.
	record   failover.Record
	revision store.Revision
	// connections is this instance's share of each target's connections.
	connections int
	// declaredUse reports whether the instance has declared that it uses the
	// primary.
	declaredUse bool
	// drainingPrimary is the fenced primary whose statements in flight, granted under
	// drainingSequence, may still complete until drainDeadline; empty without one.
	drainingPrimary  topology.TargetID
	drainingSequence uint64
	drainDeadline    time.Duration
	// primaryLeases is the number of leases on a primary.
	primaryLeases int
	// reportedPrimary is the primary whose use tick has last reported, empty for none.
	reportedPrimary topology.TargetID
}

// usablePrimary returns the primary that may be used at now, or an empty ID. The
// caller holds the lock.
func (s *service) usablePrimary(now time.Duration) topology.TargetID {
	if !s.declaredUse || s.revision == 0 || s.record.Fenced || !s.authority.MayUsePrimary(now, s.id, s.revision) {
		return ""
	}
	return s.record.Primary
}

// waitingFor returns why the service has no primary, if none is expected soon. The caller holds
// the lock.
func (s *service) waitingFor() string {
	if s.revision == 0 || !s.record.Fenced {
		return ""
	}
	return s.record.Waiting
}

// primaryUse is the use of a service's primary by this instance.
type primaryUse struct {
	service topology.ServiceID
	// primary is empty if none is used.
	primary  topology.TargetID
	term     topology.Term
	revision store.Revision
	// remaining is how long the authority lasts without further confirmations.
	remaining time.Duration
}

// tick updates the dispatcher's primary and connection share, grants or expires
// queued requests, and closes idle connections that are no longer allowed. It reports
// whether the use of a primary has started or ended since the last tick.
func (s *service) tick(now time.Duration) (use primaryUse, changed bool) {
	s.mu.Lock()
	primary := s.usablePrimary(now)
	s.dispatch.SetPrimary(now, primary)
	s.applyConnectionShare(now)
	s.dispatch.DispatchQueue(now)
	evicted := s.dispatch.TakeEvicted()
	if changed = primary != s.reportedPrimary; changed {
		s.reportedPrimary = primary
		use = primaryUse{service: s.id, primary: primary, term: s.record.Term, revision: s.revision, remaining: s.authority.PrimaryExpiry(s.id, s.revision) - now}
	}
	s.mu.Unlock()
	closeEvicted(evicted)
	return use, changed
}

// applyConnectionShare limits the dispatcher to this instance's share of
// connections. An unregistered instance has none, because the registered ones
// divide all connections among themselves. The caller holds the lock.
func (s *service) applyConnectionShare(now time.Duration) {
	if s.authority.RegistrationValid(now) {
		s.dispatch.SetConnectionLimit(now, s.connections)
	} else {
		s.dispatch.SetConnectionLimit(now, 0)
	}
}

// setTargets replaces the targets and closes idle connections to removed ones.
func (s *service) setTargets(now time.Duration, targets map[topology.TargetID]directory.Target) {
	s.mu.Lock()
	s.dispatch.SetTargets(now, targets)
	evicted := s.dispatch.TakeEvicted()
	s.mu.Unlock()
	closeEvicted(evicted)
}

// setRecord applies the record of the service's primary if it is newer. After a
// fence, statements in flight may complete until releasePrimary succeeds or the
// authority to use the primary expires. Floors of another term are discarded.
func (s *service) setRecord(now time.Duration, record failover.Record, revision store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision {
		return
	}
	if record.Fenced && !s.record.Fenced {
		s.drainingPrimary, s.drainingSequence = s.record.Primary, s.record.FenceSequence
		s.drainDeadline = s.authority.PrimaryExpiry(s.id, s.revision)
	}
	if !record.Fenced {
		s.drainingPrimary = ""
	}
	if record.Term != s.record.Term {
		s.dispatch.Floors.Reset()
	}
	s.record, s.revision = record, revision
	s.dispatch.SetPrimary(now, s.usablePrimary(now))
}

// releasePrimary stops the use of a fenced primary and returns true, unless a lease
// on it is left and force is not set.
func (s *service) releasePrimary(force bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primaryLeases > 0 && !force {
		return false
	}
	s.drainingPrimary = ""
	return true
}

// mayUsePrimary reports whether a lease on a primary, granted under the record with
// the given fence sequence, may still be used, and responses over it be acknowledged.
func (s *service) mayUsePrimary(now time.Duration, id topology.TargetID, sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record.FenceSequence == sequence {
		return s.usablePrimary(now) == id
	}
	// The next record fences the primary: statements in flight may complete.
	return s.record.Fenced && s.drainingPrimary == id && s.drainingSequence == sequence && now < s.drainDeadline
}

// closeEvicted closes idle connections that the dispatcher has evicted.
func closeEvicted(conns []any) {
	for _, conn := range conns {
		_ = conn.(*client.Connection).Conn.Close() // the connection was idle, so an error loses nothing
	}
}
