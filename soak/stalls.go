package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	// stallProbeInterval is the time between two looks at the processes, and minStall the wait for
	// a processor that counts as a stall of the machine: a little less than the 250 ms after which
	// instances take another one for silent.
	stallProbeInterval = 50 * time.Millisecond
	minStall           = 200 * time.Millisecond
	// stallReach is how long after a stall its consequences may still appear: the time for which
	// an instance waits for the response to a statement.
	stallReach = 1100 * time.Millisecond
)

// monitorStalls records when threads of this process and of the daemons waited for a processor,
// until stop is closed. The kernel tells it when a thread runs again.
func (h *harness) monitorStalls(stop <-chan struct{}) {
	waited := make(map[string]time.Duration)
	for pause(stallProbeInterval, stop) {
		now, pids := time.Now(), []int{os.Getpid()}
		for _, d := range h.daemons {
			pids = append(pids, d.pid())
		}
		current := make(map[string]time.Duration)
		var longest time.Duration
		for _, pid := range pids {
			for thread, total := range processorWaits(pid) {
				current[thread] = total
				if before, known := waited[thread]; known {
					longest = max(longest, total-before)
				}
			}
		}
		waited = current
		if longest >= minStall {
			h.history.addStall(faultInterval{now.Add(-longest - stallProbeInterval), now})
		}
	}
}

// processorWaits returns for how long each thread of a process has waited for a processor, empty if
// the process has ended or the system does not tell.
func processorWaits(pid int) map[string]time.Duration {
	waits := make(map[string]time.Duration)
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // fails for a bad pattern only
	for _, thread := range threads {
		content, err := os.ReadFile(thread)
		var ran, waited time.Duration
		if err != nil {
			continue // the thread has ended
		}
		if _, err := fmt.Sscan(string(content), &ran, &waited); err == nil {
			waits[thread] = waited
		}
	}
	return waits
}

func (h *history) addStall(s faultInterval) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stalls = append(h.stalls, s)
}

// stalledBetween reports whether the machine stalled between two times, or up to stallReach before.
func (l *lossRecord) stalledBetween(start, end time.Time) bool {
	return slices.ContainsFunc(l.stalls, func(s faultInterval) bool { return s.overlaps(start.Add(-stallReach), end) })
}
