package pool

import (
	"time"

	"samphirehitch.example/samphirehitch/process/fairqueue"
	"samphirehitch.example/samphirehitch/process/topology"
)

// result is the outcome for a waiter: a lease or an error.
type result[C Conn] struct {
	lease *Lease[C]
	err   error
}

// waiter is a waiting call of Acquire. ready has capacity one and receives one
// result.
type waiter[C Conn] struct {
	ready chan result[C]
}

// actions lists what the Pool has to do after an event. The coordinator
// delivers results to waiters itself, since sending on their channels never
// blocks.
type actions[C Conn] struct {
	// dials is the number of connections to dial.
	dials        int
	connsToClose []C
	// changed reports whether the number of open connections or the unmet
	// demand changed.
	changed bool
}

// coordinator is the state machine of a pool: it counts the connections to one
// target and decides which caller gets which. The idle, leased, dialing and
// closing connections together never exceed the limit, except after the limit
// was lowered. It is not safe for concurrent use.
type coordinator[C Conn] struct {
	target      topology.TargetID
	queue       *fairqueue.Queue[*waiter[C]]
	limit       int
	maxInFlight int

	// idle holds the unused connections, the most recently used last.
	idle []C
	// leases holds the leases that are neither released nor revoked.
	leases  map[*Lease[C]]struct{}
	dialing int
	closing int
	// leaseCount counts all leases ever given.
	leaseCount uint64

	// nextDialAt is the earliest time of the next dial after the failure
	// dialErr.
	nextDialAt time.Duration
	dialErr    error
	closed     bool
}

func newCoordinator[C Conn](cfg Config) *coordinator[C] {
	return &coordinator[C]{
		target:      cfg.Target,
		queue:       fairqueue.New[*waiter[C]](cfg.Queue),
		limit:       max(cfg.Limit, 0),
		maxInFlight: max(cfg.MaxInFlight, 1),
		leases:      make(map[*Lease[C]]struct{}),
	}
}

// openCount returns the number of connections that the target may see.
func (c *coordinator[C]) openCount() int {
	return len(c.idle) + len(c.leases) + c.dialing + c.closing
}

// demand returns the number of connections that would serve all callers at
// the same time.
func (c *coordinator[C]) demand() int {
	return min(len(c.leases)+c.queue.Len(), c.maxInFlight)
}

// leaseIfIdle leases an idle connection immediately. It returns nil when the
// caller has to wait.
func (c *coordinator[C]) leaseIfIdle(now time.Duration, customer topology.CustomerID) *Lease[C] {
	if c.closed || len(c.idle) == 0 || c.queue.Len() > 0 || len(c.leases) >= c.maxInFlight {
		return nil
	}
	return c.leaseLastUsed(now, c.queue.Start(now, customer, nil))
}

// enqueue adds a caller to the queue, which may reject it or another one when
// it is full.
func (c *coordinator[C]) enqueue(now time.Duration, customer topology.CustomerID) (*fairqueue.Entry[*waiter[C]], actions[C]) {
	w := &waiter[C]{ready: make(chan result[C], 1)}
	entry, rejected := c.queue.Push(now, customer, w)
	if rejected != nil {
		c.rejectWaiter(now, rejected)
	}
	if c.closed {
		c.failWaiters(ErrClosed)
	}
	a := c.dispatch(now)
	a.changed = a.changed || c.demand() > c.limit
	return entry, a
}

// cancel removes a waiting caller from the queue. It reports whether the caller
// was still waiting; if not, it already has its result.
func (c *coordinator[C]) cancel(entry *fairqueue.Entry[*waiter[C]]) bool {
	return c.queue.Remove(entry)
}

// rejectWaiter fails a waiter that the queue has no room for.
func (c *coordinator[C]) rejectWaiter(now time.Duration, entry *fairqueue.Entry[*waiter[C]]) {
	entry.Item.ready <- result[C]{err: &BusyError{Target: c.target, Waited: now - entry.QueuedAt}}
}

// handleDialed processes the outcome of a dial. If a dial fails and no
// connection is open or being opened, all waiters fail immediately.
func (c *coordinator[C]) handleDialed(now time.Duration, conn C, err error) actions[C] {
	c.dialing--
	if err == nil {
		c.dialErr = nil
		c.idle = append(c.idle, conn)
		return c.dispatch(now)
	}
	c.dialErr = err
	c.nextDialAt = now + dialBackoff
	if c.openCount() == 0 {
		c.failWaiters(&DialError{Target: c.target, Err: err})
	}
	a := c.dispatch(now)
	a.changed = true
	return a
}

