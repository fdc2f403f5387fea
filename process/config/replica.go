package config

import (
	"cmp"
	"maps"
	"slices"

	"samphirehitch.example/samphirehitch/process/store"
)

// Bounds of the log of recent changes from which peers are served.
const (
	logMaxUpdates = 1024
	logMaxBytes   = 4 << 20
	// messageMaxBytes bounds the values in one message; a single larger value
	// still goes alone.
	messageMaxBytes = 512 << 10
)

// replica is the configuration as this instance knows it: a prefix of the
// store's history. It only moves forward.
type replica struct {
	loaded bool
	// entries is sorted by key. It is shared with subscribers and replaced, never
	// changed in place.
	entries []store.Entry
	// content is at or after the last change of a record; no such change lies in
	// (content, complete].
	content store.Revision
	// complete is the revision up to which every change is known.
	complete store.Revision

	// log holds the changes after logBase, in order.
	log      []Update
	logBase  store.Revision
	logBytes int
}

// load replaces the whole content. It reports false when that would not move the
// replica forward.
func (r *replica) load(entries []store.Entry, content, complete store.Revision) bool {
	if r.loaded && content <= r.complete {
		return false
	}
	r.loaded = true
	r.entries = slices.Clone(entries)
	slices.SortFunc(r.entries, byKey)
	r.content, r.complete = content, complete
	r.log, r.logBase, r.logBytes = nil, content, 0
	return true
}

// apply advances by a delta and returns the changes that were new. The second
// result is false when the delta does not connect to what is known.
func (r *replica) apply(delta Delta) ([]Update, bool) {
	if !r.loaded || delta.After > r.complete {
		return nil, false
	}
	var applied []Update
	for _, update := range delta.Updates {
		if update.Revision <= r.complete || update.Revision > delta.Complete {
			continue
		}
		r.keep(update)
		applied = append(applied, update)
	}
	r.entries = merge(r.entries, applied)
	r.complete = max(r.complete, delta.Complete)
	return applied, true
}

// keep adds a change to the log.
func (r *replica) keep(update Update) {
	r.content = update.Revision
	r.log = append(r.log, update)
	r.logBytes += len(update.Value)
	for len(r.log) > logMaxUpdates || (r.logBytes > logMaxBytes && len(r.log) > 1) {
		r.logBase = r.log[0].Revision
		r.logBytes -= len(r.log[0].Value)
		r.log = r.log[1:]
	}
}

// learn takes over a peer's statement that it knows every change up to complete
// and that none lies in (content, complete]. It has an effect when this replica
// lacks none of them.
func (r *replica) learn(content, complete store.Revision) {
	if r.loaded && content <= r.complete {
		r.complete = max(r.complete, complete)
	}
}

// since returns what changed after a revision. It returns nil when the log does
// not reach back, and when there is too much for a message: a part would not be a
// state of the store, since a watch shows only the last of several changes of a
// key.
func (r *replica) since(after store.Revision) *Delta {
	if !r.loaded || after < r.logBase {
		return nil
	}
	first, _ := slices.BinarySearchFunc(r.log, after, func(update Update, after store.Revision) int {
		if update.Revision <= after {
			return -1
		}
		return 1
	})
	delta := &Delta{After: after, Complete: r.complete}
	bytes := 0
	for _, update := range r.log[first:] {
		if bytes += len(update.Value); bytes > messageMaxBytes && len(delta.Updates) > 0 {
			return nil
		}
		delta.Updates = append(delta.Updates, update)
	}
	return delta
}

// state returns the content as handed to subscribers.
func (r *replica) state() State { return State{Revision: r.content, Entries: r.entries} }

func byKey(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) }

// merge returns sorted entries with changes applied, of which the last of each
// key counts. The entries stay as they are.
func merge(entries []store.Entry, updates []Update) []store.Entry {
	if len(updates) == 0 {
		return entries
	}
	last := make(map[string]Update, len(updates))
	for _, update := range updates {
		last[update.Key] = update
	}
	merged := make([]store.Entry, 0, len(entries)+len(last))
	for _, key := range slices.Sorted(maps.Keys(last)) {
		until, found := slices.BinarySearchFunc(entries, key, compareKey)
		merged = append(merged, entries[:until]...)
		if found {
			until++
		}
		entries = entries[until:]
		if update := last[key]; !update.Deleted {
			merged = append(merged, store.Entry{Key: key, Value: update.Value, Revision: update.Revision})
		}
	}
	return append(merged, entries...)
}

func compareKey(entry store.Entry, key string) int { return cmp.Compare(entry.Key, key) }

// page returns a page of the content from a key on.
func (r *replica) page(id uint64, from string) *Page {
	first, _ := slices.BinarySearchFunc(r.entries, from, compareKey)
	page := &Page{ID: id, Content: r.content, Complete: r.complete}
	bytes := 0
	for _, entry := range r.entries[first:] {
		if bytes += len(entry.Key) + len(entry.Value); bytes > messageMaxBytes && len(page.Entries) > 0 {
			page.Next = entry.Key
			break
		}
		page.Entries = append(page.Entries, Update{Key: entry.Key, Value: entry.Value, Revision: entry.Revision})
	}
	return page
}
