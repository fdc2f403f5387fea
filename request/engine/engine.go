package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"samphirehitch.example/samphirehitch/process/clock"
	"samphirehitch.example/samphirehitch/process/directory"
	"samphirehitch.example/samphirehitch/process/dispatch"
	"samphirehitch.example/samphirehitch/process/failover"
	"samphirehitch.example/samphirehitch/process/share"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/target"
	"samphirehitch.example/samphirehitch/process/topology"
	"samphirehitch.example/samphirehitch/version/catalog"
)

// Reachability collects evidence from connections on whether targets can be
// reached.
type Reachability interface {
	// ReportReachable records that a connection to a target was opened.
	ReportReachable(service topology.ServiceID, id topology.TargetID)
	// ReportUnreachable records that a target could not be connected to or stopped
	// responding.
	ReportUnreachable(service topology.ServiceID, id topology.TargetID)
	// IsSuspected reports whether the target could not be reached recently.
	IsSuspected(service topology.ServiceID, id topology.TargetID) bool
}

// Observer receives the outcome of each completed statement, for metrics.
type Observer interface {
	StatementCompleted(o Outcome)
}

// Dependencies holds an Engine's configuration and the components that it uses.
type Dependencies struct {
	FailureDomain topology.FailureDomain
	// MaxDrainDelay is the time after which a draining target must not receive statements;
	// zero is no limit.
	MaxDrainDelay time.Duration
	// RateWindow is the duration over which customers' rate limits apply.
	RateWindow time.Duration
	Clock      clock.Clock
	Authority  Authority
	// BorrowToken requests a token for one operation from other instances' shares of a
	// customer's rate limit, and reports whether one was granted. It is nil when there
	// are no other instances.
	BorrowToken func(customer topology.CustomerID) bool
	// ConfirmConfiguration confirms with the store that the configuration is the
	// latest. It returns after a short timeout when the store does not respond.
	ConfirmConfiguration func()
	Dialer               target.Dialer
	Reachability         Reachability
	Observer             Observer
	// Draw returns a random number in [0, 1). It is rand.Float64 if nil.
	Draw func() float64
	Log  logr.Logger
}

// Engine runs callers' statements on the targets of services. It is safe for
// concurrent use. Its lock is acquired before those of services and of the rate
// limiter, and never while one of them is held.
type Engine struct {
	Dependencies
	// catalog is stored under mu and loaded without it.
	catalog atomic.Pointer[catalog.Catalog]
	mu      sync.RWMutex
	// services is guarded by mu. Services are added and never removed.
	services map[topology.ServiceID]*service
	limiter  rateLimiter
}

// NewEngine returns an engine without a catalog; it refuses every operation until
// SetCatalog is called.
func NewEngine(d Dependencies) *Engine {
	if d.Draw == nil {
		d.Draw = rand.Float64
	}
	return &Engine{
		Dependencies: d,
		services:     make(map[topology.ServiceID]*service),
		limiter:      rateLimiter{window: d.RateWindow, draw: d.Draw, buckets: make(map[topology.CustomerID]*share.Bucket), shares: make(map[topology.CustomerID]RateShare)},
	}
}

// Catalog returns the configuration in force, or nil before the first.
func (e *Engine) Catalog() *catalog.Catalog { return e.catalog.Load() }

// SetCatalog puts a configuration in force. It returns false, and changes nothing,
// when the configuration is not newer than the current one.
func (e *Engine) SetCatalog(c *catalog.Catalog) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if current := e.catalog.Load(); current != nil && c.Version <= current.Version {
		return false
	}
	e.catalog.Store(c)
	for id := range c.Services {
		if _, known := e.services[id]; !known {
			e.services[id] = &service{id: id, authority: e.Authority, connections: 1,
				dispatch: dispatch.New(dispatch.Config{Service: id, FailureDomain: e.FailureDomain, MaxDrainDelay: e.MaxDrainDelay})}
		}
	}
	e.limiter.setCustomers(e.Clock(), c.Customers)
	return true
}

// service returns the state of a service, or nil when the service is unknown.
func (e *Engine) service(id topology.ServiceID) *service {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[id]
}

// Services returns the IDs of the known services, in no particular order.
func (e *Engine) Services() []topology.ServiceID {
	e.mu.RLock()
	defer e.mu.RUnlock()
	ids := make([]topology.ServiceID, 0, len(e.services))
	for id := range e.services {
		ids = append(ids, id)
	}
	return ids
}

// SetTargets replaces the targets of a service.
func (e *Engine) SetTargets(id topology.ServiceID, targets map[topology.TargetID]directory.Target) {
	if s := e.service(id); s != nil {
		s.setTargets(e.Clock(), targets)
	}
}

// SetRecord applies the record of a service's primary, as stored at a revision.
// Records of older revisions are ignored.
func (e *Engine) SetRecord(id topology.ServiceID, record failover.Record, revision store.Revision) {
	if s := e.service(id); s != nil {
		s.setRecord(e.Clock(), record, revision)
	}
}

// ReleasePrimary stops the use of a fenced primary once no lease on it is left, and
// reports whether it has stopped. With force it stops immediately: responses
// that arrive later are not acknowledged to callers.
func (e *Engine) ReleasePrimary(id topology.ServiceID, force bool) bool {
	s := e.service(id)
	return s == nil || s.releasePrimary(force)
}

// SetDeclaredServices sets the services whose primaries this instance has declared to
// use. Other primaries are not used.
func (e *Engine) SetDeclaredServices(services []topology.ServiceID) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for id, s := range e.services {
		s.mu.Lock()
		s.declaredUse = slices.Contains(services, id)
		s.mu.Unlock()
	}
}

