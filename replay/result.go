package replay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Result holds the outcomes of a pattern under a policy.
type Result struct {
	Pattern, Policy string
	// Kinds holds one tally for each Kind.
	Kinds     [2]Tally
	Customers map[topology.CustomerID]*Tally
	// Timeline holds all arrivals in the order of time.
	Timeline []TimelinePoint
}

// TimelinePoint is an arrival and whether it was served within its objective.
type TimelinePoint struct {
	At     time.Duration
	InTime bool
}

// Tally counts arrivals by outcome: served within the latency objective, served later, or
// refused, which includes those that expired.
type Tally struct {
	Arrivals, InTime, Late, Refused int
	// TotalRefusalTime is the sum of the times from arrival to refusal.
	TotalRefusalTime time.Duration
}

func (t *Tally) add(a Arrival, o Outcome) {
	t.Arrivals++
	switch elapsed := o.At - a.At; {
	case !o.Served:
		t.Refused++
		t.TotalRefusalTime += elapsed
	case elapsed <= a.Objective:
		t.InTime++
	default:
		t.Late++
	}
}

// inTimeShare returns the share of arrivals that were served in time, or 1 if there were
// none.
func (t Tally) inTimeShare() float64 {
	if t.Arrivals == 0 {
		return 1
	}
	return float64(t.InTime) / float64(t.Arrivals)
}

// meanRefusalTime returns the mean time from arrival to refusal.
func (t Tally) meanRefusalTime() time.Duration {
	if t.Refused == 0 {
		return 0
	}
	return t.TotalRefusalTime / time.Duration(t.Refused)
}

// lateWorth is the worth to a customer of a response after the objective, relative to one
// in time, as the customers' load descriptions state it.
const lateWorth = 0.3

// Worth returns the worth of all responses, relative to serving every arrival in time.
// A late response counts lateWorth, a refusal nothing.
func (r *Result) Worth() float64 {
	arrivals, worth := 0, 0.0
	for _, t := range r.Kinds {
		arrivals += t.Arrivals
		worth += float64(t.InTime) + lateWorth*float64(t.Late)
	}
	return worth / float64(max(1, arrivals))
}

// InTimeShare returns the share of all arrivals that were served in time.
func (r *Result) InTimeShare() float64 {
	return Tally{Arrivals: r.Kinds[0].Arrivals + r.Kinds[1].Arrivals, InTime: r.Kinds[0].InTime + r.Kinds[1].InTime}.inTimeShare()
}

// WorstCustomer returns the customer with the smallest share of arrivals served in time,
// and that share.
func (r *Result) WorstCustomer() (topology.CustomerID, float64) {
	var worst topology.CustomerID
	lowest := 2.0
	for id, t := range r.Customers {
		if share := t.inTimeShare(); share < lowest || share == lowest && id < worst {
			worst, lowest = id, share
		}
	}
	return worst, lowest
}

// MeanRefusalTime returns the mean time from arrival to refusal over both kinds.
func (r *Result) MeanRefusalTime() time.Duration {
	return Tally{Refused: r.Kinds[0].Refused + r.Kinds[1].Refused, TotalRefusalTime: r.Kinds[0].TotalRefusalTime + r.Kinds[1].TotalRefusalTime}.meanRefusalTime()
}

// Run simulates a pattern under a policy until all events are processed.
func Run(p Pattern, policy Policy) *Result {
	r := &Result{Pattern: p.Name, Policy: policy.Name(), Customers: make(map[topology.CustomerID]*Tally)}
	sim := newSimulation(p.Targets)
	policy.begin(sim, p, func(a Arrival, o Outcome) {
		r.Kinds[a.Kind].add(a, o)
		if r.Customers[a.Customer] == nil {
			r.Customers[a.Customer] = &Tally{}
		}
		r.Customers[a.Customer].add(a, o)
		r.Timeline = append(r.Timeline, TimelinePoint{a.At, o.Served && o.At-a.At <= a.Objective})
	})
	for _, a := range p.Arrivals {
		sim.schedule(a.At, func() { policy.submit(a) })
	}
	sim.run()
	slices.SortStableFunc(r.Timeline, func(a, b TimelinePoint) int { return int(a.At - b.At) })
	return r
}

// WriteTable writes a table with one row for each result.
func WriteTable(out io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "pattern\tpolicy\tworth\tin time\tprimary\treplica\tlate\trefused\tafter\tworst customer")
	for _, r := range results {
		_, worst := r.WorstCustomer()
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d ms\t%.3f\n", r.Pattern, r.Policy, r.Worth(), r.InTimeShare(),
			r.Kinds[PrimaryOnly].inTimeShare(), r.Kinds[ReplicaAllowed].inTimeShare(), r.Kinds[0].Late+r.Kinds[1].Late,
			r.Kinds[0].Refused+r.Kinds[1].Refused, r.MeanRefusalTime().Milliseconds(), worst)
	}
	return table.Flush()
}
