package config

import (
	"slices"
	"strings"
	"time"

	"samphirehitch.example/samphirehitch/process/store"
)

func (w *world) swap(swap store.Swap) Event {
	if current := w.latest[swap.Key]; current != swap.Expect {
		return Swapped{Err: store.ErrConflict, Conflict: true, Current: current}
	}
	w.commit(swap.Key, swap.Value, false)
	return Swapped{Revision: w.revision()}
}

func (w *world) revision() store.Revision { return store.Revision(len(w.history)) }

// commit appends to the history and wakes the watches.
func (w *world) commit(key string, value []byte, deleted bool) store.Revision {
	entry := store.Entry{Key: key, Value: value, Revision: w.revision() + 1}
	w.history = append(w.history, change{Change: store.Change{Entry: entry, Deleted: deleted}, at: w.now})
	w.latest[key] = entry.Revision
	if deleted {
		w.latest[key] = 0
	}
	w.wake()
	return entry.Revision
}

func (w *world) wake() {
	waiting := w.waiting
	w.waiting = nil
	for _, watch := range waiting {
		w.look(watch, false)
	}
}

// readable is the revision that reads see.
func (w *world) readable() store.Revision { return w.revisionAt(w.now - w.staleBy) }

func (w *world) revisionAt(at time.Duration) store.Revision {
	if w.now <= at {
		return w.revision()
	}
	n, _ := slices.BinarySearchFunc(w.history, at, func(c change, at time.Duration) int {
		if c.at <= at {
			return -1
		}
		return 1
	})
	return store.Revision(n)
}

// content returns the entries as of a revision, and those without heartbeats.
func (w *world) content(at store.Revision) (all, records []store.Entry) {
	state := map[string]store.Entry{}
	for _, change := range w.history[:at] {
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

func (w *world) startWatch(watch *waitingWatch) {
	w.calls++
	w.after(w.upTo(w.storeDelay), func() { w.look(watch, false) })
	w.after(10*time.Second, func() {
		if i := slices.Index(w.waiting, watch); i >= 0 {
			w.waiting = slices.Delete(w.waiting, i, i+1)
			w.look(watch, true)
		}
	})
}

// look answers a watch with the last change of each key, or lets it wait.
func (w *world) look(watch *waitingWatch, end bool) {
	d := watch.d
	answer := func(event Event) {
		w.after(w.upTo(w.storeDelay), func() {
			if d.life == watch.life && d.watch == watch.watch {
				w.feed(d, event)
			}
		})
	}
	if w.down || d.cut {
		answer(Watched{Err: errDown})
		return
	}
	upTo := max(watch.after, w.readable())
	var changes []store.Change
	for _, change := range w.history[watch.after:upTo] {
		changes = slices.DeleteFunc(changes, func(c store.Change) bool { return c.Key == change.Key })
		changes = append(changes, change.Change)
	}
	if len(changes) == 0 && !end {
		w.waiting = append(w.waiting, watch)
		return
	}
	answer(Watched{Changes: changes, Complete: upTo})
}
