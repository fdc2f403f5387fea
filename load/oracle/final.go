package oracle

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// CheckEnd compares the rows of a primary, after every request has ended, with
// the history. Rows maps keys to values.
func (o *Oracle) CheckEnd(rows map[string]string, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range sortedKeys(o.mu.counters) {
		o.endCounter(key, o.mu.counters[key], rows, now)
	}
	for _, key := range sortedKeys(o.mu.orders) {
		o.endOrder(key, o.mu.orders[key], rows, now)
	}
	for _, pair := range o.mu.pairs {
		_, first := rows[pair[0]]
		_, second := rows[pair[1]]
		if first != second {
			o.report(Violation{RuleAtomic, now, pair[0], "one of two rows of a transaction is missing"})
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

func (o *Oracle) endCounter(key string, c *counter, rows map[string]string, now time.Duration) {
	n, err := strconv.Atoi(rows[key])
	if err != nil {
		o.report(Violation{RuleLostWrite, now, key, fmt.Sprintf("the counter holds %q", rows[key])})
		return
	}
	if n < c.confirmed {
		o.report(Violation{RuleLostWrite, now, key, fmt.Sprintf("%d of %d confirmed increments are there", n, c.confirmed)})
	}
	if most := c.started - c.notRun; n > most {
		o.report(Violation{RuleDoubledWrite, now, key, fmt.Sprintf("%d increments of at most %d are there", n, most)})
	}
}

func (o *Oracle) endOrder(key string, row *order, rows map[string]string, now time.Duration) {
	value, found := rows[key]
	switch {
	case found && value != row.value:
		o.report(Violation{RuleRightAnswer, now, key, fmt.Sprintf("holds %q, wrote %q", value, row.value)})
	case !found && row.outcome == Confirmed:
		o.report(Violation{RuleLostWrite, now, key, "a confirmed insert is not there"})
	case found && row.outcome == NotRun:
		o.report(Violation{RuleNotRun, now, key, "an insert that was not run is there"})
	}
}
