// Package pool holds the connections of one instance to one target. It leases
// them to callers, fairly among customers, dials up to a limit that can change
// at any time and keeps released connections. It knows neither the protocol
// spoken on a connection nor where the limit comes from.
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

// dialBackoff is the pause between a failed dial and the next one.
const dialBackoff = 50 * time.Millisecond

// Events of the pool.
var (
	eventLeased  = event.Define(3500, event.Decision, "connection leased")
	eventBusy    = event.Define(3501, event.Decision, "connection refused: busy")
	eventDialed  = event.Define(3502, event.Info, "connection opened")
	eventDialErr = event.Define(3503, event.Warning, "connection could not be opened")
	eventLimit   = event.Define(3504, event.Decision, "connection limit changed")
	eventRevoked = event.Define(3505, event.Warning, "connections over the limit closed while in use")
)

// Conn is a connection to a target. Close may be called while the connection is
// in use and makes that use fail.
type Conn interface {
	Close() error
}

// Dial opens a connection.
type Dial[C Conn] func(ctx context.Context) (C, error)

// Config describes a pool.
type Config struct {
	Target topology.TargetID
	// Limit is the most connections open at once, dialing and closing ones
	// included.
	Limit int
	// MaxInFlight is the most leases at once. Kept near the target's slots it
	// makes callers wait here, where they are ordered, and not in the target.
	MaxInFlight int
	// DialTimeout bounds one dial.
	DialTimeout time.Duration
	// Queue bounds the callers that wait.
	Queue fairqueue.Config
	// Changed, when set, is called after the number of open connections or the
	// unmet demand changed. It reads the new state from Stats and may call
	// SetLimit.
	Changed func()
}

// Stats is the state of a pool at one moment.
type Stats struct {
	Limit int
	// Open counts every connection that the target may see.
	Open   int
	Leased int
	Idle   int
	// Waiting counts callers without a connection.
	Waiting int
	// Wanted is the number of connections that would serve all callers at once,
	// at most MaxInFlight.
	Wanted int
}

// Pool leases connections to one target. It is safe for concurrent use.
type Pool[C Conn] struct {
	cfg    Config
	dial   Dial[C]
	clock  clock.Clock
	logger logr.Logger
	// dials ends pending dials when the pool closes.
	dials context.Context
	stop  context.CancelFunc

	mu struct {
		sync.Mutex
		state *coordinator[C]
	}
}

// New returns a pool without connections.
func New[C Conn](cfg Config, dial Dial[C], now clock.Clock, logger logr.Logger) *Pool[C] {
	p := &Pool[C]{cfg: cfg, dial: dial, clock: now, logger: logger.WithValues("target", cfg.Target)}
	p.dials, p.stop = context.WithCancel(context.Background())
	p.mu.state = newCoordinator[C](cfg)
	return p
}

// Lease is the right to use one connection until Release.
type Lease[C Conn] struct {
	pool     *Pool[C]
	conn     C
	entry    *fairqueue.Entry[*waiter[C]]
	sequence uint64
	granted  time.Duration
	waited   time.Duration
	release  sync.Once
}

// Conn returns the leased connection.
func (l *Lease[C]) Conn() C { return l.conn }

// Waited returns how long the caller waited for the lease.
func (l *Lease[C]) Waited() time.Duration { return l.waited }

// Release gives the connection back. With reuse false the connection is closed:
// its state is not known to be clean. Only the first call counts.
func (l *Lease[C]) Release(reuse bool) {
	l.release.Do(func() {
		l.pool.update(func(now time.Duration, s *coordinator[C]) actions[C] {
			return s.released(now, l, reuse)
		})
	})
}

// Acquire waits for a connection, at most for the queue's MaxWait. It returns
// *Busy, *DialError, ErrClosed or the context's error; in each case nothing was
// sent to the target.
func (p *Pool[C]) Acquire(ctx context.Context, customer topology.CustomerID) (*Lease[C], error) {
	if err := ctx.Err(); err != nil {
		return nil, eris.Wrapf(err, "acquire connection to %s", p.cfg.Target)
	}
	if lease := p.leaseIdle(customer); lease != nil {
		return p.finish(customer, result[C]{lease: lease})
	}
	var entry *fairqueue.Entry[*waiter[C]]
	p.update(func(now time.Duration, s *coordinator[C]) (a actions[C]) {
		entry, a = s.acquire(now, customer)
		return a
	})
	select {
	case r := <-entry.Item.ready:
		return p.finish(customer, r)
	default:
	}
	timeout := time.NewTimer(p.cfg.Queue.MaxWait)
	defer timeout.Stop()
	select {
	case r := <-entry.Item.ready:
		return p.finish(customer, r)
	case <-timeout.C:
		return p.abandon(customer, entry, &Busy{Target: p.cfg.Target, Waited: p.clock() - entry.QueuedAt})
	case <-ctx.Done():
		return p.abandon(customer, entry, eris.Wrapf(ctx.Err(), "acquire connection to %s", p.cfg.Target))
	}
}

