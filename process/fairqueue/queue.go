// Package fairqueue orders waiting work fairly among customers by start-time
// fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996). Each customer has a start
// tag in virtual time that grows by the cost of its work. The customer with the
// lowest tag goes next, so one with little demand is served before one with a
// backlog. The queue is bounded in length and in waiting time.
//
// The package only decides the order: it has no lock, timer or goroutine and
// does not run the work.
package fairqueue

import (
	"container/heap"
	"container/list"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Config sets the bounds and costs of a queue.
type Config struct {
	// MaxLength is the maximum number of waiting entries of all customers.
	MaxLength int
	// MaxPerCustomer is the maximum number of waiting entries of one customer.
	MaxPerCustomer int
	// MaxWait is the time after which an entry expires.
	MaxWait time.Duration
	// ExpectedCost is the initial estimate of the cost of a customer's entries,
	// used until costs have been measured.
	ExpectedCost time.Duration
	// MaxCost caps the cost charged for one entry.
	MaxCost time.Duration
}

// DefaultConfig returns a configuration for work that takes a few milliseconds.
func DefaultConfig() Config {
	return Config{
		MaxLength:      1024,
		MaxPerCustomer: 256,
		MaxWait:        2 * time.Second,
		ExpectedCost:   5 * time.Millisecond,
		MaxCost:        time.Second,
	}
}

// Entry is one piece of work, waiting or running.
type Entry[T any] struct {
	Customer topology.CustomerID
	Item     T
	// QueuedAt is the monotonic time at which the entry was pushed.
	QueuedAt time.Duration

	flow *flow[T]
	// chargedCost is the estimated cost that was added to the flow's start tag.
	chargedCost time.Duration
	// flowElement and queueElement are the entry's positions in flow.waiting and
	// Queue.waiting. They are nil unless the entry waits.
	flowElement  *list.Element
	queueElement *list.Element
}

// flow is the state of one customer.
type flow[T any] struct {
	customer topology.CustomerID
	waiting  list.List
	running  int
	// startTag is the virtual time at which the customer's next entry starts.
	startTag time.Duration
	// meanCost is the moving average of the measured costs.
	meanCost time.Duration
	// readySequence orders flows with equal tags by when they became ready.
	readySequence uint64
	// heapIndex is the flow's index in Queue.ready, -1 when it is not there.
	heapIndex int
}

func (f *flow[T]) idle() bool { return f.waiting.Len() == 0 && f.running == 0 }

// Queue is a fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	config Config
	flows  map[topology.CustomerID]*flow[T]
	// ready holds the flows with waiting entries, lowest start tag first.
	ready flowHeap[T]
	// waiting holds the waiting entries of all customers, oldest first.
	waiting list.List
	// virtualTime is the start tag of the entry that started last.
	virtualTime time.Duration
	// running is the number of started entries that have not finished.
	running           int
	lastReadySequence uint64
	// sweepThreshold is the number of flows from which idle ones are removed
	// before another is added.
	sweepThreshold int
}

// minSweepThreshold is the number of customers below which idle ones are kept.
const minSweepThreshold = 64

// New returns an empty queue.
func New[T any](cfg Config) *Queue[T] {
	return &Queue[T]{config: cfg, flows: make(map[topology.CustomerID]*flow[T]), sweepThreshold: minSweepThreshold}
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.waiting.Len() }

// Push adds an entry. When MaxPerCustomer entries of the customer wait, it drops
// the new entry. When MaxLength entries wait, it drops the newest entry of the
// customer with the longest backlog, which may be the new one. Dropped is nil
// when there was room.
func (q *Queue[T]) Push(now time.Duration, customer topology.CustomerID, item T) (entry, dropped *Entry[T]) {
	entry = &Entry[T]{Customer: customer, Item: item, QueuedAt: now}
	f := q.flowOf(customer)
	if f.waiting.Len() >= q.config.MaxPerCustomer {
		return entry, entry
	}
	if q.waiting.Len() >= q.config.MaxLength {
		longest := q.longestBacklog()
		if longest == nil || longest.waiting.Len() <= f.waiting.Len()+1 {
			return entry, entry
		}
		dropped = longest.waiting.Back().Value.(*Entry[T])
		q.Remove(dropped)
	}
	entry.flow = f
	entry.queueElement = q.waiting.PushBack(entry)
	entry.flowElement = f.waiting.PushBack(entry)
	if f.waiting.Len() == 1 {
		f.startTag = max(f.startTag, q.virtualTime)
		q.lastReadySequence++
		f.readySequence = q.lastReadySequence
		heap.Push(&q.ready, f)
	}
	return entry, dropped
}

