package config

import (
	"slices"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

// swap performs a compare-and-swap.
func (h *harness) swap(swap store.Swap) Event {
	if current := h.keyRevisions[swap.Key]; current != swap.Expect {
		return SwapDone{Err: store.ErrConflict, Conflict: true, CurrentRevision: current}
	}
	h.commit(swap.Key, swap.Value, false)
	return SwapDone{Revision: h.revision()}
}

func (h *harness) revision() store.Revision { return store.Revision(len(h.history)) }

// commit appends a change to the history and lets the waiting watches check it.
func (h *harness) commit(key string, value []byte, deleted bool) store.Revision {
	entry := store.Entry{Key: key, Value: value, Revision: h.revision() + 1}
	h.history = append(h.history, committedChange{Change: store.Change{Entry: entry, Deleted: deleted}, committedAt: h.now})
	h.keyRevisions[key] = entry.Revision
	if deleted {
		h.keyRevisions[key] = 0
	}
	h.checkWatches()
	return entry.Revision
}

// checkWatches responds to the waiting watches that have something to return.
func (h *harness) checkWatches() {
	waiting := h.waitingWatches
	h.waitingWatches = nil
	for _, watch := range waiting {
		h.respondToWatch(watch, false)
	}
}

// readableRevision is the revision that reads return; it lags by readStaleness.
func (h *harness) readableRevision() store.Revision { return h.revisionAt(h.now - h.readStaleness) }

// revisionAt returns the store's revision at a time.
func (h *harness) revisionAt(at time.Duration) store.Revision {
	if h.now <= at {
		return h.revision()
	}
	n, _ := slices.BinarySearchFunc(h.history, at, func(c committedChange, at time.Duration) int {
		if c.committedAt <= at {
			return -1
		}
		return 1
	})
	return store.Revision(n)
}

// entriesAt returns the entries as of a revision, with and without heartbeats.
func (h *harness) entriesAt(at store.Revision) (all, records []store.Entry) {
	state := map[string]store.Entry{}
	for _, change := range h.history[:at] {
		delete(state, change.Key)
		if !change.Deleted {
			state[change.Key] = change.Entry
		}
	}
	for _, entry := range state {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	records = slices.DeleteFunc(slices.Clone(all), func(entry store.Entry) bool { return isHeartbeat(entry.Key) })
	return all, records
}

// startWatch starts a watch, which returns after 10 s if nothing changes.
func (h *harness) startWatch(watch *waitingWatch) {
	h.storeCalls++
	h.schedule(h.randomDelay(h.storeDelay), func() { h.respondToWatch(watch, false) })
	h.schedule(10*time.Second, func() {
		if i := slices.Index(h.waitingWatches, watch); i >= 0 {
			h.waitingWatches = slices.Delete(h.waitingWatches, i, i+1)
			h.respondToWatch(watch, true)
		}
	})
}

// respondToWatch returns the last change of each key to a watch. It lets the
// watch wait when there is none, unless the watch has expired.
func (h *harness) respondToWatch(watch *waitingWatch, expired bool) {
	d := watch.daemon
	respond := func(event Event) {
		h.schedule(h.randomDelay(h.storeDelay), func() {
			if d.incarnation == watch.incarnation && d.watchNumber == watch.number {
				h.deliver(d, event)
			}
		})
	}
	if h.storeUnavailable || d.storeCutOff {
		respond(WatchDone{Err: errStoreUnavailable})
		return
	}
	upTo := max(watch.after, h.readableRevision())
	var changes []store.Change
	for _, change := range h.history[watch.after:upTo] {
		changes = slices.DeleteFunc(changes, func(c store.Change) bool { return c.Key == change.Key })
		changes = append(changes, change.Change)
	}
	if len(changes) == 0 && !expired {
		h.waitingWatches = append(h.waitingWatches, watch)
		return
	}
	respond(WatchDone{Changes: changes, CompleteRevision: upTo})
}
