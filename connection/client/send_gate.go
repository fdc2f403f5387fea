package client

import "sync"

// SendGate decides whether the running statement of a session may still be sent to a target or
// to another instance, and knows whether it may have been. It lets a process that exits tell
// statements that were never sent, and so have not run, from those whose outcome it does not
// know: each statement either passes before the gate is closed or is never sent. Only
// statements whose effect would otherwise be in doubt have to pass: writes outside of
// transactions, and COMMIT. It is safe for concurrent use; the zero value is open.
type SendGate struct {
	mu           sync.Mutex
	sent, closed bool
}

// Reset begins a statement, or another attempt of one that has not run: nothing of it has been sent.
func (g *SendGate) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent = false
}

// Pass reports whether the statement may be sent. If so, it counts as sent from then on.
func (g *SendGate) Pass() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.sent = true
	return true
}

// Close lets no more statement pass. It reports whether the running one has passed.
func (g *SendGate) Close() (sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.sent
}
