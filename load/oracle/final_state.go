package oracle

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// CheckFinalState compares the rows of a primary, from key to value, with the history:
// no confirmed write may be missing and none may be present that did not run. It is
// called after every request has finished.
func (o *Oracle) CheckFinalState(rows map[string]string, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range sortedKeys(o.mu.counters) {
		o.checkFinalCounter(key, o.mu.counters[key], rows, now)
	}
	for _, key := range sortedKeys(o.mu.inserts) {
		o.checkFinalInsert(key, o.mu.inserts[key], rows, now)
	}
	for _, keys := range o.mu.transactions {
		_, first := rows[keys[0]]
		_, second := rows[keys[1]]
		if first != second {
			o.addViolation(Violation{RuleAtomicity, now, keys[0], "one of the two rows of a transaction is missing"})
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (o *Oracle) checkFinalCounter(key string, c *counter, rows map[string]string, now time.Duration) {
	got, err := strconv.Atoi(rows[key])
	if err != nil {
		o.addViolation(Violation{RuleLostWrite, now, key, fmt.Sprintf("the counter holds %q, which is not a number", rows[key])})
		return
	}
	if got < c.confirmed {
		o.addViolation(Violation{RuleLostWrite, now, key, fmt.Sprintf("the counter shows %d of %d confirmed increments", got, c.confirmed)})
	}
	if maxIncrements := c.started - c.notRun; got > maxIncrements {
		o.addViolation(Violation{RuleDuplicateWrite, now, key, fmt.Sprintf("the counter shows %d increments, at most %d can have run", got, maxIncrements)})
	}
}

func (o *Oracle) checkFinalInsert(key string, row *insertedRow, rows map[string]string, now time.Duration) {
	value, found := rows[key]
	switch {
	case found && value != row.value:
		o.addViolation(Violation{RuleCorrectValue, now, key, fmt.Sprintf("the row holds %q, its insert wrote %q", value, row.value)})
	case !found && row.outcome == Confirmed:
		o.addViolation(Violation{RuleLostWrite, now, key, "the row of a confirmed insert is missing"})
	case found && row.outcome == NotRun:
		o.addViolation(Violation{RuleNotRun, now, key, "the row of an insert that did not run is present"})
	}
}
