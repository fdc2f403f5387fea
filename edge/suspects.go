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

// suspectPause is the pause between attempts to publish or withdraw a suspicion.
const suspectPause = 200 * time.Millisecond

// suspects publishes which primaries this instance cannot reach. It implements
// engine.Reachability.
type suspects struct {
	daemon *Daemon
	mu     sync.Mutex
	// wanted is what should be published for each service, empty for nothing.
	wanted map[topology.ServiceID]topology.TargetID
	held   map[topology.ServiceID]heldSuspicion
	// verifying marks services whose primary is being tried.
	verifying map[topology.ServiceID]bool
	wake      chan struct{}
}

// heldSuspicion is what the store holds of this instance, as far as it knows: a target,
// empty for none, and the revision of the entry, zero without one.
type heldSuspicion struct {
	target   topology.TargetID
	revision store.Revision
	// unsettled says that the answer to a call was lost, so that the store may hold
	// something else, or will.
	unsettled bool
}

func newSuspects(d *Daemon) *suspects {
	return &suspects{daemon: d, wake: make(chan struct{}, 1),
		wanted: make(map[topology.ServiceID]topology.TargetID), held: make(map[topology.ServiceID]heldSuspicion),
		verifying: make(map[topology.ServiceID]bool)}
}

// Reached implements engine.Reachability.
func (s *suspects) ReportReachable(service topology.ServiceID, id topology.TargetID) {
	s.mu.Lock()
	changed := s.wanted[service] == id
	if changed {
		delete(s.wanted, service)
	}
	s.mu.Unlock()
	if changed {
		eventTrusted.Log(s.daemon.log, "service", service, "target", id)
		notify(s.wake)
	}
}

// Suspected implements engine.Reachability.
func (s *suspects) IsSuspected(service topology.ServiceID, id topology.TargetID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wanted[service] == id
}

// Unreachable implements engine.Reachability.
func (s *suspects) ReportUnreachable(service topology.ServiceID, id topology.TargetID) {
	s.daemon.mu.Lock()
	primary := s.daemon.records[service].Primary
	s.daemon.mu.Unlock()
	if id != primary {
		return
	}
	s.mu.Lock()
	changed := s.wanted[service] != id
	s.wanted[service] = id
	s.mu.Unlock()
	if changed {
		eventSuspect.Log(s.daemon.log, "service", service, "target", id)
		notify(s.wake)
	}
}

// verify tries to reach a primary that another instance cannot reach, so that the
// holder of the duty soon knows whether it stands alone.
func (s *suspects) verify(ctx context.Context, service topology.ServiceID) {
	s.mu.Lock()
	busy := s.verifying[service]
	s.verifying[service] = true
	s.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.verifying, service)
	}()
	d := s.daemon
	d.mu.Lock()
	t, listed := d.targets[service][d.records[service].Primary]
	d.mu.Unlock()
	if !listed {
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := d.prober.Status(probeCtx, t); engine.IsUnreachable(err) {
		s.ReportUnreachable(service, t.ID)
	}
}

// run publishes changes until the context ends.
func (s *suspects) run(ctx context.Context) error {
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

// publishNext makes one difference between what is wanted and held good. It
// reports whether there may be more.
func (s *suspects) publishNext(ctx context.Context) bool {
	service, target, known, differs := s.difference()
	if !differs {
		return false
	}
	d := s.daemon
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	if lease == 0 {
		return pause(ctx, suspectPause)
	}
	key := suspectKey(service, d.settings.Instance)
	// A call whose answer was lost may take effect late. It must not bring back a
	// suspicion that was withdrawn meanwhile, so an entry is emptied rather than deleted:
	// its revision never returns to one that such a call expects.
	change := store.Transaction{
		Expect: []store.Expectation{{Key: key, Revision: known}},
		Puts:   []store.Put{{Key: key, Value: []byte(target), Lease: lease}},
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := d.store.Transact(callCtx, change)
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		s.note(service, suspicionIn(conflict.Current, key))
		return true
	case err != nil:
		s.unsettle(service)
		d.storeFailed("publish suspicion", err)
		return pause(ctx, suspectPause)
	}
	d.apply([]store.Change{{Entry: store.Entry{Key: key, Value: []byte(target), Revision: revision, Lease: lease}}})
	s.note(service, heldSuspicion{target: target, revision: revision})
	return true
}

// suspicionIn finds what the store holds under a key.
func suspicionIn(current []store.Entry, key string) heldSuspicion {
	for _, entry := range current {
		if entry.Key == key {
			return heldSuspicion{target: topology.TargetID(entry.Value), revision: entry.Revision}
		}
	}
	return heldSuspicion{}
}

func (s *suspects) note(service topology.ServiceID, held heldSuspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[service] = held
}

func (s *suspects) unsettle(service topology.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held[service]
	held.unsettled = true
	s.held[service] = held
}

// lapsed notes that the registration has ended, and all that was published under it. It
// is published anew.
func (s *suspects) lapsed() {
	s.mu.Lock()
	clear(s.held)
	s.mu.Unlock()
	notify(s.wake)
}

// difference returns a service whose suspicion is to be published anew, with the
// revision of the present one.
func (s *suspects) difference() (service topology.ServiceID, target topology.TargetID, known store.Revision, differs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, target := range s.wanted {
		if held := s.held[service]; held.target != target || held.unsettled {
			return service, target, held.revision, true
		}
	}
	for service, held := range s.held {
		if (held.target != "" || held.unsettled) && s.wanted[service] == "" {
			return service, "", held.revision, true
		}
	}
	return "", "", 0, false
}

// recheck tries to reach suspected primaries again while callers do not. An instance
// that leaves does not: a probe under way would hold up its end.
func (s *suspects) recheck(ctx context.Context) error {
	for pause(ctx, 4*suspectPause) {
		if s.daemon.stopping.Load() {
			continue
		}
		s.mu.Lock()
		wanted := make(map[topology.ServiceID]topology.TargetID, len(s.wanted))
		for service, target := range s.wanted {
			wanted[service] = target
		}
		s.mu.Unlock()
		for service, id := range wanted {
			s.daemon.mu.Lock()
			t, listed := s.daemon.targets[service][id]
			primary := s.daemon.records[service].Primary
			s.daemon.mu.Unlock()
			if id != primary {
				s.ReportReachable(service, id) // it is not the primary any more
				continue
			}
			if !listed {
				continue
			}
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			_, err := s.daemon.prober.Status(probeCtx, t)
			cancel()
			if err == nil {
				s.ReportReachable(service, id)
			}
		}
	}
	return nil
}
