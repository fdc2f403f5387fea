package config

import (
	"fmt"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// fail records the first violated invariant.
func (h *harness) fail(format string, args ...any) {
	if h.failure == "" {
		h.failure = fmt.Sprintf("at %v: ", h.now) + fmt.Sprintf(format, args...)
	}
}

// checkPublished checks that a published state is what the store held at the
// state's revision, and that it is newer than the state published before.
func (h *harness) checkPublished(d *daemon, state State) {
	if d.hasState && state.Revision <= d.publishedState.Revision {
		h.fail("%s published revision %d and then %d", d.self.ID, d.publishedState.Revision, state.Revision)
	}
	h.checkContent(d, state.Entries, state.Revision)
}

// checkContent checks entries against the store's records as of a revision.
func (h *harness) checkContent(d *daemon, entries []store.Entry, at store.Revision) {
	_, want := h.entriesAt(at)
	same := slices.EqualFunc(entries, want, func(a, b store.Entry) bool {
		return a.Key == b.Key && a.Revision == b.Revision && string(a.Value) == string(b.Value)
	})
	if !same {
		h.fail("%s holds %d records that differ from those of revision %d", d.self.ID, len(entries), at)
	}
}

// checkInvariants compares what a daemon claims to know with the store's
// history: it never claims a revision that the store has not reached, is not
// fresh without a record that changed more than MaxEvidenceAge ago, and is
// stale once its partition has been a minority without the store for long
// enough.
func (h *harness) checkInvariants(d *daemon) {
	c := d.coordinator
	if c.replica.loaded {
		if c.replica.completeRevision > h.revision() {
			h.fail("%s claims to know revision %d, the store is at %d", d.self.ID, c.replica.completeRevision, h.revision())
			return
		}
		h.checkComplete(d)
	}
	switch freshness := c.FreshnessState().At(h.now + d.clockOffset); {
	case freshness == FreshnessFresh && h.revisionAt(h.now-MaxEvidenceAge) > c.replica.completeRevision && h.recordsAfter(c.replica.completeRevision, h.now-MaxEvidenceAge):
		h.fail("%s is fresh at revision %d but lacks a change older than MaxEvidenceAge", d.self.ID, c.replica.completeRevision)
	case freshness != FreshnessStale && d.isolatedAt > 0 && h.now-d.isolatedAt >= MaxEvidenceAge+MaxResponseAge:
		h.fail("%s is %v after %v in a minority that cannot reach the store", d.self.ID, freshness, h.now-d.isolatedAt)
	}
}

// checkComplete checks that no record changed in (contentRevision,
// completeRevision].
func (h *harness) checkComplete(d *daemon) {
	r := &d.coordinator.replica
	for _, change := range h.history[r.contentRevision:r.completeRevision] {
		if !isHeartbeat(change.Key) {
			h.fail("%s claims to be complete up to revision %d but lacks %s@%d", d.self.ID, r.completeRevision, change.Key, change.Revision)
		}
	}
}

// recordsAfter reports whether a record changed after a revision and before a
// time.
func (h *harness) recordsAfter(after store.Revision, before time.Duration) bool {
	for _, change := range h.history[after:] {
		if change.committedAt < before && !isHeartbeat(change.Key) {
			return true
		}
	}
	return false
}

// converged reports whether all daemons hold the latest records and are fresh.
func (h *harness) converged() bool {
	_, want := h.entriesAt(h.revision())
	for _, d := range h.daemons {
		if !d.hasState || d.coordinator.FreshnessState().At(h.now+d.clockOffset) != FreshnessFresh || len(d.publishedState.Entries) != len(want) {
			return false
		}
		for i := range want {
			if d.publishedState.Entries[i].Key != want[i].Key || d.publishedState.Entries[i].Revision != want[i].Revision {
				return false
			}
		}
	}
	return true
}
