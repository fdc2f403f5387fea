package config

import (
	"fmt"
	"slices"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// fail records the first broken invariant.
func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// checkPublished holds a state against the history: it is what the store held at
// its revision, and later than the one before.
func (w *world) checkPublished(d *daemon, state State) {
	if d.loaded && state.Revision <= d.state.Revision {
		w.fail("%s went from revision %d to %d", d.self.ID, d.state.Revision, state.Revision)
	}
	w.checkContent(d, state.Entries, state.Revision)
}

func (w *world) checkContent(d *daemon, entries []store.Entry, at store.Revision) {
	_, want := w.content(at)
	same := slices.EqualFunc(entries, want, func(a, b store.Entry) bool {
		return a.Key == b.Key && a.Revision == b.Revision && string(a.Value) == string(b.Value)
	})
	if !same {
		w.fail("%s holds %d records that are not those of revision %d", d.self.ID, len(entries), at)
	}
}

// check holds a daemon's claims against the truth.
func (w *world) check(d *daemon) {
	s := d.spread
	if s.replica.loaded {
		if s.replica.complete > w.revision() {
			w.fail("%s claims revision %d of %d", d.self.ID, s.replica.complete, w.revision())
			return
		}
		w.checkComplete(d)
	}
	switch freshness := s.Verdict().Judge(w.now + d.offset); {
	case freshness == FreshnessFresh && w.revisionAt(w.now-FreshLimit) > s.replica.complete && w.recordsAfter(s.replica.complete, w.now-FreshLimit):
		w.fail("%s counts as fresh at revision %d without a change older than the limit", d.self.ID, s.replica.complete)
	case freshness != FreshnessStale && d.isolated > 0 && w.now-d.isolated >= FreshLimit+AnswerLimit:
		w.fail("%s is %v after %v in a minority without the store", d.self.ID, freshness, w.now-d.isolated)
	}
}

// checkComplete makes sure that no record changed in (content, complete].
func (w *world) checkComplete(d *daemon) {
	r := &d.spread.replica
	for _, change := range w.history[r.content:r.complete] {
		if !isHeartbeat(change.Key) {
			w.fail("%s claims completeness to %d and lacks %s@%d", d.self.ID, r.complete, change.Key, change.Revision)
		}
	}
}

// recordsAfter reports whether a record changed after a revision and before a
// moment.
func (w *world) recordsAfter(after store.Revision, before time.Duration) bool {
	for _, change := range w.history[after:] {
		if change.at < before && !isHeartbeat(change.Key) {
			return true
		}
	}
	return false
}

// settled reports whether all daemons hold the latest records and are fresh.
func (w *world) settled() bool {
	_, want := w.content(w.revision())
	for _, d := range w.daemons {
		if !d.loaded || d.spread.Verdict().Judge(w.now+d.offset) != FreshnessFresh || len(d.state.Entries) != len(want) {
			return false
		}
		for i := range want {
			if d.state.Entries[i].Key != want[i].Key || d.state.Entries[i].Revision != want[i].Revision {
				return false
			}
		}
	}
	return true
}
