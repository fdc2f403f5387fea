package snapshot

import (
	"sync"
	"sync/atomic"
)

// Holder holds the snapshot in force and notifies subscribers when it is replaced. The
// zero value is ready for use. A Holder is safe for concurrent use; its revision never
// decreases.
type Holder struct {
	// current is written with mu held and read without it.
	current atomic.Pointer[Snapshot]

	// mu serializes publications, so that every subscriber sees snapshots in the order
	// of their revisions. It is held while subscribers run.
	mu struct {
		sync.Mutex
		subscribers []func(*Snapshot)
	}
}

// Current returns the snapshot in force, or nil before the first one.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Publish puts a snapshot in force and calls the subscribers one after the other. It
// returns false, and changes nothing, when a snapshot of the same or a higher revision
// is in force.
func (h *Holder) Publish(next *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && next.Revision() <= current.Revision() {
		return false
	}
	h.current.Store(next)
	for _, notify := range h.mu.subscribers {
		notify(next)
	}
	return true
}

// Subscribe calls notify with the snapshot in force, if any, and then with every later
// one in order. Notify runs with the holder's lock held and must not call Publish or
// Subscribe.
func (h *Holder) Subscribe(notify func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mu.subscribers = append(h.mu.subscribers, notify)
	if current := h.current.Load(); current != nil {
		notify(current)
	}
}
