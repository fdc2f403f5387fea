package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/topology"
)

// namespace prefixes every metric.
const namespace = "samphirehitch"

// metrics are the metrics that are written when something happens.
type metrics struct {
	gaps *prometheus.HistogramVec
}

// newMetrics returns metrics that are not registered yet.
func newMetrics() metrics {
	return metrics{gaps: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "failover_gap_seconds",
		Help:    "Duration of each part of promotions that this instance finished.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
	}, []string{"part"})}
}

// gap records the parts of a finished promotion.
func (m metrics) gap(_ topology.ServiceID, gap promotion.FailoverGap) {
	m.gaps.WithLabelValues("detect").Observe(gap.Detect.Seconds())
	m.gaps.WithLabelValues("claim").Observe(gap.Claim.Seconds())
	m.gaps.WithLabelValues("fence").Observe(gap.Fence.Seconds())
	m.gaps.WithLabelValues("promote").Observe(gap.Promote.Seconds())
	m.gaps.WithLabelValues("resume").Observe(gap.Resume.Seconds())
}

// registerMetrics registers the metrics of the process.
func (d *Daemon) registerMetrics() {
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.registry.MustRegister(d.metrics.gaps)
	traffic := d.mesh.Counters()
	d.counter("peer_sent_bytes_total", "Bytes sent to peers.", traffic.SentBytes.Load)
	d.counter("peer_received_bytes_total", "Bytes received from peers.", traffic.ReceivedBytes.Load)
	d.counter("peer_sent_messages_total", "Messages sent to peers.", traffic.SentFrames.Load)
	d.counter("peer_received_messages_total", "Messages received from peers.", traffic.ReceivedFrames.Load)
	d.counter("peer_dropped_messages_total", "Messages dropped for lack of a link or of room in its queue.", traffic.Dropped.Load)
	d.counter("config_store_calls_total", "Calls to the store for configuration.", func() uint64 { return d.config.Status().StoreCalls })
	d.gauge("config_revision", "Revision of the configuration in force.", func() float64 { return float64(d.config.Status().Revision) })
	d.gauge("config_evidence_age_seconds", "Age of the evidence that the configuration is fresh; negative without any.", func() float64 {
		return d.config.Status().Age.Seconds()
	})
	d.gauge("peers_connected", "Peers with a link.", func() float64 { return float64(len(d.mesh.Connected())) })
}

// counter registers a counter that is read at scrape time.
func (d *Daemon) counter(name, help string, read func() uint64) {
	d.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
		func() float64 { return float64(read()) }))
}

// gauge registers a gauge that is read at scrape time.
func (d *Daemon) gauge(name, help string, read func() float64) {
	d.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}
