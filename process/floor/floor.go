// Package floor records how far a service's log had grown at given times, to
// compute the floor of reads that may be stale by a given age. A primary's
// response to a request sent at t reports a log end that covers every commit
// acknowledged before t. A read that may be stale by age a, and starts at t, is
// served correctly by any replica whose log reaches a sample taken at t-a or later.
package floor

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// minSampleInterval is the minimum time between two retained samples: a twentieth of
// the shortest route staleness that the samples need to resolve.
const minSampleInterval = 50 * time.Millisecond

// sampleRetention is the age at which samples are discarded. It is longer than any
// route staleness that still affects which replicas can serve a read.
const sampleRetention = 10 * time.Second

// Sample states that the log up to Point contains every commit acknowledged
// before At.
type Sample struct {
	At    time.Duration
	Point topology.Point
}

// History holds the samples of one service, all of the same term. It is not safe
// for concurrent use.
type History struct {
	// samples are ordered by time, oldest first.
	samples []Sample
}

// Observe records the end of the log from a response of the primary to a request
// sent at sentAt. The caller must have checked, after the response arrived, that it
// still has authority to use the primary; otherwise a replaced primary could
// supply a sample that misses newer commits. Samples of lower terms are ignored
// and those of a higher term replace all earlier ones.
func (h *History) Observe(sentAt time.Duration, point topology.Point) {
	if point == (topology.Point{}) {
		return
	}
	if n := len(h.samples); n > 0 {
		last := &h.samples[n-1]
		if point.Term < last.Point.Term {
			return
		}
		if point.Term > last.Point.Term {
			h.samples = h.samples[:0]
		} else if sentAt <= last.At {
			return
		}
	}
	// The newest sample is overwritten until it is minSampleInterval after its
	// predecessor.
	if n := len(h.samples); n > 1 && h.samples[n-1].At-h.samples[n-2].At < minSampleInterval {
		h.samples[n-1] = Sample{At: sentAt, Point: topology.MaxPoint(point, h.samples[n-1].Point)}
	} else {
		h.samples = append(h.samples, Sample{At: sentAt, Point: point})
	}
	for len(h.samples) > 1 && sentAt-h.samples[0].At > sampleRetention {
		h.samples = h.samples[1:]
	}
}

// Reset discards all samples. It is called when the primary changes, because the
// log of the previous primary does not cover the commits of the new one.
func (h *History) Reset() { h.samples = nil }

// OldestSince returns the oldest sample taken at notBefore or later. Its point is
// the lowest floor for a read that must see every commit acknowledged before
// notBefore.
func (h *History) OldestSince(notBefore time.Duration) (Sample, bool) {
	for _, s := range h.samples {
		if s.At >= notBefore {
			return s, true
		}
	}
	return Sample{}, false
}

// Latest returns the newest sample.
func (h *History) Latest() (Sample, bool) {
	if len(h.samples) == 0 {
		return Sample{}, false
	}
	return h.samples[len(h.samples)-1], true
}

// BehindSince returns the time of the oldest sample beyond point: from then on, a
// log that ends at point is known to be behind. It returns false when there is none.
func (h *History) BehindSince(point topology.Point) (at time.Duration, ok bool) {
	for _, s := range h.samples {
		if !point.Reaches(s.Point) {
			return s.At, true
		}
	}
	return 0, false
}
