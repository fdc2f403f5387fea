package config

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"samphirehitch.example/samphirehitch/process/platform"
	"samphirehitch.example/samphirehitch/process/store"
	"samphirehitch.example/samphirehitch/process/topology"
)

var errStoreUnavailable = errors.New("store is unavailable")

// committedChange is an entry of the fake store's history.
type committedChange struct {
	store.Change
	committedAt time.Duration
}

// harness is a discrete-event simulation of a fleet: the coordinators, a fake
// store and a network share one queue of timed steps. It decides nothing that
// the coordinators should decide.
type harness struct {
	now    time.Duration
	random *rand.Rand
	queue  stepQueue
	// nextOrder numbers the steps, so that steps due at one time run in the
	// order in which they were scheduled.
	nextOrder int

	history []committedChange
	// keyRevisions holds the current revision of each key, zero when deleted.
	keyRevisions map[string]store.Revision
	// waitingWatches holds the watches without a response.
	waitingWatches   []*waitingWatch
	storeUnavailable bool
	// storeDelay bounds each direction of a store call, messageDelay each
	// message.
	storeDelay, messageDelay time.Duration
	loseResponses            bool
	// readStaleness is how far reads and watches lag behind writes.
	readStaleness time.Duration
	// Percentages of messages that are lost or duplicated.
	lossPercent, duplicatePercent int

	daemons      []*daemon
	known        []platform.Instance
	storeCalls   int
	sentMessages int
	// failure describes the first violated invariant, if any.
	failure string
}

// daemon is one instance with its coordinator. Its clock is offset against the
// harness's.
type daemon struct {
	self        platform.Instance
	coordinator *Coordinator
	clockOffset time.Duration
	// incarnation counts restarts; outcomes for an earlier one are dropped.
	incarnation int
	paused      bool
	// queuedEvents holds the events that arrived while the daemon was paused.
	queuedEvents []Event
	// partition numbers the network partition that the daemon is in.
	partition   int
	storeCutOff bool
	// isolatedAt is when the daemon's partition became a minority that cannot
	// reach the store, or zero.
	isolatedAt time.Duration
	// watchNumber numbers the watches; outcomes of stopped ones are dropped.
	watchNumber    int
	publishedState State
	hasState       bool
}

// waitingWatch is a watch call in the fake store.
type waitingWatch struct {
	daemon              *daemon
	incarnation, number int
	after               store.Revision
}

// scheduledStep is a function that runs at a simulated time.
type scheduledStep struct {
	dueAt time.Duration
	order int
	run   func()
}

// stepQueue is a heap of steps by due time.
type stepQueue []scheduledStep

