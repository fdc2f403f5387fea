package pool

import (
	"time"

	"samphirehitch.example/samphirehitch/process/fairqueue"
	"samphirehitch.example/samphirehitch/process/topology"
)

// result is what a waiter gets: a lease or an error.
type result[C Conn] struct {
	lease *Lease[C]
	err   error
}

// waiter is one call of Acquire that waits. The channel holds one result.
type waiter[C Conn] struct {
	ready chan result[C]
}

// actions is what the driver has to do after an event. Results for waiters are
// delivered by the coordinator itself, since their channels never block.
type actions[C Conn] struct {
	dials  int
	closes []C
	// changed reports that the number of open connections or the unmet demand
	// changed.
	changed bool
}

// coordinator accounts for the connections to one target and decides who gets
// which. It never lets idle, leased, dialing and closing connections together
// exceed the limit, except after the limit has shrunk.
type coordinator[C Conn] struct {
	target      topology.TargetID
	queue       *fairqueue.Queue[*waiter[C]]
	limit       int
	maxInFlight int

	idle []C
	// leases holds the leases that are neither released nor revoked.
	leases  map[*Lease[C]]struct{}
	dialing int
	closing int
	granted uint64

	// dialAgain is the earliest time of the next dial after a failed one.
	dialAgain time.Duration
	dialErr   error
	closed    bool
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

// open counts the connections that the target may see.
func (c *coordinator[C]) open() int {
	return len(c.idle) + len(c.leases) + c.dialing + c.closing
}

// wanted counts the connections that would serve all callers at once.
func (c *coordinator[C]) wanted() int {
	return min(len(c.leases)+c.queue.Len(), c.maxInFlight)
}

// lease gives an idle connection to a caller at once. It returns nil when the
// caller has to wait.
func (c *coordinator[C]) lease(now time.Duration, customer topology.CustomerID) *Lease[C] {
	if c.closed || len(c.idle) == 0 || c.queue.Len() > 0 || len(c.leases) >= c.maxInFlight {
		return nil
	}
	return c.take(now, c.queue.Start(now, customer, nil))
}

// acquire queues a caller.
func (c *coordinator[C]) acquire(now time.Duration, customer topology.CustomerID) (*fairqueue.Entry[*waiter[C]], actions[C]) {
	w := &waiter[C]{ready: make(chan result[C], 1)}
	entry, dropped := c.queue.Push(now, customer, w)
	if dropped != nil {
		c.refuse(now, dropped)
	}
	if c.closed {
		c.failWaiting(ErrClosed)
	}
	a := c.dispatch(now)
	a.changed = a.changed || c.wanted() > c.limit
	return entry, a
}

// cancel withdraws a waiting caller. It reports false when the caller has its
// result already.
func (c *coordinator[C]) cancel(entry *fairqueue.Entry[*waiter[C]]) bool {
	return c.queue.Remove(entry)
}

// refuse tells a waiter that the queue has no place for it.
func (c *coordinator[C]) refuse(now time.Duration, entry *fairqueue.Entry[*waiter[C]]) {
	entry.Item.ready <- result[C]{err: &Busy{Target: c.target, Waited: now - entry.QueuedAt}}
}

// dialed takes the outcome of a dial.
func (c *coordinator[C]) dialed(now time.Duration, conn C, err error) actions[C] {
	c.dialing--
	if err == nil {
		c.dialErr = nil
		c.idle = append(c.idle, conn)
		return c.dispatch(now)
	}
	c.dialErr = err
	c.dialAgain = now + dialBackoff
	if c.open() == 0 {
		c.failWaiting(&DialError{Target: c.target, Err: err})
	}
	a := c.dispatch(now)
	a.changed = true
	return a
}

// released takes a lease back.
func (c *coordinator[C]) released(now time.Duration, lease *Lease[C], reuse bool) actions[C] {
	c.queue.Finish(lease.entry, now-lease.granted)
	if _, held := c.leases[lease]; !held {
		return c.dispatch(now)
	}
	delete(c.leases, lease)
	if reuse && !c.closed {
		c.idle = append(c.idle, lease.conn)
		return c.dispatch(now)
	}
	c.closing++
	a := c.dispatch(now)
	a.closes = append(a.closes, lease.conn)
	return a
}

// connClosed takes the end of a connection that the driver closed.
func (c *coordinator[C]) connClosed(now time.Duration) actions[C] {
	c.closing--
	a := c.dispatch(now)
	a.changed = true
	return a
}

// setLimit changes the number of connections allowed.
func (c *coordinator[C]) setLimit(now time.Duration, limit int) actions[C] {
	c.limit = max(limit, 0)
	return c.dispatch(now)
}

// setMaxInFlight changes the number of leases allowed.
func (c *coordinator[C]) setMaxInFlight(now time.Duration, most int) actions[C] {
	c.maxInFlight = max(most, 1)
	return c.dispatch(now)
}

// revokeExcess takes leases away, the latest first, until at most most
// connections are left that are not being closed.
func (c *coordinator[C]) revokeExcess(now time.Duration, most int) actions[C] {
	a := c.dispatch(now)
	for len(c.leases) > 0 && c.open()-c.closing > most {
		var latest *Lease[C]
		for lease := range c.leases {
			if latest == nil || lease.sequence > latest.sequence {
				latest = lease
			}
		}
		delete(c.leases, latest)
		c.closing++
		a.closes = append(a.closes, latest.conn)
	}
	return a
}

// shut refuses all callers from now on and closes what is idle.
func (c *coordinator[C]) shut(now time.Duration) actions[C] {
	c.closed = true
	c.failWaiting(ErrClosed)
	return c.dispatch(now)
}

// failWaiting answers every waiter with an error.
func (c *coordinator[C]) failWaiting(err error) {
	for {
		entry, ok := c.queue.Pop()
		if !ok {
			return
		}
		entry.Item.ready <- result[C]{err: err}
		c.queue.Finish(entry, 0)
	}
}

// dispatch gives idle connections to waiters, closes those over the limit and
// starts dials for the waiters that remain.
func (c *coordinator[C]) dispatch(now time.Duration) actions[C] {
	var a actions[C]
	c.closeIdle(&a)
	for len(c.idle) > 0 && len(c.leases) < c.maxInFlight {
		entry, ok := c.queue.Pop()
		if !ok {
			break
		}
		c.grant(now, entry)
	}
	c.startDials(now, &a)
	a.changed = a.dials > 0
	return a
}

// grant leases an idle connection to a waiter.
func (c *coordinator[C]) grant(now time.Duration, entry *fairqueue.Entry[*waiter[C]]) {
	entry.Item.ready <- result[C]{lease: c.take(now, entry)}
}

// take leases the idle connection that was used last.
func (c *coordinator[C]) take(now time.Duration, entry *fairqueue.Entry[*waiter[C]]) *Lease[C] {
	last := len(c.idle) - 1
	conn := c.idle[last]
	var none C
	c.idle[last] = none
	c.idle = c.idle[:last]
	c.granted++
	lease := &Lease[C]{conn: conn, entry: entry, sequence: c.granted, granted: now, waited: now - entry.QueuedAt}
	c.leases[lease] = struct{}{}
	return lease
}

// closeIdle closes the idle connections that were unused longest, as many as
// exceed the limit or all after the pool was closed.
func (c *coordinator[C]) closeIdle(a *actions[C]) {
	for len(c.idle) > 0 && (c.closed || c.open()-c.closing > c.limit) {
		a.closes = append(a.closes, c.idle[0])
		c.idle = c.idle[1:]
		c.closing++
	}
}

// startDials counts the dials that waiters need and the limit allows.
func (c *coordinator[C]) startDials(now time.Duration, a *actions[C]) {
	if c.closed || c.queue.Len() == 0 {
		return
	}
	if c.dialErr != nil && now < c.dialAgain {
		if c.open() == 0 {
			c.failWaiting(&DialError{Target: c.target, Err: c.dialErr})
		}
		return
	}
	useful := min(c.queue.Len(), c.maxInFlight-len(c.leases))
	for c.dialing < useful && c.open() < c.limit {
		c.dialing++
		a.dials++
	}
}
