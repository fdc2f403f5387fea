package pool

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehitch.example/samphirehitch/fixedseed"
	"samphirehitch.example/samphirehitch/process/fairqueue"
	"samphirehitch.example/samphirehitch/process/topology"
)

// TestMain fixes the seed of rapid unless the command line sets one.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "7", Checks: "300"})
	os.Exit(m.Run())
}

// fakeConn is a connection that records that it was closed.
type fakeConn struct{ closed chan struct{} }

func newFakeConn() *fakeConn { return &fakeConn{closed: make(chan struct{})} }

func (c *fakeConn) Close() error {
	close(c.closed)
	return nil
}

type queueEntry = fairqueue.Entry[*waiter[*fakeConn]]

// modelTarget drives a coordinator in place of a Pool and tracks the
// connections that the target would see.
type modelTarget struct {
	t           *rapid.T
	coordinator *coordinator[*fakeConn]
	now         time.Duration
	// waiting holds the callers without a result, leases the leases not
	// released.
	waiting      []*queueEntry
	leases       []*Lease[*fakeConn]
	pendingDials int
	// openAtTarget holds the connections that the target sees, closing those
	// among them that are being closed.
	openAtTarget map[*fakeConn]bool
	closing      []*fakeConn
	// maxOpen is the maximum number of connections that may be open: the limit
	// or, after it was lowered, what was open then.
	maxOpen int
}

// apply carries out actions and collects the results of waiters.
func (m *modelTarget) apply(a actions[*fakeConn]) {
	m.pendingDials += a.dials
	m.closing = append(m.closing, a.connsToClose...)
	remaining := m.waiting[:0]
	for _, e := range m.waiting {
		select {
		case r := <-e.Item.ready:
			if r.lease != nil {
				m.leases = append(m.leases, r.lease)
			}
		default:
			remaining = append(remaining, e)
		}
	}
	m.waiting = remaining
}

// check checks the coordinator's counts against the model, and that no caller
// waits while it could be served.
func (m *modelTarget) check() {
	openCount := len(m.openAtTarget) + m.pendingDials
	m.maxOpen = max(m.coordinator.limit, min(m.maxOpen, openCount))
	if openCount > m.maxOpen {
		m.t.Fatalf("%d connections are open or being dialed, %d allowed", openCount, m.maxOpen)
	}
	if m.coordinator.openCount() != openCount {
		m.t.Fatalf("the coordinator counts %d connections, the target %d", m.coordinator.openCount(), openCount)
	}
	if m.coordinator.queue.Len() != len(m.waiting) {
		m.t.Fatalf("%d callers wait, but the queue holds %d", len(m.waiting), m.coordinator.queue.Len())
	}
	leaseAllowed := len(m.coordinator.leases) < m.coordinator.maxInFlight
	if len(m.waiting) > 0 && leaseAllowed && len(m.coordinator.idle) > 0 {
		m.t.Fatal("a caller waits although a connection is idle")
	}
	if len(m.waiting) > 0 && leaseAllowed && m.pendingDials == 0 && m.coordinator.dialErr == nil && openCount < m.coordinator.limit {
		m.t.Fatal("a caller waits although a dial is allowed")
	}
}

// TestOpenConnectionsStayWithinLimit explores random sequences of acquisitions,
// releases, dials that complete late or fail, changes of the limit and callers
// that give up. The connections that the target sees must stay within the
// limit.
func TestOpenConnectionsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := fairqueue.DefaultConfig()
		queue.MaxLength = 6
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		cfg := Config{Target: "t", Limit: limit, MaxInFlight: rapid.IntRange(1, 5).Draw(t, "in flight"), Queue: queue}
		m := &modelTarget{t: t, coordinator: newCoordinator[*fakeConn](cfg), openAtTarget: map[*fakeConn]bool{}, maxOpen: limit}
		index := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "index") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.check() },
			"time passes": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
			},
			"acquire": func(t *rapid.T) {
				customer := topology.CustomerID(fmt.Sprint(index(3)))
				e, a := m.coordinator.enqueue(m.now, customer)
				m.waiting = append(m.waiting, e)
				m.apply(a)
			},
			"give up": func(t *rapid.T) {
				if len(m.waiting) == 0 {
					t.Skip() // rapid draws another action
				}
				i := index(len(m.waiting))
				if !m.coordinator.cancel(m.waiting[i]) {
					t.Fatal("a waiting caller could not give up")
				}
				m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			},
			"release": func(t *rapid.T) {
				if len(m.leases) == 0 {
					t.Skip() // rapid draws another action
				}
				i := index(len(m.leases))
				lease := m.leases[i]
				m.leases = append(m.leases[:i], m.leases[i+1:]...)
				m.apply(m.coordinator.handleReleased(m.now, lease, rapid.Bool().Draw(t, "reuse")))
			},
			"dial completes": func(t *rapid.T) {
				if m.pendingDials == 0 {
					t.Skip() // rapid draws another action
				}
				m.pendingDials--
				conn := newFakeConn()
				if rapid.IntRange(0, 3).Draw(t, "outcome") == 0 {
					m.apply(m.coordinator.handleDialed(m.now, nil, errors.New("refused")))
					return
				}
				m.openAtTarget[conn] = true
				m.apply(m.coordinator.handleDialed(m.now, conn, nil))
			},
			"close completes": func(t *rapid.T) {
				if len(m.closing) == 0 {
					t.Skip() // rapid draws another action
				}
				conn := m.closing[0]
				m.closing = m.closing[1:]
				delete(m.openAtTarget, conn)
				m.apply(m.coordinator.handleClosed(m.now))
			},
			"limit changes": func(t *rapid.T) {
				m.apply(m.coordinator.setLimit(m.now, rapid.IntRange(0, 5).Draw(t, "limit")))
			},
			"excess is revoked": func(t *rapid.T) {
				m.apply(m.coordinator.revokeExcess(m.now, m.coordinator.limit))
				if m.coordinator.openCount()-m.coordinator.closing > m.coordinator.limit+m.pendingDials {
					t.Fatal("connections over the limit stay open after a revocation")
				}
			},
		})
	})
}
