package memstore

import (
	"context"
	"slices"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/topology"
)

// instanceLog is the history of the list of instances, oldest first.
type instanceLog struct {
	lag   time.Duration
	steps []instanceStep
}

type instanceStep struct {
	at        time.Duration
	instances []platform.Instance
}

// SetInstanceLag sets how long a change of the list stays invisible.
func (s *Store) SetInstanceLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.instances.lag = lag
}

// PutInstance adds an instance or replaces the one with its identifier.
func (s *Store) PutInstance(instance platform.Instance) {
	s.changeInstances(func(list []platform.Instance) []platform.Instance {
		list = slices.DeleteFunc(list, func(other platform.Instance) bool { return other.ID == instance.ID })
		return append(list, instance)
	})
}

// RemoveInstance drops an instance from the list.
func (s *Store) RemoveInstance(id topology.InstanceID) {
	s.changeInstances(func(list []platform.Instance) []platform.Instance {
		return slices.DeleteFunc(list, func(other platform.Instance) bool { return other.ID == id })
	})
}

func (s *Store) changeInstances(change func([]platform.Instance) []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []platform.Instance
	if n := len(s.mu.instances.steps); n > 0 {
		list = slices.Clone(s.mu.instances.steps[n-1].instances)
	}
	list = change(list)
	slices.SortFunc(list, func(a, b platform.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	s.mu.instances.steps = append(s.mu.instances.steps, instanceStep{at: s.clock(), instances: list})
}

// Instances implements platform.Instances: the list as it was one lag ago.
func (s *Store) Instances(ctx context.Context) ([]platform.Instance, error) {
	return answer(ctx, s, callInstances, "", func() ([]platform.Instance, error) {
		return slices.Clone(s.mu.instances.visible(s.clock())), nil
	})
}

// visible drops the steps that nobody can see any more.
func (l *instanceLog) visible(now time.Duration) []platform.Instance {
	seen := -1
	for i, step := range l.steps {
		if step.at+l.lag <= now {
			seen = i
		}
	}
	if seen < 0 {
		return nil
	}
	l.steps = l.steps[seen:]
	return l.steps[0].instances
}
