package daemon

import (
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/status"
	"samphirehitch.example/samphirehitch/process/topology"
)

// status describes the daemon at this moment.
func (d *Daemon) status() any {
	cfg := d.config.Status()
	s := status.Daemon{
		Instance:      d.settings.Instance,
		FailureDomain: d.settings.FailureDomain,
		Draining:      d.ctx.Err() != nil,
		Peers:         d.mesh.Connected(),
		Configuration: status.Configuration{
			Watching: cfg.Watching, Freshness: cfg.Freshness.String(), AgeMillis: cfg.Age.Milliseconds(),
		},
	}
	if current := d.records.Current(); current != nil {
		s.Configuration.Revision = current.Revision()
		s.Configuration.Rejected = len(current.Rejections())
		for _, r := range current.Services() {
			s.Services = append(s.Services, d.services.status(r.ID))
		}
	}
	return s
}

func (s *services) status(id topology.ServiceID) status.Service {
	running, ok := (*s.index.Load())[id]
	if !ok {
		return status.Service{Service: id}
	}
	watcher, ok := s.groups.Watcher(id)
	if !ok {
		return status.Service{Service: id}
	}
	view := watcher.View()
	described := status.Service{Service: id, Primary: view.Primary, Term: view.Term}
	for i := range view.Targets {
		described.Targets = append(described.Targets, running.targetStatus(&view.Targets[i]))
	}
	return described
}

func (s *service) targetStatus(t *group.TargetView) status.Target {
	described := status.Target{
		Target: t.ID, Role: t.Status.Role.String(), Reachable: t.Reachable, Leaving: t.Leaving,
		Received: t.Status.Received, Replayed: t.Status.Replayed,
	}
	if p, ok := s.pool(t.ID); ok {
		stats := p.Stats()
		described.Pool = status.Pool{
			Limit: stats.Limit, Open: stats.Open, Leased: stats.Leased, Idle: stats.Idle, Waiting: stats.Waiting,
		}
	}
	return described
}
