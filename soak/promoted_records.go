package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
	"samphirehitch.example/samphirehitch/process/failover"
)

// recordPrefix is the prefix of the keys of the primaries' records in the store.
const recordPrefix = "samphirehitch/group/"

// publishedRecord is a record of a service's primary, in force from one time to another.
type publishedRecord struct {
	failover.Record
	from time.Time
	// until is zero for the last one.
	until time.Time
}

// publishedRecords returns the records of a service that the store has held, in order.
func publishedRecords(store *platformtest.Store, service string) (records []publishedRecord, err error) {
	for _, change := range store.Changes(recordPrefix + service) {
		if change.Key != recordPrefix+service {
			continue // another service
		}
		if len(records) > 0 {
			records[len(records)-1].until = change.At
		}
		record := failover.Record{Fenced: true} // a deleted record names nothing
		if !change.Deleted {
			if record, err = failover.DecodeRecord(change.Value); err != nil {
				return nil, err
			}
		}
		records = append(records, publishedRecord{Record: record, from: change.At})
	}
	return records, nil
}

// checkRecords returns a violation of ONE for each member that was promoted while, or before, a
// record without a fence named another primary of a lower term: instances may use that one
// beside it.
func checkRecords(service string, promotions []platformtest.Promotion, records []publishedRecord) (violations []string) {
	for _, p := range promotions {
		for _, r := range records {
			inForce := r.until.IsZero() || r.until.After(p.At)
			if !inForce || r.Fenced || r.Primary == p.Member || r.Term >= p.Term {
				continue
			}
			violations = append(violations, fmt.Sprintf("ONE: %s leads term %d of %s, ordered %s before, while a record without a fence, published %s after its promotion, names %s of term %d",
				p.Member, p.Term, service, p.At.Sub(p.OrderedAt).Round(time.Millisecond), r.from.Sub(p.At).Round(time.Millisecond), r.Primary, r.Term))
			break
		}
	}
	return violations
}

// violations returns all violations of the run, and the errors of the harness. The records of a
// store that was restored are not checked: the changes that a restore has lost are missing.
func (h *harness) violations() []string {
	violations := h.history.check(h.groups)
	if h.options.PlannedStopsOnly {
		h.plannedRun.daemons, h.plannedRun.spendsLimits = len(h.daemons), h.options.Callers > len(h.groups)*plannedConnectionsPerTarget
		violations = append(violations, h.history.checkPlannedStops(h.groups, h.plannedRun)...)
	}
	for _, g := range h.groups {
		if h.options.Restores {
			break
		}
		records, err := publishedRecords(h.store, g.Service)
		h.recordError(err)
		violations = append(violations, checkRecords(g.Service, g.Promotions(), records)...)
	}
	return append(violations, h.harnessErrors...)
}

// promotionLog returns the orders, promotions and records of a group, by the time since the start
// of the run.
func (h *harness) promotionLog(group *platformtest.Group) []string {
	lines := make(map[time.Time]string)
	orders, _ := group.PromotionOrders()
	for _, o := range orders {
		lines[o.OrderedAt] = fmt.Sprintf("%s of %s ordered by %s, token %d", o.Target, group.Service, o.Holder, o.Token)
	}
	for _, p := range group.Promotions() {
		lines[p.At] = fmt.Sprintf("%s leads term %d of %s", p.Member, p.Term, group.Service)
	}
	records, err := publishedRecords(h.store, group.Service)
	h.recordError(err)
	for _, r := range records {
		lines[r.from] = fmt.Sprintf("record of %s: %s of term %d, fenced %v", group.Service, r.Primary, r.Term, r.Fenced)
	}
	var sorted []string
	for _, at := range slices.SortedFunc(maps.Keys(lines), time.Time.Compare) {
		sorted = append(sorted, fmt.Sprintf("%7.3f %s", at.Sub(h.startedAt).Seconds(), lines[at]))
	}
	return sorted
}