func (s stepQueue) Len() int { return len(s) }
func (s stepQueue) Less(i, j int) bool {
	return s[i].dueAt < s[j].dueAt || s[i].dueAt == s[j].dueAt && s[i].order < s[j].order
}
func (s stepQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *stepQueue) Push(x any)   { *s = append(*s, x.(scheduledStep)) }
func (s *stepQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newHarness starts a fleet spread over four failure domains.
func newHarness(seed uint64, daemons int) *harness {
	h := &harness{
		random: rand.New(rand.NewPCG(seed, seed)), keyRevisions: map[string]store.Revision{},
		storeDelay: 2 * time.Millisecond, messageDelay: 2 * time.Millisecond,
	}
	for i := range daemons {
		h.known = append(h.known, platform.Instance{
			ID:            topology.InstanceID(fmt.Sprintf("i%03d", i)),
			FailureDomain: topology.FailureDomain(fmt.Sprintf("fd%d", i%4)), State: platform.InstanceLive,
		})
	}
	for _, self := range h.known {
		h.daemons = append(h.daemons, &daemon{self: self})
	}
	for _, d := range h.daemons {
		h.start(d)
	}
	return h
}

// start starts or restarts a daemon without any state.
func (h *harness) start(d *daemon) {
	d.incarnation++
	d.watchNumber++
	d.paused, d.queuedEvents, d.hasState = false, nil, false
	d.clockOffset = time.Duration(h.random.Int64N(int64(time.Hour)))
	d.coordinator = NewCoordinator(d.self, rand.New(rand.NewPCG(h.random.Uint64(), 1)))
	h.sendMembers(d)
	incarnation := d.incarnation
	var tick func()
	tick = func() {
		if d.incarnation != incarnation {
			return
		}
		if !d.paused {
			h.deliver(d, Tick{})
		}
		h.schedule(TickInterval, tick)
	}
	h.schedule(time.Duration(h.random.Int64N(int64(TickInterval))), tick)
}

// schedule runs a function after a delay.
func (h *harness) schedule(wait time.Duration, run func()) {
	h.nextOrder++
	heap.Push(&h.queue, scheduledStep{dueAt: h.now + wait, order: h.nextOrder, run: run})
}

// randomDelay returns a random duration up to bound.
func (h *harness) randomDelay(bound time.Duration) time.Duration {
	return time.Duration(h.random.Int64N(int64(bound) + 1))
}

// advance runs the simulation for a period.
func (h *harness) advance(period time.Duration) {
	end := h.now + period
	for len(h.queue) > 0 && h.queue[0].dueAt <= end {
		next := heap.Pop(&h.queue).(scheduledStep)
		h.now = next.dueAt
		next.run()
	}
	h.now = end
}

// sendMembers delivers the current lists of instances to a daemon; those in its
// partition are live.
func (h *harness) sendMembers(d *daemon) {
	var live []platform.Instance
	for _, other := range h.daemons {
		if other.partition == d.partition {
			live = append(live, other.self)
		}
	}
	h.deliver(d, MembersChanged{Live: live, Known: h.known})
}

// deliver passes an event to a daemon, or queues it while the daemon is paused.
func (h *harness) deliver(d *daemon, event Event) {
	if d.paused {
		d.queuedEvents = append(d.queuedEvents, event)
		return
	}
	for _, action := range d.coordinator.Handle(h.now+d.clockOffset, event) {
		h.execute(d, action)
	}
	h.checkInvariants(d)
}

// execute carries out an action of a daemon's coordinator.
func (h *harness) execute(d *daemon, action Action) {
	switch action := action.(type) {
	case Send:
		h.send(d, action)
	case StartList:
		h.call(d, func() Event {
			entries, _ := h.entriesAt(h.readableRevision())
			return ListDone{Listing: store.Listing{Entries: entries, Revision: h.readableRevision()}}
		}, func() Event { return ListDone{Err: errStoreUnavailable} })
	case StartWatch:
		d.watchNumber++
		h.startWatch(&waitingWatch{daemon: d, incarnation: d.incarnation, number: d.watchNumber, after: action.After})
	case StopWatch:
		d.watchNumber++
	case StartSwap:
		h.call(d, func() Event { return h.swap(action.Swap) }, func() Event { return SwapDone{Err: errStoreUnavailable} })
	case Publish:
		h.checkPublished(d, action.State)
		d.publishedState, d.hasState = action.State, true
	}
}

// call simulates a store call: the request's delay, the effect, the response's
// delay. With loseResponses half of the calls fail after their effect.
func (h *harness) call(d *daemon, effect, failed func() Event) {
	h.storeCalls++
	incarnation := d.incarnation
	respond := func(event Event) {
		h.schedule(h.randomDelay(h.storeDelay), func() {
			if d.incarnation == incarnation {
				h.deliver(d, event)
			}
		})
	}
	h.schedule(h.randomDelay(h.storeDelay), func() {
		if h.storeUnavailable || d.storeCutOff {
			respond(failed())
			return
		}
		event := effect()
		if h.loseResponses && h.random.IntN(2) == 0 {
			event = failed()
		}
		respond(event)
	})
}

// send delivers a message within a partition. The message may be lost or
// duplicated.
func (h *harness) send(from *daemon, action Send) {
	h.sentMessages++
	copies := 1
	if h.random.IntN(100) < h.lossPercent {
		copies--
	}
	if h.random.IntN(100) < h.duplicatePercent {
		copies++
	}
	for range copies {
		h.schedule(h.randomDelay(h.messageDelay), func() {
			for _, to := range h.daemons {
				if to.self.ID == action.To && to.partition == from.partition {
					h.deliver(to, MessageReceived{From: from.self.ID, Message: action.Message})
				}
			}
		})
	}
}

// updateIsolation records which daemons are in a partition that is a minority
// and does not reach the store. The time counts from the latest change of the
// partitions, since an instance that joins such a partition brings its evidence
// along.
func (h *harness) updateIsolation() {
	size, reaches := map[int]int{}, map[int]bool{}
	for _, d := range h.daemons {
		size[d.partition]++
		reaches[d.partition] = reaches[d.partition] || !d.storeCutOff
	}
	for _, d := range h.daemons {
		minority := size[d.partition] < topology.Majority(len(h.daemons)) && !reaches[d.partition]
		d.isolatedAt = 0
		if minority {
			d.isolatedAt = h.now
		}
	}
}

// heal removes all faults and resumes paused daemons.
func (h *harness) heal() {
	h.storeUnavailable, h.loseResponses, h.readStaleness, h.lossPercent, h.duplicatePercent = false, false, 0, 0, 0
	h.storeDelay, h.messageDelay = 2*time.Millisecond, 2*time.Millisecond
	for _, d := range h.daemons {
		d.partition, d.storeCutOff = 0, false
	}
	h.updateIsolation()
	for _, d := range h.daemons {
		h.resume(d)
		h.sendMembers(d)
	}
	h.checkWatches()
}

// resume lets a paused daemon process the events that arrived meanwhile.
func (h *harness) resume(d *daemon) {
	d.paused = false
	events := d.queuedEvents
	d.queuedEvents = nil
	for _, event := range events {
		h.deliver(d, event)
	}
}
