package snapshot

import (
	"sync"
	"sync/atomic"
)

// Holder holds the snapshot in force. The zero value is ready for use and safe
// for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu struct {
		sync.Mutex
		subscribers []func(*Snapshot)
	}
}

// Current returns the snapshot in force, or nil before the first one.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Publish puts a snapshot into force and hands it to the subscribers, one after
// the other. It reports false, and does nothing, when a snapshot of the same or
// a higher revision is in force.
func (h *Holder) Publish(next *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.current.Load(); now != nil && next.Revision() <= now.Revision() {
		return false
	}
	h.current.Store(next)
	for _, notify := range h.mu.subscribers {
		notify(next)
	}
	return true
}

// Subscribe calls notify with the snapshot in force, if any, and then with each
// later one, in order. Notify must not call Publish or Subscribe.
func (h *Holder) Subscribe(notify func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mu.subscribers = append(h.mu.subscribers, notify)
	if now := h.current.Load(); now != nil {
		notify(now)
	}
}
