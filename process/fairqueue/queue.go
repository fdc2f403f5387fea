// Package fairqueue orders waiting work fairly among customers by start-time
// fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996). Each customer carries a
// tag of virtual time that grows by the cost of its work; the customer with the
// lowest tag goes next, so one that asks for little is served before one that
// has a backlog. The queue is bounded in length and in waiting time.
//
// The package decides the order only. It holds no lock, timer or goroutine and
// does not run the work.
package fairqueue

import (
	"container/heap"
	"container/list"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Config bounds a queue.
type Config struct {
	// MaxLength is the most entries that wait, over all customers.
	MaxLength int
	// MaxPerCustomer is the most entries of one customer that wait.
	MaxPerCustomer int
	// MaxWait is the longest time that an entry waits.
	MaxWait time.Duration
	// ExpectedCost is the cost charged for a customer's first entry until its
	// real cost is known.
	ExpectedCost time.Duration
	// MaxCost caps the cost charged for one entry.
	MaxCost time.Duration
}

// DefaultConfig suits work of a few milliseconds.
func DefaultConfig() Config {
	return Config{
		MaxLength:      1024,
		MaxPerCustomer: 256,
		MaxWait:        2 * time.Second,
		ExpectedCost:   5 * time.Millisecond,
		MaxCost:        time.Second,
	}
}

// Entry is one piece of work, waiting or popped.
type Entry[T any] struct {
	Customer topology.CustomerID
	Item     T
	// Queued is the monotonic time at which the entry was pushed.
	Queued time.Duration

	flow    *flow[T]
	charged time.Duration
	inFlow  *list.Element
	inOrder *list.Element
}

// flow is the state of one customer.
type flow[T any] struct {
	customer topology.CustomerID
	waiting  list.List
	running  int
	// tag is the virtual time at which the customer's next entry starts.
	tag time.Duration
	// meanCost is the moving average of the customer's costs.
	meanCost  time.Duration
	sequence  uint64
	heapIndex int
}

func (f *flow[T]) idle() bool { return f.waiting.Len() == 0 && f.running == 0 }

// Queue is a fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	cfg   Config
	flows map[topology.CustomerID]*flow[T]
	// ready holds the customers with waiting entries, lowest tag first.
	ready flowHeap[T]
	// order holds all waiting entries, oldest first.
	order list.List
	// virtual is the tag of the entry that started last.
	virtual  time.Duration
	running  int
	sequence uint64
	sweepAt  int
}

// sweepFloor is the number of customers below which idle ones are not searched.
const sweepFloor = 64

// New returns an empty queue.
func New[T any](cfg Config) *Queue[T] {
	return &Queue[T]{cfg: cfg, flows: make(map[topology.CustomerID]*flow[T]), sweepAt: sweepFloor}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.order.Len() }

// Push adds an entry. When the queue is full it drops the newest entry of the
// customer with the longest backlog, which may be the new entry itself. Dropped
// is nil when nothing had to go.
func (q *Queue[T]) Push(now time.Duration, customer topology.CustomerID, item T) (entry, dropped *Entry[T]) {
	entry = &Entry[T]{Customer: customer, Item: item, Queued: now}
	f := q.flow(customer)
	if f.waiting.Len() >= q.cfg.MaxPerCustomer {
		return entry, entry
	}
	if q.order.Len() >= q.cfg.MaxLength {
		longest := q.longest()
		if longest == nil || longest.waiting.Len() <= f.waiting.Len()+1 {
			return entry, entry
		}
		dropped = longest.waiting.Back().Value.(*Entry[T])
		q.Remove(dropped)
	}
	entry.flow = f
	entry.inOrder = q.order.PushBack(entry)
	entry.inFlow = f.waiting.PushBack(entry)
	if f.waiting.Len() == 1 {
		f.tag = max(f.tag, q.virtual)
		q.sequence++
		f.sequence = q.sequence
		heap.Push(&q.ready, f)
	}
	return entry, dropped
}