// leaseIdle leases an idle connection when nobody waits, else returns nil.
func (p *Pool[C]) leaseIdle(customer topology.CustomerID) *Lease[C] {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mu.state.lease(p.clock(), customer)
}

// abandon withdraws a waiting caller, unless its result came at the same time.
func (p *Pool[C]) abandon(customer topology.CustomerID, entry *fairqueue.Entry[*waiter[C]], err error) (*Lease[C], error) {
	p.mu.Lock()
	withdrawn := p.mu.state.cancel(entry)
	p.mu.Unlock()
	if withdrawn {
		return p.finish(customer, result[C]{err: err})
	}
	return p.finish(customer, <-entry.Item.ready)
}

// finish logs a caller's result.
func (p *Pool[C]) finish(customer topology.CustomerID, r result[C]) (*Lease[C], error) {
	if r.err != nil {
		eventBusy.Log(p.logger, "customer", customer, "reason", r.err.Error())
		return nil, r.err
	}
	r.lease.pool = p
	eventLeased.Log(p.logger, "customer", customer, "waited", r.lease.waited)
	return r.lease, nil
}

// SetLimit changes the most connections open at once. Idle connections over the
// limit are closed now, leased ones when they are released.
func (p *Pool[C]) SetLimit(limit int) {
	eventLimit.Log(p.logger, "limit", limit)
	p.update(func(now time.Duration, s *coordinator[C]) actions[C] { return s.setLimit(now, limit) })
}

// SetMaxInFlight changes the most leases at once. Leases over it run on.
func (p *Pool[C]) SetMaxInFlight(most int) {
	p.update(func(now time.Duration, s *coordinator[C]) actions[C] { return s.setMaxInFlight(now, most) })
}

// RevokeExcess closes leased connections until at most most are open, the latest
// leases first. Their use fails. Idle connections go before by SetLimit.
func (p *Pool[C]) RevokeExcess(most int) {
	p.update(func(now time.Duration, s *coordinator[C]) actions[C] {
		a := s.revokeExcess(now, most)
		if len(a.closes) > 0 {
			eventRevoked.Log(p.logger, "count", len(a.closes))
		}
		return a
	})
}

// Close refuses callers from now on, closes idle connections and makes releases
// close the leased ones.
func (p *Pool[C]) Close() {
	p.stop()
	p.update(func(now time.Duration, s *coordinator[C]) actions[C] { return s.shut(now) })
}

// Stats returns the present state.
func (p *Pool[C]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.mu.state
	return Stats{
		Limit:   s.limit,
		Open:    s.open(),
		Leased:  len(s.leases),
		Idle:    len(s.idle),
		Waiting: s.queue.Len(),
		Wanted:  s.wanted(),
	}
}

// update applies one event and carries out the actions that follow from it.
func (p *Pool[C]) update(apply func(now time.Duration, s *coordinator[C]) actions[C]) {
	p.mu.Lock()
	a := apply(p.clock(), p.mu.state)
	p.mu.Unlock()
	for range a.dials {
		go p.open()
	}
	for _, conn := range a.closes {
		go p.shut(conn)
	}
	if a.changed && p.cfg.Changed != nil {
		p.cfg.Changed()
	}
}

// open dials one connection.
func (p *Pool[C]) open() {
	ctx, cancel := context.WithTimeout(p.dials, p.cfg.DialTimeout)
	defer cancel()
	conn, err := p.dial(ctx)
	if err != nil {
		err = eris.Wrapf(err, "dial %s", p.cfg.Target)
		eventDialErr.LogError(p.logger, err)
		time.AfterFunc(dialBackoff, p.redial)
	} else {
		eventDialed.Log(p.logger)
	}
	p.update(func(now time.Duration, s *coordinator[C]) actions[C] { return s.dialed(now, conn, err) })
}

// redial starts the dials that waited for the pause after a failed one.
func (p *Pool[C]) redial() {
	p.update(func(now time.Duration, s *coordinator[C]) actions[C] { return s.dispatch(now) })
}

// shut closes one connection and counts it out once that is done.
func (p *Pool[C]) shut(conn C) {
	// The connection is given up either way; an error changes nothing.
	_ = conn.Close()
	p.update(func(now time.Duration, s *coordinator[C]) actions[C] { return s.connClosed(now) })
}
