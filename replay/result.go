package replay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Result is what a policy made of a pattern.
type Result struct {
	Pattern, Policy string
	Kinds           [2]Tally
	Customers       map[topology.CustomerID]*Tally
	// InTime holds for each arrival, in order, whether it was answered in time.
	InTime []Point
}

// Point is one arrival on a time line.
type Point struct {
	At     time.Duration
	InTime bool
}

// Tally counts outcomes.
type Tally struct {
	Asked, InTime, Late, Refused int
	// RefusedAfter is the sum of the times until refusals.
	RefusedAfter time.Duration
}

func (t *Tally) add(a Arrival, o Outcome) {
	t.Asked++
	switch took := o.At - a.At; {
	case !o.Served:
		t.Refused++
		t.RefusedAfter += took
	case took <= a.Objective:
		t.InTime++
	default:
		t.Late++
	}
}

// share returns the part that was answered in time.
func (t Tally) share() float64 {
	if t.Asked == 0 {
		return 1
	}
	return float64(t.InTime) / float64(t.Asked)
}

// meanRefusal returns the mean time until a refusal.
func (t Tally) meanRefusal() time.Duration {
	if t.Refused == 0 {
		return 0
	}
	return t.RefusedAfter / time.Duration(t.Refused)
}

// lateWorth is what an answer after the objective is worth to callers, by the sheets.
const lateWorth = 0.3

// Worth returns what callers got of what all answers in time would be worth.
func (r *Result) Worth() float64 {
	asked, worth := 0, 0.0
	for _, t := range r.Kinds {
		asked += t.Asked
		worth += float64(t.InTime) + lateWorth*float64(t.Late)
	}
	return worth / float64(max(1, asked))
}

// Share returns the part of all arrivals that was answered in time.
func (r *Result) Share() float64 {
	return Tally{Asked: r.Kinds[0].Asked + r.Kinds[1].Asked, InTime: r.Kinds[0].InTime + r.Kinds[1].InTime}.share()
}

// WorstCustomer returns the customer with the smallest part answered in time.
func (r *Result) WorstCustomer() (topology.CustomerID, float64) {
	var worst topology.CustomerID
	least := 2.0
	for id, t := range r.Customers {
		if share := t.share(); share < least || share == least && id < worst {
			worst, least = id, share
		}
	}
	return worst, least
}

// MeanRefusal returns the mean time until a refusal.
func (r *Result) MeanRefusal() time.Duration {
	return Tally{Refused: r.Kinds[0].Refused + r.Kinds[1].Refused, RefusedAfter: r.Kinds[0].RefusedAfter + r.Kinds[1].RefusedAfter}.meanRefusal()
}

// Run replays a pattern under a policy.
func Run(p Pattern, policy Policy) *Result {
	r := &Result{Pattern: p.Name, Policy: policy.Name(), Customers: make(map[topology.CustomerID]*Tally)}
	w := newWorld(p.Targets)
	policy.begin(w, p, func(a Arrival, o Outcome) {
		r.Kinds[a.Kind].add(a, o)
		if r.Customers[a.Customer] == nil {
			r.Customers[a.Customer] = &Tally{}
		}
		r.Customers[a.Customer].add(a, o)
		r.InTime = append(r.InTime, Point{a.At, o.Served && o.At-a.At <= a.Objective})
	})
	for _, a := range p.Arrivals {
		w.at(a.At, func() { policy.submit(a) })
	}
	w.run()
	slices.SortStableFunc(r.InTime, func(a, b Point) int { return int(a.At - b.At) })
	return r
}

// WriteTable writes one row for each pattern and policy.
func WriteTable(out io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "pattern\tpolicy\tworth\tin time\tprimary\treplica\tlate\trefused\tafter\tworst customer")
	for _, r := range results {
		_, worst := r.WorstCustomer()
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d ms\t%.3f\n", r.Pattern, r.Policy, r.Worth(), r.Share(),
			r.Kinds[Primary].share(), r.Kinds[Replica].share(), r.Kinds[0].Late+r.Kinds[1].Late,
			r.Kinds[0].Refused+r.Kinds[1].Refused, r.MeanRefusal().Milliseconds(), worst)
	}
	return t.Flush()
}
