// Package floor keeps evidence of how far a service's log had grown at given
// times. A primary's answer to a request that was sent at t covers every commit
// acknowledged before t; a read that may be a given age old needs the log up to
// the evidence of that age.
package floor

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// spacing is the least time between two samples: a twentieth of the shortest
// staleness of a route that is worth keeping apart.
const spacing = 50 * time.Millisecond

// retention is how long samples are kept: longer than any route's staleness that
// replicas can make use of.
const retention = 10 * time.Second

// Sample says that the log up to Point covers every commit acknowledged before
// At.
type Sample struct {
	At    time.Duration
	Point topology.Point
}

// History holds the samples of one service. It is not safe for concurrent use.
type History struct {
	samples []Sample
}

// Observe takes an answer of the primary: the end of its log, and when the
// request was sent. The caller has checked its right to the primary after the
// answer came.
func (h *History) Observe(sent time.Duration, point topology.Point) {
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
		} else if sent <= last.At {
			return
		}
	}
	// The newest sample moves forward until it is a spacing after the one before.
	if n := len(h.samples); n > 1 && h.samples[n-1].At-h.samples[n-2].At < spacing {
		h.samples[n-1] = Sample{At: sent, Point: topology.MaxPoint(point, h.samples[n-1].Point)}
	} else {
		h.samples = append(h.samples, Sample{At: sent, Point: point})
	}
	for len(h.samples) > 1 && sent-h.samples[0].At > retention {
		h.samples = h.samples[1:]
	}
}

// Reset forgets all evidence, when another primary leads: what is known of the
// log of the one before says nothing of commits that came after it.
func (h *History) Reset() { h.samples = nil }

// Oldest returns the oldest sample taken at notBefore or later.
func (h *History) Oldest(notBefore time.Duration) (Sample, bool) {
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

// BehindSince returns when the log first grew beyond the point, as far as the
// samples tell. Ok is false while no sample is beyond it.
func (h *History) BehindSince(point topology.Point) (at time.Duration, ok bool) {
	for _, s := range h.samples {
		if !point.Reaches(s.Point) {
			return s.At, true
		}
	}
	return 0, false
}
