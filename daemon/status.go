package daemon

import (
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/status"
	"samphirehitch.example/samphirehitch/process/topology"
)

// status returns the status.Daemon that the admin server reports.
func (d *Daemon) status() any {
	cfg := d.config.Status()
	report := status.Daemon{
		Instance:      d.settings.Instance,
		FailureDomain: d.settings.FailureDomain,
		Draining:      d.ctx.Err() != nil,
		Peers:         d.mesh.Connected(),
		Configuration: status.Configuration{
			Watching: cfg.Watching, Freshness: cfg.Freshness.String(), AgeMillis: cfg.Age.Milliseconds(),
		},
	}
	if current := d.snapshots.Current(); current != nil {
		report.Configuration.Revision = current.Revision()
		report.Configuration.Rejected = len(current.Rejections())
		for _, r := range current.Services() {
			report.Services = append(report.Services, d.services.status(r.ID))
		}
	}
	return report
}

// status describes one service. Only the ID is set while the service has no pools or no
// group driver.
func (s *serviceSet) status(id topology.ServiceID) status.Service {
	pools, ok := (*s.index.Load())[id]
	if !ok {
		return status.Service{Service: id}
	}
	watcher, ok := s.groups.Watcher(id)
	if !ok {
		return status.Service{Service: id}
	}
	view := watcher.View()
	report := status.Service{Service: id, Primary: view.Primary, Term: view.Term}
	for i := range view.Targets {
		report.Targets = append(report.Targets, pools.targetStatus(&view.Targets[i]))
	}
	return report
}

// targetStatus combines the group's view of a target with the state of its pool.
func (s *servicePools) targetStatus(t *group.TargetView) status.Target {
	report := status.Target{
		Target: t.ID, Role: t.Status.Role.String(), Reachable: t.Reachable, Leaving: t.Leaving,
		Received: t.Status.Received, Replayed: t.Status.Replayed,
	}
	if p, ok := s.pool(t.ID); ok {
		stats := p.Stats()
		report.Pool = status.Pool{
			Limit: stats.Limit, Open: stats.Open, Leased: stats.Leased, Idle: stats.Idle, Waiting: stats.Waiting,
		}
	}
	return report
}
