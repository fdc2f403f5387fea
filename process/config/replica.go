package config

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirehitch.example/samphirehitch/process/store"
)

// Bounds of the log of recent changes, from which deltas for peers are made, and
// of messages.
const (
	maxLogUpdates = 1024
	maxLogBytes   = 4 << 20
	// maxMessageBytes bounds the values in one message. A single larger value
	// is sent in a message of its own.
	maxMessageBytes = 512 << 10
)

// replica is this instance's copy of the configuration: the store's state at
// some revision. It never goes back to an earlier revision.
type replica struct {
	loaded bool
	// entries is sorted by key. The slice is shared with subscribers and so is
	// replaced, never changed in place.
	entries []store.Entry
	// contentRevision is at or after the last change of a record in entries; no
	// record changed in (contentRevision, completeRevision].
	contentRevision store.Revision
	// completeRevision is the revision up to which every change is known.
	// Heartbeats advance it without changing the content.
	completeRevision store.Revision

	// log holds the changes after logBase, in order of revision; logBytes is
	// the total size of their values.
	log      []Update
	logBase  store.Revision
	logBytes int
	// replaced holds the hashes of values that later changes have replaced, by key, and
	// replacedOrder their keys, the oldest first.
	replaced      map[string][]uint64
	replacedOrder []string
}

// maxReplacedValues bounds the hashes of replaced values.
const maxReplacedValues = 4096

// recordReplaced remembers that a key's present value is about to be replaced.
func (r *replica) recordReplaced(key string) {
	index, found := slices.BinarySearchFunc(r.entries, key, compareEntryKey)
	if !found {
		return
	}
	if r.replaced == nil {
		r.replaced = make(map[string][]uint64)
	}
	r.replaced[key] = append(r.replaced[key], xxhash.Sum64(r.entries[index].Value))
	r.replacedOrder = append(r.replacedOrder, key)
	if len(r.replacedOrder) > maxReplacedValues {
		oldest := r.replacedOrder[0]
		r.replacedOrder = r.replacedOrder[1:]
		if r.replaced[oldest] = r.replaced[oldest][1:]; len(r.replaced[oldest]) == 0 {
			delete(r.replaced, oldest)
		}
	}
}

// loadRestored replaces the content by the listing of a store that was restored from an
// older copy. The configuration must not go back with it: a record whose listed value is
// known to have been replaced, or that is missing, keeps the state that is known here until
// it is written again. It returns the keys of these records.
func (r *replica) loadRestored(listed []store.Entry, revision store.Revision) (held []string) {
	var entries []store.Entry
	listedKeys := make(map[string]bool, len(listed))
	for _, entry := range listed {
		listedKeys[entry.Key] = true
		if !slices.Contains(r.replaced[entry.Key], xxhash.Sum64(entry.Value)) {
			entries = append(entries, entry)
			continue
		}
		index, exists := slices.BinarySearchFunc(r.entries, entry.Key, compareEntryKey)
		switch {
		case !exists:
			held = append(held, entry.Key)
			continue
		case !bytes.Equal(r.entries[index].Value, entry.Value):
			held = append(held, entry.Key)
			entry.Value = r.entries[index].Value
		}
		entries = append(entries, entry)
	}
	for _, known := range r.entries {
		if !listedKeys[known.Key] {
			held = append(held, known.Key)
			known.Revision = store.NewRevision(revision.Era(), 1)
			entries = append(entries, known)
		}
	}
	r.loadSnapshot(entries, revision, revision)
	return held
}

// loadSnapshot replaces the whole content. It reports whether the snapshot was
// newer than the replica; if not, nothing changes.
func (r *replica) loadSnapshot(entries []store.Entry, contentRevision, completeRevision store.Revision) bool {
	if r.loaded && contentRevision <= r.completeRevision {
		return false
	}
	r.loaded = true
	r.entries = slices.Clone(entries)
	slices.SortFunc(r.entries, compareEntries)
	r.contentRevision, r.completeRevision = contentRevision, completeRevision
	r.log, r.logBase, r.logBytes = nil, contentRevision, 0
	return true
}

