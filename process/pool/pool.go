// Package pool manages the connections of one instance to one target. A pool
// leases connections to callers, fairly among customers, keeps released ones
// for reuse and dials new ones up to a limit that can change at any time. It
// knows neither the protocol spoken on a connection nor where the limit comes
// from.
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/event"
	"samphirehitch.example/samphirehitch/process/fairqueue"
	"samphirehitch.example/samphirehitch/process/topology"
)

// dialBackoff is the delay between a failed dial and the next one.
const dialBackoff = 50 * time.Millisecond

// Events of the pool.
var (
	eventLeased    = event.Define(3500, event.Decision, "connection leased")
	eventNotLeased = event.Define(3501, event.Decision, "connection not leased")
	eventDialed    = event.Define(3502, event.Info, "connection opened")
	eventDialErr   = event.Define(3503, event.Warning, "cannot open connection")
	eventLimit     = event.Define(3504, event.Decision, "connection limit changed")
	eventRevoked   = event.Define(3505, event.Warning, "leased connections over the limit closed")
)

// Conn is a connection to a target. Close may be called while the connection is
// in use, and makes that use fail.
type Conn interface {
	Close() error
}

// Dial opens a connection to the target.
type Dial[C Conn] func(ctx context.Context) (C, error)

// Config describes a pool.
type Config struct {
	Target topology.TargetID
	// Limit is the maximum number of open connections. Connections being dialed
	// or closed count too.
	Limit int
	// MaxInFlight is the maximum number of leases. When it is close to the
	// number of requests that the target runs concurrently, callers wait in
	// this pool's fair queue rather than in the target.
	MaxInFlight int
	// DialTimeout bounds each dial.
	DialTimeout time.Duration
	// Queue configures the queue of waiting callers.
	Queue fairqueue.Config
	// OnChange, when set, is called after the number of open connections or the
	// unmet demand has changed. It can read the new state from Stats and may
	// call SetLimit.
	OnChange func()
}

// Stats is a snapshot of a pool's state.
type Stats struct {
	Limit int
	// Open counts the connections that the target may see, those being dialed
	// or closed included.
	Open   int
	Leased int
	Idle   int
	// Waiting counts the callers in the queue.
	Waiting int
	// Demand is the number of connections that would serve all callers at the
	// same time, at most MaxInFlight.
	Demand int
}

// Pool leases connections to one target. It is safe for concurrent use.
type Pool[C Conn] struct {
	cfg    Config
	dial   Dial[C]
	clock  clock.Clock
	logger logr.Logger
	// dialContext is canceled when the pool closes, which aborts pending dials.
	dialContext context.Context
	cancelDials context.CancelFunc

	// mu guards the coordinator. It is not held while connections are dialed or
	// closed, nor during Config.OnChange.
	mu struct {
		sync.Mutex
		coordinator *coordinator[C]
	}
}

// New returns a pool without connections.
func New[C Conn](cfg Config, dial Dial[C], now clock.Clock, logger logr.Logger) *Pool[C] {
	p := &Pool[C]{cfg: cfg, dial: dial, clock: now, logger: logger.WithValues("target", cfg.Target)}
	p.dialContext, p.cancelDials = context.WithCancel(context.Background())
	p.mu.coordinator = newCoordinator[C](cfg)
	return p
}

// Lease is the exclusive use of one connection until Release.
type Lease[C Conn] struct {
	pool  *Pool[C]
	conn  C
	entry *fairqueue.Entry[*waiter[C]]
	// sequence numbers the pool's leases, so that the latest are revoked first.
	sequence    uint64
	grantedAt   time.Duration
	waited      time.Duration
	releaseOnce sync.Once
}

// Conn returns the leased connection.
func (l *Lease[C]) Conn() C { return l.conn }

// Waited returns how long the caller waited for the lease.
func (l *Lease[C]) Waited() time.Duration { return l.waited }

// Release returns the connection to the pool. With reuse false the connection
// is closed, because its state is not known to be clean. Only the first call
// has an effect.
func (l *Lease[C]) Release(reuse bool) {
	l.releaseOnce.Do(func() {
		l.pool.update(func(now time.Duration, c *coordinator[C]) actions[C] {
			return c.handleReleased(now, l, reuse)
		})
	})
}

// Acquire leases a connection. It waits for at most the queue's MaxWait. Its
// errors are *BusyError, *DialError, ErrClosed and the context's error; in each
// case nothing was sent to the target.
func (p *Pool[C]) Acquire(ctx context.Context, customer topology.CustomerID) (*Lease[C], error) {
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrapf(err, "acquire connection to %s", p.cfg.Target)
	}
	if lease := p.leaseIfIdle(customer); lease != nil {
		return p.logResult(customer, result[C]{lease: lease})
	}
	var entry *fairqueue.Entry[*waiter[C]]
	p.update(func(now time.Duration, c *coordinator[C]) (a actions[C]) {
		entry, a = c.enqueue(now, customer)
		return a
	})
	select {
	case r := <-entry.Item.ready:
		return p.logResult(customer, r)
	default:
	}
	timeout := time.NewTimer(p.cfg.Queue.MaxWait)
	defer timeout.Stop()
	select {
	case r := <-entry.Item.ready:
		return p.logResult(customer, r)
	case <-timeout.C:
		return p.withdraw(customer, entry, &BusyError{Target: p.cfg.Target, Waited: p.clock() - entry.QueuedAt})
	case <-ctx.Done():
		return p.withdraw(customer, entry, eris.Wrapf(ctx.Err(), "acquire connection to %s", p.cfg.Target))
	}
}

