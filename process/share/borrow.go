package share

import (
	"cmp"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

const (
	// mostLenders is how many instances are asked for one operation: each costs a
	// round trip.
	mostLenders = 3
	// refusedPause is how long a customer that nobody lends for is not asked for: one
	// that is above its limit would cost messages with every operation.
	refusedPause = 100 * time.Millisecond
)

// Lender is an instance that may admit an operation on its part of a limit.
type Lender struct {
	Instance topology.InstanceID
	// Spare is what its part allows beyond its demand, in operations a second.
	Spare float64
}

// Lenders returns whom to ask, in order: the first is drawn by spare, so that
// borrowers spread, the next is the one with the most left. Draw is in [0, 1).
func Lenders(candidates []Lender, draw float64) []topology.InstanceID {
	sorted := slices.DeleteFunc(slices.Clone(candidates), func(l Lender) bool { return l.Spare <= 0 })
	slices.SortFunc(sorted, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(b.Spare, a.Spare), cmp.Compare(a.Instance, b.Instance))
	})
	total := 0.0
	for _, l := range sorted {
		total += l.Spare
	}
	var chosen []topology.InstanceID
	at := draw * total
	for i, l := range sorted {
		if at -= l.Spare; at < 0 {
			chosen = append(chosen, l.Instance)
			sorted = slices.Delete(sorted, i, i+1)
			break
		}
	}
	for _, l := range sorted[:min(len(sorted), mostLenders-len(chosen))] {
		chosen = append(chosen, l.Instance)
	}
	return chosen
}

// Borrowing remembers for which customers nobody lends. It is not safe for concurrent
// use.
type Borrowing struct {
	refusedUntil map[topology.CustomerID]time.Duration
}

// May reports whether to ask for a customer.
func (b *Borrowing) May(now time.Duration, id topology.CustomerID) bool {
	return now >= b.refusedUntil[id]
}

// Refused notes that nobody lent.
func (b *Borrowing) Refused(now time.Duration, id topology.CustomerID) {
	if b.refusedUntil == nil {
		b.refusedUntil = make(map[topology.CustomerID]time.Duration)
	}
	b.refusedUntil[id] = now + refusedPause
}
