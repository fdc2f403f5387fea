package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"samphirehitch.example/samphirehitch/platform/platformtest"
)

// plannedStopsSource is the random source of the planned stops, apart from those of the
// fault injectors, the restores and the callers. executionTimesSource is the first of one
// source for each group.
const (
	plannedStopsSource   = 600
	executionTimesSource = 610
)

// Ranges of the draws of planned stops.
const (
	// maxSeriesPause is the longest time between two series.
	maxSeriesPause = 1500 * time.Millisecond
	// maxRestartDelay is the longest time from the exit of a process to its next start.
	maxRestartDelay = time.Second
	// reloadShare is the share of stops that follow a SIGHUP of some daemon, one in so
	// many.
	reloadShare = 3
)

// maxStopGaps are the limits of the gaps between the stops of one series. A stop takes
// almost the grace period, so that most gaps let several stops overlap.
var maxStopGaps = []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 8 * time.Second}

// below returns a random duration below a limit.
func below(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// stopInSeries terminates and restarts every daemon in turn, in one series after the
// other, until stop is closed.
func (h *harness) stopInSeries(random *rand.Rand, stop <-chan struct{}) {
	for {
		maxGap := maxStopGaps[random.IntN(len(maxStopGaps))]
		h.logEvent(fmt.Sprintf("series of stops, gaps below %s", maxGap))
		var stops sync.WaitGroup
		for _, i := range random.Perm(len(h.daemons)) {
			if random.IntN(reloadShare) == 0 {
				reloaded := random.IntN(len(h.daemons))
				h.logEvent(fmt.Sprintf("SIGHUP daemon %d", reloaded+1))
				h.daemons[reloaded].signal(syscall.SIGHUP)
			}
			restartDelay := below(random, maxRestartDelay)
			stops.Go(func() { h.stopAndRestart(h.daemons[i], restartDelay) })
			if !pause(below(random, maxGap), stop) {
				break
			}
		}
		stops.Wait()
		if !pause(below(random, maxSeriesPause), stop) {
			return
		}
	}
}

// pause waits and reports whether stop was still open.
func pause(d time.Duration, stop <-chan struct{}) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// stopAndRestart stops a daemon as the platform does, and starts it again after a delay.
func (h *harness) stopAndRestart(d *daemon, restartDelay time.Duration) {
	h.logEvent(fmt.Sprintf("SIGTERM daemon %d", d.number+1))
	defer h.history.addStop()()
	h.terminate(d, platformtest.TerminationGrace)
	h.logEvent(fmt.Sprintf("daemon %d has exited", d.number+1))
	time.Sleep(restartDelay)
	h.recordError(d.start())
	h.logEvent(fmt.Sprintf("daemon %d started", d.number+1))
}

// terminate sends SIGTERM to a daemon, and SIGKILL if it is still running after grace.
func (h *harness) terminate(d *daemon, grace time.Duration) {
	if at := d.stop(syscall.SIGTERM, grace); !at.IsZero() {
		h.history.addTermination(d.number, at)
	}
}
