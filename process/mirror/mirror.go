// Package mirror keeps a local copy of the store's keys that an instance follows.
// Changes may come by watch, by listing or by a failed expectation, in any order;
// a key never goes back to an earlier revision.
package mirror

import (
	"strings"

	"samphirehitch.example/samphirehitch/process/store"
)

// tombstoneSpan is for how many revisions an absent key is remembered, so that a
// watch that is behind a listing does not bring it back.
const tombstoneSpan = 10000

// Mirror is the copy. It is not safe for concurrent use.
type Mirror struct {
	keys map[string]keyState
}

type keyState struct {
	entry   store.Entry
	deleted bool
	// seen is the revision as of which the state is known.
	seen store.Revision
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

// Each calls visit for every present key with the prefix.
func (m *Mirror) Each(prefix string, visit func(store.Entry)) {
	for key, state := range m.keys {
		if !state.deleted && strings.HasPrefix(key, prefix) {
			visit(state.entry)
		}
	}
}

// Apply takes a change and reports whether the key's state changed.
func (m *Mirror) Apply(change store.Change) bool {
	state, known := m.keys[change.Key]
	if known && change.Revision <= state.seen {
		return false
	}
	m.keys[change.Key] = keyState{entry: change.Entry, deleted: change.Deleted, seen: change.Revision}
	return !change.Deleted || (known && !state.deleted)
}

// Replace takes a complete listing of a prefix and returns the keys whose state
// changed.
func (m *Mirror) Replace(prefix string, listing store.Listing) []string {
	var changed []string
	present := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		present[entry.Key] = true
		if m.Apply(store.Change{Entry: entry}) {
			changed = append(changed, entry.Key)
		}
	}
	for key, state := range m.keys {
		if present[key] || !strings.HasPrefix(key, prefix) || state.seen > listing.Revision {
			continue
		}
		if state.deleted {
			if state.seen+tombstoneSpan < listing.Revision {
				delete(m.keys, key)
			}
			continue
		}
		m.keys[key] = keyState{deleted: true, seen: listing.Revision}
		changed = append(changed, key)
	}
	return changed
}

// Absent notes that a key was absent as of a revision, and reports whether its
// state changed.
func (m *Mirror) Absent(key string, asOf store.Revision) bool {
	return m.Apply(store.Change{Entry: store.Entry{Key: key, Revision: asOf}, Deleted: true})
}
