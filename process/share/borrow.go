package share

import (
	"cmp"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// maxLenders is the maximum number of instances that are requested to admit
	// one operation. Each costs a round trip.
	maxLenders = 3
	// refusalBackoff is how long no lender receives a request for a customer after
	// all have refused. Without it, a customer above its limit would cost messages
	// with every operation.
	refusalBackoff = 100 * time.Millisecond
)

// Lender is an instance that may admit an operation on its share of a limit.
type Lender struct {
	Instance topology.InstanceID
	// SpareRate is the rate by which the lender's share exceeds its own demand, in
	// operations per second.
	SpareRate float64
}

// ChooseLenders returns the instances to send requests to, in order. The first is
// drawn with a probability proportional to its spare rate, so that borrowers
// spread over the lenders; the others follow by descending spare rate. Draw is a
// random number in [0, 1).
func ChooseLenders(candidates []Lender, draw float64) []topology.InstanceID {
	sorted := slices.DeleteFunc(slices.Clone(candidates), func(l Lender) bool { return l.SpareRate <= 0 })
	slices.SortFunc(sorted, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(b.SpareRate, a.SpareRate), cmp.Compare(a.Instance, b.Instance))
	})
	total := 0.0
	for _, l := range sorted {
		total += l.SpareRate
	}
	var chosen []topology.InstanceID
	remaining := draw * total
	for i, l := range sorted {
		if remaining -= l.SpareRate; remaining < 0 {
			chosen = append(chosen, l.Instance)
			sorted = slices.Delete(sorted, i, i+1)
			break
		}
	}
	for _, l := range sorted[:min(len(sorted), maxLenders-len(chosen))] {
		chosen = append(chosen, l.Instance)
	}
	return chosen
}

// BorrowBackoff records the customers for which all lenders have refused lately.
// It is not safe for concurrent use.
type BorrowBackoff struct {
	blockedUntil map[topology.CustomerID]time.Duration
}

// Allowed reports whether requests for the customer may be sent to lenders.
func (b *BorrowBackoff) Allowed(now time.Duration, id topology.CustomerID) bool {
	return now >= b.blockedUntil[id]
}

// RecordRefusal records that all lenders refused an operation of the customer.
func (b *BorrowBackoff) RecordRefusal(now time.Duration, id topology.CustomerID) {
	if b.blockedUntil == nil {
		b.blockedUntil = make(map[topology.CustomerID]time.Duration)
	}
	b.blockedUntil[id] = now + refusalBackoff
}
