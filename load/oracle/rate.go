package oracle

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Interval is the time between the sending of a request that ran and its response. The
// request was admitted at some time within it.
type Interval struct {
	Start, End time.Duration
}

// RateLimit is a customer's rate, in requests per second, and burst, in requests.
type RateLimit struct {
	Rate, Burst float64
}

// CheckRate returns a violation if there is a window in which more requests ran than the
// burst plus the rate times the window's length. It describes the window with the largest
// excess. Only requests whose interval lies within a window count, because only these
// were certainly admitted in it: a fleet that keeps the limit is never reported.
func CheckRate(customer string, intervals []Interval, limit RateLimit) []Violation {
	window, count, excess := worstWindow(intervals, limit)
	// Half a request of slack, so that rounding does not cause a violation.
	const slack = 0.5
	if excess <= limit.Burst+slack {
		return nil
	}
	detail := fmt.Sprintf("customer %s: %d requests within %v, the limit is %.1f a second and a burst of %.1f",
		customer, count, window.End-window.Start, limit.Rate, limit.Burst)
	return []Violation{{Rule: RuleRate, At: window.End, Detail: detail}}
}

// notReachedOffset keeps a start out of the maximum until the sweep reaches it. It
// exceeds every count of requests and is small enough that sums of float64 stay exact.
const notReachedOffset = 1e9

// worstWindow returns the window in which the number of requests exceeds the rate times
// the window's length by the most, with that number and the excess. It sweeps over the ends
// of the requests and, for each, finds the best start in a segment tree.
func worstWindow(intervals []Interval, limit RateLimit) (window Interval, count int, excess float64) {
	intervals = slices.Clone(intervals)
	slices.SortFunc(intervals, func(a, b Interval) int { return int(a.End - b.End) })
	starts := make([]time.Duration, len(intervals))
	for i, interval := range intervals {
		starts[i] = interval.Start
	}
	slices.Sort(starts)
	// For each start s that the sweep has reached, the tree holds the number of
	// requests within [s, now] plus the tokens that the rate added before s. The
	// excess of [s, now] is this value less the tokens added before now.
	tree := newMaxTree(len(starts))
	tree.add(0, len(starts)-1, -notReachedOffset)
	reached := 0
	for _, interval := range intervals {
		for ; reached < len(starts) && starts[reached] <= interval.End; reached++ {
			tree.add(reached, reached, notReachedOffset+limit.Rate*starts[reached].Seconds())
		}
		last := sort.Search(len(starts), func(i int) bool { return starts[i] > interval.Start }) - 1
		tree.add(0, last, 1)
		if candidate := tree.max() - limit.Rate*interval.End.Seconds(); candidate > excess {
			excess = candidate
			window = Interval{Start: starts[tree.argmax()], End: interval.End}
		}
	}
	for _, interval := range intervals {
		if interval.Start >= window.Start && interval.End <= window.End {
			count++
		}
	}
	return window, count, excess
}

// maxTree is a segment tree that adds values to ranges of indexes and returns the
// maximum over all of them.
type maxTree struct {
	size int
	// maxima holds the maximum of each node's range, and pending the part of it that
	// was added to the whole range and is not in the maxima of the child nodes. The
	// root is at 1, the children of node n at 2n and 2n+1.
	maxima  []float64
	pending []float64
}

func newMaxTree(n int) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	return &maxTree{size: size, maxima: make([]float64, 2*size), pending: make([]float64, 2*size)}
}

func (t *maxTree) add(from, to int, value float64) { t.addIn(1, 0, t.size-1, from, to, value) }

func (t *maxTree) addIn(node, low, high, from, to int, value float64) {
	if to < low || high < from {
		return
	}
	if from <= low && high <= to {
		t.maxima[node] += value
		t.pending[node] += value
		return
	}
	middle := (low + high) / 2
	t.addIn(2*node, low, middle, from, to, value)
	t.addIn(2*node+1, middle+1, high, from, to, value)
	t.maxima[node] = max(t.maxima[2*node], t.maxima[2*node+1]) + t.pending[node]
}

func (t *maxTree) max() float64 { return t.maxima[1] }

func (t *maxTree) argmax() int {
	node := 1
	for node < t.size {
		node *= 2
		if t.maxima[node+1] > t.maxima[node] {
			node++
		}
	}
	return node - t.size
}