// apply applies a delta and returns the changes that were new. The second
// result is false when the delta begins after the last known change.
func (r *replica) apply(delta Delta) ([]Update, bool) {
	if !r.loaded || delta.After > r.completeRevision {
		return nil, false
	}
	var applied []Update
	for _, update := range delta.Updates {
		if update.Revision <= r.completeRevision || update.Revision > delta.CompleteRevision {
			continue
		}
		r.recordReplaced(update.Key)
		r.appendLog(update)
		applied = append(applied, update)
	}
	r.entries = applyUpdates(r.entries, applied)
	r.completeRevision = max(r.completeRevision, delta.CompleteRevision)
	return applied, true
}

// appendLog appends a change to the log and drops the oldest changes over the
// bounds.
func (r *replica) appendLog(update Update) {
	r.contentRevision = update.Revision
	r.log = append(r.log, update)
	r.logBytes += len(update.Value)
	for len(r.log) > maxLogUpdates || (r.logBytes > maxLogBytes && len(r.log) > 1) {
		r.logBase = r.log[0].Revision
		r.logBytes -= len(r.log[0].Value)
		r.log = r.log[1:]
	}
}

// extendComplete advances completeRevision after a peer has stated that it
// knows every change up to completeRevision and that no record changed in
// (contentRevision, completeRevision]. It has no effect when this replica lacks
// changes up to contentRevision.
func (r *replica) extendComplete(contentRevision, completeRevision store.Revision) {
	if r.loaded && contentRevision <= r.completeRevision {
		r.completeRevision = max(r.completeRevision, completeRevision)
	}
}

// deltaSince returns the changes after a revision, or nil when the log does not
// reach back that far or the changes do not fit into one message. A part of
// them would not lead to a state that the store ever had, since a watch returns
// only the last of several changes of a key.
func (r *replica) deltaSince(after store.Revision) *Delta {
	if !r.loaded || after < r.logBase {
		return nil
	}
	first, _ := slices.BinarySearchFunc(r.log, after, func(update Update, after store.Revision) int {
		if update.Revision <= after {
			return -1
		}
		return 1
	})
	delta := &Delta{After: after, CompleteRevision: r.completeRevision}
	bytes := 0
	for _, update := range r.log[first:] {
		if bytes += len(update.Value); bytes > maxMessageBytes && len(delta.Updates) > 0 {
			return nil
		}
		delta.Updates = append(delta.Updates, update)
	}
	return delta
}

// state returns the content for subscribers.
func (r *replica) state() State { return State{Revision: r.contentRevision, Entries: r.entries} }

func compareEntries(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) }

// applyUpdates returns sorted entries with changes applied; of several changes
// of a key the last counts. It does not change entries.
func applyUpdates(entries []store.Entry, updates []Update) []store.Entry {
	if len(updates) == 0 {
		return entries
	}
	latest := make(map[string]Update, len(updates))
	for _, update := range updates {
		latest[update.Key] = update
	}
	merged := make([]store.Entry, 0, len(entries)+len(latest))
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		index, found := slices.BinarySearchFunc(entries, key, compareEntryKey)
		merged = append(merged, entries[:index]...)
		if found {
			index++
		}
		entries = entries[index:]
		if update := latest[key]; !update.Deleted {
			merged = append(merged, store.Entry{Key: key, Value: update.Value, Revision: update.Revision})
		}
	}
	return append(merged, entries...)
}

func compareEntryKey(entry store.Entry, key string) int { return cmp.Compare(entry.Key, key) }

// page returns the page of the content that begins at a key.
func (r *replica) page(id uint64, from string) *Page {
	first, _ := slices.BinarySearchFunc(r.entries, from, compareEntryKey)
	page := &Page{ID: id, ContentRevision: r.contentRevision, CompleteRevision: r.completeRevision}
	bytes := 0
	for _, entry := range r.entries[first:] {
		if bytes += len(entry.Key) + len(entry.Value); bytes > maxMessageBytes && len(page.Entries) > 0 {
			page.Next = entry.Key
			break
		}
		page.Entries = append(page.Entries, Update{Key: entry.Key, Value: entry.Value, Revision: entry.Revision})
	}
	return page
}
