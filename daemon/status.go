package daemon

import (
	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/pool"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Status is what the admin server shows at /status.
type Status struct {
	Instance      topology.InstanceID    `json:"instance"`
	FailureDomain topology.FailureDomain `json:"failure_domain"`
	Draining      bool                   `json:"draining"`
	Configuration ConfigurationStatus    `json:"configuration"`
	Peers         []topology.InstanceID  `json:"peers"`
	Services      []ServiceStatus        `json:"services"`
}

// ConfigurationStatus describes the configuration in force.
type ConfigurationStatus struct {
	Revision  store.Revision `json:"revision"`
	Watching  bool           `json:"watching"`
	Freshness string         `json:"freshness"`
	// AgeMillis is the age of the evidence in milliseconds, negative without any.
	AgeMillis int64 `json:"age_millis"`
	Rejected  int   `json:"rejected"`
}

// ServiceStatus describes a service as this daemon sees it.
type ServiceStatus struct {
	Service topology.ServiceID `json:"service"`
	Primary topology.TargetID  `json:"primary"`
	Term    topology.Term      `json:"term"`
	Targets []TargetStatus     `json:"targets"`
}

// TargetStatus describes a target as this daemon sees it.
type TargetStatus struct {
	Target    topology.TargetID `json:"target"`
	Role      string            `json:"role"`
	Reachable bool              `json:"reachable"`
	Leaving   bool              `json:"leaving"`
	Received  topology.Point    `json:"received"`
	Replayed  topology.Point    `json:"replayed"`
	Pool      pool.Stats        `json:"pool"`
}

// status describes the daemon at this moment.
func (d *Daemon) status() any {
	cfg := d.config.Status()
	s := Status{
		Instance:      d.settings.Instance,
		FailureDomain: d.settings.FailureDomain,
		Draining:      d.ctx.Err() != nil,
		Peers:         d.mesh.Connected(),
		Configuration: ConfigurationStatus{
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

func (s *services) status(id topology.ServiceID) ServiceStatus {
	running, ok := (*s.index.Load())[id]
	if !ok {
		return ServiceStatus{Service: id}
	}
	watcher, ok := s.groups.Watcher(id)
	if !ok {
		return ServiceStatus{Service: id}
	}
	view := watcher.View()
	status := ServiceStatus{Service: id, Primary: view.Primary, Term: view.Term}
	for i := range view.Targets {
		status.Targets = append(status.Targets, running.targetStatus(&view.Targets[i]))
	}
	return status
}

func (s *service) targetStatus(t *group.TargetView) TargetStatus {
	status := TargetStatus{
		Target: t.ID, Role: t.Status.Role.String(), Reachable: t.Reachable, Leaving: t.Leaving,
		Received: t.Status.Received, Replayed: t.Status.Replayed,
	}
	if p, ok := s.pool(t.ID); ok {
		status.Pool = p.Stats()
	}
	return status
}
