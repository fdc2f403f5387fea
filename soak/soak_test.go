package soak

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// buildDaemon builds the entry daemon and returns the path of its executable.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "samphirehitch-edge")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/samphirehitch-edge").CombinedOutput(); err != nil {
		t.Fatalf("build the entry daemon: %v\n%s", err, out)
	}
	return program
}

// soakCases are a short run and, as regression tests, the parameters of every run that
// found a fault in the daemon.
var soakCases = map[string]Options{
	"restores":   {Seed: 1, FaultDuration: 14 * time.Second, Daemons: 4, Callers: 12, FaultInjectors: 2, Restores: true},
	"short":      {Seed: 1, FaultDuration: 8 * time.Second, Daemons: 4, Callers: 12, FaultInjectors: 2},
	"stutter":    {Seed: 4, FaultDuration: 10 * time.Second, Daemons: 4, Callers: 12, FaultInjectors: 1, Stutter: true},
	"log faults": {Seed: 3, FaultDuration: 12 * time.Second, Daemons: 4, Callers: 12, FaultInjectors: 2, LogFaults: true, SynchronousReplicas: 1},
	// A replaced primary became available again, still reported itself as primary and was
	// accepted, with its old term, as the successor of a later one. Reads were stale.
	"replaced primary came back": {Seed: 122, FaultDuration: 20 * time.Second, Daemons: 5, Callers: 24, FaultInjectors: 4},
}

func TestSoak(t *testing.T) {
	program := buildDaemon(t)
	for name, options := range soakCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSoak(t, program, options)
		})
	}
}

// runSoak makes one run and fails the test for each violation.
func runSoak(t *testing.T, program string, options Options) {
	t.Helper()
	var faultLog bytes.Buffer
	options.Program, options.Directory, options.FaultLog = program, t.TempDir(), &faultLog
	report, err := Run(options)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	t.Log(report.Summary)
	if t.Failed() {
		t.Log(faultLog.String())
	}
}

// startServing starts the daemons and the callers of a run without faults, which the test
// injects itself, and waits until callers are served. The callers run until stopCallers.
func startServing(t *testing.T, options Options, newCaller func(*harness, int) *caller) (h *harness, stopCallers func()) {
	t.Helper()
	options.Program, options.Directory, options.Seed, options.FaultLog = buildDaemon(t), t.TempDir(), 1, &bytes.Buffer{}
	h = &harness{options: options, history: newHistory(), startedAt: time.Now()}
	t.Cleanup(h.close)
	if err := h.build(); err != nil {
		t.Fatal(err)
	}
	stopRegistration, stop := make(chan struct{}), make(chan struct{})
	var registration, callers sync.WaitGroup
	registration.Go(func() { h.registerTargets(stopRegistration) })
	for i := range options.Callers {
		c := newCaller(h, i)
		callers.Go(func() { c.run(stop) })
	}
	h.awaitSuccesses()
	return h, func() {
		close(stop)
		callers.Wait()
		close(stopRegistration)
		registration.Wait()
	}
}

// The group commits d1 twice, and d2 and d3 under the ID of the statement that writes d1.
// The history contradicts it: d2 was reported as not applied, d4 was acknowledged, and a
// read returned d2 although d3 had been acknowledged before. The checker must report
// each violation.
func TestCheckerReportsViolations(t *testing.T) {
	g, err := platformtest.StartGroup("s", 1, 3, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	target, response, err := platformtest.DialCaller(g.CurrentPrimary().Address(), "s", "miller", responseTimeout)
	if err != nil || !response.OK() {
		t.Fatalf("connect to the target: %v, response %+v", err, response)
	}
	defer target.Close()
	for _, data := range []string{"d1", "d1", "d2", "d3"} {
		if _, err := target.Do("id", platformtest.WriteText("a", data), responseTimeout); err != nil {
			t.Fatal(err)
		}
	}
	h := newHistory()
	h.addStatement("id", "miller", platformtest.WriteText("a", "d1"))
	h.addWrite(writeAttempt{data: "d1", acknowledged: true})
	h.addWrite(writeAttempt{data: "d2", reportedNotApplied: true})
	h.addWrite(writeAttempt{data: "d4", acknowledged: true})
	h.addRead(readResult{item: "a", data: "d2", level: levelPrimary, acknowledgedBefore: []writeAttempt{{data: "d3"}}})
	want := []string{"TWICE: d1", "REFUSED: d2", "LOST: d4", "STALE: primary read of a returned d2", "UNASKED: id was sent as"}
	violations := h.check([]*platformtest.Group{g})
	for _, prefix := range want {
		found := false
		for _, violation := range violations {
			found = found || len(violation) >= len(prefix) && violation[:len(prefix)] == prefix
		}
		if !found {
			t.Errorf("no violation starts with %q: %q", prefix, violations)
		}
	}
}
