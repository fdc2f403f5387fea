package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is something that goes wrong for a while.
type fault struct {
	name string
	// begin makes it go wrong and returns what mends it.
	begin func() (mend func())
	// longest is how long it lasts at most.
	longest time.Duration
}

// faults returns what can go wrong. Each draw chooses one of its kind. New kinds are
// added at the end, so that the cases of earlier seeds keep theirs.
func (w *world) faults(random *rand.Rand) []fault {
	daemon := func() *daemon { return w.daemons[random.IntN(len(w.daemons))] }
	way := func(ways ...Way) Way { return ways[random.IntN(len(ways))] }
	set := func(p *Proxy, to Way) func() {
		p.Set(to)
		return func() { p.Set(Pass) }
	}
	return []fault{
		{"daemon paused", func() func() {
			d := daemon()
			d.signal(syscall.SIGSTOP)
			return func() { d.signal(syscall.SIGCONT) }
		}, 5 * time.Second},
		{"daemon killed", func() func() {
			d := daemon()
			d.stop(syscall.SIGKILL)
			return func() { w.note(d.start()) }
		}, time.Second},
		{"daemon told to stop", func() func() {
			d := daemon()
			d.signal(syscall.SIGCONT)
			d.stop(syscall.SIGTERM)
			return func() { w.note(d.start()) }
		}, time.Second},
		{"settings changed", func() func() {
			daemon().signal(syscall.SIGHUP)
			return func() {}
		}, 100 * time.Millisecond},
		{"store away", func() func() {
			w.store.SetAway(true)
			return func() { w.store.SetAway(false) }
		}, 4 * time.Second},
		{"daemon cut off from the store", func() func() {
			return set(daemon().store, way(Silent, Deaf, Reset, Slow))
		}, 5 * time.Second},
		{"target's connections disturbed", func() func() {
			return set(w.proxies[random.IntN(len(w.proxies))].proxy, way(Silent, Deaf, Reset, Slow))
		}, 3 * time.Second},
		{"target down", func() func() {
			m := w.proxies[random.IntN(len(w.proxies))].member
			m.SetDown(true)
			return func() { m.SetDown(false) }
		}, 4 * time.Second},
		{"primary down", func() func() {
			m := w.groups[random.IntN(len(w.groups))].Leader()
			m.SetDown(true)
			return func() { m.SetDown(false) }
		}, 4 * time.Second},
		{"daemon cut off from a target", func() func() {
			t := w.proxies[random.IntN(len(w.proxies))]
			return set(daemon().ways[string(t.member.ID)], way(Silent, Deaf, Reset, Slow))
		}, 3 * time.Second},
		{"primary partitioned with one daemon", func() func() { return w.partition(random) }, 12 * time.Second},
	}
}

// trouble makes one thing after the other go wrong until stop is closed.
func (w *world) trouble(random *rand.Rand, stop <-chan struct{}) {
	for {
		pause := time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		all := w.faults(random)
		if w.options.Kinds > 0 {
			all = all[:w.options.Kinds]
		}
		f := all[random.IntN(len(all))]
		lasts := time.Duration(random.Int64N(int64(f.longest)))
		w.log(fmt.Sprintf("%s for %s", f.name, lasts.Round(time.Millisecond)))
		w.record.disturbed()
		mend := f.begin()
		select {
		case <-stop:
		case <-time.After(lasts):
		}
		mend()
		w.record.disturbed()
	}
}

// partition leaves a primary to one daemon that cannot reach the store. The primary goes
// on when another is promoted: only the end of that daemon's right keeps it from being
// used.
func (w *world) partition(random *rand.Rand) (mend func()) {
	primary := w.groups[random.IntN(len(w.groups))].Leader()
	left := w.daemons[random.IntN(len(w.daemons))]
	set := func(partitioned bool, way Way) {
		primary.SetPartitioned(partitioned)
		left.store.Set(way)
		for _, d := range w.daemons {
			if d != left {
				d.ways[string(primary.ID)].Set(way)
			}
		}
	}
	set(true, Silent)
	return func() { set(false, Pass) }
}
