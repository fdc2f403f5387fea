package config

import (
	"cmp"
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
	loaded  bool
	entries map[string]store.Entry
	// content is at or after the last change of a record; no such change lies in
	// (content, complete].
	content store.Revision
	// complete is the revision up to which every change is known.
	complete store.Revision

	// log holds the changes after logBase, in order.
	log      []Update
	logBase  store.Revision
	logBytes int
	// sorted caches the entries by key. It is never changed in place.
	sorted []store.Entry
}

// load replaces the whole content. It reports false when that would not move the
// replica forward.
func (r *replica) load(entries []store.Entry, content, complete store.Revision) bool {
	if r.loaded && content <= r.complete {
		return false
	}
	r.loaded = true
	r.entries = make(map[string]store.Entry, len(entries))
	for _, entry := range entries {
		r.entries[entry.Key] = store.Entry{Key: entry.Key, Value: entry.Value, Revision: entry.Revision}
	}
	r.content, r.complete = content, complete
	r.log, r.logBase, r.logBytes = nil, content, 0
	r.sorted = nil
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
		r.applyUpdate(update)
		applied = append(applied, update)
	}
	r.complete = max(r.complete, delta.Complete)
	return applied, true
}

func (r *replica) applyUpdate(update Update) {
	if update.Deleted {
		delete(r.entries, update.Key)
	} else {
		r.entries[update.Key] = store.Entry{Key: update.Key, Value: update.Value, Revision: update.Revision}
	}
	r.content = update.Revision
	r.sorted = nil
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
func (r *replica) state() State {
	if r.sorted == nil {
		r.sorted = make([]store.Entry, 0, len(r.entries))
		for _, entry := range r.entries {
			r.sorted = append(r.sorted, entry)
		}
		slices.SortFunc(r.sorted, func(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) })
	}
	return State{Revision: r.content, Entries: r.sorted}
}

// page returns a page of the content from a key on.
func (r *replica) page(id uint64, from string) *Page {
	entries := r.state().Entries
	first, _ := slices.BinarySearchFunc(entries, from, func(entry store.Entry, from string) int {
		return cmp.Compare(entry.Key, from)
	})
	page := &Page{ID: id, Content: r.content, Complete: r.complete}
	bytes := 0
	for _, entry := range entries[first:] {
		if bytes += len(entry.Key) + len(entry.Value); bytes > messageMaxBytes && len(page.Entries) > 0 {
			page.Next = entry.Key
			break
		}
		page.Entries = append(page.Entries, Update{Key: entry.Key, Value: entry.Value, Revision: entry.Revision})
	}
	return page
}
