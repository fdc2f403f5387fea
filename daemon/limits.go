package daemon

import (
	"time"

	"samphirehitch.example/samphirehitch/process/ledger"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// retireInterval is the time between looks at a closed pool whose connections
// are still in use.
const retireInterval = 20 * time.Millisecond

// limitsChanged hands the limits of a snapshot to the ledger.
func (d *Daemon) limitsChanged(next *snapshot.Snapshot) {
	limits := make([]ledger.RateLimit, 0, len(next.Limits()))
	for _, limit := range next.Limits() {
		limits = append(limits, ledger.RateLimit{Customer: limit.Customer, Rate: limit.Rate, Burst: limit.Burst})
	}
	d.ledger.SetRateLimits(limits)
	var connections []ledger.ConnectionLimit
	for _, service := range next.Services() {
		for _, target := range service.Targets {
			connections = append(connections, ledger.ConnectionLimit{Target: target.ID, Total: service.Connections})
		}
	}
	d.ledger.SetConnectionLimits(connections)
}

// retire closes a pool. The ledger stops counting it once its last connection is
// closed, and only then counts its successor, if there is one.
func (d *Daemon) retire(target topology.TargetID, old, successor *targetPool) {
	old.Close()
	ticker := time.NewTicker(retireInterval)
	defer ticker.Stop()
	for old.Stats().Open > 0 {
		<-ticker.C
	}
	d.ledger.DetachPool(target)
	if successor != nil {
		d.ledger.AttachPool(target, successor)
	}
}
