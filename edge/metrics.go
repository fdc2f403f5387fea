package edge

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/request/engine"
)

// namespace is the prefix of the metrics' names.
const namespace = "samphirehitch"

// metrics are the daemon's metrics. It implements engine.Observer.
type metrics struct {
	registry       *prometheus.Registry
	statements     *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	connectionWait *prometheus.HistogramVec
	storeFailures  *prometheus.CounterVec
	storeCalls     *prometheus.CounterVec
	ignoredEntries prometheus.Counter
	// unreadableEntries counts each revision of an entry once.
	unreadableEntries prometheus.Counter
	// departures counts what targets sent outside of their protocol.
	departures *prometheus.CounterVec
}

func newMetrics() *metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 13)
	m := &metrics{
		registry: prometheus.NewRegistry(),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "statements_total",
			Help: "Statements that received a response."}, []string{"kind", "code", "role"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "statement_seconds",
			Help: "Time from a statement's arrival to its response.", Buckets: buckets}, []string{"kind"}),
		connectionWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "statement_wait_seconds",
			Help: "Time that a statement waited for a connection.", Buckets: buckets}, []string{"kind"}),
		storeFailures: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "store_failures_total",
			Help: "Failed calls to the platform's store."}, []string{"step"}),
	}
	m.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "store_calls_total",
		Help: "Calls to the platform's store by purpose, kind and outcome; status 0 means no response."}, []string{"purpose", "call", "status"})
	m.ignoredEntries = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "ignored_entries_total",
		Help: "Entries of the platform's store that were ignored because a later revision of their key is known."})
	m.unreadableEntries = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "unreadable_entries_total",
		Help: "Entries of the platform's store that were ignored because they cannot be decoded, each revision once."})
	m.departures = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "target_departures_total",
		Help: "Departures from the protocol in what targets sent."}, []string{"departure"})
	m.registry.MustRegister(m.departures, m.ignoredEntries, m.unreadableEntries, m.statements, m.latency, m.connectionWait, m.storeFailures, m.storeCalls, collectors.NewGoCollector())
	return m
}

// registerGauges registers the metrics whose values are read at scrape time.
func (m *metrics) registerGauges(d *Daemon) {
	gauge := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
	}
	gauge("caller_sessions", "Open sessions of callers.", func() float64 { return float64(d.callers.count()) })
	gauge("confirmation_age_seconds", "Time since the configuration was last confirmed; negative if it never was.", func() float64 {
		return d.authority.ConfirmationAge(d.clock()).Seconds()
	})
	if d.dropped != nil {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_dropped_total",
			Help: "Log lines dropped because the log's buffer was full."}, func() float64 { return float64(d.dropped()) }))
	}
	gauge("store_era", "Highest era of the responses of the platform's store; it rises when the store is restored from an older copy.", func() float64 {
		return float64(d.currentEra())
	})
	m.registry.MustRegister(waitCollector{leadership: &d.leadership})
	gauge("configuration_version", "Version of the configuration in force.", func() float64 {
		if config := d.engine.Catalog(); config != nil {
			return float64(config.Version)
		}
		return 0
	})
}

// countStoreCall counts a call to the store.
func (m *metrics) countStoreCall(purpose store.Purpose, call string, status int) {
	m.storeCalls.WithLabelValues(string(purpose), call, strconv.Itoa(status)).Inc()
}

// StatementCompleted implements engine.Observer.
func (m *metrics) StatementCompleted(o engine.Outcome) {
	role := "none"
	if o.Target != "" {
		role = "replica"
	}
	if o.Primary {
		role = "primary"
	}
	kind := o.Kind.String()
	m.statements.WithLabelValues(kind, o.Code.String(), role).Inc()
	m.latency.WithLabelValues(kind).Observe(o.Duration.Seconds())
	m.connectionWait.WithLabelValues(kind).Observe(o.WaitTime.Seconds())
}
