package daemon

import (
	"context"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
)

// listInterval is the time between reads of the platform's list of instances.
const listInterval = time.Second

// members follows the platform's list of instances and tells the parts that
// need it.
type members struct {
	daemon *Daemon
	known  []platform.Instance
}

func newMembers(d *Daemon) *members { return &members{daemon: d, known: []platform.Instance{d.self()}} }

// run reads the list until ctx ends.
func (m *members) run(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		m.read(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// read asks for the list once. Without an answer the last one stays.
func (m *members) read(ctx context.Context) {
	d := m.daemon
	ctx, cancel := context.WithTimeout(ctx, d.settings.StoreTimeout())
	defer cancel()
	list, err := d.platform.Instances.Instances(ctx)
	if err == nil && len(list) > 0 {
		m.known = list
	}
	d.mesh.SetPeers(m.known)
	live := m.live()
	d.config.SetMembers(live, m.known)
	d.services.groups.SetInstances(live)
}

// live returns this instance and the known ones that have a link.
func (m *members) live() []platform.Instance {
	linked := m.daemon.mesh.Connected()
	var live []platform.Instance
	for _, instance := range m.known {
		if instance.ID == m.daemon.settings.Instance || slices.Contains(linked, instance.ID) {
			live = append(live, instance)
		}
	}
	return live
}
