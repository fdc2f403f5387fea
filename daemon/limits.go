package daemon

import (
	"time"

	"samphirehitch.example/samphirehitch/process/ledger"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/snapshot"
)

// openConnectionsPollInterval is the interval at which a closed pool is checked for
// connections that are still in use.
const openConnectionsPollInterval = 20 * time.Millisecond

// applyLimits sets the ledger's rate limits and connection limits from a snapshot.
func (d *Daemon) applyLimits(next *snapshot.Snapshot) {
	rateLimits := make([]ledger.RateLimit, 0, len(next.Limits()))
	for _, limit := range next.Limits() {
		rateLimits = append(rateLimits, ledger.RateLimit{Customer: limit.Customer, Rate: limit.Rate, Burst: limit.Burst})
	}
	d.ledger.SetRateLimits(rateLimits)
	var connectionLimits []ledger.ConnectionLimit
	for _, service := range next.Services() {
		for _, target := range service.Targets {
			connectionLimits = append(connectionLimits, ledger.ConnectionLimit{Target: target.ID, Total: service.Connections})
		}
	}
	d.ledger.SetConnectionLimits(connectionLimits)
}

// retirePool closes a pool and replaces it in the ledger by its successor, which may be
// nil. The old pool stays attached until its last connection is closed: only then do
// its connections no longer count against the target's limit.
func (d *Daemon) retirePool(target topology.TargetID, old, successor *targetPool) {
	old.Close()
	ticker := time.NewTicker(openConnectionsPollInterval)
	defer ticker.Stop()
	for old.Stats().Open > 0 {
		<-ticker.C
	}
	d.ledger.DetachPool(target)
	if successor != nil {
		d.ledger.AttachPool(target, successor)
	}
}
