// Package report writes the report of a load run as JSON, as text and as SVG plots of
// the four measures.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/load"
	"samphirehitch.example/samphirehitch/load/measure"
)

// maxListedViolations is the number of violations of a phase that the text lists.
const maxListedViolations = 20

// WriteJSON writes the whole report as indented JSON.
func WriteJSON(w io.Writer, r *load.Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(r), "write the report")
}

// WriteText writes a table of the measures, followed for each phase by its customers,
// faults and first violations.
func WriteText(w io.Writer, r *load.Report) error {
	var text strings.Builder
	phases := phasesOf(r)
	writeMeasures(&text, phases)
	if r.StoreSeconds > 0 {
		fmt.Fprintf(&text, "store: %.1f reads and %.1f writes a second\n",
			float64(r.Store.Reads())/r.StoreSeconds, float64(r.Store.Writes())/r.StoreSeconds)
	}
	for _, phase := range phases {
		writeCustomers(&text, phase)
		writeFaults(&text, phase)
		writeViolations(&text, phase)
	}
	_, err := io.WriteString(w, text.String())
	return eris.Wrap(err, "write the report")
}

func phasesOf(r *load.Report) []measure.Phase {
	phases := []measure.Phase{r.Proxied}
	if r.Baseline != nil {
		phases = append(phases, *r.Baseline)
	}
	return phases
}

func writeMeasures(text *strings.Builder, phases []measure.Phase) {
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', 0)
	row := func(name string, value func(measure.Phase) string) {
		fmt.Fprint(table, name)
		for _, phase := range phases {
			fmt.Fprint(table, "\t", value(phase))
		}
		fmt.Fprintln(table)
	}
	row("measure", func(p measure.Phase) string { return p.Name })
	row("reads served by replicas", func(p measure.Phase) string {
		return fmt.Sprintf("%.1f %% of %d", 100*p.ReplicaShare, p.Counts.ReplicaReads+p.Counts.PrimaryReads)
	})
	row("longest write gap", func(p measure.Phase) string { return fmt.Sprintf("%.0f ms", p.FailoverGapMillis) })
	row("worst-served customer", func(p measure.Phase) string {
		worst := p.Customers[p.WorstServed]
		return fmt.Sprintf("%d: %.2f %% served, p99 %.1f ms", p.WorstServed, 100*worst.ServedShare, worst.P99Millis)
	})
	row("refused within rate", func(p measure.Phase) string {
		return fmt.Sprintf("%d of %d", p.WrongfulRefusals, p.Counts.WithinRate)
	})
	row("requests", func(p measure.Phase) string {
		return fmt.Sprintf("%d, %d confirmed, %d not run, %d unknown", p.Counts.Requests, p.Counts.Confirmed, p.Counts.NotRun, p.Counts.Unknown)
	})
	row("dropped by the load tool", func(p measure.Phase) string { return fmt.Sprint(p.Dropped) })
	row("violations", func(p measure.Phase) string { return fmt.Sprint(len(p.Violations)) })
	// Writes to a strings.Builder do not fail.
	_ = table.Flush()
}

func writeCustomers(text *strings.Builder, phase measure.Phase) {
	fmt.Fprintf(text, "\n%s: customers\n", phase.Name)
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "customer\trequests\twithin rate\tserved of these\trefused of these\tp50 ms\tp99 ms\tmax ms\t")
	for i, c := range phase.Customers {
		fmt.Fprintf(table, "%d\t%d\t%d\t%.2f %%\t%d\t%.1f\t%.1f\t%.1f\t\n", i, c.Counts.Requests, c.Counts.WithinRate,
			100*c.ServedShare, c.Counts.WithinRateRefused, c.P50Millis, c.P99Millis, c.MaxMillis)
	}
	_ = table.Flush()
	for _, failure := range phase.Failures {
		fmt.Fprintf(text, "%s with SQLSTATE %q: %d\n", failure.Outcome, failure.SQLState, failure.Count)
	}
	for i, service := range phase.Services {
		fmt.Fprintf(text, "service %d: %d writes confirmed, longest gap %.0f ms from %.0f ms\n",
			i, service.WritesConfirmed, service.GapMillis, service.GapAtMillis)
	}
}

func writeFaults(text *strings.Builder, phase measure.Phase) {
	for _, fault := range phase.Faults {
		fmt.Fprintf(text, "%6d ms %s %s\n", fault.AtMillis, fault.Description, fault.Error)
	}
}

func writeViolations(text *strings.Builder, phase measure.Phase) {
	for i, v := range phase.Violations {
		if i == maxListedViolations {
			fmt.Fprintf(text, "and %d more\n", len(phase.Violations)-i)
			return
		}
		fmt.Fprintf(text, "violation of %s at %v: %s %s\n", v.Rule, v.At, v.Key, v.Detail)
	}
}
