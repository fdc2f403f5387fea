package replay

import (
	"container/heap"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Parameters of the targets' model.
const (
	// handshakeTime is how long opening a connection occupies a slot, in addition to the
	// statement that follows.
	handshakeTime = 12 * time.Millisecond
	// refusalTime is how long a target takes to refuse a statement.
	refusalTime = time.Millisecond
	// statementTimeout is how long a response is awaited.
	statementTimeout = 800 * time.Millisecond
	// maxTargetQueue is the number of statements queued at a target at which it refuses
	// further ones.
	maxTargetQueue = 40
)

// simulation is a discrete-event simulation: virtual time, the pending events and the
// targets. It is used by a single goroutine.
type simulation struct {
	now          time.Duration
	events       eventQueue
	lastSequence int
	targets      map[topology.TargetID]*simulatedTarget
}

// event is an action at a time. Events at the same time run in the order in which they were
// scheduled.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventQueue is a heap of events in the order in which they run.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulatedTarget is a multi-server queue: it runs statements in its slots, first in first
// out. The queue holds functions that each start one statement.
type simulatedTarget struct {
	Target
	running int
	// started is the number of statements that have started while responses may be lost.
	started int
	queue   []func()
}

func newSimulation(targets []Target) *simulation {
	s := &simulation{targets: make(map[topology.TargetID]*simulatedTarget)}
	for _, t := range targets {
		s.targets[t.ID] = &simulatedTarget{Target: t}
	}
	return s
}

// schedule adds an event at a time, or now if that time has passed.
func (s *simulation) schedule(at time.Duration, action func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: max(at, s.now), sequence: s.lastSequence, action: action})
}

// run processes events until none is left. Actions may schedule further ones.
func (s *simulation) run() {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.action()
	}
}

// targetResult is how a target responds to a statement.
type targetResult uint8

const (
	completed targetResult = iota
	// floorMissing means that the replica's log does not reach the request's floor.
	floorMissing
	// queueFull means that maxTargetQueue statements are queued.
	queueFull
	// timedOut means that no response arrived within statementTimeout.
	timedOut
)

// execute sends a statement to a target and calls onResult with the target's response. A
// statement on a new connection takes handshakeTime longer.
func (s *simulation) execute(id topology.TargetID, a Arrival, newConn, primary bool, onResult func(targetResult)) {
	t := s.targets[id]
	if !primary && s.now-a.At+a.FloorAge < t.ReplicationLag {
		s.schedule(s.now+refusalTime, func() { onResult(floorMissing) })
		return
	}
	sentAt := s.now
	start := func() {
		t.running++
		lost := false
		if t.losesResponses(s.now) {
			t.started++
			lost = t.started%t.LoseEvery == 0
		}
		busy := t.serviceTime(s.now, a.ServiceTime)
		if newConn {
			busy += handshakeTime
		}
		s.schedule(s.now+busy, func() {
			t.running--
			if len(t.queue) > 0 {
				startNext := t.queue[0]
				t.queue = t.queue[1:]
				startNext()
			}
			if lost {
				s.schedule(sentAt+statementTimeout, func() { onResult(timedOut) })
				return
			}
			onResult(completed)
		})
	}
	switch {
	case t.running < t.Slots:
		start()
	case len(t.queue) >= maxTargetQueue:
		s.schedule(s.now+refusalTime, func() { onResult(queueFull) })
	default:
		t.queue = append(t.queue, start)
	}
}
