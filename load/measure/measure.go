// Package measure collects what a run of the load tool saw and sums it up in the
// measures that samphirehitch is judged by: the share of reads served by
// replicas, the failover gap, the worst-served customer, and refusals of
// requests within a customer's rate.
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
	// longestLatency is the largest latency that histograms tell apart.
	longestLatency = 2 * time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Sample is one request as its caller saw it.
type Sample struct {
	Customer int
	Service  int
	Write    bool
	Outcome  oracle.Outcome
	// Code is the SQLSTATE of a refusal, or empty.
	Code string
	// Arrival is when the request was due, Start when it was sent and End when
	// its answer came.
	Arrival, Start, End time.Duration
	// WithinRate says that an ideal token bucket of the customer's limit admits
	// the request.
	WithinRate bool
	// ReplicaReads and PrimaryReads count the reads that came back.
	ReplicaReads, PrimaryReads int
}

// Collector takes samples. It is safe for concurrent use.
type Collector struct {
	mu struct {
		sync.Mutex
		customers []customer
		services  []service
		buckets   []Bucket
		refusals  map[Refusal]int
	}
}

type customer struct {
	latency *hdrhistogram.Histogram
	spans   []oracle.Span
	sums    Sums
}

// service holds when writes to it were confirmed.
type service struct {
	confirmed []time.Duration
}

// Sums counts requests.
type Sums struct {
	Requests  int `json:"requests"`
	Confirmed int `json:"confirmed"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	// WithinRate is how many of the requests the customer's limit allows;
	// WithinRateRefused is how many of these were refused for the rate.
	WithinRate        int `json:"within_rate"`
	WithinRateServed  int `json:"within_rate_served"`
	WithinRateRefused int `json:"within_rate_refused"`
	ReplicaReads      int `json:"replica_reads"`
	PrimaryReads      int `json:"primary_reads"`
}

// Bucket counts what ended in one step of the timeline.
type Bucket struct {
	Writes       int `json:"writes"`
	ReplicaReads int `json:"replica_reads"`
	PrimaryReads int `json:"primary_reads"`
	Failures     int `json:"failures"`
}

// codeOverRate is the SQLSTATE of a request over its customer's rate.
const codeOverRate = "53400"

// New returns an empty collector.
func New(customers, services int) *Collector {
	c := &Collector{}
	c.mu.customers = make([]customer, customers)
	for i := range c.mu.customers {
		c.mu.customers[i].latency = hdrhistogram.New(1, longestLatency.Microseconds(), significantDigits)
	}
	c.mu.services = make([]service, services)
	c.mu.refusals = make(map[Refusal]int)
	return c
}

// Add takes a sample.
func (c *Collector) Add(s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	of := &c.mu.customers[s.Customer]
	of.sums.add(s)
	if s.Outcome == oracle.Confirmed {
		of.spans = append(of.spans, oracle.Span{Start: s.Start, End: s.End})
		// Longer latencies count as the longest.
		_ = of.latency.RecordValue(min(s.End-s.Arrival, longestLatency).Microseconds())
	} else {
		c.mu.refusals[Refusal{Code: s.Code, Outcome: s.Outcome.String()}]++
	}
	if s.Outcome == oracle.Confirmed && s.Write {
		to := &c.mu.services[s.Service]
		to.confirmed = append(to.confirmed, s.End)
	}
	c.bucket(s.End).add(s)
}

func (c *Collector) bucket(at time.Duration) *Bucket {
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

func (t *Sums) add(s Sample) {
	t.Requests++
	t.ReplicaReads += s.ReplicaReads
	t.PrimaryReads += s.PrimaryReads
	switch s.Outcome {
	case oracle.Confirmed:
		t.Confirmed++
	case oracle.NotRun:
		t.NotRun++
	default:
		t.Unknown++
	}
	if !s.WithinRate {
		return
	}
	t.WithinRate++
	if s.Outcome == oracle.Confirmed {
		t.WithinRateServed++
	}
	if s.Code == codeOverRate {
		t.WithinRateRefused++
	}
}

func (t *Sums) merge(other Sums) {
	t.Requests += other.Requests
	t.Confirmed += other.Confirmed
	t.NotRun += other.NotRun
	t.Unknown += other.Unknown
	t.WithinRate += other.WithinRate
	t.WithinRateServed += other.WithinRateServed
	t.WithinRateRefused += other.WithinRateRefused
	t.ReplicaReads += other.ReplicaReads
	t.PrimaryReads += other.PrimaryReads
}

// Spans returns when the confirmed requests of a customer ran, for the check of its rate.
func (c *Collector) Spans(customer int) []oracle.Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.mu.customers[customer].spans)
}
