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

var errDown = errors.New("store is down")

// change is a step of the fake store's history.
type change struct {
	store.Change
	at time.Duration
}

// world is a fleet of coordinators, a fake store and a network, all on one
// queue of timed steps. It holds no policy.
type world struct {
	now    time.Duration
	random *rand.Rand
	queue  steps
	order  int

	history []change
	latest  map[string]store.Revision
	waiting []*waitingWatch
	down    bool
	// storeDelay bounds each leg of a store call, netDelay each message.
	storeDelay, netDelay time.Duration
	loseAnswers          bool
	staleBy              time.Duration
	// loss and double are percentages of messages.
	loss, double int

	daemons []*daemon
	known   []platform.Instance
	calls   int
	sent    int
	failure string
}

// daemon is one instance around a coordinator. Its clock has an origin of its
// own.
type daemon struct {
	self   platform.Instance
	spread *Spread
	offset time.Duration
	life   int
	paused bool
	held   []Event
	island int
	cut    bool
	// isolated is when the daemon's island became a minority without the store.
	isolated time.Duration
	watch    int
	state    State
	loaded   bool
}

type waitingWatch struct {
	d           *daemon
	life, watch int
	after       store.Revision
}

type step struct {
	at    time.Duration
	order int
	run   func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newWorld starts a fleet over four failure domains.
func newWorld(seed uint64, daemons int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, seed)), latest: map[string]store.Revision{},
		storeDelay: 2 * time.Millisecond, netDelay: 2 * time.Millisecond,
	}
	for i := range daemons {
		w.known = append(w.known, platform.Instance{
			ID:            topology.InstanceID(fmt.Sprintf("i%03d", i)),
			FailureDomain: topology.FailureDomain(fmt.Sprintf("fd%d", i%4)), State: platform.InstanceLive,
		})
	}
	for _, self := range w.known {
		w.daemons = append(w.daemons, &daemon{self: self})
	}
	for _, d := range w.daemons {
		w.start(d)
	}
	return w
}

func (w *world) start(d *daemon) {
	d.life++
	d.watch++
	d.paused, d.held, d.loaded = false, nil, false
	d.offset = time.Duration(w.random.Int64N(int64(time.Hour)))
	d.spread = NewSpread(d.self, rand.New(rand.NewPCG(w.random.Uint64(), 1)))
	w.refresh(d)
	life := d.life
	var tick func()
	tick = func() {
		if d.life != life {
			return
		}
		if !d.paused {
			w.feed(d, Tick{})
		}
		w.after(TickInterval, tick)
	}
	w.after(time.Duration(w.random.Int64N(int64(TickInterval))), tick)
}

func (w *world) after(wait time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, step{at: w.now + wait, order: w.order, run: run})
}

func (w *world) upTo(bound time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(bound) + 1))
}

// advance runs all steps of the next period.
func (w *world) advance(period time.Duration) {
	end := w.now + period
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(step)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// refresh tells a daemon whom it can reach.
func (w *world) refresh(d *daemon) {
	var live []platform.Instance
	for _, other := range w.daemons {
		if other.island == d.island {
			live = append(live, other.self)
		}
	}
	w.feed(d, MembersChanged{Live: live, Known: w.known})
}

func (w *world) feed(d *daemon, event Event) {
	if d.paused {
		d.held = append(d.held, event)
		return
	}
	for _, action := range d.spread.Handle(w.now+d.offset, event) {
		w.perform(d, action)
	}
	w.check(d)
}

func (w *world) perform(d *daemon, action Action) {
	switch action := action.(type) {
	case Send:
		w.send(d, action)
	case StartList:
		w.call(d, func() Event {
			entries, _ := w.content(w.readable())
			return Listed{Listing: store.Listing{Entries: entries, Revision: w.readable()}}
		}, func() Event { return Listed{Err: errDown} })
	case StartWatch:
		d.watch++
		w.startWatch(&waitingWatch{d: d, life: d.life, watch: d.watch, after: action.After})
	case StopWatch:
		d.watch++
	case StartSwap:
		w.call(d, func() Event { return w.swap(action.Swap) }, func() Event { return Swapped{Err: errDown} })
	case Publish:
		w.checkPublished(d, action.State)
		d.state, d.loaded = action.State, true
	}
}

// call runs a store call: one leg to the store, the effect, one leg back. The
// answer may be lost after the effect.
func (w *world) call(d *daemon, effect, failed func() Event) {
	w.calls++
	life := d.life
	answer := func(event Event) {
		w.after(w.upTo(w.storeDelay), func() {
			if d.life == life {
				w.feed(d, event)
			}
		})
	}
	w.after(w.upTo(w.storeDelay), func() {
		if w.down || d.cut {
			answer(failed())
			return
		}
		event := effect()
		if w.loseAnswers && w.random.IntN(2) == 0 {
			event = failed()
		}
		answer(event)
	})
}

func (w *world) send(from *daemon, action Send) {
	w.sent++
	copies := 1
	if w.random.IntN(100) < w.loss {
		copies--
	}
	if w.random.IntN(100) < w.double {
		copies++
	}
	for range copies {
		w.after(w.upTo(w.netDelay), func() {
			for _, to := range w.daemons {
				if to.self.ID == action.To && to.island == from.island {
					w.feed(to, Received{From: from.self.ID, Message: action.Message})
				}
			}
		})
	}
}

// isolate notes which daemons are, from now on, in an island that is a minority
// and does not reach the store. An instance that joins such an island brings its
// evidence along, so that the time counts from the latest cut.
func (w *world) isolate() {
	size, reaches := map[int]int{}, map[int]bool{}
	for _, d := range w.daemons {
		size[d.island]++
		reaches[d.island] = reaches[d.island] || !d.cut
	}
	for _, d := range w.daemons {
		minority := size[d.island] < topology.Majority(len(w.daemons)) && !reaches[d.island]
		d.isolated = 0
		if minority {
			d.isolated = w.now
		}
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.down, w.loseAnswers, w.staleBy, w.loss, w.double = false, false, 0, 0, 0
	w.storeDelay, w.netDelay = 2*time.Millisecond, 2*time.Millisecond
	for _, d := range w.daemons {
		d.island, d.cut = 0, false
	}
	w.isolate()
	for _, d := range w.daemons {
		w.resume(d)
		w.refresh(d)
	}
	w.wake()
}

func (w *world) resume(d *daemon) {
	d.paused = false
	held := d.held
	d.held = nil
	for _, event := range held {
		w.feed(d, event)
	}
}
