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

// TestMain fixes the seed unless the command line gives one.
func TestMain(m *testing.M) {
	fixedseed.Set(fixedseed.Rapid{Seed: "7", Checks: "300"})
	os.Exit(m.Run())
}

type fakeConn struct{ closed chan struct{} }

func newFakeConn() *fakeConn { return &fakeConn{closed: make(chan struct{})} }

func (c *fakeConn) Close() error {
	close(c.closed)
	return nil
}

type entry = fairqueue.Entry[*waiter[*fakeConn]]

// model drives a coordinator and keeps what the target would see.
type model struct {
	t       *rapid.T
	state   *coordinator[*fakeConn]
	now     time.Duration
	waiting []*entry
	leases  []*Lease[*fakeConn]
	dials   int
	// atTarget holds the connections that the target sees; closing those that
	// the driver is closing.
	atTarget map[*fakeConn]bool
	closing  []*fakeConn
	// allowed is the most connections that may be open: the limit, or what was
	// open when it shrank.
	allowed int
}

func (m *model) take(a actions[*fakeConn]) {
	m.dials += a.dials
	m.closing = append(m.closing, a.closes...)
	rest := m.waiting[:0]
	for _, e := range m.waiting {
		select {
		case r := <-e.Item.ready:
			if r.lease != nil {
				m.leases = append(m.leases, r.lease)
			}
		default:
			rest = append(rest, e)
		}
	}
	m.waiting = rest
}

func (m *model) check() {
	seen := len(m.atTarget) + m.dials
	m.allowed = max(m.state.limit, min(m.allowed, seen))
	if seen > m.allowed {
		m.t.Fatalf("%d connections open or opening, %d allowed", seen, m.allowed)
	}
	if m.state.open() != seen {
		m.t.Fatalf("the pool counts %d connections, the target %d", m.state.open(), seen)
	}
	if m.state.queue.Len() != len(m.waiting) {
		m.t.Fatalf("%d callers wait, the queue holds %d", len(m.waiting), m.state.queue.Len())
	}
	free := len(m.state.leases) < m.state.maxInFlight
	if len(m.waiting) > 0 && free && len(m.state.idle) > 0 {
		m.t.Fatal("a caller waits beside an idle connection")
	}
	if len(m.waiting) > 0 && free && m.dials == 0 && m.state.dialErr == nil && seen < m.state.limit {
		m.t.Fatal("a caller waits while a dial is allowed")
	}
}

// TestCoordinatorKeepsTheLimit explores acquisitions, releases, dials that end
// late or fail, limits that change and callers that give up.
func TestCoordinatorKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := fairqueue.DefaultConfig()
		queue.MaxLength = 6
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		cfg := Config{Target: "t", Limit: limit, MaxInFlight: rapid.IntRange(1, 5).Draw(t, "in flight"), Queue: queue}
		m := &model{t: t, state: newCoordinator[*fakeConn](cfg), atTarget: map[*fakeConn]bool{}, allowed: limit}
		index := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "index") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.check() },
			"time passes": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
			},
			"acquire": func(t *rapid.T) {
				customer := topology.CustomerID(fmt.Sprint(index(3)))
				e, a := m.state.acquire(m.now, customer)
				m.waiting = append(m.waiting, e)
				m.take(a)
			},
			"give up": func(t *rapid.T) {
				if len(m.waiting) == 0 {
					t.Skip() // rapid draws another action
				}
				i := index(len(m.waiting))
				if !m.state.cancel(m.waiting[i]) {
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
				m.take(m.state.released(m.now, lease, rapid.Bool().Draw(t, "reuse")))
			},
			"dial ends": func(t *rapid.T) {
				if m.dials == 0 {
					t.Skip() // rapid draws another action
				}
				m.dials--
				conn := newFakeConn()
				if rapid.IntRange(0, 3).Draw(t, "outcome") == 0 {
					m.take(m.state.dialed(m.now, nil, errors.New("refused")))
					return
				}
				m.atTarget[conn] = true
				m.take(m.state.dialed(m.now, conn, nil))
			},
			"close ends": func(t *rapid.T) {
				if len(m.closing) == 0 {
					t.Skip() // rapid draws another action
				}
				conn := m.closing[0]
				m.closing = m.closing[1:]
				delete(m.atTarget, conn)
				m.take(m.state.connClosed(m.now))
			},
			"limit changes": func(t *rapid.T) {
				m.take(m.state.setLimit(m.now, rapid.IntRange(0, 5).Draw(t, "limit")))
			},
			"excess is revoked": func(t *rapid.T) {
				m.take(m.state.revokeExcess(m.now, m.state.limit))
				if m.state.open()-m.state.closing > m.state.limit+m.dials {
					t.Fatal("connections over the limit stay open after a revocation")
				}
			},
		})
	})
}
