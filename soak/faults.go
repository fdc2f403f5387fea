package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is a kind of fault that can be injected for a limited time.
type fault struct {
	name string
	// inject starts the fault and returns the function that reverts it.
	inject      func() (revert func())
	maxDuration time.Duration
	kind        faultKind
}

// faultKind is what a fault may excuse.
type faultKind uint8

const (
	// crash: a process ends, or a part fails, and excuses statements without an answer.
	crash faultKind = iota
	// plannedWork excuses nothing.
	plannedWork
	// disruption: a process is suspended or the network fails. It also excuses the commits that
	// follow soon at a replaced primary.
	disruption
)

// faults returns all kinds of faults. Each injection draws the instance, target or group
// that it affects, and the mode of a proxy, from random.
func (h *harness) faults(random *rand.Rand) []fault {
	randomDaemon := func() *daemon { return h.daemons[random.IntN(len(h.daemons))] }
	randomMode := func(modes ...ProxyMode) ProxyMode { return modes[random.IntN(len(modes))] }
	disturb := func(p *FaultProxy, mode ProxyMode) func() {
		p.SetMode(mode)
		return func() { p.SetMode(Forward) }
	}
	return []fault{
		{"daemon suspended", func() func() {
			d := randomDaemon()
			d.suspend()
			return func() { d.resume() }
		}, 5 * time.Second, disruption},
		{"daemon killed", func() func() {
			d := randomDaemon()
			d.stop(syscall.SIGKILL, stopTimeout)
			return func() { h.recordError(d.start()) }
		}, time.Second, crash},
		{"daemon terminated", func() func() {
			d := randomDaemon()
			if d.resume() {
				h.history.addDisturbance()
			}
			h.terminate(d, stopTimeout)
			return func() { h.recordError(d.start()) }
		}, time.Second, plannedWork},
		{"settings reloaded", func() func() {
			randomDaemon().signal(syscall.SIGHUP)
			return func() {}
		}, 100 * time.Millisecond, plannedWork},
		{"store unavailable", func() func() {
			h.store.SetUnavailable(true)
			return func() { h.store.SetUnavailable(false) }
		}, 4 * time.Second, crash},
		{"daemon's store connections disturbed", func() func() {
			return disturb(randomDaemon().storeProxy, randomMode(DropAll, DropResponses, CloseConnections, Delay))
		}, 5 * time.Second, disruption},
		{"target's connections disturbed", func() func() {
			return disturb(h.targets[random.IntN(len(h.targets))].proxy, randomMode(DropAll, DropResponses, CloseConnections, Delay))
		}, 3 * time.Second, disruption},
		{"target down", func() func() {
			m := h.targets[random.IntN(len(h.targets))].member
			m.SetDown(true)
			return func() { m.SetDown(false) }
		}, 4 * time.Second, crash},
		{"primary down", func() func() {
			m := h.groups[random.IntN(len(h.groups))].CurrentPrimary()
			m.SetDown(true)
			return func() { m.SetDown(false) }
		}, 4 * time.Second, crash},
	}
}

// Ranges of the restores of the store.
const (
	maxRestorePause  = 4 * time.Second
	maxRestoreOutage = 2 * time.Second
	maxCopyAge       = 10 * time.Second
)

// restoreStore makes the store unavailable now and then and returns it from an older copy,
// beside the other faults, until stop is closed. It has a random source of its own.
func (h *harness) restoreStore(random *rand.Rand, stop <-chan struct{}) {
	below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for {
		pause, outage, age := below(maxRestorePause), below(maxRestoreOutage), below(maxCopyAge)
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		h.logEvent(fmt.Sprintf("store unavailable for %s, then restored from a copy that is %s old", outage.Round(time.Millisecond), age.Round(time.Millisecond)))
		copiedAt := time.Now().Add(-age)
		endFault := h.history.addFault()
		h.store.SetUnavailable(true)
		time.Sleep(outage)
		h.store.Restore(copiedAt)
		h.store.SetUnavailable(false)
		endFault()
	}
}

// injectFaults injects random faults one after the other until stop is closed. Several
// injectors run concurrently, each with its own random source. The order and number of
// the draws from it must not change, or else known seeds produce other faults.
func (h *harness) injectFaults(random *rand.Rand, stop <-chan struct{}) {
	for {
		delay := time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
		select {
		case <-stop:
			return
		case <-time.After(delay):
		}
		kinds := h.faults(random)
		if h.options.LogFaults {
			kinds = append(kinds, h.logFaults(random)...)
		}
		f := kinds[random.IntN(len(kinds))]
		duration := time.Duration(random.Int64N(int64(f.maxDuration)))
		h.logEvent(fmt.Sprintf("%s for %s", f.name, duration.Round(time.Millisecond)))
		if f.kind == disruption {
			h.history.addDisturbance()
		}
		endFault := func() {}
		if f.kind != plannedWork {
			endFault = h.history.addFault()
		}
		revert := f.inject()
		select {
		case <-stop:
		case <-time.After(duration):
		}
		if f.kind == disruption {
			h.history.addDisturbance()
		}
		revert()
		endFault()
	}
}