// SetShares sets this instance's shares of the fleet's limits: connections for each
// target of a service, and the shares of each customer's rate.
func (e *Engine) SetShares(connections map[topology.ServiceID]int, rates map[topology.CustomerID]RateShare) {
	now := e.Clock()
	for id, count := range connections {
		if s := e.service(id); s != nil {
			s.mu.Lock()
			s.connections = count
			s.applyConnectionShare(now)
			evicted := s.dispatch.TakeEvicted()
			s.mu.Unlock()
			closeEvicted(evicted)
		}
	}
	e.limiter.setShares(now, rates)
}

// RateShare is an instance's share of a customer's rate limit.
type RateShare struct {
	Fraction float64
	// Deduction is the number of operations by which the share is reduced because other
	// instances have admitted more than theirs.
	Deduction float64
}

// Tick processes what depends on time: expired authority, queued requests and idle
// connections. The driver calls it every few tens of milliseconds.
func (e *Engine) Tick() {
	now := e.Clock()
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, s := range e.services {
		if use, changed := s.tick(now); changed {
			eventPrimaryUse.Log(e.Log, "service", use.service, "primary", use.primary, "term", use.term,
				"revision", use.revision.String(), "remaining_ms", use.remaining.Milliseconds())
		}
	}
}

// LendToken gives another instance a token for one operation, from this instance's
// share of a customer's rate limit. It reports whether there was one.
func (e *Engine) LendToken(id topology.CustomerID) bool { return e.limiter.lend(e.Clock(), id) }

// Demand returns the demand for each customer's rate at this instance and its excess over
// its shares, and whether any demand comes close to the instance's current share.
func (e *Engine) Demand() (share.Report, bool) { return e.limiter.demand(e.Clock()) }

// rateLimiter limits customers' operations to this instance's shares of their rates.
type rateLimiter struct {
	window time.Duration
	draw   func() float64

	mu        sync.Mutex // guards the fields below
	customers map[topology.CustomerID]catalog.Customer
	// buckets has an entry for each customer that has had a share.
	buckets map[topology.CustomerID]*share.Bucket
	// shares are this instance's shares of the customers' rates.
	shares map[topology.CustomerID]RateShare
}

func (r *rateLimiter) setCustomers(now time.Duration, customers map[topology.CustomerID]catalog.Customer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.customers = customers
	for id := range r.buckets {
		if _, listed := customers[id]; !listed {
			delete(r.buckets, id)
		}
	}
	r.resize(now)
}

func (r *rateLimiter) setShares(now time.Duration, shares map[topology.CustomerID]RateShare) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shares = shares
	r.resize(now)
}

// resize adapts the buckets to the customers' limits and this instance's shares of
// them. The caller holds the lock.
func (r *rateLimiter) resize(now time.Duration) {
	for id, customer := range r.customers {
		rate := r.shares[id]
		bucket, known := r.buckets[id]
		switch {
		case known:
			bucket.Resize(now, r.limit(customer), rate.Fraction)
			bucket.Deduct(rate.Deduction)
		case rate.Fraction > 0:
			r.buckets[id] = share.NewBucket(now, r.limit(customer), rate.Fraction, r.draw())
		}
	}
}

func (r *rateLimiter) limit(c catalog.Customer) share.Limit {
	return share.Limit{Rate: c.Rate, Burst: c.Burst, Window: r.window}
}

// admit takes a token for one operation of a customer, which may start after wait.
// It returns false when the wait would exceed maxWait or the instance has no share of
// the customer's rate. Customers without a rate are not limited.
func (r *rateLimiter) admit(now, maxWait time.Duration, id topology.CustomerID) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if customer, known := r.customers[id]; known && customer.Rate <= 0 {
		return 0, true
	}
	bucket, known := r.buckets[id]
	if !known {
		return 0, false
	}
	return bucket.Admit(now, maxWait)
}

// lend takes a token for an operation that another instance runs.
func (r *rateLimiter) lend(now time.Duration, id topology.CustomerID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	bucket, known := r.buckets[id]
	return known && bucket.Lend(now)
}

// describeShare formats this instance's share of a customer's rate and the demand
// for it, for logs.
func (r *rateLimiter) describeShare(now time.Duration, id topology.CustomerID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	demand := 0.0
	if bucket, known := r.buckets[id]; known {
		demand = bucket.Demand(now)
	}
	return fmt.Sprintf("%.2f of %.1f/s, demand %.1f/s", r.shares[id].Fraction, r.customers[id].Rate, demand)
}

// highDemandFraction is the fraction of a bucket's rate above which demand counts as
// high.
const highDemandFraction = 0.6

// demand returns the demand of each customer, rounded to 0.1/s, and the excess, and whether
// any demand is high.
func (r *rateLimiter) demand(now time.Duration) (share.Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := share.Report{Demand: make(share.Demands, len(r.buckets)), Excess: make(map[topology.CustomerID]float64)}
	highDemand := false
	for id, bucket := range r.buckets {
		demand := bucket.Demand(now)
		if rounded := math.Round(demand*10) / 10; rounded > 0 {
			report.Demand[id] = rounded
		}
		if excess := math.Floor(bucket.Excess(now)); excess > 0 {
			report.Excess[id] = excess
		}
		highDemand = highDemand || bucket.DemandExceeds(now, highDemandFraction)
	}
	return report, highDemand
}