// handleReleased ends a lease. The connection becomes idle or, if it must not
// be reused, is closed. The connection of a revoked lease is already being
// closed.
func (c *coordinator[C]) handleReleased(now time.Duration, lease *Lease[C], reuse bool) actions[C] {
	c.queue.Finish(lease.entry, now-lease.grantedAt)
	if _, active := c.leases[lease]; !active {
		return c.dispatch(now)
	}
	delete(c.leases, lease)
	if reuse && !c.closed {
		c.idle = append(c.idle, lease.conn)
		return c.dispatch(now)
	}
	c.closing++
	a := c.dispatch(now)
	a.connsToClose = append(a.connsToClose, lease.conn)
	return a
}

// handleClosed records that a connection has been closed.
func (c *coordinator[C]) handleClosed(now time.Duration) actions[C] {
	c.closing--
	a := c.dispatch(now)
	a.changed = true
	return a
}

// setLimit changes the maximum number of open connections.
func (c *coordinator[C]) setLimit(now time.Duration, limit int) actions[C] {
	c.limit = max(limit, 0)
	return c.dispatch(now)
}

// setMaxInFlight changes the maximum number of leases.
func (c *coordinator[C]) setMaxInFlight(now time.Duration, maxInFlight int) actions[C] {
	c.maxInFlight = max(maxInFlight, 1)
	return c.dispatch(now)
}

// revokeExcess revokes leases, the latest first, until at most maxOpen
// connections are open that are not being closed.
func (c *coordinator[C]) revokeExcess(now time.Duration, maxOpen int) actions[C] {
	a := c.dispatch(now)
	for len(c.leases) > 0 && c.openCount()-c.closing > maxOpen {
		var latest *Lease[C]
		for lease := range c.leases {
			if latest == nil || lease.sequence > latest.sequence {
				latest = lease
			}
		}
		delete(c.leases, latest)
		c.closing++
		a.connsToClose = append(a.connsToClose, latest.conn)
	}
	return a
}

// shutDown rejects all callers from now on and closes idle connections.
func (c *coordinator[C]) shutDown(now time.Duration) actions[C] {
	c.closed = true
	c.failWaiters(ErrClosed)
	return c.dispatch(now)
}

// failWaiters fails every waiter with an error.
func (c *coordinator[C]) failWaiters(err error) {
	for {
		entry, ok := c.queue.Pop()
		if !ok {
			return
		}
		entry.Item.ready <- result[C]{err: err}
		c.queue.Finish(entry, 0)
	}
}

// dispatch closes idle connections over the limit, leases the others to waiters
// and starts dials for the waiters that remain.
func (c *coordinator[C]) dispatch(now time.Duration) actions[C] {
	var a actions[C]
	c.closeIdle(&a)
	for len(c.idle) > 0 && len(c.leases) < c.maxInFlight {
		entry, ok := c.queue.Pop()
		if !ok {
			break
		}
		c.leaseToWaiter(now, entry)
	}
	c.startDials(now, &a)
	a.changed = a.dials > 0
	return a
}

// leaseToWaiter leases an idle connection to a waiter.
func (c *coordinator[C]) leaseToWaiter(now time.Duration, entry *fairqueue.Entry[*waiter[C]]) {
	entry.Item.ready <- result[C]{lease: c.leaseLastUsed(now, entry)}
}

// leaseLastUsed leases the most recently used idle connection.
func (c *coordinator[C]) leaseLastUsed(now time.Duration, entry *fairqueue.Entry[*waiter[C]]) *Lease[C] {
	last := len(c.idle) - 1
	conn := c.idle[last]
	var zero C
	c.idle[last] = zero
	c.idle = c.idle[:last]
	c.leaseCount++
	lease := &Lease[C]{conn: conn, entry: entry, sequence: c.leaseCount, grantedAt: now, waited: now - entry.QueuedAt}
	c.leases[lease] = struct{}{}
	return lease
}

// closeIdle closes the least recently used idle connections: those over the
// limit, or all once the pool is closed.
func (c *coordinator[C]) closeIdle(a *actions[C]) {
	for len(c.idle) > 0 && (c.closed || c.openCount()-c.closing > c.limit) {
		a.connsToClose = append(a.connsToClose, c.idle[0])
		c.idle = c.idle[1:]
		c.closing++
	}
}

// startDials requests the dials that waiters need and the limit allows. During
// the backoff after a failed dial it requests none; if no connection is open or
// being opened either, the waiters fail.
func (c *coordinator[C]) startDials(now time.Duration, a *actions[C]) {
	if c.closed || c.queue.Len() == 0 {
		return
	}
	if c.dialErr != nil && now < c.nextDialAt {
		if c.openCount() == 0 {
			c.failWaiters(&DialError{Target: c.target, Err: c.dialErr})
		}
		return
	}
	needed := min(c.queue.Len(), c.maxInFlight-len(c.leases))
	for c.dialing < needed && c.openCount() < c.limit {
		c.dialing++
		a.dials++
	}
}
