package daemon

import (
	"math/rand/v2"

	"samphirehitch.example/samphirehitch/process/group"
	"samphirehitch.example/samphirehitch/process/topology"
)

// newGroupSet returns the set of group drivers, initially without services.
func newGroupSet(d *Daemon) *group.Set {
	configure := func(id topology.ServiceID) group.Config {
		return group.DefaultConfig(id, d.settings.Instance, d.settings.FailureDomain)
	}
	return group.NewSet(configure, group.Dependencies{
		Groups:      d.platform.Groups,
		Store:       d.platform.Store,
		Sender:      d.mesh,
		Clock:       d.clock,
		Log:         d.logger,
		Random:      rand.New(rand.NewPCG(randomSeed(), randomSeed())),
		OnPromotion: d.promotionMetrics.observe,
	})
}
