package oracle

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Span is when a request that ran was sent and answered. It was admitted in
// between.
type Span struct {
	Start, End time.Duration
}

// Limit is a customer's rate in requests per second and its burst in requests.
type Limit struct {
	Rate, Burst float64
}

// CheckRate reports a window in which more requests ran than the limit allows.
// It counts the requests that lie wholly in the window, so that it never blames
// a fleet that keeps the limit.
func CheckRate(customer string, spans []Span, limit Limit) []Violation {
	window, count, excess := worstWindow(spans, limit)
	// Half a request of slack keeps rounding out of the verdict.
	const slack = 0.5
	if excess <= limit.Burst+slack {
		return nil
	}
	detail := fmt.Sprintf("customer %s: %d requests within %v, the limit is %.1f a second and a burst of %.1f",
		customer, count, window.End-window.Start, limit.Rate, limit.Burst)
	return []Violation{{Rule: RuleRate, At: window.End, Detail: detail}}
}

// notPassed keeps a start out of the maximum until the sweep reaches it. It is
// above every count of requests and small enough for exact sums.
const notPassed = 1e9

// worstWindow returns the window whose requests exceed its rate by most.
func worstWindow(spans []Span, limit Limit) (window Span, count int, excess float64) {
	spans = slices.Clone(spans)
	slices.SortFunc(spans, func(a, b Span) int { return int(a.End - b.End) })
	starts := make([]time.Duration, len(spans))
	for i, span := range spans {
		starts[i] = span.Start
	}
	slices.Sort(starts)
	// The tree holds, for each start a that has passed, the requests in [a, now]
	// plus the tokens that were added before a.
	tree := newMaxTree(len(starts))
	tree.add(0, len(starts)-1, -notPassed)
	passed := 0
	for _, span := range spans {
		for ; passed < len(starts) && starts[passed] <= span.End; passed++ {
			tree.add(passed, passed, notPassed+limit.Rate*starts[passed].Seconds())
		}
		last := sort.Search(len(starts), func(i int) bool { return starts[i] > span.Start }) - 1
		tree.add(0, last, 1)
		if e := tree.max() - limit.Rate*span.End.Seconds(); e > excess {
			excess = e
			window = Span{Start: starts[tree.argmax()], End: span.End}
		}
	}
	for _, span := range spans {
		if span.Start >= window.Start && span.End <= window.End {
			count++
		}
	}
	return window, count, excess
}

// maxTree is a segment tree with addition to ranges and the overall maximum.
type maxTree struct {
	size int
	best []float64
	lazy []float64
}

func newMaxTree(n int) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	return &maxTree{size: size, best: make([]float64, 2*size), lazy: make([]float64, 2*size)}
}

func (t *maxTree) add(from, to int, value float64) { t.addIn(1, 0, t.size-1, from, to, value) }

func (t *maxTree) addIn(node, low, high, from, to int, value float64) {
	if to < low || high < from {
		return
	}
	if from <= low && high <= to {
		t.best[node] += value
		t.lazy[node] += value
		return
	}
	middle := (low + high) / 2
	t.addIn(2*node, low, middle, from, to, value)
	t.addIn(2*node+1, middle+1, high, from, to, value)
	t.best[node] = max(t.best[2*node], t.best[2*node+1]) + t.lazy[node]
}

func (t *maxTree) max() float64 { return t.best[1] }

func (t *maxTree) argmax() int {
	node := 1
	for node < t.size {
		node *= 2
		if t.best[node+1] > t.best[node] {
			node++
		}
	}
	return node - t.size
}
