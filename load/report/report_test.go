package report

import (
	"os"
	"strings"
	"testing"

	"samphirehitch.example/samphirehitch/load"
	"samphirehitch.example/samphirehitch/load/measure"
	"samphirehitch.example/samphirehitch/load/oracle"
)

func sampleReport() *load.Report {
	phase := measure.Phase{
		Name:         "proxied",
		ReplicaShare: 0.5,
		Customers:    []measure.Customer{{ServedShare: 0.25, P99Millis: 7}},
		Timeline:     []measure.Bucket{{Writes: 1}, {ReplicaReads: 1}},
		Faults:       []measure.FaultRecord{{AtMillis: 50, Description: "member_kill"}},
		BucketMillis: 100,
		Violations:   []oracle.Violation{{Rule: oracle.RuleLostWrite, Key: "k", Detail: "gone"}},
	}
	other := phase
	other.Name = "baseline"
	return &load.Report{Proxied: phase, Baseline: &other}
}

func TestWriteText(t *testing.T) {
	var text strings.Builder
	if err := WriteText(&text, sampleReport()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"50.0 %", "baseline", "25.00 %", "member_kill", "violation of lost_write"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing from\n%s", want, text.String())
		}
	}
}

func TestWritePlots(t *testing.T) {
	names, err := WritePlots(t.TempDir(), sampleReport())
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if data, err := os.ReadFile(name); err != nil || !strings.Contains(string(data), "<svg") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if len(names) != 4 {
		t.Errorf("wrote %q, want four files", names)
	}
}
