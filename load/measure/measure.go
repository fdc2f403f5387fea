// Package measure collects the results of requests during a run of the load tool and
// computes the measures by which samphirehitch is evaluated: the share of reads
// served by replicas, the failover gap (the longest time without a confirmed write),
// the worst-served customer, and refusals of requests within a customer's rate.
package measure

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirehitch.example/samphirehitch/load/oracle"
)

const (
	// bucketWidth is the resolution of the timeline.
	bucketWidth = 100 * time.Millisecond
	// maxLatency is the upper end of the latency histograms. Longer latencies are
	// recorded as maxLatency.
	maxLatency = 2 * time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Sample is the result of one request as its caller saw it. Times are offsets from
// the start of the load.
type Sample struct {
	Customer int
	Service  int
	Write    bool
	Outcome  oracle.Outcome
	// SQLState is the code of a server's error, or empty.
	SQLState string
	// Arrival is when the request was due, Start when its session began to send it
	// and End when its result was known. Latency counts from Arrival, so that the
	// time in the session's queue is part of it.
	Arrival, Start, End time.Duration
	// WithinRate says that a single token bucket with the customer's whole limit
	// admits the request, and that its key is valid.
	WithinRate bool
	// ReplicaReads and PrimaryReads count the reads that returned a row, by the role
	// of the target that served them.
	ReplicaReads, PrimaryReads int
}

// Collector accumulates samples. It is safe for concurrent use.
type Collector struct {
	mu struct {
		sync.Mutex
		customers []customerStats
		services  []serviceStats
		buckets   []Bucket
		failures  map[FailureCount]int
	}
}

// customerStats accumulates the samples of one customer.
type customerStats struct {
	latency   *hdrhistogram.Histogram
	confirmed []oracle.Interval
	counts    RequestCounts
}

// serviceStats holds the times at which a service's writes were confirmed, in no
// particular order.
type serviceStats struct {
	confirmedWrites []time.Duration
}

// RequestCounts counts requests by outcome.
type RequestCounts struct {
	Requests  int `json:"requests"`
	Confirmed int `json:"confirmed"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	// WithinRate counts the requests that the customer's limit allows;
	// WithinRateServed counts those of them that were confirmed, and
	// WithinRateRefused those that were refused as over the rate.
	WithinRate        int `json:"within_rate"`
	WithinRateServed  int `json:"within_rate_served"`
	WithinRateRefused int `json:"within_rate_refused"`
	ReplicaReads      int `json:"replica_reads"`
	PrimaryReads      int `json:"primary_reads"`
}

// Bucket counts what finished in one step of the timeline. Writes are confirmed ones;
// failures are all requests that were not confirmed.
type Bucket struct {
	Writes       int `json:"writes"`
	ReplicaReads int `json:"replica_reads"`
	PrimaryReads int `json:"primary_reads"`
	Failures     int `json:"failures"`
}

// codeRateExceeded is the SQLSTATE of a request refused as over its customer's rate.
const codeRateExceeded = "53400"

// NewCollector returns an empty collector.
func NewCollector(customers, services int) *Collector {
	c := &Collector{}
	c.mu.customers = make([]customerStats, customers)
	for i := range c.mu.customers {
		c.mu.customers[i].latency = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	c.mu.services = make([]serviceStats, services)
	c.mu.failures = make(map[FailureCount]int)
	return c
}

// Add records a sample.
func (c *Collector) Add(s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := &c.mu.customers[s.Customer]
	stats.counts.add(s)
	if s.Outcome == oracle.Confirmed {
		stats.confirmed = append(stats.confirmed, oracle.Interval{Start: s.Start, End: s.End})
		// RecordValue fails only for values above maxLatency.
		_ = stats.latency.RecordValue(min(s.End-s.Arrival, maxLatency).Microseconds())
	} else {
		c.mu.failures[FailureCount{SQLState: s.SQLState, Outcome: s.Outcome.String()}]++
	}
	if s.Outcome == oracle.Confirmed && s.Write {
		service := &c.mu.services[s.Service]
		service.confirmedWrites = append(service.confirmedWrites, s.End)
	}
	c.bucketAt(s.End).add(s)
}

// bucketAt returns the bucket of a time and extends the timeline up to it.
func (c *Collector) bucketAt(at time.Duration) *Bucket {
	i := max(0, int(at/bucketWidth))
	for len(c.mu.buckets) <= i {
		c.mu.buckets = append(c.mu.buckets, Bucket{})
	}
	return &c.mu.buckets[i]
}

func (b *Bucket) add(s Sample) {
	b.ReplicaReads += s.ReplicaReads
	b.PrimaryReads += s.PrimaryReads
	switch {
	case s.Outcome != oracle.Confirmed:
		b.Failures++
	case s.Write:
		b.Writes++
	}
}

func (c *RequestCounts) add(s Sample) {
	c.Requests++
	c.ReplicaReads += s.ReplicaReads
	c.PrimaryReads += s.PrimaryReads
	switch s.Outcome {
	case oracle.Confirmed:
		c.Confirmed++
	case oracle.NotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
	if !s.WithinRate {
		return
	}
	c.WithinRate++
	if s.Outcome == oracle.Confirmed {
		c.WithinRateServed++
	}
	if s.SQLState == codeRateExceeded {
		c.WithinRateRefused++
	}
}

func (c *RequestCounts) merge(other RequestCounts) {
	c.Requests += other.Requests
	c.Confirmed += other.Confirmed
	c.NotRun += other.NotRun
	c.Unknown += other.Unknown
	c.WithinRate += other.WithinRate
	c.WithinRateServed += other.WithinRateServed
	c.WithinRateRefused += other.WithinRateRefused
	c.ReplicaReads += other.ReplicaReads
	c.PrimaryReads += other.PrimaryReads
}

// ConfirmedIntervals returns the intervals in which a customer's confirmed requests
// ran, for oracle.CheckRate.
func (c *Collector) ConfirmedIntervals(customer int) []oracle.Interval {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.mu.customers[customer].confirmed)
}
