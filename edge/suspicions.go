package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/request/engine"
)

// suspicionInterval is the interval between attempts to publish or withdraw a suspicion.
const suspicionInterval = 200 * time.Millisecond

// suspicions tracks which primaries this instance cannot reach and publishes that in
// the store, where the failover leader counts the suspicions of all instances. It
// implements engine.Reachability and is safe for concurrent use.
type suspicions struct {
	daemon *Daemon
	// mu guards the maps. It is not held together with daemon.mu.
	mu sync.Mutex
	// suspected is the primary that this instance cannot reach, by service.
	suspected map[topology.ServiceID]topology.TargetID
	// published is the last known content of the store, by service.
	published map[topology.ServiceID]publishedSuspicion
	// verifying contains the services whose primary is being probed by verify.
	verifying map[topology.ServiceID]bool
	// wake wakes publishLoop; see notify.
	wake chan struct{}
}

// publishedSuspicion is the last known content of this instance's entry for a service.
type publishedSuspicion struct {
	// target is the suspected primary, empty for none.
	target topology.TargetID
	// revision is that of the entry, zero if there is none, and lease the one that it ends with.
	revision store.Revision
	lease    store.LeaseID
	// uncertain reports that the response to a write was lost. The entry may have
	// changed, or may still do so later.
	uncertain bool
}

func newSuspicions(d *Daemon) *suspicions {
	return &suspicions{daemon: d, wake: make(chan struct{}, 1),
		suspected: make(map[topology.ServiceID]topology.TargetID), published: make(map[topology.ServiceID]publishedSuspicion),
		verifying: make(map[topology.ServiceID]bool)}
}

// ReportReachable implements engine.Reachability.
func (s *suspicions) ReportReachable(service topology.ServiceID, id topology.TargetID) {
	s.mu.Lock()
	changed := s.suspected[service] == id
	if changed {
		delete(s.suspected, service)
	}
	s.mu.Unlock()
	if changed {
		eventPrimaryReachable.Log(s.daemon.log, "service", service, "target", id)
		notify(s.wake)
	}
}

// IsSuspected implements engine.Reachability.
func (s *suspicions) IsSuspected(service topology.ServiceID, id topology.TargetID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspected[service] == id
}

// ReportUnreachable implements engine.Reachability.
func (s *suspicions) ReportUnreachable(service topology.ServiceID, id topology.TargetID) {
	s.daemon.mu.Lock()
	primary := s.daemon.records[service].Primary
	s.daemon.mu.Unlock()
	if id != primary {
		return
	}
	s.mu.Lock()
	changed := s.suspected[service] != id
	s.suspected[service] = id
	s.mu.Unlock()
	if changed {
		eventPrimarySuspected.Log(s.daemon.log, "service", service, "target", id)
		notify(s.wake)
	}
}

// verify probes a primary that another instance suspects, or that is no longer listed, so that
// the failover leader soon knows whether this instance cannot reach it either.
func (s *suspicions) verify(ctx context.Context, service topology.ServiceID) {
	s.mu.Lock()
	running := s.verifying[service]
	s.verifying[service] = true
	s.mu.Unlock()
	if running {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.verifying, service)
	}()
	d := s.daemon
	d.mu.Lock()
	target, known := d.lastKnownTarget(service, d.records[service].Primary)
	d.mu.Unlock()
	if !known {
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := d.prober.Status(probeCtx, target); engine.IsUnreachable(err) {
		s.ReportUnreachable(service, target.ID)
	}
}

// publishLoop publishes and withdraws suspicions until the context is done.
func (s *suspicions) publishLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		for s.publishNext(ctx) {
			if ctx.Err() != nil {
				return nil
			}
		}
	}
}

// publishNext publishes or withdraws the suspicion of one service where the store
// differs. It reports whether there may be another one.
func (s *suspicions) publishNext(ctx context.Context) bool {
	d := s.daemon
	lease := d.registrationLease().id
	service, target, knownRevision, found := s.nextChange(lease)
	if !found {
		return false
	}
	if lease == 0 {
		return sleep(ctx, suspicionInterval)
	}
	key := suspicionKey(service, d.settings.Instance)
	// A write whose response was lost may take effect later. It must not restore a
	// suspicion that was withdrawn in the meantime. Therefore an entry is emptied rather
	// than deleted, so that its revision never returns to the one that such a write
	// expects.
	change := store.Transaction{
		Expect: []store.Expectation{{Key: key, Revision: knownRevision}},
		Puts:   []store.Put{{Key: key, Value: []byte(target), Lease: lease}},
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := d.store.Transact(store.WithPurpose(callCtx, purposeSuspicion), change)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		s.setPublished(service, suspicionIn(conflict.Current, key))
		return true
	case err != nil:
		s.markUncertain(service)
		d.storeFailed("publish suspicion", err)
		return sleep(ctx, suspicionInterval)
	}
	d.applyChanges([]store.Change{{Entry: store.Entry{Key: key, Value: []byte(target), Revision: revision, Lease: lease}}})
	s.setPublished(service, publishedSuspicion{target: target, revision: revision, lease: lease})
	return true
}

// suspicionIn returns the suspicion in the entry with a key, none if there is no such
// entry.
func suspicionIn(current []store.Entry, key string) publishedSuspicion {
	for _, entry := range current {
		if entry.Key == key {
			return publishedSuspicion{target: topology.TargetID(entry.Value), revision: entry.Revision, lease: entry.Lease}
		}
	}
	return publishedSuspicion{}
}

func (s *suspicions) setPublished(service topology.ServiceID, published publishedSuspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published[service] = published
}

func (s *suspicions) markUncertain(service topology.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	published := s.published[service]
	published.uncertain = true
	s.published[service] = published
}

// registrationExpired records that the published suspicions have expired with the
// registration, and has them published again.
func (s *suspicions) registrationExpired() {
	s.mu.Lock()
	clear(s.published)
	s.mu.Unlock()
	notify(s.wake)
}

// nextChange returns a service whose published suspicion differs from the actual one, is
// uncertain or ends with another lease than the given one, the target to publish, empty to
// withdraw the suspicion, and the last known revision of the entry.
func (s *suspicions) nextChange(lease store.LeaseID) (service topology.ServiceID, target topology.TargetID, knownRevision store.Revision, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, target := range s.suspected {
		if published := s.published[service]; published.target != target || published.lease != lease || published.uncertain {
			return service, target, published.revision, true
		}
	}
	for service, published := range s.published {
		if (published.target != "" || published.uncertain) && s.suspected[service] == "" {
			return service, "", published.revision, true
		}
	}
	return "", "", 0, false
}

// recheckLoop periodically probes suspected primaries, since there may be no requests
// that connect to them. It pauses during a shutdown, which a running probe would delay.
func (s *suspicions) recheckLoop(ctx context.Context) error {
	for sleep(ctx, 4*suspicionInterval) {
		if s.daemon.stopping.Load() {
			continue
		}
		s.mu.Lock()
		suspected := make(map[topology.ServiceID]topology.TargetID, len(s.suspected))
		for service, target := range s.suspected {
			suspected[service] = target
		}
		s.mu.Unlock()
		for service, id := range suspected {
			s.daemon.mu.Lock()
			target, listed := s.daemon.targets[service][id]
			primary := s.daemon.records[service].Primary
			s.daemon.mu.Unlock()
			if id != primary {
				s.ReportReachable(service, id) // it is no longer the primary
				continue
			}
			if !listed {
				continue
			}
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			_, err := s.daemon.prober.Status(probeCtx, target)
			cancel()
			if err == nil {
				s.ReportReachable(service, id)
			}
		}
	}
	return nil
}
