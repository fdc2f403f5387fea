package e2e

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// outcome is what a client was told about an operation.
type outcome string

// Outcomes. All but the first two are faults: no operation outlasts a drain, so none is in doubt.
const (
	committed outcome = "committed"
	notRun    outcome = "not run"
	inDoubt   outcome = "in doubt"
	refused   outcome = "refused"
	cut       outcome = "cut"
)

// effect is what an operation does if it commits: it adds rows, and one to a counter.
type effect struct {
	rows    []string
	counter string
}

// counter counts the increments whose outcome is known and those in doubt.
type counter struct{ confirmed, inDoubt int }

// history holds the outcomes of all operations, to be compared with the databases. It is safe
// for concurrent use.
type history struct {
	t *testing.T

	mu       sync.Mutex
	rows     map[string]outcome
	counters map[string]*counter
	// counts counts the outcomes by driver and operation.
	counts map[string]int
}

// outcomeOf returns what an operation's error says about its outcome.
func outcomeOf(s session, err error) outcome {
	if err == nil {
		return committed
	}
	switch sqlState(err) {
	case codeAdminShutdown:
		return notRun
	case codeOutcomeUnknown:
		return inDoubt
	case "":
		// The driver failed to send on a connection whose end it had not read yet.
		if s.wire().readRest(); s.wire().dismissed() {
			return notRun
		}
		return cut
	default:
		return refused
	}
}

// record records and judges the outcome of an operation.
func (h *history) record(label string, s session, e effect, err error) outcome {
	got := outcomeOf(s, err)
	if got != committed && got != notRun {
		h.t.Errorf("%s: %v: %v", label, got, err)
	}
	h.count(label + " " + string(got))
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, row := range e.rows {
		h.rows[row] = got
	}
	if e.counter != "" {
		switch got {
		case committed:
			h.counters[e.counter].confirmed++
		case notRun:
		default:
			h.counters[e.counter].inDoubt++
		}
	}
	return got
}

// confirmed returns the number of confirmed increments of a counter.
func (h *history) confirmed(name string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counters[name].confirmed
}

func (h *history) count(label string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[label]++
}

// checkEnd checks how a session that has been closed had ended on the wire.
func (h *history) checkEnd(driver string, s session) {
	switch {
	case s.wire().cut():
		h.t.Errorf("%s: the daemon closed a connection without 57P01", driver)
	case s.wire().dismissed():
		h.count(driver + " sessions ended by 57P01")
	}
}

// checkCalm checks that every operation has succeeded so far.
func (h *history) checkCalm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for label, n := range h.counts {
		if !strings.HasSuffix(label, string(committed)) {
			h.t.Errorf("before the first stop, %s: %d", label, n)
		}
	}
}

// compare compares the outcomes with the rows of the primary.
func (h *history) compare(d *deployment) {
	h.t.Helper()
	result, err := d.connectPrimary(h.t).Query(context.Background(), "SELECT key, value FROM kv")
	if err != nil {
		h.t.Fatal(err)
	}
	defer result.Close()
	found := make(map[string]string)
	for result.Next() {
		var key, value string
		if err := result.Scan(&key, &value); err != nil {
			h.t.Fatal(err)
		}
		found[key] = value
	}
	if err := result.Err(); err != nil {
		h.t.Fatal(err)
	}
	for row, told := range h.rows {
		_, exists := found[row]
		if told == committed && !exists || told == notRun && exists {
			h.t.Errorf("row %s: the client was told %q, the row is there: %v", row, told, exists)
		}
	}
	for name, told := range h.counters {
		n, err := strconv.Atoi(found[name])
		if err != nil || n < told.confirmed || n > told.confirmed+told.inDoubt {
			h.t.Errorf("counter %s is %q after %d confirmed increments and %d in doubt", name, found[name], told.confirmed, told.inDoubt)
		}
	}
}

// summary lists the counts.
func (h *history) summary() string {
	var lines []string
	for _, label := range slices.Sorted(maps.Keys(h.counts)) {
		lines = append(lines, fmt.Sprintf("%s: %d", label, h.counts[label]))
	}
	return strings.Join(lines, "\n")
}
