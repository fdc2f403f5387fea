package measure

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/load/oracle"
)

// Phase summarizes one phase of a run: the load through the daemons, or the baseline.
type Phase struct {
	Name   string        `json:"name"`
	Counts RequestCounts `json:"sums"`
	// ReplicaShare is the share of reads that replicas served, from 0 to 1.
	ReplicaShare float64   `json:"replica_share"`
	Services     []Service `json:"services"`
	// FailoverGapMillis is the longest time in which any one service confirmed no
	// write.
	FailoverGapMillis float64    `json:"failover_gap_millis"`
	Customers         []Customer `json:"customers"`
	// WorstServed is the index of the customer with the smallest ServedShare. Among
	// equals it is the one with the highest 99th percentile of latency.
	WorstServed int `json:"worst_served"`
	// WrongfulRefusals counts the requests within their customer's rate that were
	// refused as over it.
	WrongfulRefusals int `json:"wrongful_refusals"`
	// Dropped counts the requests that the load tool did not send because their
	// session's queue was full.
	Dropped      int                `json:"dropped"`
	Failures     []FailureCount     `json:"refusals"`
	Violations   []oracle.Violation `json:"violations"`
	BucketMillis int64              `json:"bucket_millis"`
	Timeline     []Bucket           `json:"timeline"`
	Faults       []FaultRecord      `json:"faults"`
}

// FaultRecord is a step of the fault script that was applied, or failed, during the
// run.
type FaultRecord struct {
	AtMillis    int64  `json:"at_millis"`
	Description string `json:"text"`
	// Error says why the step could not be applied, or is empty.
	Error string `json:"error,omitempty"`
}

// Service summarizes the confirmed writes of a service and the longest gap between
// them.
type Service struct {
	WritesConfirmed int     `json:"writes_confirmed"`
	GapMillis       float64 `json:"gap_millis"`
	// GapAtMillis is when that gap began.
	GapAtMillis float64 `json:"gap_at_millis"`
}

// Customer summarizes the service that a customer received.
type Customer struct {
	Counts RequestCounts `json:"sums"`
	// ServedShare is the share of requests within its rate that were confirmed, or 0
	// when it sent none.
	ServedShare float64 `json:"served_share"`
	// Latencies of confirmed requests, counted from their arrival.
	P50Millis float64 `json:"p50_millis"`
	P99Millis float64 `json:"p99_millis"`
	MaxMillis float64 `json:"max_millis"`
}

// FailureCount counts the requests that failed with the same SQLSTATE and outcome. An
// empty SQLSTATE means that the connection failed or the request timed out.
type FailureCount struct {
	SQLState string `json:"code"`
	Outcome  string `json:"outcome"`
	Count    int    `json:"count"`
}

func compareFailures(a, b FailureCount) int {
	return cmp.Or(strings.Compare(a.SQLState, b.SQLState), strings.Compare(a.Outcome, b.Outcome))
}

// Summary summarizes the samples of a phase that took elapsed.
func (c *Collector) Summary(name string, elapsed time.Duration) Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase := Phase{Name: name, BucketMillis: bucketWidth.Milliseconds(), Timeline: slices.Clone(c.mu.buckets)}
	for i := range c.mu.customers {
		stats := &c.mu.customers[i]
		phase.Counts.merge(stats.counts)
		phase.Customers = append(phase.Customers, Customer{
			Counts:      stats.counts,
			ServedShare: ratio(stats.counts.WithinRateServed, stats.counts.WithinRate),
			P50Millis:   float64(stats.latency.ValueAtQuantile(50)) / 1000,
			P99Millis:   float64(stats.latency.ValueAtQuantile(99)) / 1000,
			MaxMillis:   float64(stats.latency.Max()) / 1000,
		})
		if servedWorse(phase.Customers[i], phase.Customers[phase.WorstServed]) {
			phase.WorstServed = i
		}
	}
	phase.ReplicaShare = ratio(phase.Counts.ReplicaReads, phase.Counts.ReplicaReads+phase.Counts.PrimaryReads)
	phase.WrongfulRefusals = phase.Counts.WithinRateRefused
	for _, stats := range c.mu.services {
		gap := stats.longestWriteGap(elapsed)
		phase.Services = append(phase.Services, gap)
		phase.FailoverGapMillis = max(phase.FailoverGapMillis, gap.GapMillis)
	}
	for failure, count := range c.mu.failures {
		failure.Count = count
		phase.Failures = append(phase.Failures, failure)
	}
	slices.SortFunc(phase.Failures, compareFailures)
	return phase
}

func ratio(count, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(count) / float64(total)
}

// servedWorse reports whether a received worse service than b.
func servedWorse(a, b Customer) bool {
	if a.ServedShare != b.ServedShare {
		return a.ServedShare < b.ServedShare
	}
	return a.P99Millis > b.P99Millis
}

// longestWriteGap returns the longest time without a confirmed write, including those
// before the first and after the last.
func (s *serviceStats) longestWriteGap(elapsed time.Duration) Service {
	result := Service{WritesConfirmed: len(s.confirmedWrites)}
	confirmedTimes := slices.Clone(s.confirmedWrites)
	slices.Sort(confirmedTimes)
	var last time.Duration
	for _, at := range append(confirmedTimes, max(elapsed, last)) {
		if gap := millis(at - last); gap > result.GapMillis {
			result.GapMillis = gap
			result.GapAtMillis = millis(last)
		}
		last = at
	}
	return result
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
