package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"samphirehitch.example/samphirehitch/process/group/promotion"
	"samphirehitch.example/samphirehitch/process/topology"
)

// namespace is the prefix of every metric name.
const namespace = "samphirehitch"

// promotionMetrics holds the histogram of the phases of promotions. All other metrics
// are read from the components at scrape time.
type promotionMetrics struct {
	phaseSeconds *prometheus.HistogramVec
}

// newPromotionMetrics returns unregistered metrics.
func newPromotionMetrics() promotionMetrics {
	return promotionMetrics{phaseSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "failover_gap_seconds",
		Help:    "Duration of each phase of the promotions that this instance completed.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
	}, []string{"part"})}
}

// observe records the phases of a completed promotion. It implements
// group.Dependencies.OnPromotion.
func (m promotionMetrics) observe(_ topology.ServiceID, gap promotion.FailoverGap) {
	m.phaseSeconds.WithLabelValues("detect").Observe(gap.Detect.Seconds())
	m.phaseSeconds.WithLabelValues("claim").Observe(gap.Claim.Seconds())
	m.phaseSeconds.WithLabelValues("fence").Observe(gap.Fence.Seconds())
	m.phaseSeconds.WithLabelValues("promote").Observe(gap.Promote.Seconds())
	m.phaseSeconds.WithLabelValues("resume").Observe(gap.Resume.Seconds())
}

// registerMetrics registers the metrics of the Go runtime, the process and the daemon's
// components.
func (d *Daemon) registerMetrics() {
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.registry.MustRegister(d.promotionMetrics.phaseSeconds)
	traffic := d.mesh.Counters()
	d.registerCounter("peer_sent_bytes_total", "Bytes sent to peers.", traffic.SentBytes.Load)
	d.registerCounter("peer_received_bytes_total", "Bytes received from peers.", traffic.ReceivedBytes.Load)
	d.registerCounter("peer_sent_messages_total", "Messages sent to peers.", traffic.SentFrames.Load)
	d.registerCounter("peer_received_messages_total", "Messages received from peers.", traffic.ReceivedFrames.Load)
	d.registerCounter("peer_dropped_messages_total", "Messages dropped because the peer had no link or its send queue was full.", traffic.Dropped.Load)
	d.registerCounter("config_store_calls_total", "Store calls made for the configuration.", func() uint64 { return d.config.Status().StoreCalls })
	d.registerGauge("config_revision", "Revision of the applied configuration.", func() float64 { return float64(d.config.Status().Revision) })
	d.registerGauge("config_evidence_age_seconds", "Age of the evidence that the configuration is fresh; negative without evidence.", func() float64 {
		return d.config.Status().Age.Seconds()
	})
	d.registerGauge("peers_connected", "Peers with an established link.", func() float64 { return float64(len(d.mesh.Connected())) })
}

// registerCounter registers a counter whose value is read at scrape time.
func (d *Daemon) registerCounter(name, help string, read func() uint64) {
	d.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
		func() float64 { return float64(read()) }))
}

// registerGauge registers a gauge whose value is read at scrape time.
func (d *Daemon) registerGauge(name, help string, read func() float64) {
	d.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}
