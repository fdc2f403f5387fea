package config

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
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

func (w *world) swap(swap store.Swap) Event {
	if current := w.latest[swap.Key]; current != swap.Expect {
		return Swapped{Err: store.ErrConflict, Conflict: true, Current: current}
	}
	w.commit(swap.Key, swap.Value, false)
	return Swapped{Revision: w.revision()}
}

func (w *world) revision() store.Revision { return store.Revision(len(w.history)) }

// commit appends to the history and wakes the watches.
func (w *world) commit(key string, value []byte, deleted bool) store.Revision {
	entry := store.Entry{Key: key, Value: value, Revision: w.revision() + 1}
	w.history = append(w.history, change{Change: store.Change{Entry: entry, Deleted: deleted}, at: w.now})
	w.latest[key] = entry.Revision
	if deleted {
		w.latest[key] = 0
	}
	w.wake()
	return entry.Revision
}

func (w *world) wake() {
	waiting := w.waiting
	w.waiting = nil
	for _, watch := range waiting {
		w.look(watch, false)
	}
}

// readable is the revision that reads see.
func (w *world) readable() store.Revision { return w.revisionAt(w.now - w.staleBy) }

func (w *world) revisionAt(at time.Duration) store.Revision {
	if w.now <= at {
		return w.revision()
	}
	n, _ := slices.BinarySearchFunc(w.history, at, func(c change, at time.Duration) int {
		if c.at <= at {
			return -1
		}
		return 1
	})
	return store.Revision(n)
}

// content returns the entries as of a revision, and those without heartbeats.
func (w *world) content(at store.Revision) (all, records []store.Entry) {
	state := map[string]store.Entry{}
	for _, change := range w.history[:at] {
		delete(state, change.Key)
		if !change.Deleted {
			state[change.Key] = change.Entry
		}
	}
	for _, entry := range state {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	records = slices.DeleteFunc(slices.Clone(all), func(entry store.Entry) bool { return isHeartbeat(entry.Key) })
	return all, records
}

func (w *world) startWatch(watch *waitingWatch) {
	w.calls++
	w.after(w.upTo(w.storeDelay), func() { w.look(watch, false) })
	w.after(10*time.Second, func() {
		if i := slices.Index(w.waiting, watch); i >= 0 {
			w.waiting = slices.Delete(w.waiting, i, i+1)
			w.look(watch, true)
		}
	})
}

// look answers a watch with the last change of each key, or lets it wait.
func (w *world) look(watch *waitingWatch, end bool) {
	d := watch.d
	answer := func(event Event) {
		w.after(w.upTo(w.storeDelay), func() {
			if d.life == watch.life && d.watch == watch.watch {
				w.feed(d, event)
			}
		})
	}
	if w.down || d.cut {
		answer(Watched{Err: errDown})
		return
	}
	upTo := max(watch.after, w.readable())
	var changes []store.Change
	for _, change := range w.history[watch.after:upTo] {
		changes = slices.DeleteFunc(changes, func(c store.Change) bool { return c.Key == change.Key })
		changes = append(changes, change.Change)
	}
	if len(changes) == 0 && !end {
		w.waiting = append(w.waiting, watch)
		return
	}
	answer(Watched{Changes: changes, Complete: upTo})
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

// fail records the first broken invariant.
func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// checkPublished holds a state against the history: it is what the store held at
// its revision, and later than the one before.
func (w *world) checkPublished(d *daemon, state State) {
	if d.loaded && state.Revision <= d.state.Revision {
		w.fail("%s went from revision %d to %d", d.self.ID, d.state.Revision, state.Revision)
	}
	w.checkContent(d, state.Entries, state.Revision)
}

func (w *world) checkContent(d *daemon, entries []store.Entry, at store.Revision) {
	_, want := w.content(at)
	same := slices.EqualFunc(entries, want, func(a, b store.Entry) bool {
		return a.Key == b.Key && a.Revision == b.Revision && string(a.Value) == string(b.Value)
	})
	if !same {
		w.fail("%s holds %d records that are not those of revision %d", d.self.ID, len(entries), at)
	}
}

// check holds a daemon's claims against the truth.
func (w *world) check(d *daemon) {
	s := d.spread
	if s.replica.loaded {
		if s.replica.complete > w.revision() {
			w.fail("%s claims revision %d of %d", d.self.ID, s.replica.complete, w.revision())
			return
		}
		w.checkComplete(d)
	}
	switch freshness := s.Verdict().Judge(w.now + d.offset); {
	case freshness == FreshnessFresh && w.revisionAt(w.now-FreshLimit) > s.replica.complete && w.recordsAfter(s.replica.complete, w.now-FreshLimit):
		w.fail("%s counts as fresh at revision %d without a change older than the limit", d.self.ID, s.replica.complete)
	case freshness != FreshnessStale && d.isolated > 0 && w.now-d.isolated >= FreshLimit+AnswerLimit:
		w.fail("%s is %v after %v in a minority without the store", d.self.ID, freshness, w.now-d.isolated)
	}
}

// checkComplete makes sure that no record changed in (content, complete].
func (w *world) checkComplete(d *daemon) {
	r := &d.spread.replica
	for _, change := range w.history[r.content:r.complete] {
		if !isHeartbeat(change.Key) {
			w.fail("%s claims completeness to %d and lacks %s@%d", d.self.ID, r.complete, change.Key, change.Revision)
		}
	}
}

// recordsAfter reports whether a record changed after a revision and before a
// moment.
func (w *world) recordsAfter(after store.Revision, before time.Duration) bool {
	for _, change := range w.history[after:] {
		if change.at < before && !isHeartbeat(change.Key) {
			return true
		}
	}
	return false
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

// settled reports whether all daemons hold the latest records and are fresh.
func (w *world) settled() bool {
	_, want := w.content(w.revision())
	for _, d := range w.daemons {
		if !d.loaded || d.spread.Verdict().Judge(w.now+d.offset) != FreshnessFresh || len(d.state.Entries) != len(want) {
			return false
		}
		for i := range want {
			if d.state.Entries[i].Key != want[i].Key || d.state.Entries[i].Revision != want[i].Revision {
				return false
			}
		}
	}
	return true
}
