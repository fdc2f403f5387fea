package memstore

import (
	"context"
	"slices"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// instanceHistory holds those versions of the list of instances, oldest first, that
// are visible now or become visible after the lag.
type instanceHistory struct {
	lag      time.Duration
	versions []instanceListVersion
}

// instanceListVersion is the list of instances after the change at time at.
type instanceListVersion struct {
	at        time.Duration
	instances []platform.Instance
}

// SetInstanceLag sets the time after which a change of the list becomes visible.
func (s *Store) SetInstanceLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.instances.lag = lag
}

// PutInstance adds an instance or replaces the one with the same ID.
func (s *Store) PutInstance(instance platform.Instance) {
	s.changeInstances(func(list []platform.Instance) []platform.Instance {
		list = slices.DeleteFunc(list, func(other platform.Instance) bool { return other.ID == instance.ID })
		return append(list, instance)
	})
}

// RemoveInstance removes an instance from the list.
func (s *Store) RemoveInstance(id topology.InstanceID) {
	s.changeInstances(func(list []platform.Instance) []platform.Instance {
		return slices.DeleteFunc(list, func(other platform.Instance) bool { return other.ID == id })
	})
}

func (s *Store) changeInstances(change func([]platform.Instance) []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []platform.Instance
	if n := len(s.mu.instances.versions); n > 0 {
		list = slices.Clone(s.mu.instances.versions[n-1].instances)
	}
	list = change(list)
	slices.SortFunc(list, func(a, b platform.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	s.mu.instances.versions = append(s.mu.instances.versions, instanceListVersion{at: s.clock(), instances: list})
}

// Instances implements platform.Instances. It returns the list as it was one lag
// ago.
func (s *Store) Instances(ctx context.Context) ([]platform.Instance, error) {
	return runCall(ctx, s, callInstances, "", func() ([]platform.Instance, error) {
		return slices.Clone(s.mu.instances.visible(s.clock())), nil
	})
}

// visible returns the newest version that is at least one lag old, and discards the
// versions before it.
func (h *instanceHistory) visible(now time.Duration) []platform.Instance {
	newest := -1
	for i, version := range h.versions {
		if version.at+h.lag <= now {
			newest = i
		}
	}
	if newest < 0 {
		return nil
	}
	h.versions = h.versions[newest:]
	return h.versions[0].instances
}
