package replay

import (
	"container/heap"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Times of the model.
const (
	// handshake is how long a new connection occupies a slot.
	handshake = 12 * time.Millisecond
	// refusal is how long a target takes to say that it lacks a floor.
	refusal = time.Millisecond
	// longestTargetQueue is how many statements wait at a target before it refuses more.
	longestTargetQueue = 40
)

// world is virtual time and the targets.
type world struct {
	now     time.Duration
	events  events
	last    int
	targets map[topology.TargetID]*modelTarget
}

type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// modelTarget runs statements in its slots in order of arrival.
type modelTarget struct {
	Target
	running int
	waiting []func()
}

func newWorld(targets []Target) *world {
	w := &world{targets: make(map[topology.TargetID]*modelTarget)}
	for _, t := range targets {
		w.targets[t.ID] = &modelTarget{Target: t}
	}
	return w
}

// at has something done at a time.
func (w *world) at(at time.Duration, do func()) {
	w.last++
	heap.Push(&w.events, event{at: max(at, w.now), number: w.last, do: do})
}

// run runs all events.
func (w *world) run() {
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
}

// answer is what a target says of a statement.
type answer uint8

const (
	done answer = iota
	lagging
	full
)

// execute has a target run a statement, over a new connection if need be.
func (w *world) execute(id topology.TargetID, a Arrival, opening, primary bool, answered func(answer)) {
	t := w.targets[id]
	if !primary && w.now-a.At+a.FloorAge < t.Lag {
		w.at(w.now+refusal, func() { answered(lagging) })
		return
	}
	start := func() {
		t.running++
		work := t.work(w.now, a.Work)
		if opening {
			work += handshake
		}
		w.at(w.now+work, func() {
			t.running--
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
			answered(done)
		})
	}
	switch {
	case t.running < t.Slots:
		start()
	case len(t.waiting) >= longestTargetQueue:
		w.at(w.now+refusal, func() { answered(full) })
	default:
		t.waiting = append(t.waiting, start)
	}
}