// Start begins an entry that need not wait, as Push and Pop would while nothing
// waits. The caller makes sure that nothing does and reports the end by Finish.
func (q *Queue[T]) Start(now time.Duration, customer topology.CustomerID, item T) *Entry[T] {
	f := q.flow(customer)
	f.tag = max(f.tag, q.virtual)
	entry := &Entry[T]{Customer: customer, Item: item, Queued: now, flow: f}
	q.charge(entry)
	return entry
}

// charge counts an entry as running and charges its customer.
func (q *Queue[T]) charge(entry *Entry[T]) {
	f := entry.flow
	q.virtual = max(q.virtual, f.tag)
	entry.charged = f.meanCost
	f.tag += entry.charged
	f.running++
	q.running++
}

// Pop takes the entry that goes next. The caller reports its end by Finish.
func (q *Queue[T]) Pop() (*Entry[T], bool) {
	if len(q.ready) == 0 {
		return nil, false
	}
	f := q.ready[0]
	entry := f.waiting.Front().Value.(*Entry[T])
	q.charge(entry)
	q.unlink(entry)
	return entry, true
}

// Finish ends a popped entry and corrects its customer's charge by the real
// cost.
func (q *Queue[T]) Finish(entry *Entry[T], cost time.Duration) {
	f := entry.flow
	cost = min(max(cost, 0), q.cfg.MaxCost)
	f.tag += cost - entry.charged
	f.meanCost += (cost - f.meanCost) / 4
	f.running--
	q.running--
	if f.waiting.Len() > 0 {
		heap.Fix(&q.ready, f.heapIndex)
	}
	q.reset()
}

// Remove withdraws a waiting entry. It reports false when the entry does not
// wait any more.
func (q *Queue[T]) Remove(entry *Entry[T]) bool {
	if entry.inOrder == nil {
		return false
	}
	q.unlink(entry)
	q.reset()
	return true
}

// Expire removes and returns the entries that have waited MaxWait at now,
// oldest first.
func (q *Queue[T]) Expire(now time.Duration) []*Entry[T] {
	var expired []*Entry[T]
	for q.order.Len() > 0 {
		entry := q.order.Front().Value.(*Entry[T])
		if now-entry.Queued < q.cfg.MaxWait {
			break
		}
		q.unlink(entry)
		expired = append(expired, entry)
	}
	q.reset()
	return expired
}

// NextExpiry returns the time at which the oldest entry expires.
func (q *Queue[T]) NextExpiry() (time.Duration, bool) {
	if q.order.Len() == 0 {
		return 0, false
	}
	return q.order.Front().Value.(*Entry[T]).Queued + q.cfg.MaxWait, true
}

// unlink takes a waiting entry out of its lists.
func (q *Queue[T]) unlink(entry *Entry[T]) {
	f := entry.flow
	q.order.Remove(entry.inOrder)
	f.waiting.Remove(entry.inFlow)
	entry.inOrder, entry.inFlow = nil, nil
	if f.waiting.Len() == 0 {
		heap.Remove(&q.ready, f.heapIndex)
		return
	}
	heap.Fix(&q.ready, f.heapIndex)
}

// reset forgets all past charges once nothing waits or runs.
func (q *Queue[T]) reset() {
	if q.running > 0 || q.order.Len() > 0 {
		return
	}
	q.virtual = 0
	for _, f := range q.flows {
		f.tag = 0
	}
}

// flow returns the state of a customer, created when missing.
func (q *Queue[T]) flow(customer topology.CustomerID) *flow[T] {
	if f, known := q.flows[customer]; known {
		return f
	}
	if len(q.flows) >= q.sweepAt {
		q.sweep()
	}
	f := &flow[T]{customer: customer, meanCost: q.cfg.ExpectedCost, heapIndex: -1}
	q.flows[customer] = f
	return f
}

// sweep forgets idle customers that owe nothing.
func (q *Queue[T]) sweep() {
	for customer, f := range q.flows {
		if f.idle() && f.tag <= q.virtual {
			delete(q.flows, customer)
		}
	}
	q.sweepAt = max(sweepFloor, 2*len(q.flows))
}

// longest returns the customer with the most waiting entries.
func (q *Queue[T]) longest() *flow[T] {
	var longest *flow[T]
	for _, f := range q.ready {
		if longest == nil || f.waiting.Len() > longest.waiting.Len() {
			longest = f
		}
	}
	return longest
}