// Start starts an entry without queueing it, with the same effect as Push and
// Pop on an empty queue. The caller makes sure that no entry waits, and calls
// Finish when the work has finished.
func (q *Queue[T]) Start(now time.Duration, customer topology.CustomerID, item T) *Entry[T] {
	f := q.flowOf(customer)
	f.startTag = max(f.startTag, q.virtualTime)
	entry := &Entry[T]{Customer: customer, Item: item, QueuedAt: now, flow: f}
	q.charge(entry)
	return entry
}

// charge counts the entry as running and adds the estimated cost to its flow's
// start tag.
func (q *Queue[T]) charge(entry *Entry[T]) {
	f := entry.flow
	q.virtualTime = max(q.virtualTime, f.startTag)
	entry.chargedCost = f.meanCost
	f.startTag += entry.chargedCost
	f.running++
	q.running++
}

// Pop removes the next entry from the queue and starts it. The caller calls
// Finish when the work has finished.
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

// Finish records that the work of a started entry has finished and corrects its
// customer's start tag by the measured cost.
func (q *Queue[T]) Finish(entry *Entry[T], cost time.Duration) {
	f := entry.flow
	cost = min(max(cost, 0), q.config.MaxCost)
	f.startTag += cost - entry.chargedCost
	f.meanCost += (cost - f.meanCost) / 4
	f.running--
	q.running--
	if f.waiting.Len() > 0 {
		heap.Fix(&q.ready, f.heapIndex)
	}
	q.resetIfIdle()
}

// Remove withdraws a waiting entry. It reports whether the entry was still
// waiting.
func (q *Queue[T]) Remove(entry *Entry[T]) bool {
	if entry.queueElement == nil {
		return false
	}
	q.unlink(entry)
	q.resetIfIdle()
	return true
}

// Expire removes and returns the entries that have waited for MaxWait at now,
// oldest first.
func (q *Queue[T]) Expire(now time.Duration) []*Entry[T] {
	var expired []*Entry[T]
	for q.waiting.Len() > 0 {
		entry := q.waiting.Front().Value.(*Entry[T])
		if now-entry.QueuedAt < q.config.MaxWait {
			break
		}
		q.unlink(entry)
		expired = append(expired, entry)
	}
	q.resetIfIdle()
	return expired
}

// NextExpiry returns the time at which the oldest entry expires, and false when
// none waits.
func (q *Queue[T]) NextExpiry() (time.Duration, bool) {
	if q.waiting.Len() == 0 {
		return 0, false
	}
	return q.waiting.Front().Value.(*Entry[T]).QueuedAt + q.config.MaxWait, true
}

// unlink removes a waiting entry from both lists and updates the position of its
// flow in the heap.
func (q *Queue[T]) unlink(entry *Entry[T]) {
	f := entry.flow
	q.waiting.Remove(entry.queueElement)
	f.waiting.Remove(entry.flowElement)
	entry.queueElement, entry.flowElement = nil, nil
	if f.waiting.Len() == 0 {
		heap.Remove(&q.ready, f.heapIndex)
		return
	}
	heap.Fix(&q.ready, f.heapIndex)
}

// resetIfIdle resets virtual time and all start tags once no entry waits or
// runs.
func (q *Queue[T]) resetIfIdle() {
	if q.running > 0 || q.waiting.Len() > 0 {
		return
	}
	q.virtualTime = 0
	for _, f := range q.flows {
		f.startTag = 0
	}
}

// flowOf returns the flow of a customer and creates it when missing.
func (q *Queue[T]) flowOf(customer topology.CustomerID) *flow[T] {
	if f, exists := q.flows[customer]; exists {
		return f
	}
	if len(q.flows) >= q.sweepThreshold {
		q.removeIdleFlows()
	}
	f := &flow[T]{customer: customer, meanCost: q.config.ExpectedCost, heapIndex: -1}
	q.flows[customer] = f
	return f
}

// removeIdleFlows removes idle flows whose start tag is not ahead of virtual
// time. A new flow would start at the same tag, so only the mean cost is lost.
func (q *Queue[T]) removeIdleFlows() {
	for customer, f := range q.flows {
		if f.idle() && f.startTag <= q.virtualTime {
			delete(q.flows, customer)
		}
	}
	q.sweepThreshold = max(minSweepThreshold, 2*len(q.flows))
}

// longestBacklog returns the flow with the most waiting entries.
func (q *Queue[T]) longestBacklog() *flow[T] {
	var longest *flow[T]
	for _, f := range q.ready {
		if longest == nil || f.waiting.Len() > longest.waiting.Len() {
			longest = f
		}
	}
	return longest
}
