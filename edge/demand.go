package edge

import (
	"maps"
	"math"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/topology"
)

// Intervals of reports of demand.
const (
	// demandInterval is the interval between checks of the demand.
	demandInterval = 300 * time.Millisecond
	// constrainedDemandInterval is the interval between reports of demand that comes
	// close to this instance's shares of the rates. Loans cover changes in between.
	constrainedDemandInterval = 900 * time.Millisecond
	// relaxedDemandInterval is the interval between reports of other demand.
	relaxedDemandInterval = 1500 * time.Millisecond
)

// sendDemand sends this instance's demand to the other rate sharers if it is due or has
// changed significantly.
func (d *Daemon) sendDemand() {
	report, constrained := d.engine.Demand()
	now := d.clock()
	interval := relaxedDemandInterval
	if constrained {
		interval = constrainedDemandInterval
	}
	changed := d.reportDue.Swap(false) || demandDiffers(report.Demand, d.sentReport.Demand) || demandDiffers(report.Excess, d.sentReport.Excess)
	report.SentAt = now
	d.mu.Lock()
	receivers := slices.Sorted(maps.Keys(d.awaitingReport))
	clear(d.awaitingReport)
	due := changed || now-d.demandSentAt >= interval && (len(report.Demand)+len(d.sentReport.Demand) > 0 || len(d.demandedCustomers()) > 0)
	if due {
		receivers = d.rateSharers
	}
	d.mu.Unlock()
	if due {
		d.demandSentAt, d.sentReport = now, report
		d.observeDemand(d.settings.Instance, report)
	}
	if len(receivers) > 0 {
		d.sendReport(now, receivers, report)
	}
}

// sendReport sends a report to rate sharers, each with what it is granted.
func (d *Daemon) sendReport(now time.Duration, receivers []topology.InstanceID, report share.Report) {
	grants := d.give(now, receivers)
	for _, to := range receivers {
		report.Grant = grants[to]
		d.relay.SendDemand([]topology.InstanceID{to}, report)
	}
	notify(d.sharesWake)
}

// A change of a customer's demand is sent immediately if it exceeds
// significantDemandChange, relative to the larger demand, and negligibleDemand, in
// operations per second. The same holds for an excess, in operations.
const (
	significantDemandChange = 0.4
	negligibleDemand        = 3
)

// demandDiffers reports whether two demands differ significantly for any customer. A
// customer that is missing from one has no demand there.
func demandDiffers(a, b share.Demands) bool {
	return anyDemandDiffers(a, b) || anyDemandDiffers(b, a)
}

// anyDemandDiffers reports whether the demand of a customer in a differs significantly
// from that in b.
func anyDemandDiffers(a, b share.Demands) bool {
	for id, customerDemand := range a {
		if change := math.Abs(customerDemand - b[id]); change > negligibleDemand && change > significantDemandChange*max(customerDemand, b[id]) {
			return true
		}
	}
	return false
}

// observeDemand records the demand and excess at an instance, this one or a peer.
func (d *Daemon) observeDemand(from topology.InstanceID, report share.Report) {
	d.mu.Lock()
	if from != d.settings.Instance {
		takenBack := d.grants.Observe(d.clock(), from, report)
		if takenBack || demandDiffers(report.Demand, d.demands[from]) {
			d.awaitingReport[from] = true
			defer notify(d.usageWake)
		}
	}
	d.demands[from], d.excesses[from] = report.Demand, reportedExcess{at: d.clock(), byCustomer: report.Excess}
	d.mu.Unlock()
	notify(d.sharesWake)
}
