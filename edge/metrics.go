package edge

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"samphirehitch.example/samphirehitch/request/engine"
)

// namespace prefixes every metric.
const namespace = "samphirehitch"

// metrics are the counters and histograms of the daemon.
type metrics struct {
	registry      *prometheus.Registry
	statements    *prometheus.CounterVec
	took          *prometheus.HistogramVec
	waited        *prometheus.HistogramVec
	storeFailures *prometheus.CounterVec
	storeCalls    *prometheus.CounterVec
}

func newMetrics() *metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 13)
	m := &metrics{
		registry: prometheus.NewRegistry(),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "statements_total",
			Help: "Answered statements."}, []string{"kind", "code", "role"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "statement_seconds",
			Help: "Time from a statement's arrival to its answer.", Buckets: buckets}, []string{"kind"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "statement_wait_seconds",
			Help: "Time that a statement waited for a connection.", Buckets: buckets}, []string{"kind"}),
		storeFailures: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "store_failures_total",
			Help: "Failed calls to the platform's store."}, []string{"step"}),
	}
	m.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "store_calls_total",
		Help: "Calls to the platform's store by kind and outcome; status 0 is no answer."}, []string{"call", "status"})
	m.registry.MustRegister(m.statements, m.took, m.waited, m.storeFailures, m.storeCalls, collectors.NewGoCollector())
	return m
}

// watch registers the gauges that are read at scrape time.
func (m *metrics) watch(d *Daemon) {
	gauge := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
	}
	gauge("caller_sessions", "Open sessions of callers.", func() float64 { return float64(d.callers.count()) })
	gauge("confirmation_age_seconds", "Age of the last confirmation of the configuration; negative without any.", func() float64 {
		return d.tenure.Age(d.clock()).Seconds()
	})
	if d.dropped != nil {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_dropped_total",
			Help: "Lines that did not fit into the log's buffer."}, func() float64 { return float64(d.dropped()) }))
	}
	gauge("configuration_version", "Version of the configuration in force.", func() float64 {
		if c := d.engine.Catalog(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
}

// storeCall counts a call to the store.
func (m *metrics) storeCall(call string, status int) {
	m.storeCalls.WithLabelValues(call, strconv.Itoa(status)).Inc()
}

// Answered implements engine.Observer.
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
	m.took.WithLabelValues(kind).Observe(o.Duration.Seconds())
	m.waited.WithLabelValues(kind).Observe(o.WaitTime.Seconds())
}
