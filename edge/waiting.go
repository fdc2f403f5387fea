package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/topology"
)

var (
	eventDatabasesAwaited = event.Define(4117, event.Warning, "promotion waits for databases whose logs may hold acknowledged commits")
	eventWaitEnded        = event.Define(4118, event.Info, "promotion does not wait for databases any more")
)

// logWait logs that the databases for which a service waits have changed.
func (d *Daemon) logWait(service topology.ServiceID, term topology.Term, before, after failover.Wait) {
	switch {
	case before.Equal(after):
	case after.Missing == 0:
		eventWaitEnded.Log(d.log, "service", service)
	default:
		eventDatabasesAwaited.Log(d.log, "service", service, "term", term, "missing", after.Missing, "databases", after.Databases)
	}
}

// waits returns for which databases the services wait that this instance leads.
func (l *leadership) waits() map[topology.ServiceID]failover.Wait {
	l.mu.Lock()
	defer l.mu.Unlock()
	waits := make(map[topology.ServiceID]failover.Wait)
	if l.token == 0 {
		return waits
	}
	for service, coordinator := range l.coordinators {
		if wait := coordinator.Waits(); wait.Missing > 0 {
			waits[service] = wait
		}
	}
	return waits
}

// waitCollector reads the metrics of waits for databases. It implements prometheus.Collector.
type waitCollector struct{ leadership *leadership }

var (
	missingDatabases = prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "failover_missing_databases"),
		"Databases that have to respond before a successor is promoted, besides those that do. The failover leader reports it.", []string{"service"}, nil)
	awaitedDatabases = prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "failover_awaited_database"),
		"1 for each database for whose log a promotion waits; as many as are missing have to respond.", []string{"service", "database"}, nil)
)

// Describe implements prometheus.Collector.
func (waitCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- missingDatabases
	descriptions <- awaitedDatabases
}

// Collect implements prometheus.Collector.
func (c waitCollector) Collect(collected chan<- prometheus.Metric) {
	for service, wait := range c.leadership.waits() {
		collected <- prometheus.MustNewConstMetric(missingDatabases, prometheus.GaugeValue, float64(wait.Missing), string(service))
		for _, database := range wait.Databases {
			collected <- prometheus.MustNewConstMetric(awaitedDatabases, prometheus.GaugeValue, 1, string(service), database)
		}
	}
}
