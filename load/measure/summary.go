package measure

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/load/oracle"
)

// Phase sums up one way of reaching the databases.
type Phase struct {
	Name string `json:"name"`
	Sums Sums   `json:"sums"`
	// ReplicaShare is the share of reads that replicas served, 0 to 1.
	ReplicaShare float64   `json:"replica_share"`
	Services     []Service `json:"services"`
	// FailoverGapMillis is the longest of the services' write gaps.
	FailoverGapMillis float64    `json:"failover_gap_millis"`
	Customers         []Customer `json:"customers"`
	// WorstServed is the customer with the smallest share of requests within
	// its rate that were served, the slower one of equals.
	WorstServed int `json:"worst_served"`
	// WrongfulRefusals is how many requests within their customer's rate were
	// refused for the rate.
	WrongfulRefusals int `json:"wrongful_refusals"`
	// Dropped is how many requests found a full backlog at the load tool.
	Dropped      int                `json:"dropped"`
	Refusals     []Refusal          `json:"refusals"`
	Violations   []oracle.Violation `json:"violations"`
	BucketMillis int64              `json:"bucket_millis"`
	Timeline     []Bucket           `json:"timeline"`
	Faults       []Mark             `json:"faults"`
}

// Mark is a fault that was set during the run.
type Mark struct {
	AtMillis int64  `json:"at_millis"`
	Text     string `json:"text"`
	// Error is what kept the fault from being set, or empty.
	Error string `json:"error,omitempty"`
}

// Service tells how long a service confirmed no write.
type Service struct {
	WritesConfirmed int     `json:"writes_confirmed"`
	GapMillis       float64 `json:"gap_millis"`
	// GapAtMillis is when the gap began.
	GapAtMillis float64 `json:"gap_at_millis"`
}

// Customer tells how a customer fared.
type Customer struct {
	Sums Sums `json:"sums"`
	// ServedShare is the share of requests within its rate that were served.
	ServedShare float64 `json:"served_share"`
	// Latencies are of confirmed requests, from their arrival.
	P50Millis float64 `json:"p50_millis"`
	P99Millis float64 `json:"p99_millis"`
	MaxMillis float64 `json:"max_millis"`
}

// Refusal counts the requests that ended with a SQLSTATE; without one, the
// connection failed.
type Refusal struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
}

func compareRefusals(a, b Refusal) int {
	return cmp.Or(strings.Compare(a.Code, b.Code), strings.Compare(a.Outcome, b.Outcome))
}

// Summary sums up the samples of a run of that length.
func (c *Collector) Summary(name string, length time.Duration) Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase := Phase{Name: name, BucketMillis: bucketWidth.Milliseconds(), Timeline: slices.Clone(c.mu.buckets)}
	for i := range c.mu.customers {
		of := &c.mu.customers[i]
		phase.Sums.merge(of.sums)
		phase.Customers = append(phase.Customers, Customer{
			Sums:        of.sums,
			ServedShare: share(of.sums.WithinRateServed, of.sums.WithinRate),
			P50Millis:   float64(of.latency.ValueAtQuantile(50)) / 1000,
			P99Millis:   float64(of.latency.ValueAtQuantile(99)) / 1000,
			MaxMillis:   float64(of.latency.Max()) / 1000,
		})
		if worse(phase.Customers[i], phase.Customers[phase.WorstServed]) {
			phase.WorstServed = i
		}
	}
	phase.ReplicaShare = share(phase.Sums.ReplicaReads, phase.Sums.ReplicaReads+phase.Sums.PrimaryReads)
	phase.WrongfulRefusals = phase.Sums.WithinRateRefused
	for _, of := range c.mu.services {
		gap := of.gap(length)
		phase.Services = append(phase.Services, gap)
		phase.FailoverGapMillis = max(phase.FailoverGapMillis, gap.GapMillis)
	}
	for refusal, count := range c.mu.refusals {
		refusal.Count = count
		phase.Refusals = append(phase.Refusals, refusal)
	}
	slices.SortFunc(phase.Refusals, compareRefusals)
	return phase
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func worse(a, b Customer) bool {
	if a.ServedShare != b.ServedShare {
		return a.ServedShare < b.ServedShare
	}
	return a.P99Millis > b.P99Millis
}

// gap returns the longest time without a confirmed write, the ends of the run
// included.
func (s *service) gap(length time.Duration) Service {
	result := Service{WritesConfirmed: len(s.confirmed)}
	times := slices.Clone(s.confirmed)
	slices.Sort(times)
	var last time.Duration
	for _, at := range append(times, max(length, last)) {
		if gap := millis(at - last); gap > result.GapMillis {
			result.GapMillis = gap
			result.GapAtMillis = millis(last)
		}
		last = at
	}
	return result
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
