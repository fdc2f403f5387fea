// Package mirror keeps a local copy of the part of the store that an instance follows.
// State arrives from watches, listings and conflicts of transactions, in any order; a
// key never reverts to an earlier revision.
package mirror

import (
	"strings"

	"samphirehitch.example/samphirehitch/process/store"
)

// tombstoneRevisions is the number of revisions for which a deleted key is remembered,
// so that a watch that is behind a listing does not restore it.
const tombstoneRevisions = 10000

// Mirror is a local copy of the store's keys. It is not safe for concurrent use.
type Mirror struct {
	keys map[string]keyState
	// era is the latest era of a change or listing. Changes of earlier eras are ignored,
	// also for keys without a tombstone.
	era store.Era
}

// keyState is the last known state of a key. A deleted key is kept as a tombstone.
type keyState struct {
	entry   store.Entry
	deleted bool
	// lastValue is the value that a deleted key had, nil if unknown.
	lastValue []byte
	// asOf is the revision of the store at which the key was known to have this state.
	asOf store.Revision
}

// valueOrLast returns the value of the key, or the one that it had before its deletion.
func (s keyState) valueOrLast() []byte {
	if s.deleted {
		return s.lastValue
	}
	return s.entry.Value
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{keys: make(map[string]keyState)} }

// Get returns a key's entry; its revision is zero when the key is absent.
func (m *Mirror) Get(key string) store.Entry {
	state, known := m.keys[key]
	if !known || state.deleted {
		return store.Entry{Key: key}
	}
	return state.entry
}

// LastValue returns the value that a deleted key had, or nil if the key exists or its last
// value is unknown.
func (m *Mirror) LastValue(key string) []byte { return m.keys[key].lastValue }

// ForEach calls visit for every existing key with the prefix, in no particular order.
func (m *Mirror) ForEach(prefix string, visit func(store.Entry)) {
	for key, state := range m.keys {
		if !state.deleted && strings.HasPrefix(key, prefix) {
			visit(state.entry)
		}
	}
}

// ChangesSince returns the current state of the keys with a prefix that have changed after a
// revision, deletions included. It returns false if deletions since then may be forgotten,
// given the revision until which the mirror is complete.
func (m *Mirror) ChangesSince(prefix string, since, until store.Revision) ([]store.Change, bool) {
	if since+tombstoneRevisions < until {
		return nil, false
	}
	var changes []store.Change
	for key, state := range m.keys {
		if state.asOf <= since || !strings.HasPrefix(key, prefix) {
			continue
		}
		entry := state.entry
		entry.Key, entry.Revision = key, state.asOf
		changes = append(changes, store.Change{Entry: entry, Deleted: state.deleted})
	}
	return changes, true
}

// Apply applies a change, unless the key's state is at least as recent or the change is of
// an earlier era, and reports whether the key's entry changed.
func (m *Mirror) Apply(change store.Change) bool {
	state, known := m.keys[change.Key]
	if known && change.Revision <= state.asOf || change.Revision.Era() < m.era {
		return false
	}
	m.era = change.Revision.Era()
	next := keyState{entry: change.Entry, deleted: change.Deleted, asOf: change.Revision}
	if change.Deleted {
		next.lastValue = state.valueOrLast()
	}
	m.keys[change.Key] = next
	return !change.Deleted || (known && !state.deleted)
}

// Replace applies a complete listing of a prefix and returns the keys whose entries
// changed. Keys that the listing lacks are deleted, unless they are known to have
// changed after it. A listing of an earlier era is ignored.
func (m *Mirror) Replace(prefix string, listing store.Listing) []string {
	if listing.Revision.Era() < m.era {
		return nil
	}
	m.era = listing.Revision.Era()
	var changed []string
	present := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		present[entry.Key] = true
		if m.Apply(store.Change{Entry: entry}) {
			changed = append(changed, entry.Key)
		}
	}
	for key, state := range m.keys {
		if present[key] || !strings.HasPrefix(key, prefix) || state.asOf > listing.Revision {
			continue
		}
		if state.deleted {
			if state.asOf+tombstoneRevisions < listing.Revision {
				delete(m.keys, key)
			}
			continue
		}
		m.keys[key] = keyState{deleted: true, asOf: listing.Revision, lastValue: state.valueOrLast()}
		changed = append(changed, key)
	}
	return changed
}

// ApplyAbsence records that a key did not exist at a revision, and reports whether its
// entry changed.
func (m *Mirror) ApplyAbsence(key string, asOf store.Revision) bool {
	return m.Apply(store.Change{Entry: store.Entry{Key: key, Revision: asOf}, Deleted: true})
}
