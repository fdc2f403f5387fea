package perform

import (
	"fmt"
	"math"
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

// Reachability receives what connections show of primaries.
type Reachability interface {
	// Reached reports a connection to a target that worked.
	Reached(service topology.ServiceID, id topology.TargetID)
	// Unreachable reports a target that cannot be connected to.
	Unreachable(service topology.ServiceID, id topology.TargetID)
	// Suspected reports that the target could not be reached lately.
	Suspected(service topology.ServiceID, id topology.TargetID) bool
}

// Observer receives the outcome of each statement, for metrics.
type Observer interface {
	Answered(o Outcome)
}

// Dependencies of an Engine.
type Dependencies struct {
	FailureDomain topology.FailureDomain
	// RateWindow is the span over which customers' limits count.
	RateWindow time.Duration
	Clock      clock.Clock
	Tenure     Tenure
	// Borrow asks other instances to admit an operation of a customer on their parts of
	// its limit; nil when there are none.
	Borrow func(customer topology.CustomerID) bool
	// Confirm confirms the configuration with the store, or gives up soon.
	Confirm      func()
	Dialer       target.Dialer
	Reachability Reachability
	Observer     Observer
	Log          logr.Logger
}

// Engine runs statements. It is safe for concurrent use.
type Engine struct {
	Dependencies
	catalog  atomic.Pointer[catalog.Catalog]
	mu       sync.RWMutex
	services map[topology.ServiceID]*service
	rates    rates
}

// NewEngine returns an engine without a catalog.
func NewEngine(d Dependencies) *Engine {
	return &Engine{
		Dependencies: d,
		services:     make(map[topology.ServiceID]*service),
		rates:        rates{window: d.RateWindow, buckets: make(map[topology.CustomerID]*share.Bucket), fractions: make(map[topology.CustomerID]float64)},
	}
}

// Catalog returns the configuration in force, nil before the first.
func (e *Engine) Catalog() *catalog.Catalog { return e.catalog.Load() }

// SetCatalog puts a configuration in force. It reports false for one that is not
// newer.
func (e *Engine) SetCatalog(c *catalog.Catalog) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.catalog.Load(); old != nil && c.Version <= old.Version {
		return false
	}
	e.catalog.Store(c)
	for id := range c.Services {
		if _, known := e.services[id]; !known {
			e.services[id] = &service{id: id, tenure: e.Tenure, connections: 1,
				dispatch: dispatch.New(dispatch.Config{Service: id, FailureDomain: e.FailureDomain})}
		}
	}
	e.rates.setCustomers(e.Clock(), c.Customers)
	return true
}

// service returns the state of a service, nil when unknown.
func (e *Engine) service(id topology.ServiceID) *service {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.services[id]
}

// Services returns the ids of the services.
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

// SetRecord takes the record of a service's primary.
func (e *Engine) SetRecord(id topology.ServiceID, record failover.Record, revision store.Revision) {
	if s := e.service(id); s != nil {
		s.setRecord(e.Clock(), record, revision)
	}
}

// Yielded reports whether nothing runs any more on a fenced primary. Force ends
// its use: answers that come later are not acknowledged.
func (e *Engine) Yielded(id topology.ServiceID, force bool) bool {
	s := e.service(id)
	return s == nil || s.yielded(force)
}

// SetUses names the services whose primaries this instance may use.
func (e *Engine) SetUses(services []topology.ServiceID) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for id, s := range e.services {
		s.mu.Lock()
		s.declared = slices.Contains(services, id)
		s.mu.Unlock()
	}
}

// SetShares sets this instance's parts of the fleet's limits.
func (e *Engine) SetShares(connections map[topology.ServiceID]int, fractions map[topology.CustomerID]float64) {
	now := e.Clock()
	for id, count := range connections {
		if s := e.service(id); s != nil {
			s.mu.Lock()
			s.connections = count
			s.holdShare(now)
			evicted := s.dispatch.TakeEvicted()
			s.mu.Unlock()
			closeLinks(evicted)
		}
	}
	e.rates.setFractions(now, fractions)
}

// Tick brings everything up to now; the driver calls it every few tens of
// milliseconds.
func (e *Engine) Tick() {
	now := e.Clock()
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, s := range e.services {
		s.tick(now)
	}
}

// Lend admits one operation of a customer that another instance runs on this
// instance's part of the limit.
func (e *Engine) Lend(id topology.CustomerID) bool { return e.rates.lend(e.Clock(), id) }

// Needs returns what this instance needs of the customers' rates and whether its
// present parts press.
func (e *Engine) Needs() (share.Needs, bool) { return e.rates.needs(e.Clock()) }

// rates holds the buckets of all customers.
type rates struct {
	window    time.Duration
	mu        sync.Mutex
	customers map[topology.CustomerID]catalog.Customer
	buckets   map[topology.CustomerID]*share.Bucket
	fractions map[topology.CustomerID]float64
}

func (r *rates) setCustomers(now time.Duration, customers map[topology.CustomerID]catalog.Customer) {
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

func (r *rates) setFractions(now time.Duration, fractions map[topology.CustomerID]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fractions = fractions
	r.resize(now)
}

func (r *rates) resize(now time.Duration) {
	for id, customer := range r.customers {
		fraction := r.fractions[id]
		bucket, known := r.buckets[id]
		switch {
		case known:
			bucket.Resize(now, r.limit(customer), fraction)
		case fraction > 0:
			r.buckets[id] = share.NewBucket(now, r.limit(customer), fraction)
		}
	}
}

func (r *rates) limit(c catalog.Customer) share.Limit {
	return share.Limit{Rate: c.Rate, Burst: c.Burst, Window: r.window}
}

// take admits one operation of a customer.
func (r *rates) take(now, patience time.Duration, id topology.CustomerID) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if customer, known := r.customers[id]; known && customer.Rate <= 0 {
		return 0, true
	}
	bucket, known := r.buckets[id]
	if !known {
		return 0, false
	}
	return bucket.Take(now, patience)
}

// lend admits one operation of a customer for another instance.
func (r *rates) lend(now time.Duration, id topology.CustomerID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	bucket, known := r.buckets[id]
	return known && bucket.Lend(now)
}

// describe tells this instance's part of a customer's rate and the demand for it.
func (r *rates) describe(now time.Duration, id topology.CustomerID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	demand := 0.0
	if bucket, known := r.buckets[id]; known {
		demand = bucket.Demand(now)
	}
	return fmt.Sprintf("%.2f of %.1f/s, demand %.1f/s", r.fractions[id], r.customers[id].Rate, demand)
}

// pressedShare is the share of a rate above which a customer's demand presses.
const pressedShare = 0.6

func (r *rates) needs(now time.Duration) (share.Needs, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	needs := make(share.Needs, len(r.buckets))
	pressed := false
	for id, bucket := range r.buckets {
		demand := bucket.Demand(now)
		if need := math.Round(demand*10) / 10; need > 0 {
			needs[id] = need
		}
		pressed = pressed || bucket.Pressed(now, pressedShare)
	}
	return needs, pressed
}