// leaseIfIdle leases an idle connection if there is one and no caller waits for
// it, else it returns nil.
func (p *Pool[C]) leaseIfIdle(customer topology.CustomerID) *Lease[C] {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mu.coordinator.leaseIfIdle(p.clock(), customer)
}

// withdraw removes a waiting caller from the queue and returns err, unless the
// caller's result arrived in the meantime.
func (p *Pool[C]) withdraw(customer topology.CustomerID, entry *fairqueue.Entry[*waiter[C]], err error) (*Lease[C], error) {
	p.mu.Lock()
	withdrawn := p.mu.coordinator.cancel(entry)
	p.mu.Unlock()
	if withdrawn {
		return p.logResult(customer, result[C]{err: err})
	}
	return p.logResult(customer, <-entry.Item.ready)
}

// logResult logs and returns the result of an Acquire.
func (p *Pool[C]) logResult(customer topology.CustomerID, r result[C]) (*Lease[C], error) {
	if r.err != nil {
		eventNotLeased.Log(p.logger, "customer", customer, "reason", r.err.Error())
		return nil, r.err
	}
	r.lease.pool = p
	eventLeased.Log(p.logger, "customer", customer, "waited", r.lease.waited)
	return r.lease, nil
}

// SetLimit changes the maximum number of open connections. Idle connections
// over the limit are closed now, leased ones when they are released.
func (p *Pool[C]) SetLimit(limit int) {
	eventLimit.Log(p.logger, "limit", limit)
	p.update(func(now time.Duration, c *coordinator[C]) actions[C] { return c.setLimit(now, limit) })
}

// SetMaxInFlight changes the maximum number of leases. Present leases over it
// remain valid.
func (p *Pool[C]) SetMaxInFlight(maxInFlight int) {
	p.update(func(now time.Duration, c *coordinator[C]) actions[C] { return c.setMaxInFlight(now, maxInFlight) })
}

// RevokeExcess closes leased connections, the latest leases first, until at
// most maxOpen connections remain open. Uses of the closed ones fail. Idle
// connections over the limit have been closed before by SetLimit.
func (p *Pool[C]) RevokeExcess(maxOpen int) {
	p.update(func(now time.Duration, c *coordinator[C]) actions[C] {
		a := c.revokeExcess(now, maxOpen)
		if len(a.connsToClose) > 0 {
			eventRevoked.Log(p.logger, "count", len(a.connsToClose))
		}
		return a
	})
}

// Close rejects callers from now on, closes idle connections and makes releases
// close the leased ones.
func (p *Pool[C]) Close() {
	p.cancelDials()
	p.update(func(now time.Duration, c *coordinator[C]) actions[C] { return c.shutDown(now) })
}

// Stats returns the current state.
func (p *Pool[C]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.mu.coordinator
	return Stats{
		Limit:   c.limit,
		Open:    c.openCount(),
		Leased:  len(c.leases),
		Idle:    len(c.idle),
		Waiting: c.queue.Len(),
		Demand:  c.demand(),
	}
}

// update applies an event to the coordinator and carries out the resulting
// actions.
func (p *Pool[C]) update(apply func(now time.Duration, c *coordinator[C]) actions[C]) {
	p.mu.Lock()
	a := apply(p.clock(), p.mu.coordinator)
	p.mu.Unlock()
	for range a.dials {
		go p.dialConn()
	}
	for _, conn := range a.connsToClose {
		go p.closeConn(conn)
	}
	if a.changed && p.cfg.OnChange != nil {
		p.cfg.OnChange()
	}
}

// dialConn dials one connection. After a failure it schedules the next attempt.
func (p *Pool[C]) dialConn() {
	ctx, cancel := context.WithTimeout(p.dialContext, p.cfg.DialTimeout)
	defer cancel()
	conn, err := p.dial(ctx)
	if err != nil {
		err = eris.Wrapf(err, "dial %s", p.cfg.Target)
		eventDialErr.LogError(p.logger, err)
		time.AfterFunc(dialBackoff, p.redial)
	} else {
		eventDialed.Log(p.logger)
	}
	p.update(func(now time.Duration, c *coordinator[C]) actions[C] { return c.handleDialed(now, conn, err) })
}

// redial starts the dials that were held back by the backoff after a failed
// one.
func (p *Pool[C]) redial() {
	p.update(func(now time.Duration, c *coordinator[C]) actions[C] { return c.dispatch(now) })
}

// closeConn closes one connection and then stops counting it as open.
func (p *Pool[C]) closeConn(conn C) {
	// The connection is given up either way; an error changes nothing.
	_ = conn.Close()
	p.update(func(now time.Duration, c *coordinator[C]) actions[C] { return c.handleClosed(now) })
}
